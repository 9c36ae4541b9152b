//! Whether an upstream really died when a connection to it broke.

use std::{net::SocketAddr, time::Duration};

use tc_protocol::Incarnation;
use tc_upstream::{CallErrorKind, UpstreamClient};
use tokio::runtime::Handle;

/// Longest wait for the upstream's answer; the caller waits too.
const TIMEOUT: Duration = Duration::from_millis(300);

/// An upstream as it was when a call to it was granted.
#[derive(Clone, Debug)]
pub(crate) struct CalledUpstream {
    pub(crate) address: SocketAddr,
    /// Life of its process as last told by its home; 0 when not known.
    pub(crate) incarnation: Incarnation,
}

/// Asks upstreams whether they still live, on the control thread, whose client's connections belong there.
#[derive(Clone)]
pub(crate) struct Confirmer {
    client: UpstreamClient,
    control: Handle,
}

impl Confirmer {
    /// Must be made on the control thread's runtime.
    pub(crate) fn new(client: UpstreamClient) -> Self {
        Self {
            client,
            control: Handle::current(),
        }
    }

    /// Whether the process that was called is gone, as far as can be told.
    ///
    /// An upstream that closes an idle connection just as a request is written looks exactly like one that died of it.
    /// Two such closings would quarantine an innocent request, seen as a refusal that nobody can explain. So its load
    /// report is asked for: the same life as before the call says that it did not die. A refused connection or another
    /// life says that it did. Without an answer, or when the earlier life is not known, it counts as dead: a suspect
    /// too many is cleared by its next run.
    pub(crate) async fn is_dead(&self, called: &CalledUpstream) -> bool {
        let client = self.client.clone();
        let address = called.address;
        let asked = self
            .control
            .spawn(async move { tokio::time::timeout(TIMEOUT, client.load_report(address)).await });
        match asked.await {
            Ok(Ok(Ok(report))) => {
                called.incarnation == Incarnation(0) || report.incarnation != called.incarnation
            }
            Ok(Ok(Err(error))) => !matches!(error.kind, CallErrorKind::Failed(_)),
            Ok(Err(_)) | Err(_) => true,
        }
    }
}
