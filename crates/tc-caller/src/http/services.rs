//! `/v1/services/{service}/{path}`: plain services.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::{FutureExt, StreamExt, stream};
use http::{Method, Response, uri::PathAndQuery};
use hyper::body::Incoming;
use tc_protocol::{MonoTime, ProblemKind, RunState, Service, ServiceKind, ServiceName};

use crate::{
    http::{
        CallerBody, CallerResponse, Failure,
        body::read_body,
        caller::Caller,
        keyed::{self, Delivery},
        problem_answer,
    },
    idempotency::{FinalResponse, run_once},
    limits::{MAX_KEPT_ANSWER_BYTES, PLAIN_PRIORITY, PLAIN_TIMEOUT},
    run::{AnswerBody, PlainAnswer, PlainRequest, RequestContext, run_plain},
    shared::Shared,
};

pub(crate) async fn call_service(
    shared: &Arc<Shared>,
    caller: Caller,
    name: ServiceName,
    path: &str,
    body: &mut Incoming,
) -> Result<CallerResponse, Failure> {
    let service = find(&caller, &name)?;
    let deadline = caller.deadline(longest(&caller));
    let remaining = deadline.remaining(MonoTime::now());
    let wait = remaining.min(shared.timeouts.body_read);
    let body = read_body(body, shared.settings.max_body_bytes, wait).await?;
    let request = request(&caller, &service, name, path, body.clone())?;
    if !request.idempotent {
        let delivery = Delivery {
            target: format!("service/{}{path}", request.service),
            body,
            deadline,
        };
        let keyed = match keyed::place(shared, &caller, delivery).await? {
            keyed::Placed::Here(keyed) => keyed,
            keyed::Placed::Answered(response) => return Ok(response),
        };
        let cx = caller.context(shared, None, deadline, PLAIN_PRIORITY);
        let run = {
            let cx = cx.clone();
            move || async move { whole_answer(&cx, &request, &service).await }.boxed()
        };
        let begun = run_once(&cx, keyed, run);
        return keyed::answer(&cx, begun).await;
    }
    let cx = caller.context(shared, None, deadline, PLAIN_PRIORITY);
    match run_plain(&cx, &request, &service).await {
        Ok(answer) => Ok(streamed(answer)),
        Err(failure) => {
            cx.finish(Some(&failure));
            Err(failure)
        }
    }
}

/// Longest time a call may take; a caller may ask for more than the default.
fn longest(caller: &Caller) -> std::time::Duration {
    caller.headers.timeout.unwrap_or(PLAIN_TIMEOUT)
}

fn find(caller: &Caller, name: &ServiceName) -> Result<Service, Failure> {
    let known = caller.view.config.services.get(name);
    known
        .filter(|service| service.kind == ServiceKind::Plain)
        .cloned()
        .ok_or_else(|| Failure::not_run(ProblemKind::NotFound, format!("no plain service {name}")))
}

fn request(
    caller: &Caller,
    service: &Service,
    name: ServiceName,
    path: &str,
    body: Bytes,
) -> Result<PlainRequest, Failure> {
    let method = caller.parts.method.clone();
    let path = PathAndQuery::try_from(path)
        .map_err(|e| Failure::bad(format!("the path cannot be passed on: {e}")))?;
    Ok(PlainRequest {
        idempotent: service.idempotent || method == Method::GET || method == Method::HEAD,
        service: name,
        method,
        path,
        headers: caller.parts.headers.clone(),
        body,
    })
}

/// Passes the answer on as it comes.
fn streamed(answer: PlainAnswer) -> CallerResponse {
    let chunks = stream::unfold(Some(answer.body), |body| async move {
        let mut body = body?;
        match body.next().await? {
            Ok(chunk) => Some((Ok(chunk), Some(body))),
            // The connection is broken off, so that the caller can't take the part for the whole.
            Err(failure) => Some((Err(failure.into()), None)),
        }
    });
    let mut response = Response::new(CallerBody::stream(chunks.boxed()));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// The answer as a whole, so that other deliveries of the key get the same.
async fn whole_answer(
    cx: &Arc<RequestContext>,
    request: &PlainRequest,
    service: &Service,
) -> FinalResponse {
    let collected = match run_plain(cx, request, service).await {
        Ok(answer) => collect(cx, answer).await,
        Err(failure) => Err(failure),
    };
    cx.finish(collected.as_ref().err());
    collected.unwrap_or_else(|failure| problem_answer(&failure, &cx.id))
}

async fn collect(cx: &RequestContext, answer: PlainAnswer) -> Result<FinalResponse, Failure> {
    let body = collect_body(cx, answer.body).await?;
    Ok(FinalResponse {
        status: answer.status,
        headers: answer.headers,
        body: Some(body),
        run_state: RunState::Ran,
    })
}

async fn collect_body(cx: &RequestContext, mut body: AnswerBody) -> Result<Bytes, Failure> {
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.next().await {
        whole.extend_from_slice(&chunk?);
        if whole.len() > MAX_KEPT_ANSWER_BYTES {
            cx.note_run_state(RunState::Ran);
            return Err(cx.failure(
                ProblemKind::UpstreamFailed,
                "the answer is larger than may be kept for a request that must not be repeated",
            ));
        }
    }
    Ok(whole.freeze())
}
