//! Runs one stage of a pipeline.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tc_policy::StageEstimate;
use tc_protocol::{Outcome, RunState};
use tc_upstream::{StageCall, StageResponse};
use tracing::Instrument;

use crate::{
    http::Failure,
    run::{
        attempt::CallTarget,
        context::RequestContext,
        dispatch::{Attempts, Dispatch},
        permit_guard::CallEnd,
        plan::{InputProperties, StagePlan},
    },
    trace,
};

/// A completed stage and its output.
pub(crate) struct CompletedStage {
    pub(crate) output: String,
    pub(crate) took: Duration,
    pub(crate) attempts: u32,
}

/// Runs a stage whose result is not streamed.
pub(crate) async fn run_stage(
    cx: &Arc<RequestContext>,
    plan: &StagePlan,
    input: &Arc<str>,
    rest: &[StageEstimate],
) -> Result<CompletedStage, Failure> {
    let span = tracing::info_span!("stage", stage = %plan.stage, service = %plan.service);
    run_complete_stage(cx, plan, input, rest)
        .instrument(span)
        .await
}

async fn run_complete_stage(
    cx: &Arc<RequestContext>,
    plan: &StagePlan,
    input: &Arc<str>,
    rest: &[StageEstimate],
) -> Result<CompletedStage, Failure> {
    let run = StageRun::start(cx, plan, input);
    let mut attempts = Attempts::default();
    let mut success = run
        .dispatch(rest, &plan.timing)
        .run(&mut attempts, |target| {
            cx.shared
                .upstream
                .run_stage(stage_call(cx, plan, input, &target))
        })
        .await?;
    let StageResponse {
        output,
        cost,
        first_byte,
        ..
    } = success.value;
    success.permit_guard.record_first_byte(first_byte);
    success.permit_guard.settle(&CallEnd {
        outcome: Outcome::Answered,
        run_state: RunState::Ran,
        cost,
        wasted: false,
    });
    Ok(run.finish(output, &attempts))
}

/// A running stage, streamed or not.
pub(crate) struct StageRun<'a> {
    cx: &'a Arc<RequestContext>,
    plan: &'a StagePlan,
    pub(crate) input_properties: InputProperties,
    started: Instant,
}

impl<'a> StageRun<'a> {
    pub(crate) fn start(cx: &'a Arc<RequestContext>, plan: &'a StagePlan, input: &str) -> Self {
        Self {
            cx,
            plan,
            input_properties: InputProperties::of(cx, plan, input.as_bytes()),
            started: Instant::now(),
        }
    }

    /// Creates the dispatch of the stage. `until_result` is the estimated time until a call returns its complete result
    /// or, for a stream, its first item.
    pub(crate) fn dispatch<'b>(
        &'b self,
        rest: &'b [StageEstimate],
        until_result: &'b StageEstimate,
    ) -> Dispatch<'b> {
        Dispatch {
            cx: self.cx,
            plan: self.plan,
            input_properties: &self.input_properties,
            rest,
            until_result,
        }
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records the duration of the completed stage, and reports that its input did not crash the upstream.
    pub(crate) fn finish(&self, output: String, attempts: &Attempts) -> CompletedStage {
        (self.cx.shared.ports.report_completed)(self.input_properties.fingerprint);
        let took = self.elapsed();
        self.plan.policy.record(self.plan.class, took);
        CompletedStage {
            output,
            took,
            attempts: attempts.count,
        }
    }
}

pub(crate) fn stage_call(
    cx: &RequestContext,
    plan: &StagePlan,
    input: &Arc<str>,
    target: &CallTarget,
) -> StageCall {
    StageCall {
        upstream: target.upstream.clone(),
        address: target.address,
        kind: plan.kind,
        request: cx.id.clone(),
        stage: plan.stage.clone(),
        attempt: target.attempt,
        model: plan.model.clone(),
        input: input.clone(),
        max_tokens: plan.max_tokens,
        priority: cx.priority,
        remaining: target.remaining,
        idempotency_key: if plan.idempotent {
            None
        } else {
            cx.key.clone()
        },
        traceparent: Some(trace::outgoing(&cx.caller_trace)),
    }
}
