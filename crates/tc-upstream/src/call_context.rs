//! Context of a call in progress: its upstream and its deadline.

use std::{net::SocketAddr, time::Duration};

use tc_protocol::{Outcome, RunState, UpstreamId};
use tokio::time::Instant;

use crate::{
    connection::Failure,
    error::{CallError, CallErrorKind},
};

/// A call in progress.
#[derive(Clone, Debug)]
pub(crate) struct CallContext {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) started: Instant,
    pub(crate) deadline: Instant,
    /// Minimum run state of errors, as known before this exchange; `Ran` for a resumed stream.
    pub(crate) known_run_state: RunState,
}

impl CallContext {
    pub(crate) fn new(upstream: UpstreamId, address: SocketAddr, remaining: Duration) -> Self {
        let started = Instant::now();
        Self {
            upstream,
            address,
            started,
            deadline: started + remaining,
            known_run_state: RunState::NotRun,
        }
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) fn error(
        &self,
        kind: CallErrorKind,
        run_state: RunState,
        outcome: Outcome,
        detail: impl Into<String>,
    ) -> CallError {
        CallError {
            kind,
            run_state: run_state.and(self.known_run_state),
            outcome,
            upstream: self.upstream.clone(),
            detail: detail.into(),
        }
    }

    /// Returns the error for a failed exchange.
    pub(crate) fn failed(&self, failure: &Failure, run_state: RunState) -> CallError {
        let (kind, outcome) = failure.classify();
        self.error(kind, run_state, outcome, failure.to_string())
    }

    /// Returns the error for a response that violates the protocol.
    pub(crate) fn malformed(&self, run_state: RunState, detail: impl Into<String>) -> CallError {
        self.error(CallErrorKind::Malformed, run_state, Outcome::Failed, detail)
    }

    /// Returns the error for a call that cannot be encoded as a request.
    pub(crate) fn unsendable(&self, detail: impl Into<String>) -> CallError {
        self.error(
            CallErrorKind::Malformed,
            RunState::NotRun,
            Outcome::Unused,
            detail,
        )
    }
}
