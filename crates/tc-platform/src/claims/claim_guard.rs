//! A claim's verdict on its way to whoever asked.

use std::sync::Arc;

use tc_protocol::ClaimVerdict;
use tokio::sync::mpsc::UnboundedSender;

use super::{committer::Request, model::KeyDigest};

/// A verdict that gives its claim up when nobody takes it.
///
/// A claim may be written after its caller has stopped waiting. Without the release on drop, the key would stay
/// claimed by a run that never happens, and every resend would be told "unknown" until the claim expires.
pub(super) struct ClaimGuard {
    verdict: ClaimVerdict,
    release: Option<(KeyDigest, UnboundedSender<Request>)>,
}

impl ClaimGuard {
    pub(super) fn new(
        key: KeyDigest,
        verdict: ClaimVerdict,
        requests: UnboundedSender<Request>,
    ) -> Self {
        Self {
            verdict,
            release: Some((key, requests)),
        }
    }

    /// Takes the verdict over, and with it the claim.
    pub(super) fn into_verdict(mut self) -> ClaimVerdict {
        self.release = None;
        self.verdict.clone()
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let ClaimVerdict::Acquired { claim_id } = &self.verdict else {
            return;
        };
        if let Some((key, requests)) = self.release.take() {
            let claim_id: Arc<str> = claim_id.as_str().into();
            // The commit task is only gone when the runtime is, and then nobody can release anything.
            let _ = requests.send(Request::release(key, claim_id));
        }
    }
}
