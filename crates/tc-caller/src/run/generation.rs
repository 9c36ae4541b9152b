//! The last stage of a streamed pipeline: text goes to the caller as it comes.

use std::sync::Arc;

use tc_policy::StageEstimate;
use tc_protocol::{Cost, Decision, Outcome, ProblemKind, RunState, ServiceKind, wire::Usage};
use tc_upstream::{CallError, CallErrorKind, EngineStream, StreamItem};
use tracing::Instrument;

use crate::{
    http::Failure,
    limits::MAX_FRUITLESS_RESUMES,
    run::{
        attempt::{CallTarget, fail},
        context::RequestContext,
        dispatch::Tries,
        hold::{CallEnd, PermitHold},
        plan::{InputFacts, StagePlan},
        stage::{StageDone, StageRun, run_stage, stage_call},
    },
    streams::StreamLog,
};

/// A stream whose first item has come. Until then it may be hedged and retried, since the caller has seen nothing.
struct Opened {
    stream: EngineStream,
    first: StreamItem,
}

/// Runs the last stage into `log`.
pub(crate) async fn run_generation(
    cx: &Arc<RequestContext>,
    plan: &StagePlan,
    input: &Arc<str>,
    rest: &[StageEstimate],
    log: &StreamLog,
) -> Result<StageDone, Failure> {
    if plan.kind != ServiceKind::Engine {
        let done = run_stage(cx, plan, input, rest).await?;
        log.push_text(&done.output).await;
        return Ok(done);
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
) -> Result<StageDone, Failure> {
    let run = StageRun::start(cx, plan, input);
    let first_item = plan.policy.estimate_first_item(plan.class);
    let mut tries = Tries::default();
    let mut won = run
        .dispatch(rest, &first_item)
        .run(&mut tries, |target| open(cx, plan, input, target))
        .await?;
    let waited = won.hold.elapsed();
    won.hold.first_byte_after(waited);
    plan.policy.record_first_item(plan.class, run.elapsed());
    let generation = Generation {
        cx,
        plan,
        input,
        log,
        facts: &run.facts,
        target: won.target,
        output: String::new(),
        last_event_id: 0,
        fruitless_resumes: 0,
    };
    let output = generation.follow(won.value, won.hold).await?;
    Ok(run.done(output, &tries))
}

async fn open(
    cx: &RequestContext,
    plan: &StagePlan,
    input: &Arc<str>,
    target: CallTarget,
) -> Result<Opened, CallError> {
    let call = stage_call(cx, plan, input, &target);
    let mut stream = cx.shared.upstream.open_stream(call, 0).await?;
    match stream.next().await {
        Some(first) => Ok(Opened {
            stream,
            first: first?,
        }),
        None => Err(ended_early(&target)),
    }
}

fn ended_early(target: &CallTarget) -> CallError {
    CallError {
        kind: CallErrorKind::Broken,
        run_state: RunState::Unknown,
        outcome: Outcome::Failed,
        upstream: target.upstream.clone(),
        detail: "the stream ended without its last event".into(),
    }
}

/// A generation that the caller already sees part of.
struct Generation<'a> {
    cx: &'a Arc<RequestContext>,
    plan: &'a StagePlan,
    input: &'a Arc<str>,
    log: &'a StreamLog,
    facts: &'a InputFacts,
    target: CallTarget,
    output: String,
    last_event_id: u64,
    /// Resumes since the last event arrived.
    fruitless_resumes: u32,
}

impl Generation<'_> {
    /// Passes items on until the stream is whole; a broken one is resumed at the same engine.
    ///
    /// It is never begun again elsewhere: another engine may generate other text, and the caller would get a mix of
    /// two answers without any sign of it.
    async fn follow(mut self, opened: Opened, hold: PermitHold) -> Result<String, Failure> {
        let mut stream = opened.stream;
        let mut item = Ok(opened.first);
        loop {
            match item {
                Ok(StreamItem::Event { id, text }) => self.pass_on(id, &text).await,
                Ok(StreamItem::Done { usage }) => {
                    let cost = self.cost(usage, &hold);
                    hold.settle(&CallEnd {
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
                        fail(self.cx, self.facts, hold, &error).await;
                        return Err(self.broken(&error));
                    }
                },
            }
            item = match stream.next().await {
                Some(next) => next,
                None => Err(ended_early(&self.target)),
            };
        }
    }

    async fn pass_on(&mut self, id: u64, text: &str) {
        self.last_event_id = id;
        self.fruitless_resumes = 0;
        self.output.push_str(text);
        if !text.is_empty() {
            self.log.push_text(text).await;
        }
    }

    /// Opens the stream again after the last event that arrived; gives `error` back when that is of no use.
    async fn resume(&mut self, error: CallError) -> Result<EngineStream, CallError> {
        if error.kind != CallErrorKind::Broken || self.fruitless_resumes == MAX_FRUITLESS_RESUMES {
            return Err(error);
        }
        self.fruitless_resumes += 1;
        self.target.remaining = self.cx.remaining();
        self.cx.note(Decision::Resumed {
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
        // The first error is the one that says how the call under way ended.
        resumed.map_err(|_| error)
    }

    fn cost(&self, usage: Option<Usage>, hold: &PermitHold) -> Cost {
        let usage = usage.unwrap_or_else(|| Usage {
            completion_tokens: u32::try_from(self.last_event_id).unwrap_or(u32::MAX),
            prompt_tokens: self.facts.estimate.tokens_in,
            cached_tokens: 0,
        });
        Cost {
            tokens_in: usage.prompt_tokens,
            tokens_out: usage.completion_tokens,
            ..hold.time_cost()
        }
    }

    fn broken(&self, error: &CallError) -> Failure {
        // Text of it has arrived, so it ran, whatever the last error proves.
        self.cx.note_run_state(RunState::Ran);
        if error.kind == CallErrorKind::TimedOut {
            return self.cx.past_deadline();
        }
        let detail = format!("stage {}: {error}", self.plan.stage);
        self.cx.failure(ProblemKind::UpstreamFailed, detail)
    }
}
