//! Answers that the gateway gives itself, and what each one tells the caller about whether the request ran.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use tc_protocol::routing::StageRefusal;

use super::{AnswerBody, RoutedRequest, full_body};
use crate::codec::PlatformCodec;

/// Default `Retry-After`: about the time until a failed or full upstream is detected and others have taken over.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// `Retry-After` for a request with too many pieces, which can be served only after upstreams were added.
const TOO_MANY_PIECES_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Reason why a request ends without an answer from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) retry_after: Option<Duration>,
    /// Whether the request was refused for want of room, so that it may be given a time at which there will be some.
    pub(crate) awaits_room: bool,
    /// Reason for logs, metrics and the answer's body.
    pub(crate) reason: &'static str,
}

impl Refusal {
    /// The request has not run and will not. Use it only if no upstream can have started the request.
    pub(crate) fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry_after),
            awaits_room: false,
            reason,
        }
    }

    /// The request has not run because no upstream has room for it.
    pub(crate) fn awaiting_room(reason: &'static str) -> Self {
        Self {
            awaits_room: true,
            ..Self::not_run_transient(reason)
        }
    }

    /// The request has not run, for a reason that is expected to pass soon.
    pub(crate) fn not_run_transient(reason: &'static str) -> Self {
        Self::not_run(reason, DEFAULT_RETRY_AFTER)
    }

    /// The request may have run.
    pub(crate) fn outcome_unknown(reason: &'static str) -> Self {
        Self::without_retry(StatusCode::BAD_GATEWAY, reason)
    }

    /// The request timed out and may have run.
    pub(crate) fn timed_out() -> Self {
        Self::without_retry(
            StatusCode::GATEWAY_TIMEOUT,
            "no answer within the time allowed",
        )
    }

    /// A refusal without `Retry-After`.
    pub(crate) fn without_retry(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            awaits_room: false,
            reason,
        }
    }

    pub(crate) fn log(&self, req: &RoutedRequest) {
        log::info!(
            request = &*req.head.request,
            route = &*req.route.name,
            status = self.status.as_u16(),
            reason = self.reason,
            after_ms = req.arrived.elapsed().as_millis() as u64;
            "request ended without an upstream's answer"
        );
    }
}

impl From<StageRefusal> for Refusal {
    /// A request whose stages were not made has not run, whatever happened to their pieces.
    fn from(refusal: StageRefusal) -> Self {
        match refusal {
            StageRefusal::Overloaded { retry_after } => {
                Self::not_run("a stage before the request has too much to do", retry_after)
            }
            StageRefusal::InputGone => Self::not_run_transient("results of a stage were lost"),
            StageRefusal::Failed => Self::not_run_transient("a stage before the request failed"),
            StageRefusal::Late => Self::not_run_transient("a stage could not be done in time"),
            StageRefusal::TooManyPieces => Self::not_run(
                "a stage has more pieces than its upstreams can make in time",
                TOO_MANY_PIECES_RETRY_AFTER,
            ),
            StageRefusal::Moved => Self::not_run_transient("the home of a stage moves"),
            StageRefusal::NoUpstream => Self::not_run_transient("no upstream of a stage is known"),
        }
    }
}

/// Builds the answer for a refusal and counts it.
pub(crate) fn refusal_answer(
    codec: &PlatformCodec,
    request: &str,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    let status = refusal.status.as_str().to_owned();
    metrics::counter!("tc_routed_refusals_total", "status" => status, "reason" => refusal.reason)
        .increment(1);
    let body = serde_json::json!({ "status": refusal.status.as_u16(), "detail": refusal.reason });
    let mut answer = Response::new(full_body(Bytes::from(body.to_string())));
    *answer.status_mut() = refusal.status;
    *answer.headers_mut() = (codec.own_headers)(request);
    let json = HeaderValue::from_static("application/problem+json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        // Digits and a dot always form a valid header value.
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
