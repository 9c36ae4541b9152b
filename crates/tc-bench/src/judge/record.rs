//! Records of callers and upstreams, as plain data.

use tc_protocol::{InstanceId, RunState, WorkspaceName};

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// A whole answer came.
    Answered {
        /// Whether its content is that of the request's own input.
        right: bool,
    },
    /// A failure came, as a status or as a problem event in a stream.
    Failed {
        /// HTTP status code.
        status: u16,
        /// The run state it told; `None` when it told none.
        run_state: Option<RunState>,
        /// The word of the problem's type, or the start of the body.
        why: String,
    },
    /// The connection broke after the request was sent.
    Broken,
    /// No address accepted a connection, so nothing was sent.
    NotSent,
    /// Neither answer nor failure came until a second after the deadline.
    Silent,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Target: `pipeline/P`, `stream/P` or `service/S`.
    pub target: String,
    /// The idempotency key it carried.
    pub key: Option<String>,
    /// The identifier the system gave it.
    pub request_id: Option<String>,
    /// Whether the caller echoed an instance's binding beside the key.
    pub bound: bool,
    /// The instance it was sent to at first.
    pub first_instance: Option<InstanceId>,
    /// The instance it was sent to last.
    pub instance: Option<InstanceId>,
    /// When it was due, in milliseconds since the load started.
    pub due_ms: f64,
    /// From due to the end, in milliseconds.
    pub took_ms: f64,
    /// Its deadline, in milliseconds after it was due.
    pub deadline_ms: f64,
    /// Its outcome.
    pub told: Told,
    /// Identifiers of its stream's events in order of arrival.
    pub event_ids: Vec<u64>,
    /// From due to the first event, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// Between events, in milliseconds.
    pub between_tokens_ms: Vec<f64>,
}

impl CallRecord {
    /// Whether the whole, right answer came within the deadline.
    #[must_use]
    pub fn met(&self) -> bool {
        self.told == Told::Answered { right: true } && self.took_ms <= self.deadline_ms
    }
}

/// Outcome of a call at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Its answer was written whole.
    Answered,
    /// Its upstream crashed under it.
    Crashed,
    /// It was cancelled, refused or is still running.
    Otherwise,
}

/// One call as an upstream saw it.
#[derive(Clone, Debug)]
pub struct SeenCall {
    /// The upstream's identifier.
    pub upstream: String,
    /// The service the upstream belongs to.
    pub service: String,
    /// The request it was for.
    pub request_id: String,
    /// The stage it was for.
    pub stage: String,
    /// The idempotency key it carried.
    pub key: Option<String>,
    /// Whether it began to run; a call that only arrived still proves a `not_run` false.
    pub ran: bool,
    /// When it arrived, in milliseconds since the load started; negative before.
    pub arrived_ms: f64,
    /// When it ended, in milliseconds since the load started; infinite while it runs.
    pub ended_ms: f64,
    /// Its outcome.
    pub ended: Ended,
    /// Time the upstream was busy with it, in milliseconds.
    pub busy_ms: f64,
    /// Tokens read and generated.
    pub tokens: u64,
}
