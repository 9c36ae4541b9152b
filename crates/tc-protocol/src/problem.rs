//! Problem details towards callers (RFC 9457).

use serde::{Deserialize, Serialize};

use crate::{RequestId, RunState};

/// What kind of problem it is; decides HTTP status, type and title.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// No or a wrong token.
    Unauthorized,
    /// The workspace may not use this pipeline or service.
    Forbidden,
    /// No such path, pipeline or service.
    NotFound,
    /// The method does not fit the path.
    MethodNotAllowed,
    /// The body is larger than allowed.
    TooLarge,
    /// A header is larger than allowed.
    HeadersTooLarge,
    /// A non-idempotent request carries no key.
    KeyRequired,
    /// The same key came with another body.
    KeyReused,
    /// The workspace's limit is used up.
    OverLimit,
    /// The request could not be answered within its deadline, so it was not started.
    CannotFinish,
    /// The fleet has no room for it now.
    Overloaded,
    /// The deadline passed.
    DeadlineExceeded,
    /// An upstream failed and no retry was possible.
    UpstreamFailed,
    /// The input crashed upstreams before.
    Quarantined,
    /// Whether the earlier run with this key happened cannot be known.
    OutcomeUnknown,
    /// The platform's store is needed and cannot be reached.
    StoreUnavailable,
    /// This instance is not ready: it has no configuration yet.
    NotReady,
    /// A fault of this system.
    Internal,
}

impl ProblemKind {
    /// HTTP status code.
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

    /// The word after `urn:tanagercroft:problem:` in the type member.
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

/// One problem, as sent to a caller in `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// `urn:tanagercroft:problem:<kind>`.
    #[serde(rename = "type")]
    pub type_: String,
    /// HTTP status code.
    pub status: u16,
    /// The kind in words.
    pub title: String,
    /// What happened and what to do.
    pub detail: String,
    /// Whether any part of the request may have been run.
    pub run_state: RunState,
    /// The request's identifier, once it has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// When asking again may help, in milliseconds; also sent as `Retry-After` in whole seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// A problem with no request identifier and no retry hint.
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

    /// The same problem with the request's identifier.
    #[must_use]
    pub fn with_request(mut self, id: RequestId) -> Self {
        self.request_id = Some(id);
        self
    }

    /// The same problem with a hint when to ask again.
    #[must_use]
    pub fn with_retry_after(mut self, after: std::time::Duration) -> Self {
        self.retry_after_ms = Some(after.as_millis() as u64);
        self
    }
}
