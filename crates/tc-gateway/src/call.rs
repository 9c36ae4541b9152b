//! What headers of requests and answers say, decoded.

use std::{sync::Arc, time::Duration};

use std::net::SocketAddr;

use http::{HeaderName, StatusCode};
use tc_protocol::{
    UpstreamId, WorkspaceName,
    routing::{AnnouncedLimit, Prompt, ResultHandle},
};
use thiserror::Error;

/// What a caller's request says in its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's name for this attempt of its request.
    pub request: Arc<str>,
    /// How long the caller waits.
    pub remaining: Option<Duration>,
    /// The key that tells the workspace.
    pub key: Option<Arc<str>>,
    /// The prompt, when the request is for a model.
    pub prompt: Option<Prompt>,
    /// How many pieces each stage of the route has.
    pub pieces: Vec<u32>,
    /// The request's own input for stages.
    pub piece_key: Option<Arc<str>>,
    /// The last event the caller has, when it resumes a stream.
    pub resume_after: Option<u64>,
}

/// Why a request's headers cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// A header that every request needs is missing.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// A header's value does not fit its form.
    #[error("the header {0} cannot be read")]
    Malformed(&'static str),
}

/// What the system tells an upstream besides the caller's own headers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRequestHead<'a> {
    /// How long the upstream has.
    pub remaining: Duration,
    /// The life of the upstream's process that is meant; another one at its address must not run the request.
    pub upstream: &'a UpstreamId,
    /// Whose request it is.
    pub workspace: Option<&'a WorkspaceName>,
    /// Results of the route's last stages; `None` when the route has no stages.
    pub inputs: Option<&'a [ResultHandle]>,
    /// The last event that was delivered, when a stream goes on after it.
    pub resume_after: Option<u64>,
    /// Another engine that keeps more of the prompt; the upstream fetches it from there.
    pub fetch_from: Option<SocketAddr>,
}

/// Whether an upstream took a request, as its answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Acceptance {
    /// It did, or does not say otherwise.
    #[default]
    Yes,
    /// It has not run the request and will not.
    NotRun,
    /// It has not run the request because an input of it is gone.
    InputGone,
    /// Another process has the address; it has not run the request.
    OtherProcess,
}

/// What an upstream's answer says in its status and headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Whether the upstream took the request.
    pub acceptance: Acceptance,
    /// The request that the answer names.
    pub request: Option<Arc<str>>,
    /// It bears the upstream's mark of a genuine answer.
    pub sealed: bool,
    /// The body is not in the form that was asked for.
    pub encoded: bool,
    /// The answer is a stream of events.
    pub is_stream: bool,
    /// What the upstream says of its load.
    pub load: Option<UpstreamLoad>,
    /// The rate limit that the upstream announces.
    pub rate_limit: AnnouncedLimit,
    /// The lifecycle state that the upstream announces.
    pub lifecycle: Lifecycle,
    /// The backoff that the upstream requests.
    pub backoff: AnnouncedBackoff,
    /// Headers that the outside's spelling does not know.
    pub unknown: Vec<HeaderName>,
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

    /// Returns what the answer says of the upstream's rate limit; `None` if it says nothing.
    ///
    /// Only a success shows that a limit is gone: an upstream in need may turn requests away without naming it again.
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
        let is_of_upstream = self.acceptance != Acceptance::OtherProcess;
        let says_it = is_success || self.rate_limit != AnnouncedLimit::None;
        (is_of_upstream && says_it).then_some(self.rate_limit)
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

/// An upstream's load as it tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests it can work on.
    pub slots: u32,
}
