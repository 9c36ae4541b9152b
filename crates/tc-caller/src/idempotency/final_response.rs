//! A whole answer, kept so that a duplicate gets the same.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use tc_protocol::{ProblemKind, RecordedOutcome, RequestId, RunState};

use crate::{
    http::{CallerBody, CallerResponse, Failure, problem_answer},
    limits::MAX_RECORDED_BYTES,
};

/// What a caller was told, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers of the answer itself.
    pub headers: HeaderMap,
    /// The body, or `None` when it was too large to keep.
    pub body: Option<Bytes>,
    /// Whether the request ran.
    pub run_state: RunState,
}

impl FinalResponse {
    /// Approximate memory it takes, in bytes.
    ///
    /// ```
    /// use tc_caller::FinalResponse;
    /// let answer = FinalResponse {
    ///     status: http::StatusCode::OK,
    ///     headers: http::HeaderMap::new(),
    ///     body: Some("done".into()),
    ///     run_state: tc_protocol::RunState::Ran,
    /// };
    /// assert_eq!(answer.size(), 4);
    /// assert_eq!(answer.without_body().size(), 0);
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

    /// The same answer without its body.
    #[must_use]
    pub fn without_body(&self) -> Self {
        Self {
            body: None,
            ..self.clone()
        }
    }

    /// What the platform's store keeps of it.
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

    /// The answer that the platform's store kept.
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

    /// The response, which for an answer too large to keep is a problem that says so.
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
            return problem_answer(&failure, id).into_response();
        };
        let mut response = Response::new(CallerBody::whole(body.clone()));
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

    /// The response with its body, when it has one.
    pub(crate) fn into_response(self) -> CallerResponse {
        let mut response = Response::new(CallerBody::whole(self.body.unwrap_or_default()));
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
