//! Keeps the decisions of recent requests in a ring buffer with one slot per request.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use tc_protocol::{Decision, Explanation, MonoTime, PipelineName, RequestId, Step, WorkspaceName};

use crate::limits::{MAX_EXPLANATIONS, MAX_STEPS_PER_REQUEST};

/// Decisions of one request. They can be read while the request runs.
pub(crate) struct RequestTrace {
    request: RequestId,
    workspace: WorkspaceName,
    pipeline: Option<PipelineName>,
    arrived: MonoTime,
    steps: Mutex<Vec<Step>>,
}

impl RequestTrace {
    pub(crate) fn new(
        request: RequestId,
        workspace: WorkspaceName,
        pipeline: Option<PipelineName>,
        arrived: MonoTime,
    ) -> Self {
        Self {
            request,
            workspace,
            pipeline,
            arrived,
            steps: Mutex::new(Vec::with_capacity(12)),
        }
    }

    /// Records a decision. Decisions beyond [`STEPS_PER_REQUEST`] are dropped, which limits the memory of a request
    /// that is retried many times.
    pub(crate) fn add(&self, decision: Decision) {
        let at_ms = MonoTime::now().since(self.arrived).as_secs_f64() * 1e3;
        let mut steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        if steps.len() < MAX_STEPS_PER_REQUEST {
            steps.push(Step { at_ms, decision });
        }
    }

    fn explanation(&self) -> Explanation {
        Explanation {
            request: self.request.clone(),
            workspace: self.workspace.clone(),
            pipeline: self.pipeline.clone(),
            steps: self
                .steps
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone(),
        }
    }
}

/// Traces of the most recent requests of this instance.
pub(crate) struct ExplanationRing {
    slots: Box<[ArcSwapOption<RequestTrace>]>,
}

impl ExplanationRing {
    pub(crate) fn new() -> Self {
        Self {
            slots: (0..MAX_EXPLANATIONS)
                .map(|_| ArcSwapOption::empty())
                .collect(),
        }
    }

    /// Stores a trace in the slot of its counter, and overwrites the trace that is [`EXPLANATIONS`] requests older.
    pub(crate) fn insert(&self, counter: u64, trace: Arc<RequestTrace>) {
        let slot = (counter % MAX_EXPLANATIONS as u64) as usize;
        self.slots[slot].store(Some(trace));
    }

    pub(crate) fn explain(&self, id: &RequestId) -> Option<Explanation> {
        let (_, counter) = id.as_str().rsplit_once('-')?;
        let counter = u64::from_str_radix(counter, 16).ok()?;
        let slot = (counter % MAX_EXPLANATIONS as u64) as usize;
        let trace = self.slots[slot].load();
        let trace = trace.as_ref().filter(|t| t.request == *id)?;
        Some(trace.explanation())
    }
}
