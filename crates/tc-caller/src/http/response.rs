//! Responses to callers.

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

use crate::{
    connection::ResponseProgress, http::Failure, idempotency::FinalResponse, shared::InFlightGuard,
};

/// An error that ends a body prematurely.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// A response to a caller.
pub(crate) type CallerResponse = Response<CallerBody>;

/// The body of a response. The request counts as in flight until the body has been sent or dropped.
pub(crate) struct CallerBody {
    content: Content,
    in_flight: Option<InFlightGuard>,
    progress: Option<ResponseProgress>,
}

enum Content {
    Full(Option<Bytes>),
    Stream(BoxStream<'static, Result<Bytes, BodyError>>),
}

impl CallerBody {
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            content: Content::Full((!bytes.is_empty()).then_some(bytes)),
            in_flight: None,
            progress: None,
        }
    }

    pub(crate) fn stream(stream: BoxStream<'static, Result<Bytes, BodyError>>) -> Self {
        Self {
            content: Content::Stream(stream),
            in_flight: None,
            progress: None,
        }
    }

    /// Keeps the request counted as in flight, and tracks how far the caller has read the body.
    pub(crate) fn track(&mut self, in_flight: InFlightGuard, progress: ResponseProgress) {
        self.in_flight = Some(in_flight);
        self.progress = Some(progress);
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
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Stream(stream) => stream
                .poll_next_unpin(cx)
                .map(|next| next.map(|chunk| chunk.map(Frame::data))),
        };
        if let Some(progress) = &mut self.progress {
            progress.polled(frame.is_ready());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates a response with status 200 and a JSON body.
pub(crate) fn json_response(value: &impl Serialize) -> CallerResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(CallerBody::full(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Creates the problem details response for a failure.
pub(crate) fn problem_response(failure: &Failure, id: &RequestId) -> FinalResponse {
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

/// Converts to seconds for `Retry-After`, rounded up so that the caller does not retry too early.
fn whole_seconds(after: Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}
