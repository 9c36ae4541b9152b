//! Decoded headers of requests and answers.

use std::{sync::Arc, time::Duration};

use std::net::SocketAddr;

use http::{HeaderName, StatusCode};
use tc_policy::UpstreamLoad;
use tc_protocol::{
    UpstreamId, WorkspaceName,
    routing::{AnnouncedLimit, Prompt, ResultHandle},
};
use thiserror::Error;

/// Decoded headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The id that the caller gave to this attempt.
    pub request: Arc<str>,
    /// Time for which the caller waits for the answer.
    pub remaining: Option<Duration>,
    /// The API key, which identifies the workspace.
    pub key: Option<Arc<str>>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Number of pieces of each stage of the route.
    pub pieces: Vec<u32>,
    /// The input of the request for its first stages.
    pub piece_key: Option<Arc<str>>,
    /// The last event that the caller has, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// The id of the caller's earlier attempt that brought the first event of the stream, if it resumes one.
    pub resumes: Option<Arc<str>>,
    /// Whether another instance sent the request because it reaches no upstream.
    pub is_from_peer: bool,
}

/// Reason why the headers of a request are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// A required header is missing.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// The value of a header cannot be parsed.
    #[error("the header {0} cannot be parsed")]
    Malformed(&'static str),
}

/// Headers that the gateway sends to an upstream in addition to the caller's.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRequestHead<'a> {
    /// Time within which the upstream has to answer.
    pub remaining: Duration,
    /// The upstream process that the request is for; another process at the same address must not run it.
    pub upstream: &'a UpstreamId,
    /// The workspace of the request.
    pub workspace: Option<&'a WorkspaceName>,
    /// Results of the last stages of the route; `None` if the route has no stages.
    pub inputs: Option<&'a [ResultHandle]>,
    /// The last event that was delivered, if a stream is resumed.
    pub resume_after: Option<u64>,
    /// Another engine that has more of the prompt cached; the upstream fetches it from there.
    pub fetch_from: Option<SocketAddr>,
    /// Urgency of the request among those that wait at an engine, 0 being the most urgent; `None` if all are alike.
    pub urgency: Option<u8>,
}

/// Whether an upstream accepted a request, according to its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Acceptance {
    /// It accepted the request, or does not say otherwise.
    #[default]
    Yes,
    /// It did not run the request and will not.
    NotRun,
    /// It did not run the request because one of its inputs is gone.
    InputGone,
    /// Another process has the address; it did not run the request.
    OtherProcess,
}

/// Decoded status and headers of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Whether the upstream accepted the request.
    pub acceptance: Acceptance,
    /// The id of the request that the answer is for, if it names one.
    pub request: Option<Arc<str>>,
    /// Whether the answer carries the upstream's mark of a genuine answer.
    pub sealed: bool,
    /// Whether the body has another encoding than the one requested.
    pub encoded: bool,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// The load that the upstream reports.
    pub load: Option<UpstreamLoad>,
    /// The rate limit that the upstream announces.
    pub rate_limit: AnnouncedLimit,
    /// The lifecycle state that the upstream announces.
    pub lifecycle: Lifecycle,
    /// The backoff that the upstream requests.
    pub backoff: AnnouncedBackoff,
    /// Number of refusals for want of room in a second that the upstream announces to survive.
    pub survivable_refusals_per_s: Option<f64>,
    /// Headers that the codec does not know.
    pub unknown_headers: Vec<HeaderName>,
}

impl AnswerHead {
    /// Returns true if the upstream that was called announces that it is leaving.
    ///
    /// An answer of another process at the same address does not count.
    ///
    /// ```
    /// use tc_gateway::{AnswerHead, Lifecycle, Acceptance};
    /// let mut head = AnswerHead { lifecycle: Lifecycle::Leaving, ..AnswerHead::default() };
    /// assert!(head.announces_leaving());
    /// head.acceptance = Acceptance::OtherProcess;
    /// assert!(!head.announces_leaving());
    /// ```
    #[must_use]
    pub fn announces_leaving(&self) -> bool {
        self.lifecycle == Lifecycle::Leaving && self.acceptance != Acceptance::OtherProcess
    }

    /// Returns the rate limit that the answer announces; `None` if it says nothing about it.
    ///
    /// Only a success shows that a limit was lifted: an overloaded upstream may refuse requests without repeating its limit.
    ///
    /// ```
    /// use http::StatusCode;
    /// use tc_gateway::AnswerHead;
    /// use tc_protocol::routing::AnnouncedLimit;
    /// let head = AnswerHead::default();
    /// assert_eq!(head.announced_limit(StatusCode::OK), Some(AnnouncedLimit::None));
    /// assert_eq!(head.announced_limit(StatusCode::SERVICE_UNAVAILABLE), None);
    /// ```
    #[must_use]
    pub fn announced_limit(&self, status: StatusCode) -> Option<AnnouncedLimit> {
        let is_success = self.acceptance == Acceptance::Yes && status.is_success();
        let is_from_upstream = self.acceptance != Acceptance::OtherProcess;
        let has_announcement = is_success || self.rate_limit != AnnouncedLimit::None;
        (is_from_upstream && has_announcement).then_some(self.rate_limit)
    }
}

/// The lifecycle state that an upstream announces in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// The upstream announces nothing.
    #[default]
    Running,
    /// The upstream is about to stop: it finishes requests in progress and must get no new ones.
    Leaving,
}

/// The backoff that an upstream requests from this instance when it refuses a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnnouncedBackoff {
    /// The answer requests no backoff.
    #[default]
    None,
    /// Send no requests to the upstream for this long.
    For(Duration),
    /// The requested backoff cannot be parsed.
    Unreadable,
}
