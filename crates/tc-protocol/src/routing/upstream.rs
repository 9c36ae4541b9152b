//! Upstreams as they register themselves.

use std::net::SocketAddr;

use crate::{FailureDomain, MonoTime, ServiceName, UpstreamId};

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
    /// Until when it is cold, as far as known: by its own word, or as it may have lost what it had warmed up.
    pub cold_until: MonoTime,
}

impl RegisteredUpstream {
    /// Whether anything new may be sent to it.
    ///
    /// ```
    /// use tc_protocol::{MonoTime, routing::RegisteredUpstream};
    /// let mut upstream = RegisteredUpstream {
    ///     id: "engine-1".into(),
    ///     service: "engines".into(),
    ///     address: ([10, 0, 0, 1], 80).into(),
    ///     failure_domain: "kl-a".into(),
    ///     slots: 4,
    ///     draining: false,
    ///     evacuated: false,
    ///     cold_until: MonoTime::default(),
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
