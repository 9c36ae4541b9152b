//! One stage of a pipeline.

use std::{sync::Arc, time::Duration};

use tc_policy::StageEstimate;
use tc_protocol::{Outcome, RunState};
use tc_upstream::{StageCall, StageReply};
use tracing::Instrument;

use crate::{
    http::Failure,
    run::{
        attempt::CallTarget,
        context::RequestContext,
        dispatch::{Dispatch, Tries},
        hold::CallEnd,
        plan::{InputFacts, StagePlan},
    },
    trace,
};

/// A stage that was answered whole.
pub(crate) struct StageDone {
    pub(crate) output: String,
    pub(crate) took: Duration,
    pub(crate) attempts: u32,
}

/// Runs a stage whose result comes as a whole.
pub(crate) async fn run_stage(
    cx: &Arc<RequestContext>,
    plan: &StagePlan,
    input: &Arc<str>,
    rest: &[StageEstimate],
) -> Result<StageDone, Failure> {
    let span = tracing::info_span!("stage", stage = %plan.stage, service = %plan.service);
    run_whole(cx, plan, input, rest).instrument(span).await
}

async fn run_whole(
    cx: &Arc<RequestContext>,
    plan: &StagePlan,
    input: &Arc<str>,
    rest: &[StageEstimate],
) -> Result<StageDone, Failure> {
    let started = std::time::Instant::now();
    let facts = InputFacts::of(cx, plan, input.as_bytes());
    let mut tries = Tries::default();
    let dispatch = Dispatch {
        cx,
        plan,
        facts: &facts,
        rest,
        until_result: &plan.timing,
    };
    let mut won = dispatch
        .run(&mut tries, |target| {
            cx.shared
                .upstream
                .run_stage(stage_call(cx, plan, input, &target))
        })
        .await?;
    let StageReply {
        output,
        cost,
        first_byte,
        ..
    } = won.value;
    won.hold.first_byte_after(first_byte);
    won.hold.settle(&CallEnd {
        outcome: Outcome::Answered,
        run_state: RunState::Ran,
        cost,
        wasted: false,
    });
    (cx.shared.ports.ran_whole)(facts.fingerprint);
    let took = started.elapsed();
    plan.policy.record(plan.class, took);
    Ok(StageDone {
        output,
        took,
        attempts: tries.count,
    })
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
        traceparent: Some(trace::onward(&cx.received_trace)),
    }
}
