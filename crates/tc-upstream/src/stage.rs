//! Calls to engines and pools that return a complete response.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, header, uri::PathAndQuery};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use tc_protocol::{
    Cost, Outcome, RunState, ServiceKind,
    wire::{CompletionRequest, CompletionResponse, LAST_EVENT_ID, PoolRequest, PoolResponse},
};
use tokio::time::Instant;

use crate::{
    call::{StageCall, StageResponse},
    call_context::CallContext,
    check::check_head,
    client::Shared,
    connection::Traffic,
    error::{CallError, CallErrorKind},
    exchange::{ReceivedResponse, Reuse, build_request, exchange},
    headers::CallHeaders,
    identity::Identity,
};

const COMPLETIONS_PATH: &str = "/v1/completions";
const RUN_PATH: &str = "/run";
const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Maximum size of an error response body that is read to the end so that the connection can be reused. Reading a
/// larger body is not worth it.
const MAX_DRAINED_BYTES: usize = 64 << 10;

/// Whether an engine sends its response as one body or as a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseMode {
    Complete,
    /// Server-sent events, starting after event `resume_after`.
    Stream {
        resume_after: u64,
    },
}

/// Makes a call and waits for the complete response.
pub(crate) async fn run_stage(
    shared: &Shared,
    call: StageCall,
) -> Result<StageResponse, CallError> {
    let context = CallContext::new(call.upstream.clone(), call.address, call.remaining);
    let identity = identity_of(&context, &call)?;
    let request = stage_request(&context, &identity, &call, ResponseMode::Complete)?;
    let mut received = exchange_checked(shared, &context, &call, &identity, request).await?;
    let first_byte = context.started.elapsed();
    let body = received
        .body
        .collect(context.deadline)
        .await
        .map_err(|failure| context.failed(&failure, RunState::Ran))?;
    let took = context.started.elapsed();
    let (output, cost) = match call.kind {
        ServiceKind::Engine => decode_completion(&context, &call, &body, took)?,
        ServiceKind::Pool | ServiceKind::Plain => decode_pool_response(&context, &call, &body)?,
    };
    Ok(StageResponse {
        output,
        cost,
        took,
        first_byte,
    })
}

pub(crate) fn identity_of(context: &CallContext, call: &StageCall) -> Result<Identity, CallError> {
    Identity::new(&call.request, &call.stage, call.attempt)
        .ok_or_else(|| context.unsendable("request or stage name cannot be put in a header"))
}

/// Sends the request and returns the response only if it is successful and names this call.
pub(crate) async fn exchange_checked(
    shared: &Shared,
    context: &CallContext,
    call: &StageCall,
    identity: &Identity,
    request: Request<Full<Bytes>>,
) -> Result<ReceivedResponse, CallError> {
    let mut received = exchange(shared, context, Reuse::Idle(Traffic::Calls), request).await?;
    let checked = check_head(context, call.kind, identity, &received.head);
    let wrong_identity = matches!(&checked, Err(e) if e.kind == CallErrorKind::WrongIdentity);
    if !wrong_identity && identity.compare(&received.head.headers) == crate::identity::Echo::Match {
        let idle = std::sync::Arc::clone(&shared.idle);
        received
            .body
            .reuse_in(idle, context.address, Traffic::Calls);
    }
    if let Err(error) = checked {
        if !wrong_identity {
            drain_error_body(&mut received, context.deadline).await;
        }
        return Err(error);
    }
    Ok(received)
}

/// Reads the body of an error response so that its connection can be reused. If this fails, the connection is closed.
async fn drain_error_body(received: &mut ReceivedResponse, deadline: Instant) {
    let size = received.body.size_hint().upper();
    if size.is_some_and(|size| size <= MAX_DRAINED_BYTES as u64) {
        let _ = received.body.collect(deadline).await;
    }
}

