//! The per-request decision log that explains to operators what happened to a request and why.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    Attempt, Cost, Outcome, PipelineName, RefusalReason, RequestId, RunState, StageName,
    UpstreamId, WorkspaceName,
};

/// A decision taken for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Decision {
    /// The request was admitted.
    Admitted {
        /// Time until the deadline, in milliseconds.
        budget_ms: u64,
        /// Estimated time for all stages, in milliseconds.
        estimate_ms: f64,
    },
    /// The request was refused; `run_state` states whether any part of it may have run.
    Refused {
        /// Reason, for people to read.
        why: String,
        /// Whether any part of the request may have run.
        run_state: RunState,
    },
    /// A claim on the idempotency key was acquired, joined or found.
    Claimed {
        /// State of the claim, for people to read.
        how: String,
    },
    /// A permit was granted.
    Granted {
        /// Stage the permit is for.
        stage: StageName,
        /// Attempt the permit is for.
        attempt: Attempt,
        /// Selected upstream.
        upstream: UpstreamId,
        /// Reason for the selection of this upstream, as readable text.
        why: String,
        /// Time in the queue of the home, in milliseconds.
        waited_ms: f64,
    },
    /// A permit was refused.
    #[serde(rename = "ask_refused")]
    PermitRefused {
        /// Stage the permit was requested for.
        stage: StageName,
        /// Attempt the permit was requested for.
        attempt: Attempt,
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// A hedge was started.
    Hedged {
        /// The stage.
        stage: StageName,
        /// Age of the slow attempt, in milliseconds.
        after_ms: f64,
    },
    /// A retry was started.
    Retried {
        /// The stage.
        stage: StageName,
        /// Failure that the retry follows.
        after: String,
    },
    /// A stream was resumed after a broken connection.
    Resumed {
        /// The stage.
        stage: StageName,
        /// Last event received before the connection broke.
        last_event_id: u64,
    },
    /// A call ended.
    Ended {
        /// Stage of the call.
        stage: StageName,
        /// Attempt of the stage.
        attempt: Attempt,
        /// Outcome of the call.
        outcome: Outcome,
        /// Whether the call ran.
        run_state: RunState,
        /// Actual cost of the call.
        cost: Cost,
    },
    /// The complete response was sent to the caller.
    Answered,
    /// An error was sent to the caller.
    Failed {
        /// Reason, for people to read.
        why: String,
        /// Whether any part of the request may have run.
        run_state: RunState,
    },
    /// The caller disconnected before the request was complete.
    CallerLeft,
    /// A decision as a process wrote it to its log.
    Logged {
        /// Log message.
        message: String,
        /// Structured fields of the log line: inputs of the decision and its outcome.
        #[serde(flatten)]
        details: BTreeMap<String, Value>,
    },
}

/// A decision with the time it was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Time since the request arrived, in milliseconds.
    pub at_ms: f64,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// The decision log of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request.
    pub request: RequestId,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Pipeline of the request, or `None` for a call to a plain service.
    pub pipeline: Option<PipelineName>,
    /// Decisions in chronological order.
    pub steps: Vec<Step>,
}
