//! Which call is being made: what its errors name and when its time is up.

use std::{net::SocketAddr, time::Duration};

use tc_protocol::{Outcome, RunState, UpstreamId};
use tokio::time::Instant;

use crate::{
    connection::Failure,
    error::{CallError, CallErrorKind},
};

/// One call in progress.
#[derive(Clone, Debug)]
pub(crate) struct CallSite {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) started: Instant,
    pub(crate) deadline: Instant,
    /// Least that is known of whether it ran, from before this exchange.
    pub(crate) known: RunState,
}

impl CallSite {
    pub(crate) fn new(upstream: UpstreamId, address: SocketAddr, remaining: Duration) -> Self {
        let started = Instant::now();
        Self {
            upstream,
            address,
            started,
            deadline: started + remaining,
            known: RunState::NotRun,
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
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
            run_state: run_state.and(self.known),
            outcome,
            upstream: self.upstream.clone(),
            detail: detail.into(),
        }
    }

    /// The error for a failure on the connection.
    pub(crate) fn failed(&self, failure: &Failure, run_state: RunState) -> CallError {
        let (kind, outcome) = failure.classify();
        self.error(kind, run_state, outcome, failure.to_string())
    }

    /// The error for an answer that is not what the protocol allows.
    pub(crate) fn malformed(&self, run_state: RunState, detail: impl Into<String>) -> CallError {
        self.error(CallErrorKind::Malformed, run_state, Outcome::Failed, detail)
    }

    /// The error for a call that cannot be put into a request at all.
    pub(crate) fn unsendable(&self, detail: impl Into<String>) -> CallError {
        self.error(
            CallErrorKind::Malformed,
            RunState::NotRun,
            Outcome::Unused,
            detail,
        )
    }
}
