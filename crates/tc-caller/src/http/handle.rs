//! The request handler.

use std::sync::Arc;

use http::{
    HeaderMap, HeaderValue, Request, Version,
    header::{CONNECTION, Entry},
    request::Parts,
};
use hyper::body::Incoming;
use tc_protocol::{MonoTime, RequestId, wire};
use tracing::Instrument;

use crate::{
    connection::ResponseProgress,
    http::{
        CallerResponse, Failure,
        addresses::addresses,
        body::drain,
        caller::{Arrival, Caller},
        pipelines::call_pipeline,
        problem_response,
        route::{Route, route},
        services::call_service,
    },
    shared::Shared,
};

pub(crate) async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    progress: ResponseProgress,
) -> CallerResponse {
    let (id, counter) = shared.next_request_id();
    let in_flight = shared.track_request();
    let version = req.version();
    let span = tracing::info_span!("request", request = %id);
    if let Some(Ok(parent)) = req
        .headers()
        .get(wire::TRACEPARENT)
        .map(HeaderValue::to_str)
    {
        tc_telemetry::set_parent(&span, parent);
    }
    let arrival = Arrival {
        id: id.clone(),
        counter,
        at: MonoTime::now(),
    };
    let result = respond(&shared, arrival, req).instrument(span).await;
    let mut response = result.unwrap_or_else(|failure| {
        metrics::counter!("tc_failures_total", "kind" => failure.kind.as_str()).increment(1);
        problem_response(&failure, &id).into_response()
    });
    finish_headers(response.headers_mut(), &shared, &id, version);
    response.body_mut().track(in_flight, progress);
    response
}

fn finish_headers(headers: &mut HeaderMap, shared: &Shared, id: &RequestId, version: Version) {
    // Responses forwarded from another instance already have these headers.
    insert_if_absent(headers, wire::REQUEST_ID, id.as_str());
    insert_if_absent(headers, wire::INSTANCE, shared.settings.me.as_str());
    if shared.is_closing() && version <= Version::HTTP_11 {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Inserts a header unless it is already present.
fn insert_if_absent(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Entry::Vacant(vacant) = headers.entry(name)
        && let Ok(value) = HeaderValue::from_str(value)
    {
        vacant.insert(value);
    }
}

async fn respond(
    shared: &Arc<Shared>,
    arrival: Arrival,
    req: Request<Incoming>,
) -> Result<CallerResponse, Failure> {
    let (parts, mut body) = req.into_parts();
    let result = dispatch(shared, arrival, parts, &mut body).await;
    drain(body).await;
    result
}

async fn dispatch(
    shared: &Arc<Shared>,
    arrival: Arrival,
    parts: Parts,
    body: &mut Incoming,
) -> Result<CallerResponse, Failure> {
    let route = route(&parts.method, &parts.uri)?;
    let caller = Caller::authenticate(shared, arrival, parts)?;
    match route {
        Route::Addresses => addresses(shared, &caller),
        Route::Pipeline(name) => call_pipeline(shared, caller, name, body).await,
        Route::Service { service, path } => {
            call_service(shared, caller, service, &path, body).await
        }
    }
}