/// Builds the request of a stage call.
pub(crate) fn stage_request(
    context: &CallContext,
    identity: &Identity,
    call: &StageCall,
    mode: ResponseMode,
) -> Result<Request<Full<Bytes>>, CallError> {
    let mut headers = HeaderMap::with_capacity(12);
    CallHeaders {
        identity,
        priority: call.priority,
        idempotency_key: call.idempotency_key.as_deref(),
        traceparent: call.traceparent.as_deref(),
    }
    .add_to(&mut headers, context)?;
    headers.insert(header::CONTENT_TYPE, JSON);
    if let ResponseMode::Stream { resume_after } = mode {
        headers.insert(
            header::ACCEPT,
            HeaderValue::from_static("text/event-stream"),
        );
        if resume_after > 0 {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(resume_after));
        }
    }
    let (path, body) = match call.kind {
        ServiceKind::Engine => (COMPLETIONS_PATH, engine_body(context, call, mode)?),
        ServiceKind::Pool => (RUN_PATH, pool_body(context, call)?),
        ServiceKind::Plain => return Err(context.unsendable("a plain service runs no stage")),
    };
    build_request(
        context,
        Method::POST,
        PathAndQuery::from_static(path),
        headers,
        body,
    )
}

fn engine_body(
    context: &CallContext,
    call: &StageCall,
    mode: ResponseMode,
) -> Result<Bytes, CallError> {
    let Some(model) = &call.model else {
        return Err(context.unsendable("an engine call names no model"));
    };
    encode(
        context,
        &CompletionRequest {
            model: model.clone(),
            prompt: call.input.as_ref().to_owned(),
            max_tokens: call.max_tokens,
            stream: mode != ResponseMode::Complete,
            priority: call.priority,
        },
    )
}

fn pool_body(context: &CallContext, call: &StageCall) -> Result<Bytes, CallError> {
    encode(
        context,
        &PoolRequest {
            request_id: call.request.clone(),
            stage: call.stage.clone(),
            attempt: call.attempt,
            input: call.input.as_ref().to_owned(),
        },
    )
}

fn encode(context: &CallContext, body: &impl Serialize) -> Result<Bytes, CallError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|e| context.unsendable(e.to_string()))
}

fn decode<T: DeserializeOwned>(context: &CallContext, body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|e| context.malformed(RunState::Ran, e.to_string()))
}

fn decode_completion(
    context: &CallContext,
    call: &StageCall,
    body: &[u8],
    took: Duration,
) -> Result<(String, Cost), CallError> {
    let response: CompletionResponse = decode(context, body)?;
    if response.id != call.request {
        return Err(body_identity_mismatch(context));
    }
    let cost = Cost {
        tokens_in: response.usage.prompt_tokens,
        tokens_out: response.usage.completion_tokens,
        busy_ms: took.as_secs_f64() * 1_000.0,
    };
    let [choice] = <[_; 1]>::try_from(response.choices)
        .map_err(|choices| wrong_choice_count(context, choices.len()))?;
    Ok((choice.text, cost))
}

fn wrong_choice_count(context: &CallContext, found: usize) -> CallError {
    context.malformed(
        RunState::Ran,
        format!("one choice was asked for, {found} came"),
    )
}

fn decode_pool_response(
    context: &CallContext,
    call: &StageCall,
    body: &[u8],
) -> Result<(String, Cost), CallError> {
    let response: PoolResponse = decode(context, body)?;
    let matches = response.request_id == call.request
        && response.stage == call.stage
        && response.attempt == call.attempt;
    if !matches {
        return Err(body_identity_mismatch(context));
    }
    let cost = Cost {
        busy_ms: response.busy_ms.max(0.0),
        ..Cost::default()
    };
    Ok((response.output, cost))
}

/// Returns the error for a response whose headers name this call but whose body names another. It is then unknown
/// whether this call ran.
fn body_identity_mismatch(context: &CallContext) -> CallError {
    log::warn!(upstream = context.upstream.as_str(); "response dropped: its body names another call");
    context.error(
        CallErrorKind::WrongIdentity,
        RunState::Unknown,
        Outcome::Failed,
        "the body names another call",
    )
}
