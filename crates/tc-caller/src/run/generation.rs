//! The last stage of a streamed pipeline, whose text is sent to the caller as it is generated.

use std::sync::Arc;

use tc_policy::StageEstimate;
use tc_protocol::{Cost, Decision, Outcome, ProblemKind, RunState, ServiceKind, wire::Usage};
use tc_upstream::{CallError, CallErrorKind, EngineStream, StreamItem};
use tracing::Instrument;

use crate::{
    http::Failure,
    limits::MAX_RESUMES_WITHOUT_EVENT,
    run::{
        attempt::{CallTarget, settle_failed},
        context::RequestContext,
        dispatch::Attempts,
        permit_guard::{CallEnd, PermitGuard},
        plan::{InputProperties, StagePlan},
        stage::{CompletedStage, StageRun, run_stage, stage_call},
    },
    streams::StreamLog,
};

/// A stream whose first item has arrived. Until then it may be hedged and retried, since nothing has been sent to the
/// caller.
struct OpenedStream {
    stream: EngineStream,
    first: StreamItem,
}

/// Runs the last stage and writes its text to `log`.
pub(crate) async fn run_generation(
    cx: &Arc<RequestContext>,
    plan: &StagePlan,
    input: &Arc<str>,
    rest: &[StageEstimate],
    log: &StreamLog,
) -> Result<CompletedStage, Failure> {
    if plan.kind != ServiceKind::Engine {
        let completed = run_stage(cx, plan, input, rest).await?;
        log.push_text(&completed.output).await;
        return Ok(completed);
    }
    let span = tracing::info_span!("stage", stage = %plan.stage, service = %plan.service);
    stream_stage(cx, plan, input, rest, log)
        .instrument(span)
        .await
}

async fn stream_stage(
    cx: &Arc<RequestContext>,
    plan: &StagePlan,
    input: &Arc<str>,
    rest: &[StageEstimate],
    log: &StreamLog,
) -> Result<CompletedStage, Failure> {
    let run = StageRun::start(cx, plan, input);
    let first_item = plan.policy.estimate_first_item(plan.class);
    let mut attempts = Attempts::default();
    let mut success = run
        .dispatch(rest, &first_item)
        .run(&mut attempts, |target| open_stream(cx, plan, input, target))
        .await?;
    let waited = success.permit_guard.elapsed();
    success.permit_guard.record_first_byte(waited);
    plan.policy.record_first_item(plan.class, run.elapsed());
    let generation = Generation {
        cx,
        plan,
        input,
        log,
        input_properties: &run.input_properties,
        target: success.target,
        output: String::new(),
        last_event_id: 0,
        resumes_without_event: 0,
    };
    let output = generation
        .forward(success.value, success.permit_guard)
        .await?;
    Ok(run.finish(output, &attempts))
}

async fn open_stream(
    cx: &RequestContext,
    plan: &StagePlan,
    input: &Arc<str>,
    target: CallTarget,
) -> Result<OpenedStream, CallError> {
    let call = stage_call(cx, plan, input, &target);
    let mut stream = cx.shared.upstream.open_stream(call, 0).await?;
    match stream.next().await {
        Some(first) => Ok(OpenedStream {
            stream,
            first: first?,
        }),
        None => Err(missing_last_event(&target)),
    }
}

fn missing_last_event(target: &CallTarget) -> CallError {
    CallError {
        kind: CallErrorKind::Broken,
        run_state: RunState::Unknown,
        outcome: Outcome::Failed,
        upstream: target.upstream.clone(),
        detail: "the stream ended without its last event".into(),
    }
}

/// A generation of which the caller has already received a part.
struct Generation<'a> {
    cx: &'a Arc<RequestContext>,
    plan: &'a StagePlan,
    input: &'a Arc<str>,
    log: &'a StreamLog,
    input_properties: &'a InputProperties,
    target: CallTarget,
    output: String,
    last_event_id: u64,
    /// Number of resumes since the last event arrived.
    resumes_without_event: u32,
}

impl Generation<'_> {
    /// Forwards items until the stream is complete. A broken stream is resumed at the same engine.
    ///
    /// It is never restarted on another engine, which may generate different text: the caller would get a mix of two
    /// responses without noticing.
    async fn forward(
        mut self,
        opened: OpenedStream,
        permit_guard: PermitGuard,
    ) -> Result<String, Failure> {
        let mut stream = opened.stream;
        let mut item = Ok(opened.first);
        loop {
            match item {
                Ok(StreamItem::Event { id, text }) => self.forward_event(id, &text).await,
                Ok(StreamItem::Done { usage }) => {
                    let cost = self.cost(usage, &permit_guard);
                    permit_guard.settle(&CallEnd {
                        outcome: Outcome::Answered,
                        run_state: RunState::Ran,
                        cost,
                        wasted: false,
                    });
                    return Ok(self.output);
                }
                Err(error) => match self.resume(error).await {
                    Ok(resumed) => stream = resumed,
                    Err(error) => {
                        settle_failed(self.cx, self.input_properties, permit_guard, &error).await;
                        return Err(self.failure(&error));
                    }
                },
            }
            item = match stream.next().await {
                Some(next) => next,
                None => Err(missing_last_event(&self.target)),
            };
        }
    }

    async fn forward_event(&mut self, id: u64, text: &str) {
        self.last_event_id = id;
        self.resumes_without_event = 0;
        self.output.push_str(text);
        if !text.is_empty() {
            self.log.push_text(text).await;
        }
    }

    /// Reopens the stream after the last event that arrived. Returns `error` if the stream cannot be resumed.
    async fn resume(&mut self, error: CallError) -> Result<EngineStream, CallError> {
        if error.kind != CallErrorKind::Broken
            || self.resumes_without_event == MAX_RESUMES_WITHOUT_EVENT
        {
            return Err(error);
        }
        self.resumes_without_event += 1;
        self.target.remaining = self.cx.remaining();
        self.cx.record(Decision::Resumed {
            stage: self.plan.stage.clone(),
            last_event_id: self.last_event_id,
        });
        metrics::counter!("tc_stream_resumes_total").increment(1);
        let call = stage_call(self.cx, self.plan, self.input, &self.target);
        let resumed = self
            .cx
            .shared
            .upstream
            .open_stream(call, self.last_event_id)
            .await;
        // The original error describes how the running call ended.
        resumed.map_err(|_| error)
    }

    fn cost(&self, usage: Option<Usage>, permit_guard: &PermitGuard) -> Cost {
        let usage = usage.unwrap_or_else(|| Usage {
            completion_tokens: u32::try_from(self.last_event_id).unwrap_or(u32::MAX),
            prompt_tokens: self.input_properties.estimate.tokens_in,
            cached_tokens: 0,
        });
        Cost {
            tokens_in: usage.prompt_tokens,
            tokens_out: usage.completion_tokens,
            ..permit_guard.time_cost()
        }
    }

    fn failure(&self, error: &CallError) -> Failure {
        // Some of its text has arrived, so it ran, whatever run state the last error implies.
        self.cx.record_run_state(RunState::Ran);
        if error.kind == CallErrorKind::TimedOut {
            return self.cx.deadline_exceeded();
        }
        let detail = format!("stage {}: {error}", self.plan.stage);
        self.cx.failure(ProblemKind::UpstreamFailed, detail)
    }
}
