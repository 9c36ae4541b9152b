//! One request: who asked, until when, and what is known of it so far.

use std::{
    ops::Deref,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    time::Duration,
};

use tc_protocol::{
    Cost, Deadline, Decision, FleetView, MonoTime, PipelineName, ProblemKind, RequestId, RunState,
    StageName, WorkspaceLimitGuard, WorkspaceName,
};
use tc_telemetry::TraceContext;

use crate::{
    http::Failure,
    record::{RequestOutcome, RequestTrace, WorkspaceRecord},
    shared::Shared,
};

/// What is known of a request when it is accepted.
pub(crate) struct AcceptedRequest {
    pub(crate) id: RequestId,
    pub(crate) counter: u64,
    pub(crate) arrived: MonoTime,
    pub(crate) workspace: WorkspaceName,
    pub(crate) pipeline: Option<PipelineName>,
    pub(crate) deadline: Deadline,
    pub(crate) priority: u8,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) received_trace: TraceContext,
    pub(crate) view: Arc<FleetView>,
}

/// One request while it runs; derefs to what was known when it was accepted.
///
/// Dropped before [`RequestContext::finish`], it counts as left by its caller.
pub(crate) struct RequestContext {
    pub(crate) shared: Arc<Shared>,
    accepted: AcceptedRequest,
    steps: Arc<RequestTrace>,
    record: Arc<WorkspaceRecord>,
    run_state: AtomicU8,
    cost: Mutex<Cost>,
    share: Mutex<Option<WorkspaceLimitGuard>>,
    finished: AtomicBool,
}

impl Deref for RequestContext {
    type Target = AcceptedRequest;

    fn deref(&self) -> &AcceptedRequest {
        &self.accepted
    }
}

impl RequestContext {
    pub(crate) fn new(shared: Arc<Shared>, accepted: AcceptedRequest) -> Arc<Self> {
        let steps = Arc::new(RequestTrace::new(
            accepted.id.clone(),
            accepted.workspace.clone(),
            accepted.pipeline.clone(),
            accepted.arrived,
        ));
        shared.explanations.insert(accepted.counter, steps.clone());
        Arc::new(Self {
            record: shared.stats.for_workspace(&accepted.workspace),
            shared,
            accepted,
            steps,
            run_state: AtomicU8::new(RunState::NotRun as u8),
            cost: Mutex::new(Cost::default()),
            share: Mutex::new(None),
            finished: AtomicBool::new(false),
        })
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.remaining(MonoTime::now())
    }

    pub(crate) fn note(&self, decision: Decision) {
        self.steps.add(decision);
    }

    /// Takes into account what is known of one dispatched attempt.
    pub(crate) fn note_run_state(&self, state: RunState) {
        self.run_state.fetch_max(state as u8, Ordering::Relaxed);
    }

    /// What is known of the whole request.
    pub(crate) fn run_state(&self) -> RunState {
        let seen = self.run_state.load(Ordering::Relaxed);
        [RunState::Ran, RunState::Unknown]
            .into_iter()
            .find(|state| *state as u8 == seen)
            .unwrap_or(RunState::NotRun)
    }

    /// A failure with the run state of the whole request.
    pub(crate) fn failure(&self, kind: ProblemKind, detail: impl Into<String>) -> Failure {
        Failure::new(kind, self.run_state(), detail)
    }

    pub(crate) fn past_deadline(&self) -> Failure {
        self.failure(
            ProblemKind::DeadlineExceeded,
            "the deadline passed before the request was answered",
        )
    }

    pub(crate) fn hold_share(&self, guard: WorkspaceLimitGuard) {
        *lock(&self.share) = Some(guard);
    }

    /// Adds the cost of one call of `stage`; `wasted` when its result was not used.
    pub(crate) fn spend(&self, stage: &StageName, cost: &Cost, wasted: bool) {
        let key = (self.pipeline.clone(), stage.clone());
        self.record.record_cost(&key, cost, wasted);
        let mut sum = lock(&self.cost);
        sum.tokens_in = sum.tokens_in.saturating_add(cost.tokens_in);
        sum.tokens_out = sum.tokens_out.saturating_add(cost.tokens_out);
        sum.busy_ms += cost.busy_ms;
    }

    pub(crate) fn cost(&self) -> Cost {
        *lock(&self.cost)
    }

    /// Notes how the request ended; only the first time counts.
    pub(crate) fn finish(&self, failure: Option<&Failure>) {
        let outcome = match failure {
            None if self.deadline.is_past(MonoTime::now()) => RequestOutcome::Late,
            None => RequestOutcome::Answered,
            Some(failure) => RequestOutcome::Failed(failure.kind.as_str()),
        };
        let decision = match failure {
            None => Decision::Answered,
            Some(f) if f.run_state == RunState::NotRun => Decision::Refused {
                why: f.detail.clone(),
                run_state: f.run_state,
            },
            Some(f) => Decision::Failed {
                why: f.detail.clone(),
                run_state: f.run_state,
            },
        };
        self.end(outcome, decision);
    }

    fn end(&self, outcome: RequestOutcome, decision: Decision) {
        if self.finished.swap(true, Ordering::Relaxed) {
            return;
        }
        self.note(decision);
        self.record
            .record_request(outcome, MonoTime::now().since(self.arrived));
    }
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        self.end(RequestOutcome::CallerLeft, Decision::CallerLeft);
        let units = self.cost().units();
        if let Some(mut share) = lock(&self.share).take() {
            share.charge(units);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
