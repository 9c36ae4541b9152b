//! Failures of attempts to send a request, and what they mean for further attempts.

use std::time::Duration;

use tc_protocol::PermitRefusal;
use tc_upstream::{CallError, CallErrorKind};

pub(super) const NO_TIME_LEFT: &str = "no time is left";
pub(super) const RETRY_BUDGET_EMPTY: &str = "the retry budget is empty";

/// Reason why an attempt produced no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendFailure {
    /// The upstream did not run the request.
    NotRun,
    /// The upstream did not run the request because results that it reads are gone.
    InputGone,
    /// The upstream may have run the request.
    MayHaveRun,
    /// No upstream is left to try.
    NoUpstream,
    /// The remaining upstreams are at their announced rate limits; the time until one takes another request.
    RateLimited(Duration),
    /// Upstreams of the service have requested backoffs; the time until the first one expires.
    BackingOff(Duration),
    /// The retry budget does not allow the attempt any more.
    BudgetExhausted,
    /// The request has crashed upstreams and may not run now.
    Suspect(PermitRefusal),
    /// A part of its prompt has crashed upstreams.
    SuspectPart(PermitRefusal),
    /// The time of the request is used up.
    TimedOut,
}

impl SendFailure {
    /// Returns why the request is not sent again after this failure, or `None` if it may be.
    pub(super) fn final_reason(self) -> Option<&'static str> {
        match self {
            Self::NotRun | Self::InputGone | Self::MayHaveRun => None,
            Self::NoUpstream => Some("no upstream is left to try"),
            Self::RateLimited(_) => Some("upstreams of the service are at their rate limit"),
            Self::BackingOff(_) => Some("upstreams of the service have asked for a rest"),
            Self::BudgetExhausted => Some(RETRY_BUDGET_EMPTY),
            Self::Suspect(_) => Some("the request has crashed upstreams"),
            Self::SuspectPart(_) => Some("a part of the prompt has crashed upstreams"),
            Self::TimedOut => Some(NO_TIME_LEFT),
        }
    }
}

/// Defect of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerFault {
    /// The connection broke before the answer was complete, as when the upstream crashes.
    Broken,
    /// The answer is too late, too large, or belongs to another request.
    Invalid,
}

impl From<&CallError> for AnswerFault {
    fn from(error: &CallError) -> Self {
        match error.kind {
            CallErrorKind::Broken => Self::Broken,
            _ => Self::Invalid,
        }
    }
}
