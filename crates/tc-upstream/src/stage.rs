//! Whole answers of engines and pools.

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
    check::check_head,
    client::Shared,
    connection::Traffic,
    error::{CallError, CallErrorKind},
    exchange::{Exchanged, Reuse, build_request, exchange},
    headers::CallHeaders,
    identity::Identity,
    site::CallSite,
};

const COMPLETIONS_PATH: &str = "/v1/completions";
const RUN_PATH: &str = "/run";
const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Reading an error answer's body to its end keeps the connection; more than this is not worth it.
const LARGEST_ERROR_BODY: usize = 64 << 10;

/// How an engine is asked to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerForm {
    Whole,
    /// Server-sent events after this one.
    Stream {
        resume_after: u64,
    },
}

/// Makes a call and waits for its whole answer.
pub(crate) async fn run_stage(
    shared: &Shared,
    call: StageCall,
) -> Result<StageResponse, CallError> {
    let site = CallSite::new(call.upstream.clone(), call.address, call.remaining);
    let identity = identity_of(&site, &call)?;
    let request = stage_request(&site, &identity, &call, AnswerForm::Whole)?;
    let mut exchanged = exchange_checked(shared, &site, &call, &identity, request).await?;
    let first_byte = site.started.elapsed();
    let body = exchanged
        .answer
        .collect(site.deadline)
        .await
        .map_err(|failure| site.failed(&failure, RunState::Ran))?;
    let took = site.started.elapsed();
    let (output, cost) = match call.kind {
        ServiceKind::Engine => completion(&site, &call, &body, took)?,
        ServiceKind::Pool | ServiceKind::Plain => pool_result(&site, &call, &body)?,
    };
    Ok(StageResponse {
        output,
        cost,
        took,
        first_byte,
    })
}

pub(crate) fn identity_of(site: &CallSite, call: &StageCall) -> Result<Identity, CallError> {
    Identity::new(&call.request, &call.stage, call.attempt)
        .ok_or_else(|| site.unsendable("request or stage name cannot be put in a header"))
}

/// Sends the request and passes only a successful answer to it.
pub(crate) async fn exchange_checked(
    shared: &Shared,
    site: &CallSite,
    call: &StageCall,
    identity: &Identity,
    request: Request<Full<Bytes>>,
) -> Result<Exchanged, CallError> {
    let mut exchanged = exchange(shared, site, Reuse::Kept(Traffic::Calls), request).await?;
    let checked = check_head(site, call.kind, identity, &exchanged.head);
    let foreign = matches!(&checked, Err(e) if e.kind == CallErrorKind::WrongIdentity);
    if !foreign && identity.compare(&exchanged.head.headers) == crate::identity::Echo::Ours {
        let idle = std::sync::Arc::clone(&shared.idle);
        exchanged
            .answer
            .return_to(idle, site.address, Traffic::Calls);
    }
    if let Err(error) = checked {
        if !foreign {
            drain(&mut exchanged, site.deadline).await;
        }
        return Err(error);
    }
    Ok(exchanged)
}

/// Reads an error answer's body so that its connection can be kept; a failure only costs the connection.
async fn drain(exchanged: &mut Exchanged, deadline: Instant) {
    let size = exchanged.answer.size_hint().upper();
    if size.is_some_and(|size| size <= LARGEST_ERROR_BODY as u64) {
        let _ = exchanged.answer.collect(deadline).await;
    }
}

/// Builds the request for a stage.
pub(crate) fn stage_request(
    site: &CallSite,
    identity: &Identity,
    call: &StageCall,
    form: AnswerForm,
) -> Result<Request<Full<Bytes>>, CallError> {
    let mut headers = HeaderMap::with_capacity(12);
    CallHeaders {
        identity,
        priority: call.priority,
        idempotency_key: call.idempotency_key.as_deref(),
        traceparent: call.traceparent.as_deref(),
    }
    .add_to(&mut headers, site)?;
    headers.insert(header::CONTENT_TYPE, JSON);
    if let AnswerForm::Stream { resume_after } = form {
        headers.insert(
            header::ACCEPT,
            HeaderValue::from_static("text/event-stream"),
        );
        if resume_after > 0 {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(resume_after));
        }
    }
    let (path, body) = match call.kind {
        ServiceKind::Engine => (COMPLETIONS_PATH, engine_body(site, call, form)?),
        ServiceKind::Pool => (RUN_PATH, pool_body(site, call)?),
        ServiceKind::Plain => return Err(site.unsendable("a plain service runs no stage")),
    };
    build_request(
        site,
        Method::POST,
        PathAndQuery::from_static(path),
        headers,
        body,
    )
}

fn engine_body(site: &CallSite, call: &StageCall, form: AnswerForm) -> Result<Bytes, CallError> {
    let Some(model) = &call.model else {
        return Err(site.unsendable("an engine call names no model"));
    };
    encode(
        site,
        &CompletionRequest {
            model: model.clone(),
            prompt: call.input.as_ref().to_owned(),
            max_tokens: call.max_tokens,
            stream: form != AnswerForm::Whole,
            priority: call.priority,
        },
    )
}

fn pool_body(site: &CallSite, call: &StageCall) -> Result<Bytes, CallError> {
    encode(
        site,
        &PoolRequest {
            request_id: call.request.clone(),
            stage: call.stage.clone(),
            attempt: call.attempt,
            input: call.input.as_ref().to_owned(),
        },
    )
}

fn encode(site: &CallSite, body: &impl Serialize) -> Result<Bytes, CallError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|e| site.unsendable(e.to_string()))
}

fn decode<T: DeserializeOwned>(site: &CallSite, body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|e| site.malformed(RunState::Ran, e.to_string()))
}

fn completion(
    site: &CallSite,
    call: &StageCall,
    body: &[u8],
    took: Duration,
) -> Result<(String, Cost), CallError> {
    let response: CompletionResponse = decode(site, body)?;
    if response.id != call.request {
        return Err(wrong_body(site));
    }
    let cost = Cost {
        tokens_in: response.usage.prompt_tokens,
        tokens_out: response.usage.completion_tokens,
        busy_ms: took.as_secs_f64() * 1_000.0,
    };
    let [choice] =
        <[_; 1]>::try_from(response.choices).map_err(|choices| one_choice(site, choices.len()))?;
    Ok((choice.text, cost))
}

fn one_choice(site: &CallSite, found: usize) -> CallError {
    site.malformed(
        RunState::Ran,
        format!("one choice was asked for, {found} came"),
    )
}

fn pool_result(
    site: &CallSite,
    call: &StageCall,
    body: &[u8],
) -> Result<(String, Cost), CallError> {
    let response: PoolResponse = decode(site, body)?;
    let same = response.request_id == call.request
        && response.stage == call.stage
        && response.attempt == call.attempt;
    if !same {
        return Err(wrong_body(site));
    }
    let cost = Cost {
        busy_ms: response.busy_ms.max(0.0),
        ..Cost::default()
    };
    Ok((response.output, cost))
}

/// The headers name this call but the body another: nothing is known of our own run.
fn wrong_body(site: &CallSite) -> CallError {
    log::warn!(upstream = site.upstream.as_str(); "answer dropped: its body is for another call");
    site.error(
        CallErrorKind::WrongIdentity,
        RunState::Unknown,
        Outcome::Failed,
        "the body names another call",
    )
}
