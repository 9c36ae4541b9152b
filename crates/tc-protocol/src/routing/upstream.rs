//! Upstreams as they register themselves.

use std::{net::SocketAddr, time::Duration};

use crate::{FailureDomain, ServiceName, UpstreamId};

/// One life of an upstream's process. A restart registers under another identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredUpstream {
    /// Identifies this life of the process; upstreams check it when it is sent along.
    pub id: UpstreamId,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens. Another process may have the address later.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Whether it is about to stop and must get no new work.
    pub draining: bool,
    /// Whether operators have its failure domain evacuated: it must get no new work until they take that back.
    pub evacuated: bool,
    /// How much longer it stays cold, by its own word at its last registration; zero when it is warm.
    pub cold_left: Duration,
}

impl RegisteredUpstream {
    /// Whether anything new may be sent to it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_protocol::routing::RegisteredUpstream;
    /// let mut upstream = RegisteredUpstream {
    ///     id: "engine-1".into(),
    ///     service: "engines".into(),
    ///     address: ([10, 0, 0, 1], 80).into(),
    ///     failure_domain: "kl-a".into(),
    ///     slots: 4,
    ///     draining: false,
    ///     evacuated: false,
    ///     cold_left: Duration::ZERO,
    /// };
    /// assert!(upstream.takes_work());
    /// upstream.evacuated = true;
    /// assert!(!upstream.takes_work());
    /// ```
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        !self.draining && !self.evacuated
    }
}
