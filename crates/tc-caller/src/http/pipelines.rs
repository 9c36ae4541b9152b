//! `POST /v1/pipelines/{pipeline}`.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::FutureExt;
use http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use serde::Deserialize;
use tc_protocol::{MonoTime, Pipeline, PipelineName, ProblemKind, RunState, wire};

use crate::{
    http::{
        CallerResponse, Failure, ResumeFrom,
        body::read_body,
        caller::Caller,
        json_response,
        keyed::{self, Delivery},
        problem_answer,
    },
    idempotency::{FinalResponse, ResponseSource, run_once, wait_for_response},
    run::{PipelineAnswer, PipelineWork, RequestContext, run_pipeline},
    shared::Shared,
    streams::{self, StreamLog, StreamStart},
};

/// A request body.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PipelineRequest {
    input: Arc<str>,
    max_tokens: Option<u32>,
}

pub(crate) async fn call_pipeline(
    shared: &Arc<Shared>,
    caller: Caller,
    name: PipelineName,
    body: &mut Incoming,
) -> Result<CallerResponse, Failure> {
    let pipeline = find(&caller, &name)?;
    let deadline = caller.deadline(Duration::from_millis(pipeline.deadline_ms));
    let remaining = deadline.remaining(MonoTime::now());
    let wait = remaining.min(shared.timeouts.body_read);
    let body = read_body(body, shared.settings.max_body_bytes, wait).await?;
    if let Some(from) = &caller.headers.resume {
        return resume(shared, &caller, from, body, remaining).await;
    }
    let request = parse(&body)?;
    let work = PipelineWork {
        input: request.input,
        max_tokens: request.max_tokens,
        pipeline,
    };
    if !work.is_idempotent(&caller.view.config) {
        let delivery = Delivery {
            target: format!("pipeline/{name}"),
            body,
            deadline,
        };
        return call_once(shared, &caller, name, delivery, work).await;
    }
    let cx = caller.context(shared, Some(name), deadline, work.pipeline.priority);
    if caller.headers.wants_stream {
        return streams::start_stream(cx, work).await;
    }
    let result = run_pipeline(&cx, &work, None).await;
    cx.finish(result.as_ref().err());
    result.map(|answer| json_response(&answer))
}

fn find(caller: &Caller, name: &PipelineName) -> Result<Pipeline, Failure> {
    let config = &caller.view.config;
    let pipeline = config
        .pipelines
        .get(name)
        .ok_or_else(|| Failure::not_run(ProblemKind::NotFound, format!("no pipeline {name}")))?;
    if !pipeline.workspaces.is_empty() && !pipeline.workspaces.contains(&caller.workspace) {
        let detail = format!(
            "workspace {} may not call pipeline {name}",
            caller.workspace
        );
        return Err(Failure::not_run(ProblemKind::Forbidden, detail));
    }
    Ok(pipeline.clone())
}

fn parse(body: &[u8]) -> Result<PipelineRequest, Failure> {
    let request: PipelineRequest = serde_json::from_slice(body)
        .map_err(|e| Failure::bad(format!("the body is not a pipeline request: {e}")))?;
    if request.max_tokens == Some(0) {
        return Err(Failure::bad("max_tokens must be above zero"));
    }
    Ok(request)
}

/// Sends the rest of a stream, from here or through the instance that keeps it.
async fn resume(
    shared: &Arc<Shared>,
    caller: &Caller,
    from: &ResumeFrom,
    body: Bytes,
    remaining: Duration,
) -> Result<CallerResponse, Failure> {
    let entry = from.request.entry_instance().ok_or_else(|| {
        Failure::bad(format!(
            "header {} is not a request's identifier",
            wire::REQUEST_ID
        ))
    })?;
    if entry == shared.settings.me {
        return streams::resume(shared, &caller.workspace, from);
    }
    let address = caller
        .view
        .member(&entry)
        .filter(|_| !caller.headers.forwarded)
        .map(|member| member.caller_address)
        .ok_or_else(streams::not_resumable)?;
    let onward = keyed::onward(caller, body, remaining);
    let forwarded = shared
        .forwarder
        .forward(&shared.settings.me, address, onward)
        .await;
    forwarded.map_err(|error| {
        log::warn!(instance = entry.as_str(), error = error.to_string().as_str(); "resume not forwarded");
        streams::not_resumable()
    })
}

