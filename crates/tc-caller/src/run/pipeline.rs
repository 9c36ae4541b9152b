//! Runs a pipeline: admission, then one stage after another.

use std::sync::Arc;

use serde::Serialize;
use tc_policy::StageEstimate;
use tc_protocol::{Cost, FleetConfig, Pipeline, ProblemKind, RequestId, StageName};

use crate::{
    http::Failure,
    run::{
        admission::{admit, start_request},
        context::RequestContext,
        generation::run_generation,
        plan::StagePlan,
        stage::{CompletedStage, run_stage},
    },
    streams::StreamLog,
};

/// A caller's request to run a pipeline.
pub(crate) struct PipelineCall {
    pub(crate) pipeline: Pipeline,
    pub(crate) input: Arc<str>,
    pub(crate) max_tokens: Option<u32>,
}

/// Duration and number of attempts of one stage, as reported to the caller.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StageSummary {
    pub(crate) name: StageName,
    pub(crate) ms: f64,
    pub(crate) attempts: u32,
}

/// The complete response of a pipeline.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PipelineResponse {
    pub(crate) request_id: RequestId,
    pub(crate) output: String,
    pub(crate) stages: Vec<StageSummary>,
    pub(crate) cost: Cost,
}

impl PipelineCall {
    /// Returns true if the services of all stages are idempotent, so that every stage may be repeated.
    pub(crate) fn is_idempotent(&self, config: &FleetConfig) -> bool {
        self.pipeline.stages.iter().all(|stage| {
            let service = config.services.get(&stage.service);
            service.is_some_and(|s| s.idempotent)
        })
    }
}

/// Runs all stages within the deadline. With `stream`, the text of the last stage is written to it as it is generated.
pub(crate) async fn run_pipeline(
    cx: &Arc<RequestContext>,
    call: &PipelineCall,
    stream: Option<&StreamLog>,
) -> Result<PipelineResponse, Failure> {
    let plans = plan_stages(cx, call)?;
    start_request(cx)?;
    admit(cx, &plans)?;
    let run = tokio::time::timeout(cx.remaining(), run_stages(cx, call, &plans, stream)).await;
    // By now the attempts that were running have been dropped and have recorded their run state.
    let result = run.unwrap_or_else(|_| Err(cx.deadline_exceeded()));
    cx.shared.throttles.record(cx, &result);
    result
}

async fn run_stages(
    cx: &Arc<RequestContext>,
    call: &PipelineCall,
    plans: &[StagePlan],
    stream: Option<&StreamLog>,
) -> Result<PipelineResponse, Failure> {
    let rest: Vec<StageEstimate> = plans.iter().map(|p| p.timing).collect();
    let mut input = call.input.clone();
    let mut stages = Vec::with_capacity(plans.len());
    for (i, plan) in plans.iter().enumerate() {
        let is_last = i + 1 == plans.len();
        let completed = match stream.filter(|_| is_last) {
            Some(log) => run_generation(cx, plan, &input, &rest[i..], log).await?,
            None => run_stage(cx, plan, &input, &rest[i..]).await?,
        };
        stages.push(stage_summary(plan, &completed));
        input = completed.output.into();
    }
    Ok(PipelineResponse {
        request_id: cx.id.clone(),
        output: input.as_ref().to_owned(),
        stages,
        cost: cx.cost(),
    })
}

fn stage_summary(plan: &StagePlan, completed: &CompletedStage) -> StageSummary {
    StageSummary {
        name: plan.stage.clone(),
        ms: completed.took.as_secs_f64() * 1e3,
        attempts: completed.attempts,
    }
}

fn plan_stages(cx: &RequestContext, call: &PipelineCall) -> Result<Vec<StagePlan>, Failure> {
    let config = &cx.view.config;
    let plan = |stage: &tc_protocol::Stage| {
        let service = config.services.get(&stage.service).ok_or_else(|| {
            let detail = format!("service {} is not configured", stage.service);
            cx.failure(ProblemKind::Internal, detail)
        })?;
        let max_tokens = call
            .max_tokens
            .map_or(stage.max_tokens, |wanted| wanted.min(stage.max_tokens));
        Ok(StagePlan::new(
            &cx.shared.policies,
            config,
            (&stage.name, &stage.service, service),
            call.input.len(),
            max_tokens,
        ))
    };
    call.pipeline.stages.iter().map(plan).collect()
}
