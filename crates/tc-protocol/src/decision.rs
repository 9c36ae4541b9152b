//! Decisions kept per request, so that operators can ask what happened to it and why.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    Attempt, Cost, Outcome, PipelineName, RefusalReason, RequestId, RunState, StageName,
    UpstreamId, WorkspaceName,
};

/// One decision taken for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Decision {
    /// Admitted with this much time.
    Admitted {
        /// Time until the deadline, in milliseconds.
        budget_ms: u64,
        /// Estimated time for all stages, in milliseconds.
        estimate_ms: f64,
    },
    /// Refused; nothing was run unless the run state says otherwise.
    Refused {
        /// Why, in words.
        why: String,
        /// Whether any part may have run.
        run_state: RunState,
    },
    /// A claim on the idempotency key was made, joined or found.
    Claimed {
        /// What the claim turned out to be, in words.
        how: String,
    },
    /// A permit was granted.
    Granted {
        /// The stage it is for.
        stage: StageName,
        /// Which try.
        attempt: Attempt,
        /// The chosen upstream.
        upstream: UpstreamId,
        /// Why that one, in words.
        why: String,
        /// Time in the home's queue, in milliseconds.
        waited_ms: f64,
    },
    /// A permit was refused.
    #[serde(rename = "ask_refused")]
    PermitRefused {
        /// The stage it was for.
        stage: StageName,
        /// Which try.
        attempt: Attempt,
        /// Why.
        reason: RefusalReason,
    },
    /// A hedge was started.
    Hedged {
        /// The stage.
        stage: StageName,
        /// The slow attempt's age, in milliseconds.
        after_ms: f64,
    },
    /// A retry was started.
    Retried {
        /// The stage.
        stage: StageName,
        /// What went wrong before.
        after: String,
    },
    /// A stream was resumed after a broken connection.
    Resumed {
        /// The stage.
        stage: StageName,
        /// Last event that had arrived.
        last_event_id: u64,
    },
    /// A call ended.
    Ended {
        /// The stage.
        stage: StageName,
        /// Which try.
        attempt: Attempt,
        /// How.
        outcome: Outcome,
        /// Whether it ran.
        run_state: RunState,
        /// What it cost.
        cost: Cost,
    },
    /// The caller got its whole answer.
    Answered,
    /// The caller got a failure.
    Failed {
        /// Why, in words.
        why: String,
        /// Whether any part may have run.
        run_state: RunState,
    },
    /// The caller went away first.
    CallerLeft,
    /// A decision as a process logged it.
    Logged {
        /// What was decided.
        message: String,
        /// What decided it, and the outcome.
        #[serde(flatten)]
        details: BTreeMap<String, Value>,
    },
}

/// A decision and when it was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the request arrived.
    pub at_ms: f64,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// All that is kept of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request.
    pub request: RequestId,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its pipeline, or `None` for a call to a plain service.
    pub pipeline: Option<PipelineName>,
    /// Decisions in order.
    pub steps: Vec<Step>,
}
