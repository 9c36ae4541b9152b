//! Claims: the platform's record that a non-idempotent request was started, so that it is never started twice.

use serde::{Deserialize, Serialize};

use crate::{RunState, WorkspaceName};

/// What a claim is on. The caller's key is scoped to its workspace and the path it was used on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Whose key.
    pub workspace: WorkspaceName,
    /// `pipeline/<name>` or `service/<name>/<path>`.
    pub target: String,
    /// The `Idempotency-Key` header.
    pub key: String,
}

/// What the caller was told, kept so that a resend gets the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The body, or `None` when it was too large to keep.
    pub body: Option<String>,
    /// Whether the request ran.
    pub run_state: RunState,
}

/// What asking for a claim found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is ours: run the request, then record its outcome.
    Acquired {
        /// Proves later that the claim is ours.
        claim_id: String,
    },
    /// Another run holds the claim and has not recorded an outcome.
    Held,
    /// An earlier run recorded this outcome.
    Recorded(RecordedOutcome),
    /// The key was claimed with another body.
    BodyMismatch,
    /// The store cannot be reached, and no claim of ours can have taken effect in time to be acted on: not run.
    Unavailable,
}
