//! Problem details sent to callers (RFC 9457).

use serde::{Deserialize, Serialize};

use crate::{RequestId, RunState};

/// Kind of a problem; determines HTTP status, type and title.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// The token is missing or invalid.
    Unauthorized,
    /// The workspace is not allowed to use this pipeline or service.
    Forbidden,
    /// The path, pipeline or service does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The headers exceed the size limit.
    HeadersTooLarge,
    /// A non-idempotent request has no idempotency key.
    KeyRequired,
    /// The idempotency key was used before with a different body.
    KeyReused,
    /// The limit of the workspace is exhausted.
    OverLimit,
    /// The request could not complete within its deadline, so it was not started.
    CannotFinish,
    /// The fleet has no free capacity for the request.
    Overloaded,
    /// The deadline passed.
    DeadlineExceeded,
    /// An upstream failed and the call could not be retried.
    UpstreamFailed,
    /// The input is quarantined because it has crashed upstreams.
    Quarantined,
    /// It is unknown whether an earlier request with this idempotency key ran.
    OutcomeUnknown,
    /// The request needs the platform's store, which is unreachable.
    StoreUnavailable,
    /// The instance is not ready because it has no configuration yet.
    NotReady,
    /// An internal error of this system.
    Internal,
}

impl ProblemKind {
    /// Returns the HTTP status code.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::TooLarge => 413,
            Self::KeyRequired | Self::KeyReused | Self::Quarantined => 422,
            Self::HeadersTooLarge => 431,
            Self::OverLimit => 429,
            Self::Internal => 500,
            Self::UpstreamFailed | Self::OutcomeUnknown => 502,
            Self::CannotFinish | Self::Overloaded | Self::StoreUnavailable | Self::NotReady => 503,
            Self::DeadlineExceeded => 504,
        }
    }

    /// Returns the suffix after `urn:tanagercroft:problem:` in the `type` member.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not-found",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::TooLarge => "too-large",
            Self::HeadersTooLarge => "headers-too-large",
            Self::KeyRequired => "key-required",
            Self::KeyReused => "key-reused",
            Self::OverLimit => "over-limit",
            Self::CannotFinish => "cannot-finish",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::UpstreamFailed => "upstream-failed",
            Self::Quarantined => "quarantined",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::StoreUnavailable => "store-unavailable",
            Self::NotReady => "not-ready",
            Self::Internal => "internal",
        }
    }
}

/// A problem document, sent to callers as `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// `urn:tanagercroft:problem:<kind>`.
    #[serde(rename = "type")]
    pub type_: String,
    /// HTTP status code.
    pub status: u16,
    /// Readable form of the kind.
    pub title: String,
    /// Description of the problem and of what the caller can do about it.
    pub detail: String,
    /// Whether any part of the request may have run.
    pub run_state: RunState,
    /// Identifier of the request, if one was assigned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// Suggested delay before a retry, in milliseconds; also sent as `Retry-After` in whole seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem without a request identifier or a retry hint.
    ///
    /// ```
    /// use tc_protocol::{Problem, ProblemKind, RunState};
    /// let problem = Problem::new(ProblemKind::Overloaded, RunState::NotRun, "no upstream is free");
    /// assert_eq!(problem.status, 503);
    /// assert_eq!(problem.type_, "urn:tanagercroft:problem:overloaded");
    /// ```
    #[must_use]
    pub fn new(kind: ProblemKind, run_state: RunState, detail: impl Into<String>) -> Self {
        Self {
            type_: format!("urn:tanagercroft:problem:{}", kind.as_str()),
            status: kind.status(),
            title: kind.as_str().replace('-', " "),
            detail: detail.into(),
            run_state,
            request_id: None,
            retry_after_ms: None,
        }
    }

    /// Sets the request identifier.
    #[must_use]
    pub fn with_request(mut self, id: RequestId) -> Self {
        self.request_id = Some(id);
        self
    }

    /// Sets the suggested delay before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: std::time::Duration) -> Self {
        self.retry_after_ms = Some(after.as_millis() as u64);
        self
    }
}
