//! Claims: records in the platform's store that a non-idempotent request was started, so that it never starts twice.

use serde::{Deserialize, Serialize};

use crate::{RunState, WorkspaceName};

/// Identifies a claim. An idempotency key is scoped to its workspace and to the target it was used on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// `pipeline/<name>` or `service/<name>/<path>`.
    pub target: String,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
}

/// The response sent to the caller, stored so that a resent request gets the same one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body, or `None` if it was too large to store.
    pub body: Option<String>,
    /// Whether an upstream ran the request.
    pub run_state: RunState,
}

/// Result of trying to acquire a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim was acquired: run the request, then record its outcome.
    Acquired {
        /// Proves ownership of the claim in later calls.
        claim_id: String,
    },
    /// Another run holds the claim and has not recorded an outcome yet.
    Held,
    /// An earlier run has completed with this outcome.
    Recorded(RecordedOutcome),
    /// The key was claimed with a different request body.
    BodyMismatch,
    /// The store is unreachable and no claim can have taken effect in time to be used, so the request has not run.
    Unavailable,
}
