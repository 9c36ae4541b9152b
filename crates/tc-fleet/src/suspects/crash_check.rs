//! Checks whether an upstream crashed when a connection to it broke.

use std::{net::SocketAddr, time::Duration};

use tc_protocol::Incarnation;
use tc_upstream::{CallErrorKind, UpstreamClient};
use tokio::runtime::Handle;

/// Timeout for the upstream's answer. The caller waits for the check too.
pub(super) const MAX_CHECK_TIME: Duration = Duration::from_millis(300);

/// An upstream as known when a call to it was granted.
#[derive(Clone, Debug)]
pub(crate) struct CalledUpstream {
    pub(crate) address: SocketAddr,
    /// Incarnation last reported by its home; 0 if unknown.
    pub(crate) incarnation: Incarnation,
}

/// Checks upstreams on the control thread, because the client's connections belong to its runtime.
#[derive(Clone)]
pub(crate) struct CrashCheck {
    client: UpstreamClient,
    control: Handle,
}

impl CrashCheck {
    /// Must be called on the control thread's runtime.
    pub(crate) fn new(client: UpstreamClient) -> Self {
        Self {
            client,
            control: Handle::current(),
        }
    }

    /// Returns whether the process that was called has crashed, as far as can be determined.
    ///
    /// An upstream that closes an idle connection while a request is written to it looks exactly like one that the
    /// request crashed. Two such closes would quarantine an innocent request, which would then be refused for no
    /// visible reason. The check therefore reads the upstream's load report. If the incarnation is the same as before
    /// the call, the upstream did not crash. If the incarnation has changed or the connection is refused, it did. Without an
    /// answer in time, or if the earlier incarnation is unknown, it counts as crashed, because a request wrongly
    /// suspected is cleared by its next run.
    pub(crate) async fn has_crashed(&self, called: &CalledUpstream) -> bool {
        let client = self.client.clone();
        let address = called.address;
        let check = self.control.spawn(async move {
            tokio::time::timeout(MAX_CHECK_TIME, client.load_report(address)).await
        });
        match check.await {
            Ok(Ok(Ok(report))) => {
                called.incarnation == Incarnation(0) || report.incarnation != called.incarnation
            }
            Ok(Ok(Err(error))) => !matches!(error.kind, CallErrorKind::Failed(_)),
            Ok(Err(_)) | Err(_) => true,
        }
    }
}
