//! A complete response, stored so that a resent request gets the same one.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use tc_protocol::{ProblemKind, RecordedOutcome, RequestId, RunState};

use crate::{
    http::{CallerBody, CallerResponse, Failure, problem_response},
    limits::MAX_RECORDED_BYTES,
};

/// The complete response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// The body, or `None` if it was too large to store.
    pub body: Option<Bytes>,
    /// Whether an upstream ran the request.
    pub run_state: RunState,
}

impl FinalResponse {
    /// Returns the approximate memory use, in bytes.
    ///
    /// ```
    /// use tc_caller::FinalResponse;
    /// let response = FinalResponse {
    ///     status: http::StatusCode::OK,
    ///     headers: http::HeaderMap::new(),
    ///     body: Some("done".into()),
    ///     run_state: tc_protocol::RunState::Ran,
    /// };
    /// assert_eq!(response.size(), 4);
    /// assert_eq!(response.without_body().size(), 0);
    /// ```
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        headers + self.body.as_ref().map_or(0, Bytes::len)
    }

    /// Returns a copy without the body.
    #[must_use]
    pub fn without_body(&self) -> Self {
        Self {
            body: None,
            ..self.clone()
        }
    }

    /// Converts the response to the form in which the platform's store keeps it. A body that is too large or not UTF-8
    /// is left out.
    pub(crate) fn to_recorded(&self) -> RecordedOutcome {
        let text = |bytes: &Bytes| String::from_utf8(bytes.to_vec()).ok();
        let small = |bytes: &&Bytes| bytes.len() <= MAX_RECORDED_BYTES;
        RecordedOutcome {
            status: self.status.as_u16(),
            content_type: self
                .headers
                .get(CONTENT_TYPE)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
            body: self.body.as_ref().filter(small).and_then(text),
            run_state: self.run_state,
        }
    }

    /// Restores a response from the platform's store.
    pub(crate) fn from_recorded(recorded: &RecordedOutcome) -> Self {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&recorded.content_type) {
            headers.insert(CONTENT_TYPE, value);
        }
        Self {
            status: StatusCode::from_u16(recorded.status)
                .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers,
            body: recorded.body.clone().map(Bytes::from),
            run_state: recorded.run_state,
        }
    }

    /// Returns the HTTP response to a delivery of the request. If the body was too large to store, this is a problem
    /// that states so.
    pub(crate) fn to_response(&self, id: &RequestId) -> CallerResponse {
        let Some(body) = &self.body else {
            let failure = Failure::new(
                ProblemKind::OutcomeUnknown,
                self.run_state,
                format!(
                    "an earlier delivery of this key was answered with status {}; that answer was too large to keep",
                    self.status
                ),
            );
            return problem_response(&failure, id).into_response();
        };
        let mut response = Response::new(CallerBody::full(body.clone()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        if !self.status.is_success() && self.is_problem() {
            let state = HeaderValue::from_static(self.run_state.as_str());
            response
                .headers_mut()
                .insert(tc_protocol::wire::RUN_STATE, state);
        }
        response
    }

    /// Returns the HTTP response, with an empty body if none is stored.
    pub(crate) fn into_response(self) -> CallerResponse {
        let mut response = Response::new(CallerBody::full(self.body.unwrap_or_default()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }

    fn is_problem(&self) -> bool {
        self.headers
            .get(CONTENT_TYPE)
            .is_some_and(|v| v.as_bytes() == b"application/problem+json")
    }
}
