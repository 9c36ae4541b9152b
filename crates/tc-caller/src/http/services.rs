//! `/v1/services/{service}/{path}`: calls a plain service.

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
        problem_response,
    },
    idempotency::{FinalResponse, run_once},
    limits::{DEFAULT_PLAIN_PRIORITY, DEFAULT_PLAIN_TIMEOUT, MAX_BUFFERED_RESPONSE_BYTES},
    run::{PlainRequest, PlainServiceBody, PlainServiceResponse, RequestContext, run_plain},
    shared::Shared,
};

pub(crate) async fn call_service(
    shared: &Arc<Shared>,
    caller: Caller,
    name: ServiceName,
    path: &str,
    body: &mut Incoming,
) -> Result<CallerResponse, Failure> {
    let service = find_service(&caller, &name)?;
    let deadline = caller.deadline(max_duration(&caller));
    let remaining = deadline.remaining(MonoTime::now());
    let wait = remaining.min(shared.timeouts.body_read);
    let body = read_body(body, shared.settings.max_body_bytes, wait).await?;
    let request = plain_request(&caller, &service, name, path, body.clone())?;
    if !request.idempotent {
        let delivery = Delivery {
            target: format!("service/{}{path}", request.service),
            body,
            deadline,
        };
        let keyed_request = match keyed::route_delivery(shared, &caller, delivery).await? {
            keyed::Routed::Local(keyed_request) => keyed_request,
            keyed::Routed::Forwarded(response) => return Ok(response),
        };
        let cx = caller.context(shared, None, deadline, DEFAULT_PLAIN_PRIORITY);
        let run = {
            let cx = cx.clone();
            move || async move { complete_response(&cx, &request, &service).await }.boxed()
        };
        let source = run_once(&cx, keyed_request, run);
        return keyed::respond(&cx, source).await;
    }
    let cx = caller.context(shared, None, deadline, DEFAULT_PLAIN_PRIORITY);
    match run_plain(&cx, &request, &service).await {
        Ok(response) => Ok(stream_response(response)),
        Err(failure) => {
            cx.finish(Some(&failure));
            Err(failure)
        }
    }
}

/// Returns the maximum duration of a call. Callers may request more than the default.
fn max_duration(caller: &Caller) -> std::time::Duration {
    caller.headers.timeout.unwrap_or(DEFAULT_PLAIN_TIMEOUT)
}

fn find_service(caller: &Caller, name: &ServiceName) -> Result<Service, Failure> {
    let known = caller.view.config.services.get(name);
    known
        .filter(|service| service.kind == ServiceKind::Plain)
        .cloned()
        .ok_or_else(|| Failure::not_run(ProblemKind::NotFound, format!("no plain service {name}")))
}

fn plain_request(
    caller: &Caller,
    service: &Service,
    name: ServiceName,
    path: &str,
    body: Bytes,
) -> Result<PlainRequest, Failure> {
    let method = caller.parts.method.clone();
    let path = PathAndQuery::try_from(path)
        .map_err(|e| Failure::bad_request(format!("the path cannot be passed on: {e}")))?;
    Ok(PlainRequest {
        idempotent: service.idempotent || method == Method::GET || method == Method::HEAD,
        service: name,
        method,
        path,
        headers: caller.parts.headers.clone(),
        body,
    })
}

/// Streams the response to the caller as it is received.
fn stream_response(received: PlainServiceResponse) -> CallerResponse {
    let chunks = stream::unfold(Some(received.body), |body| async move {
        let mut body = body?;
        match body.next().await? {
            Ok(chunk) => Some((Ok(chunk), Some(body))),
            // Aborts the connection, so that the caller does not mistake a partial response for a complete one.
            Err(failure) => Some((Err(failure.into()), None)),
        }
    });
    let mut response = Response::new(CallerBody::stream(chunks.boxed()));
    *response.status_mut() = received.status;
    *response.headers_mut() = received.headers;
    response
}

/// Returns the complete response, so that other deliveries of the key get the same one.
async fn complete_response(
    cx: &Arc<RequestContext>,
    request: &PlainRequest,
    service: &Service,
) -> FinalResponse {
    let collected = match run_plain(cx, request, service).await {
        Ok(response) => collect(cx, response).await,
        Err(failure) => Err(failure),
    };
    cx.finish(collected.as_ref().err());
    collected.unwrap_or_else(|failure| problem_response(&failure, &cx.id))
}

async fn collect(
    cx: &RequestContext,
    response: PlainServiceResponse,
) -> Result<FinalResponse, Failure> {
    let body = collect_body(cx, response.body).await?;
    Ok(FinalResponse {
        status: response.status,
        headers: response.headers,
        body: Some(body),
        run_state: RunState::Ran,
    })
}

async fn collect_body(cx: &RequestContext, mut body: PlainServiceBody) -> Result<Bytes, Failure> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.next().await {
        bytes.extend_from_slice(&chunk?);
        if bytes.len() > MAX_BUFFERED_RESPONSE_BYTES {
            cx.record_run_state(RunState::Ran);
            return Err(cx.failure(
                ProblemKind::UpstreamFailed,
                "the answer is larger than may be kept for a request that must not be repeated",
            ));
        }
    }
    Ok(bytes.freeze())
}
