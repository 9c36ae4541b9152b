//! `POST /v1/pipelines/{pipeline}`: runs a pipeline.

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
        problem_response,
    },
    idempotency::{FinalResponse, ResponseSource, run_once, wait_for_response},
    run::{PipelineCall, PipelineResponse, RequestContext, run_pipeline},
    shared::Shared,
    streams::{self, StreamLog, StreamStart},
};

/// The body of a pipeline request.
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
    let pipeline = find_pipeline(&caller, &name)?;
    let deadline = caller.deadline(Duration::from_millis(pipeline.deadline_ms));
    let remaining = deadline.remaining(MonoTime::now());
    let wait = remaining.min(shared.timeouts.body_read);
    let body = read_body(body, shared.settings.max_body_bytes, wait).await?;
    if let Some(from) = &caller.headers.resume {
        return resume(shared, &caller, from, body, remaining).await;
    }
    let request = parse_request(&body)?;
    let call = PipelineCall {
        input: request.input,
        max_tokens: request.max_tokens,
        pipeline,
    };
    if !call.is_idempotent(&caller.view.config) {
        let delivery = Delivery {
            target: format!("pipeline/{name}"),
            body,
            deadline,
        };
        return call_with_key(shared, &caller, name, delivery, call).await;
    }
    let cx = caller.context(shared, Some(name), deadline, call.pipeline.priority);
    if caller.headers.wants_stream {
        return streams::start_stream(cx, call).await;
    }
    let result = run_pipeline(&cx, &call, None).await;
    cx.finish(result.as_ref().err());
    result.map(|response| json_response(&response))
}

fn find_pipeline(caller: &Caller, name: &PipelineName) -> Result<Pipeline, Failure> {
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

fn parse_request(body: &[u8]) -> Result<PipelineRequest, Failure> {
    let request: PipelineRequest = serde_json::from_slice(body)
        .map_err(|e| Failure::bad_request(format!("the body is not a pipeline request: {e}")))?;
    if request.max_tokens == Some(0) {
        return Err(Failure::bad_request("max_tokens must be above zero"));
    }
    Ok(request)
}

/// Sends the rest of a stream, from this instance or forwarded from the instance that retains it.
async fn resume(
    shared: &Arc<Shared>,
    caller: &Caller,
    from: &ResumeFrom,
    body: Bytes,
    remaining: Duration,
) -> Result<CallerResponse, Failure> {
    let entry = from.request.entry_instance().ok_or_else(|| {
        Failure::bad_request(format!(
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
    let request = keyed::forwarded_request(caller, body, remaining);
    let forwarded = shared
        .forwarder
        .forward(&shared.settings.me, address, request)
        .await;
    forwarded.map_err(|error| {
        log::warn!(instance = entry.as_str(), error = error.to_string().as_str(); "failed to forward a stream resume");
        streams::not_resumable()
    })
}

/// Runs a pipeline that has a non-idempotent stage.
async fn call_with_key(
    shared: &Arc<Shared>,
    caller: &Caller,
    name: PipelineName,
    delivery: Delivery,
    call: PipelineCall,
) -> Result<CallerResponse, Failure> {
    let deadline = delivery.deadline;
    let keyed_request = match keyed::route_delivery(shared, caller, delivery).await? {
        keyed::Routed::Local(keyed_request) => keyed_request,
        keyed::Routed::Forwarded(response) => return Ok(response),
    };
    let cx = caller.context(shared, Some(name), deadline, call.pipeline.priority);
    if caller.headers.wants_stream {
        return stream_with_key(cx, keyed_request, call).await;
    }
    let run = {
        let cx = cx.clone();
        move || async move { complete_response(&cx, &call).await }.boxed()
    };
    let source = run_once(&cx, keyed_request, run);
    keyed::respond(&cx, source).await
}

async fn complete_response(cx: &Arc<RequestContext>, call: &PipelineCall) -> FinalResponse {
    let result = run_pipeline(cx, call, None).await;
    cx.finish(result.as_ref().err());
    match result {
        Ok(response) => {
            let body = serde_json::to_vec(&response).unwrap_or_default();
            final_response(cx, "application/json", body.into())
        }
        Err(failure) => problem_response(&failure, &cx.id),
    }
}

/// Streams the run to the delivery that started it. Other deliveries get the complete response.
async fn stream_with_key(
    cx: Arc<RequestContext>,
    keyed_request: crate::idempotency::KeyedRequest,
    call: PipelineCall,
) -> Result<CallerResponse, Failure> {
    let log = Arc::new(StreamLog::new());
    let response = streams::stream_response(&log, 0, &cx.id)?;
    let run = {
        let (cx, log) = (cx.clone(), log.clone());
        move || async move { streamed_response(&cx, &call, &log).await }.boxed()
    };
    match run_once(&cx, keyed_request, run) {
        Ok(ResponseSource::Started(receiver)) => tokio::select! {
            biased;
            start = log.wait_for_start() => match start {
                StreamStart::Streaming => Ok(response),
                StreamStart::Failure(failure) => Err(failure),
            },
            // The claim was refused, so the stream never started.
            result = wait_for_response(&cx, receiver) => Ok(result?.to_response(&cx.id)),
        },
        source => keyed::respond(&cx, source).await,
    }
}

async fn streamed_response(
    cx: &Arc<RequestContext>,
    call: &PipelineCall,
    log: &Arc<StreamLog>,
) -> FinalResponse {
    match streams::run_into_stream(cx, call, log).await {
        Ok(response) => final_response(cx, "text/event-stream", to_events(&response)),
        Err(failure) => problem_response(&failure, &cx.id),
    }
}

/// Returns the complete stream of a response, with its text in one event.
fn to_events(response: &PipelineResponse) -> Bytes {
    let parts = [
        streams::text_event(1, &response.output),
        streams::done_event(response),
    ];
    parts.concat().into()
}

fn final_response(cx: &RequestContext, content_type: &'static str, body: Bytes) -> FinalResponse {
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
