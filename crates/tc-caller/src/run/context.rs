//! The context of one request: its workspace, deadline, run state and cost.

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

/// The properties of a request that are known when it is accepted.
pub(crate) struct AcceptedRequest {
    pub(crate) id: RequestId,
    pub(crate) counter: u64,
    pub(crate) arrived: MonoTime,
    pub(crate) workspace: WorkspaceName,
    pub(crate) pipeline: Option<PipelineName>,
    pub(crate) deadline: Deadline,
    pub(crate) priority: u8,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) caller_trace: TraceContext,
    pub(crate) view: Arc<FleetView>,
}

/// The context of a running request. Dereferences to the [`AcceptedRequest`].
///
/// If it is dropped before [`RequestContext::finish`], the caller is considered to have disconnected.
pub(crate) struct RequestContext {
    pub(crate) shared: Arc<Shared>,
    accepted: AcceptedRequest,
    trace: Arc<RequestTrace>,
    workspace_record: Arc<WorkspaceRecord>,
    run_state: AtomicU8,
    cost: Mutex<Cost>,
    limit_guard: Mutex<Option<WorkspaceLimitGuard>>,
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
        let trace = Arc::new(RequestTrace::new(
            accepted.id.clone(),
            accepted.workspace.clone(),
            accepted.pipeline.clone(),
            accepted.arrived,
        ));
        shared.explanations.insert(accepted.counter, trace.clone());
        Arc::new(Self {
            workspace_record: shared.stats.for_workspace(&accepted.workspace),
            shared,
            accepted,
            trace,
            run_state: AtomicU8::new(RunState::NotRun as u8),
            cost: Mutex::new(Cost::default()),
            limit_guard: Mutex::new(None),
            finished: AtomicBool::new(false),
        })
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.remaining(MonoTime::now())
    }

    pub(crate) fn record(&self, decision: Decision) {
        self.trace.add(decision);
    }

    /// Merges the run state of one dispatched attempt into that of the request.
    pub(crate) fn record_run_state(&self, state: RunState) {
        self.run_state.fetch_max(state as u8, Ordering::Relaxed);
    }

    /// Returns the run state of the whole request, the highest of its attempts.
    pub(crate) fn run_state(&self) -> RunState {
        let highest = self.run_state.load(Ordering::Relaxed);
        [RunState::Ran, RunState::Unknown]
            .into_iter()
            .find(|state| *state as u8 == highest)
            .unwrap_or(RunState::NotRun)
    }

    /// Creates a failure with the run state of the whole request.
    pub(crate) fn failure(&self, kind: ProblemKind, detail: impl Into<String>) -> Failure {
        Failure::new(kind, self.run_state(), detail)
    }

    pub(crate) fn deadline_exceeded(&self) -> Failure {
        self.failure(
            ProblemKind::DeadlineExceeded,
            "the deadline passed before the request was answered",
        )
    }

    pub(crate) fn set_limit_guard(&self, guard: WorkspaceLimitGuard) {
        *lock(&self.limit_guard) = Some(guard);
    }

    /// Adds the cost of one call of `stage`. `wasted` is true if its result was not used.
    pub(crate) fn add_cost(&self, stage: &StageName, cost: &Cost, wasted: bool) {
        let key = (self.pipeline.clone(), stage.clone());
        self.workspace_record.record_cost(&key, cost, wasted);
        let mut total = lock(&self.cost);
        total.tokens_in = total.tokens_in.saturating_add(cost.tokens_in);
        total.tokens_out = total.tokens_out.saturating_add(cost.tokens_out);
        total.busy_ms += cost.busy_ms;
    }

    pub(crate) fn cost(&self) -> Cost {
        *lock(&self.cost)
    }

    /// Records how the request ended. Later calls have no effect.
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
        self.record(decision);
        self.workspace_record
            .record_request(outcome, MonoTime::now().since(self.arrived));
    }
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        self.end(RequestOutcome::CallerLeft, Decision::CallerLeft);
        let units = self.cost().units();
        if let Some(mut guard) = lock(&self.limit_guard).take() {
            guard.charge(units);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
