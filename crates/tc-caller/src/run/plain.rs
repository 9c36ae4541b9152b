//! A call to a plain service.

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

/// What a caller wants of a plain service.
pub(crate) struct PlainRequest {
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether this call may be repeated without doubling an effect.
    pub(crate) idempotent: bool,
}

/// An answer whose body is still to come.
pub(crate) struct PlainServiceResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: PlainServiceBody,
}

/// The body of a plain service's answer, settling its permit when it ends.
pub(crate) struct PlainServiceBody {
    cx: Arc<RequestContext>,
    input_properties: InputProperties,
    body: PlainBody,
    permit_guard: Option<PermitGuard>,
    outcome: Outcome,
    /// Bytes still to come, where the answer told its length.
    remaining_bytes: Option<u64>,
}

impl PlainServiceBody {
    /// The next chunk; `None` after the last.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
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

    /// Counts what arrived, and takes the end of an answer of known length together with its last byte.
    ///
    /// The sender of such an answer stops asking once it has all of it. Left for the next call, the end would never be
    /// seen, and an answered request would count as left by its caller.
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

/// Calls a plain service; done once the answer's headers are there.
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

/// The answer that `success` began; its permit is held until the body has ended.
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

/// Bytes of an answer's body, where that is known before it comes.
fn body_length(request: &PlainRequest, status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    if bodiless || request.method == Method::HEAD {
        return Some(0);
    }
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Bytes that tell calls apart which would do different things to an upstream.
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
