//! Delivery of a verdict to the caller that requested the claim.

use std::sync::Arc;

use tc_protocol::ClaimVerdict;
use tokio::sync::mpsc::UnboundedSender;

use super::{committer::Request, model::KeyDigest};

/// A verdict that releases its claim on drop unless the caller takes it.
///
/// A claim may be written after its caller has stopped waiting. Without the release, the key would
/// stay claimed by a run that never happens, and every resend would get "unknown" until the claim
/// expires.
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

    /// Returns the verdict and transfers the claim to the caller.
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
            // The commit task is gone only if the runtime is, and then the claim cannot be
            // released.
            let _ = requests.send(Request::release(key, claim_id));
        }
    }
}
