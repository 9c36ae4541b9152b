//! Upstreams as they register themselves.

use std::net::SocketAddr;

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
}
