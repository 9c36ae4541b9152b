//! Prompts of model requests and the selection of an engine for them.

use std::{sync::Arc, time::Duration};

use crate::{FailureDomain, ServiceName, UpstreamId, UpstreamVersion};

/// Prompt of a model request, as a sequence of parts; requests can share a prefix of parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of input tokens.
    pub tokens_in: u32,
    /// Maximum number of output tokens.
    pub tokens_out: u32,
    /// Parts in order; the last one is specific to the request.
    pub parts: Arc<[PromptPart]>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

impl Prompt {
    /// Returns an identifier of the longest prefix that other requests can share, or `None` if there is none.
    ///
    /// ```
    /// use tc_protocol::routing::{Prompt, PromptPart};
    /// let part = |id| PromptPart { id, tokens: 10 };
    /// let prompt = |parts: Vec<_>| Prompt { tokens_in: 30, tokens_out: 5, parts: parts.into() };
    /// let first = prompt(vec![part(1), part(2), part(8)]);
    /// let second = prompt(vec![part(1), part(2), part(9)]);
    /// assert_eq!(first.shared_prefix_id(), second.shared_prefix_id());
    /// assert_eq!(prompt(vec![part(1)]).shared_prefix_id(), None);
    /// ```
    #[must_use]
    pub fn shared_prefix_id(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| part.id)
    }

    /// Returns the parts that other requests can share: all but the last one.
    ///
    /// ```
    /// use tc_protocol::routing::{Prompt, PromptPart};
    /// let part = |id| PromptPart { id, tokens: 10 };
    /// let prompt = Prompt { tokens_in: 20, tokens_out: 5, parts: vec![part(1), part(8)].into() };
    /// assert_eq!(prompt.shared_parts(), [part(1)]);
    /// ```
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A request to the home of a model service to select an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// Model service.
    pub service: ServiceName,
    /// Prompt of the request.
    pub prompt: Prompt,
    /// Bytes of results that the engine will fetch, by the failure domain that stores them.
    pub inputs: Vec<(FailureDomain, u64)>,
    /// Version that the engine must have; `None` if any will do.
    pub version: Option<UpstreamVersion>,
    /// Engines that must not be selected again.
    pub excluded: Vec<UpstreamId>,
    /// Engines of the service that have announced to the requesting instance that they are leaving.
    pub leaving: Vec<UpstreamId>,
    /// Time until the request ends in any case.
    pub remaining: Duration,
}

/// The engine selected for a run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineChoice {
    /// Selected engine.
    pub upstream: UpstreamId,
    /// Another engine that has more of the prompt cached, to fetch it from.
    pub fetch_from: Option<UpstreamId>,
    /// Number of the run at the home, for progress reports.
    pub run: u64,
}

/// Progress report of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// Number of the run at the home that selected the engine.
    pub run: u64,
    /// Progress of the run.
    pub progress: RunProgress,
    /// Load that the engine announced in its answer.
    pub load: Option<EngineLoad>,
}

/// Load that an engine announces in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Time since the announcement was received.
    pub age: Duration,
}

/// Progress of a run at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunProgress {
    /// The first event arrived this long after the request was sent: the engine has processed the prompt.
    FirstEvent(Duration),
    /// The run has ended.
    Ended,
    /// The engine aborted the run or was unreachable.
    Failed,
    /// The engine had no free capacity and did not run the request.
    Refused,
}
