//! Faults that end a stream before it is complete.

use tc_upstream::CallError;

use super::attempt::AnswerFault;

/// Reason why a stream ended early.
pub(super) struct StreamFault {
    pub(super) kind: AnswerFault,
    pub(super) problem: String,
}

impl StreamFault {
    /// The connection failed, or closed in the middle of an event.
    pub(super) fn from_end(error: Option<CallError>) -> Self {
        let kind = error
            .as_ref()
            .map_or(AnswerFault::Broken, AnswerFault::from);
        let problem = error.map_or_else(
            || "the connection closed in the middle of an event".to_owned(),
            |error| error.to_string(),
        );
        Self { kind, problem }
    }

    pub(super) fn invalid(problem: &str) -> Self {
        Self {
            kind: AnswerFault::Invalid,
            problem: problem.to_owned(),
        }
    }
}
