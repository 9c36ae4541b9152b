//! Answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream::BoxStream};
use http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{ALLOW, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE},
};
use http_body::{Body, Frame, SizeHint};
use serde::Serialize;
use tc_protocol::{ProblemKind, RequestId, wire};

use crate::{connection::Taken, http::Failure, idempotency::FinalResponse, shared::InFlight};

/// Error that ends a body early.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// An answer to a caller.
pub(crate) type CallerResponse = Response<CallerBody>;

/// Body of an answer; keeps the request counted as in flight until it has been sent or dropped.
pub(crate) struct CallerBody {
    content: Content,
    in_flight: Option<InFlight>,
    taken: Option<Taken>,
}

enum Content {
    Whole(Option<Bytes>),
    Stream(BoxStream<'static, Result<Bytes, BodyError>>),
}

impl CallerBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            content: Content::Whole((!bytes.is_empty()).then_some(bytes)),
            in_flight: None,
            taken: None,
        }
    }

    pub(crate) fn stream(stream: BoxStream<'static, Result<Bytes, BodyError>>) -> Self {
        Self {
            content: Content::Stream(stream),
            in_flight: None,
            taken: None,
        }
    }

    pub(crate) fn hold(&mut self, in_flight: InFlight, taken: Taken) {
        self.in_flight = Some(in_flight);
        self.taken = Some(taken);
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Stream(stream) => stream
                .poll_next_unpin(cx)
                .map(|next| next.map(|chunk| chunk.map(Frame::data))),
        };
        if let Some(taken) = &mut self.taken {
            taken.polled(frame.is_ready());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer of status 200 with a JSON body.
pub(crate) fn json_response(value: &impl Serialize) -> CallerResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(CallerBody::whole(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The answer that tells a failure.
pub(crate) fn problem_answer(failure: &Failure, id: &RequestId) -> FinalResponse {
    let problem = failure.problem(id);
    let mut headers = HeaderMap::new();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(
        wire::RUN_STATE,
        HeaderValue::from_static(failure.run_state.as_str()),
    );
    if let Some(after) = failure.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
    }
    if let Some(methods) = failure.allow {
        headers.insert(ALLOW, HeaderValue::from_static(methods));
    }
    if failure.kind == ProblemKind::Unauthorized {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(wire::REQUEST_ID, value);
    }
    FinalResponse {
        status: StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        headers,
        body: Some(serde_json::to_vec(&problem).unwrap_or_default().into()),
        run_state: failure.run_state,
    }
}

/// Seconds for `Retry-After`, rounded up so that the caller is not back too early.
fn whole_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}
