//! Errors of calls, and what they prove about whether the call ran.

use std::fmt;

use miette::Diagnostic;
use tc_protocol::{Outcome, RunState, UpstreamId};
use thiserror::Error;

/// Kind of a call error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallErrorKind {
    /// The connect failed, or the connection closed before the first byte of the call was written.
    Connect,
    /// The connection was open, but the caller of this crate no longer wanted to send the call.
    Withdrawn,
    /// The call's deadline passed.
    TimedOut,
    /// The connection closed or failed after bytes of the call were sent, or the stream ended early.
    Broken,
    /// The response names another request, stage or attempt, or none.
    WrongIdentity,
    /// The response violates the protocol, or the call cannot be encoded as a request.
    Malformed,
    /// The response header or body exceeds the configured limit.
    TooLarge,
    /// The upstream rejected the call as invalid, with this status code.
    Rejected(u16),
    /// The upstream failed or has no free capacity, and responded with this status code.
    Failed(u16),
}

impl fmt::Display for CallErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("cannot connect"),
            Self::Withdrawn => f.write_str("withdrawn"),
            Self::TimedOut => f.write_str("timed out"),
            Self::Broken => f.write_str("connection broke"),
            Self::WrongIdentity => f.write_str("answer is for another call"),
            Self::Malformed => f.write_str("malformed answer"),
            Self::TooLarge => f.write_str("answer too large"),
            Self::Rejected(status) => write!(f, "rejected with status {status}"),
            Self::Failed(status) => write!(f, "failed with status {status}"),
        }
    }
}

/// A failed call.
///
/// ```
/// use tc_protocol::{Outcome, RunState};
/// use tc_upstream::{CallError, CallErrorKind};
/// let error = CallError {
///     kind: CallErrorKind::Failed(503),
///     run_state: RunState::NotRun,
///     outcome: Outcome::Failed,
///     upstream: "gen-1".into(),
///     detail: "no slot free".into(),
/// };
/// assert_eq!(error.to_string(), "upstream gen-1: failed with status 503 (not_run): no slot free");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("upstream {upstream}: {kind} ({run_state}): {detail}")]
#[diagnostic(code(tc::upstream::call))]
pub struct CallError {
    /// Kind of the error.
    pub kind: CallErrorKind,
    /// What is proven about whether the call ran.
    pub run_state: RunState,
    /// Outcome to settle the permit with.
    pub outcome: Outcome,
    /// The upstream that was called, or its address if the identifier is not known.
    pub upstream: UpstreamId,
    /// Description of the failure.
    pub detail: String,
}

/// A failed order.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum OrderError {
    /// The upstream has seen a higher fencing token: another instance acquired the lease later.
    #[error("order refused: the upstream has seen fencing number {highest_fence}")]
    #[diagnostic(
        code(tc::upstream::order_refused),
        help("read the lease object again; another instance holds it now")
    )]
    Refused {
        /// Highest fencing token that the upstream has seen.
        highest_fence: u64,
    },
    /// The call failed. The order may have taken effect unless the run state is `NotRun`.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Call(#[from] CallError),
}
