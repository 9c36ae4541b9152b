//! Prompts of model requests, and the choice of an engine for them.

use std::{sync::Arc, time::Duration};

use crate::{FailureDomain, ServiceName, UpstreamId};

/// A model request's prompt as a chain of parts that requests share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens in.
    pub tokens_in: u32,
    /// Most tokens out.
    pub tokens_out: u32,
    /// The parts in their order; the last one belongs to the request itself.
    pub parts: Arc<[PromptPart]>,
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content.
    pub id: u64,
    /// How many tokens it has.
    pub tokens: u32,
}

impl Prompt {
    /// The longest chain of parts that other requests share too, as one number; `None` when nothing is shared.
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
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].id)
    }
}

/// Asks the home of a model service for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// The service.
    pub service: ServiceName,
    /// The prompt.
    pub prompt: Prompt,
    /// Bytes of results that the engine will fetch, by where they lie.
    pub inputs: Vec<(FailureDomain, u64)>,
    /// Engines not to be chosen again.
    pub excluded: Vec<UpstreamId>,
    /// Time until the request is over in any case.
    pub remaining: Duration,
}

/// An engine for one run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineChoice {
    /// The engine.
    pub upstream: UpstreamId,
    /// Another engine that keeps more of the prompt, to fetch it from.
    pub fetch_from: Option<UpstreamId>,
    /// The run's number at its home, for news of it.
    pub run: u64,
}

/// News of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// The run's number at the home that chose its engine.
    pub run: u64,
    /// What became of it.
    pub progress: RunProgress,
}

/// What became of a run at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunProgress {
    /// Its first event came, this long after it was sent: the engine has read the prompt.
    FirstEvent(Duration),
    /// It is over.
    Ended,
    /// The engine broke off, could not be reached, or was full.
    Failed,
}
