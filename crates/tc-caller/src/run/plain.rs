//! Calls to plain services.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header::CONTENT_LENGTH, uri::PathAndQuery};
use http_body_util::BodyExt;
use tc_protocol::{Outcome, ProblemKind, RunState, Service, ServiceName};
use tc_upstream::{CallError, PlainBody, PlainCall, PlainResponse};
use tracing::Instrument;

use crate::{
    http::Failure,
    run::{
        admission::{admit, start_request},
        attempt::{AttemptSuccess, CallTarget, settle_failed},
        context::RequestContext,
        dispatch::{Attempts, Dispatch},
        permit_guard::{CallEnd, PermitGuard},
        plan::{InputProperties, StagePlan},
    },
    trace,
};

/// A caller's request to a plain service.
pub(crate) struct PlainRequest {
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether this call may be repeated without duplicating its effect.
    pub(crate) idempotent: bool,
}

/// A response whose body is still being received.
pub(crate) struct PlainServiceResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: PlainServiceBody,
}

/// The body of a plain service's response. Settles the permit when the body ends.
pub(crate) struct PlainServiceBody {
    cx: Arc<RequestContext>,
    input_properties: InputProperties,
    body: PlainBody,
    permit_guard: Option<PermitGuard>,
    outcome: Outcome,
    /// Number of bytes still to be received, if the response declared its length.
    remaining_bytes: Option<u64>,
}

impl PlainServiceBody {
    /// Returns the next chunk, or `None` at the end of the body.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    // Trailers are not forwarded.
                    if let Ok(data) = frame.into_data() {
                        self.record_received(data.len() as u64).await;
                        return Some(Ok(data));
                    }
                }
                Some(Err(error)) => return Some(Err(self.fail(&error).await)),
                None => {
                    self.complete();
                    return None;
                }
            }
        }
    }

    /// Counts received bytes, and polls for the end of a body of known length together with its last byte.
    ///
    /// The HTTP server stops polling such a body once it has all bytes. If the end were left to the next poll, it would
    /// never be reached, and a completed request would be recorded as abandoned by its caller.
    async fn record_received(&mut self, bytes: u64) {
        self.remaining_bytes = self
            .remaining_bytes
            .map(|remaining| remaining.saturating_sub(bytes));
        if self.remaining_bytes == Some(0) && self.body.frame().await.is_none() {
            self.complete();
        }
    }

    fn complete(&mut self) {
        let Some(permit_guard) = self.permit_guard.take() else {
            return;
        };
        let cost = permit_guard.time_cost();
        permit_guard.settle(&CallEnd {
            outcome: self.outcome,
            run_state: RunState::Ran,
            cost,
            wasted: false,
        });
        (self.cx.shared.ports.report_completed)(self.input_properties.fingerprint);
        self.cx.finish(None);
    }

    async fn fail(&mut self, error: &CallError) -> Failure {
        if let Some(permit_guard) = self.permit_guard.take() {
            settle_failed(&self.cx, &self.input_properties, permit_guard, error).await;
        }
        self.cx.record_run_state(RunState::Ran);
        let detail = format!("the answer broke off: {error}");
        let failure = self.cx.failure(ProblemKind::UpstreamFailed, detail);
        self.cx.finish(Some(&failure));
        failure
    }
}

/// Calls a plain service. Returns once the response headers have been received.
pub(crate) async fn run_plain(
    cx: &Arc<RequestContext>,
    request: &PlainRequest,
    service: &Service,
) -> Result<PlainServiceResponse, Failure> {
    let span = tracing::info_span!("stage", stage = %request.service, service = %request.service);
    let run = dispatch(cx, request, service).instrument(span);
    let run = tokio::time::timeout(cx.remaining(), run).await;
    run.unwrap_or_else(|_| Err(cx.deadline_exceeded()))
}

async fn dispatch(
    cx: &Arc<RequestContext>,
    request: &PlainRequest,
    service: &Service,
) -> Result<PlainServiceResponse, Failure> {
    let stage = request.service.as_str().into();
    let mut plan = StagePlan::new(
        &cx.shared.policies,
        &cx.view.config,
        (&stage, &request.service, service),
        request.body.len(),
        0,
    );
    plan.idempotent = request.idempotent;
    start_request(cx)?;
    admit(cx, std::slice::from_ref(&plan))?;
    let input_properties = InputProperties::of(cx, &plan, &fingerprint_input(request));
    let rest = [plan.timing];
    let dispatch = Dispatch {
        cx,
        plan: &plan,
        input_properties: &input_properties,
        rest: &rest,
        until_result: &plan.timing,
    };
    let started = std::time::Instant::now();
    let success = dispatch
        .run(&mut Attempts::default(), |target| {
            let call = plain_call(cx, request, &plan, target);
            cx.shared.upstream.forward(call)
        })
        .await?;
    plan.policy.record(plan.class, started.elapsed());
    Ok(start_response(cx, request, input_properties, success).await)
}

/// Converts the upstream's response to one that holds the permit until the body has ended.
async fn start_response(
    cx: &Arc<RequestContext>,
    request: &PlainRequest,
    input_properties: InputProperties,
    mut success: AttemptSuccess<PlainResponse>,
) -> PlainServiceResponse {
    let PlainResponse {
        status,
        headers,
        body,
        outcome,
        first_byte,
    } = success.value;
    success.permit_guard.record_first_byte(first_byte);
    let mut body = PlainServiceBody {
        cx: cx.clone(),
        input_properties,
        remaining_bytes: body_length(request, status, &headers),
        body,
        permit_guard: Some(success.permit_guard),
        outcome,
    };
    body.record_received(0).await;
    PlainServiceResponse {
        status,
        headers,
        body,
    }
}

/// Returns the length of a response body, if it is known in advance.
fn body_length(request: &PlainRequest, status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    if bodiless || request.method == Method::HEAD {
        return Some(0);
    }
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Returns the input for the fingerprint: method, path and body, which distinguish calls with different effects on an
/// upstream.
fn fingerprint_input(request: &PlainRequest) -> Vec<u8> {
    let parts = [request.method.as_str(), " ", request.path.as_str(), "\n"];
    let mut bytes = parts.concat().into_bytes();
    bytes.extend_from_slice(&request.body);
    bytes
}

fn plain_call(
    cx: &RequestContext,
    request: &PlainRequest,
    plan: &StagePlan,
    target: CallTarget,
) -> PlainCall {
    PlainCall {
        upstream: target.upstream,
        address: target.address,
        request: cx.id.clone(),
        stage: plan.stage.clone(),
        attempt: target.attempt,
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        body: request.body.clone(),
        priority: cx.priority,
        remaining: target.remaining,
        idempotency_key: if plan.idempotent {
            None
        } else {
            cx.key.clone()
        },
        traceparent: Some(trace::outgoing(&cx.caller_trace)),
    }
}
