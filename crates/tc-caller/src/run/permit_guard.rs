//! A guard that settles a permit as cancelled when its call is abandoned.

use std::{sync::Arc, time::Duration};

use tc_protocol::{Attempt, Cost, Decision, MonoTime, Outcome, Permit, RunState, StageName};

use crate::run::context::RequestContext;

/// A granted permit whose call has been sent.
///
/// If it is dropped without [`PermitGuard::settle`], the call was cancelled: the permit is released as cancelled, its
/// time counts as wasted, and the run state is unknown. Otherwise, when a caller disconnects, the upstream's slot would
/// stay occupied and the call's cost would not be recorded.
pub(crate) struct PermitGuard {
    cx: Arc<RequestContext>,
    stage: StageName,
    attempt: Attempt,
    permit: Option<Permit>,
    sent_at: MonoTime,
    first_byte: Option<Duration>,
}

/// How a call ended.
pub(crate) struct CallEnd {
    pub(crate) outcome: Outcome,
    pub(crate) run_state: RunState,
    pub(crate) cost: Cost,
    /// Whether the result was not used.
    pub(crate) wasted: bool,
}

impl PermitGuard {
    pub(crate) fn new(
        cx: Arc<RequestContext>,
        stage: StageName,
        attempt: Attempt,
        permit: Permit,
    ) -> Self {
        Self {
            cx,
            stage,
            attempt,
            permit: Some(permit),
            sent_at: MonoTime::now(),
            first_byte: None,
        }
    }

    pub(crate) fn record_first_byte(&mut self, took: Duration) {
        self.first_byte.get_or_insert(took);
    }

    pub(crate) fn elapsed(&self) -> Duration {
        MonoTime::now().since(self.sent_at)
    }

    /// Returns the cost of a call for which only the elapsed time is known.
    pub(crate) fn time_cost(&self) -> Cost {
        Cost {
            busy_ms: self.elapsed().as_secs_f64() * 1e3,
            ..Cost::default()
        }
    }

    pub(crate) fn settle(mut self, end: &CallEnd) {
        self.release(end);
    }

    fn release(&mut self, end: &CallEnd) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let took = self.elapsed();
        self.cx.record_run_state(end.run_state);
        if end.run_state != RunState::NotRun {
            self.cx.add_cost(&self.stage, &end.cost, end.wasted);
        }
        self.cx.record(Decision::Ended {
            stage: self.stage.clone(),
            attempt: self.attempt,
            outcome: end.outcome,
            run_state: end.run_state,
            cost: end.cost,
        });
        metrics::histogram!("tc_stage_ms", "stage" => self.stage.as_str().to_owned())
            .record(took.as_secs_f64() * 1e3);
        permit.settle(end.outcome, end.run_state, end.cost, took, self.first_byte);
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let cost = self.time_cost();
        self.release(&CallEnd {
            outcome: Outcome::Cancelled,
            run_state: RunState::Unknown,
            cost,
            wasted: true,
        });
    }
}
