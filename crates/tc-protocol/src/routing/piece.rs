//! Requests to the home of a batch service to process the pieces of a stage, and their results.
//!
//! The work of a stage is divided into pieces, which its service processes in batches.

use std::{sync::Arc, time::Duration};

use super::RouteStage;
use crate::{FailureDomain, Fingerprint, ServiceName, WorkspaceName};

/// Identifies a result that is stored at the upstream that produced it: `IP:PORT/ID`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ResultHandle(pub Arc<str>);

impl ResultHandle {
    /// Returns the address of the upstream that stores the result.
    ///
    /// ```
    /// use tc_protocol::routing::ResultHandle;
    /// assert_eq!(ResultHandle("10.0.0.1:80/a".into()).upstream_address(), Some("10.0.0.1:80"));
    /// ```
    #[must_use]
    pub fn upstream_address(&self) -> Option<&str> {
        self.0.split_once('/').map(|(address, _)| address)
    }
}

/// Input of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceInput {
    /// Input of the request itself, identified by its key.
    Request(Arc<str>),
    /// Results of earlier stages.
    Results(Arc<[ResultHandle]>),
}

/// All stages of a request that has not started, for the admission decision.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChain {
    /// Fingerprint of the request, equal each time it is sent.
    pub fingerprint: Fingerprint,
    /// Workspace of the request; empty if requests need no key.
    pub workspace: WorkspaceName,
    /// Stages, in the order of the route.
    pub stages: Vec<RouteStage>,
    /// Number of pieces per stage; 0 for a skipped stage.
    pub pieces: Vec<u32>,
    /// Time until the last stage must complete for the request to meet its latency target.
    pub until_latency_target: Duration,
    /// Time until the caller no longer waits for the response.
    pub remaining: Duration,
}

/// A request to process all pieces of one stage of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct StageRequest {
    /// Identifier that the caller gave the request.
    pub request: Arc<str>,
    /// Workspace of the request; empty if requests need no key.
    pub workspace: WorkspaceName,
    /// Service that processes the pieces.
    pub service: ServiceName,
    /// Index of the stage in the route.
    pub stage: u32,
    /// Number of pieces of the stage.
    pub pieces: u32,
    /// Input of the pieces.
    pub input: PieceInput,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
    /// Priority of the request, 0 most urgent.
    pub priority: u8,
    /// Time until the stage must complete for the request to meet its latency target; zero if that time has passed.
    pub in_time_for: Duration,
    /// Time until the caller no longer waits for the response.
    pub remaining: Duration,
    /// Failure domain in which the results will be read, if known and relevant.
    pub preferred_domain: Option<FailureDomain>,
    /// Bytes of inputs that stay stored at their upstreams until the stage has read them.
    pub held_bytes: u64,
    /// Whether no other stage will read the inputs, so that they are freed as soon as the pieces have read them.
    pub is_last_reader: bool,
    /// Service and number of pieces of each stage that reads the results.
    pub dependent_pieces: Vec<(ServiceName, u32)>,
    /// Service and number of pieces of each stage after those.
    pub later_pieces: Vec<(ServiceName, u32)>,
    /// Whether the stage was requested before, and results were lost since.
    pub is_repeat: bool,
    /// All stages of the request, if this is the first one: the home decides whether to admit them.
    pub chain: Option<StageChain>,
}

impl StageRequest {
    /// Returns the number of pieces of every stage that the request describes.
    pub fn piece_counts(&self) -> impl Iterator<Item = u32> + '_ {
        let following = self.dependent_pieces.iter().chain(&self.later_pieces);
        let chain = self.chain.iter().flat_map(|chain| &chain.pieces).copied();
        std::iter::once(self.pieces)
            .chain(following.map(|(_, pieces)| *pieces))
            .chain(chain)
    }
}

/// A piece in a batch call to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PieceRequest {
    /// Identifier that the caller gave the request.
    pub request: Arc<str>,
    /// Index of the stage in the route.
    pub stage: u32,
    /// Index of the piece within the stage, from 0.
    pub piece: u32,
    /// Time until the result is no longer useful.
    pub remaining: Duration,
    /// Input of the piece.
    pub input: PieceInput,
}

/// Reason why a piece was not processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceFailure {
    /// Its time had run out when the upstream reached it.
    Late,
    /// A result it reads is no longer stored.
    InputGone,
    /// The upstream has no storage left for the result.
    ResultStoreFull,
    /// The upstream failed to process it.
    Failed,
}

/// Result of a piece.
pub type PieceResult = Result<ResultHandle, PieceFailure>;

/// Reason why a stage of a request was not completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageRefusal {
    /// The stage would complete too late; the backlog is expected to clear after `retry_after`.
    Overloaded {
        /// Suggested delay before a retry.
        retry_after: Duration,
    },
    /// An input is no longer stored; the preceding stages must run again.
    InputGone,
    /// The pieces failed too often.
    Failed,
    /// The time of the request has run out.
    Late,
    /// This instance knows no upstream of the service.
    NoUpstream,
    /// The stage has more pieces than its upstreams can make before the deadline of the request.
    TooManyPieces,
    /// The service has moved to another home, which must get the request instead.
    Moved,
}