/// Runs a pipeline with a stage that may not be repeated.
async fn call_once(
    shared: &Arc<Shared>,
    caller: &Caller,
    name: PipelineName,
    delivery: Delivery,
    work: PipelineWork,
) -> Result<CallerResponse, Failure> {
    let deadline = delivery.deadline;
    let keyed = match keyed::place(shared, caller, delivery).await? {
        keyed::Placed::Here(keyed) => keyed,
        keyed::Placed::Answered(response) => return Ok(response),
    };
    let cx = caller.context(shared, Some(name), deadline, work.pipeline.priority);
    if caller.headers.wants_stream {
        return stream_once(cx, keyed, work).await;
    }
    let run = {
        let cx = cx.clone();
        move || async move { whole_answer(&cx, &work).await }.boxed()
    };
    let begun = run_once(&cx, keyed, run);
    keyed::answer(&cx, begun).await
}

async fn whole_answer(cx: &Arc<RequestContext>, work: &PipelineWork) -> FinalResponse {
    let result = run_pipeline(cx, work, None).await;
    cx.finish(result.as_ref().err());
    match result {
        Ok(answer) => {
            let body = serde_json::to_vec(&answer).unwrap_or_default();
            final_answer(cx, "application/json", body.into())
        }
        Err(failure) => problem_answer(&failure, &cx.id),
    }
}

/// Streams the run to the delivery that started it; others get its answer whole.
async fn stream_once(
    cx: Arc<RequestContext>,
    keyed: crate::idempotency::KeyedRequest,
    work: PipelineWork,
) -> Result<CallerResponse, Failure> {
    let log = Arc::new(StreamLog::new());
    let response = streams::stream_response(&log, 0, &cx.id)?;
    let run = {
        let (cx, log) = (cx.clone(), log.clone());
        move || async move { streamed_answer(&cx, &work, &log).await }.boxed()
    };
    match run_once(&cx, keyed, run) {
        Ok(ResponseSource::Started(answer)) => tokio::select! {
            biased;
            opening = log.wait_for_start() => match opening {
                StreamStart::Streaming => Ok(response),
                StreamStart::Failure(failure) => Err(failure),
            },
            // The claim was refused, so that the stream never began.
            answer = wait_for_response(&cx, answer) => Ok(answer?.to_response(&cx.id)),
        },
        begun => keyed::answer(&cx, begun).await,
    }
}

async fn streamed_answer(
    cx: &Arc<RequestContext>,
    work: &PipelineWork,
    log: &Arc<StreamLog>,
) -> FinalResponse {
    match streams::run_into_stream(cx, work, log).await {
        Ok(answer) => final_answer(cx, "text/event-stream", events_of(&answer)),
        Err(failure) => problem_answer(&failure, &cx.id),
    }
}

/// The whole stream of an answer, its text in one event.
fn events_of(answer: &PipelineAnswer) -> Bytes {
    let parts = [
        streams::text_event(1, &answer.output),
        streams::done_event(answer),
    ];
    parts.concat().into()
}

fn final_answer(cx: &RequestContext, content_type: &'static str, body: Bytes) -> FinalResponse {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    if let Ok(value) = HeaderValue::from_str(cx.id.as_str()) {
        headers.insert(wire::REQUEST_ID, value);
    }
    FinalResponse {
        status: StatusCode::OK,
        headers,
        body: Some(body),
        run_state: RunState::Ran,
    }
}
