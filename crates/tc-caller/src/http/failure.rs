//! The error type of the HTTP layer.

use std::time::Duration;

use tc_protocol::{Problem, ProblemKind, RequestId, RunState};
use thiserror::Error;

/// Why a request failed, and whether it may have run.
#[derive(Clone, Debug, Error)]
#[error("{detail}")]
pub(crate) struct Failure {
    pub(crate) kind: ProblemKind,
    pub(crate) run_state: RunState,
    pub(crate) detail: String,
    pub(crate) retry_after: Option<Duration>,
    /// The allowed methods, for status 405.
    pub(crate) allow: Option<&'static str>,
}

impl Failure {
    pub(crate) fn new(kind: ProblemKind, run_state: RunState, detail: impl Into<String>) -> Self {
        Self {
            kind,
            run_state,
            detail: detail.into(),
            retry_after: None,
            allow: None,
        }
    }

    /// Creates a failure of a request of which nothing was sent to an upstream.
    pub(crate) fn not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self::new(kind, RunState::NotRun, detail)
    }

    /// Creates the failure for a malformed request.
    pub(crate) fn bad_request(detail: impl Into<String>) -> Self {
        Self::not_run(ProblemKind::BadRequest, detail)
    }

    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    pub(crate) fn with_allow(mut self, methods: &'static str) -> Self {
        self.allow = Some(methods);
        self
    }

    pub(crate) fn problem(&self, id: &RequestId) -> Problem {
        let problem =
            Problem::new(self.kind, self.run_state, self.detail.clone()).with_request(id.clone());
        match self.retry_after {
            Some(after) => problem.with_retry_after(after),
            None => problem,
        }
    }
}
