//! The handle of a running upstream: what engines, pools and plain services offer to whoever started them.

use std::{net::SocketAddr, sync::Arc};

use tc_protocol::UpstreamId;

use super::{Upstream, UpstreamFaults};

/// A running upstream of any kind; dropping it stops it.
pub struct UpstreamHandle {
    upstream: Arc<Upstream>,
}

impl UpstreamHandle {
    pub(super) fn new(upstream: Arc<Upstream>) -> Self {
        Self { upstream }
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.upstream.address()
    }

    /// Its identifier.
    #[must_use]
    pub fn id(&self) -> &UpstreamId {
        &self.upstream.id
    }

    /// Its fault switches.
    #[must_use]
    pub fn faults(&self) -> &UpstreamFaults {
        &self.upstream.faults
    }
}

impl Drop for UpstreamHandle {
    fn drop(&mut self) {
        self.upstream.close();
    }
}
