//! What can go wrong with a call, and what that proves.

use std::fmt;

use miette::Diagnostic;
use tc_protocol::{Outcome, RunState, UpstreamId};
use thiserror::Error;

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallErrorKind {
    /// No connection could be made, or it was gone before the first byte of the call was written.
    Connect,
    /// The call's time was used up.
    TimedOut,
    /// The connection broke after bytes of the call were sent.
    Broken,
    /// The answer names another request, stage or attempt, or none.
    WrongIdentity,
    /// The answer is not what the protocol allows.
    Malformed,
    /// The answer's header or body is larger than the settings allow.
    TooLarge,
    /// The upstream answered that the call itself is wrong, with this status code.
    Rejected(u16),
    /// The upstream answered that it failed or has no room, with this status code.
    Failed(u16),
}

impl fmt::Display for CallErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("cannot connect"),
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
    /// How it failed.
    pub kind: CallErrorKind,
    /// What is provable of whether it ran.
    pub run_state: RunState,
    /// What to settle the permit with.
    pub outcome: Outcome,
    /// The upstream called; its address where the identifier is not known.
    pub upstream: UpstreamId,
    /// What happened, in words.
    pub detail: String,
}

/// A failed order.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum OrderError {
    /// The upstream has seen a higher fencing number: another holder of the lease came after us.
    #[error("order refused: the upstream has seen fencing number {highest_fence}")]
    #[diagnostic(
        code(tc::upstream::order_refused),
        help("read the lease object again; another instance holds it now")
    )]
    Refused {
        /// Highest fencing number the upstream has seen.
        highest_fence: u64,
    },
    /// The call failed; the order may have taken effect unless the run state says otherwise.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Call(#[from] CallError),
}
