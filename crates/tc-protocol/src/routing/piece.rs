//! Pieces of stages: what is asked of the home of a batch service, and what comes back.

use std::{sync::Arc, time::Duration};

use super::RouteStage;
use crate::{FailureDomain, Fingerprint, ServiceName};

/// Names a result that is kept at the upstream that made it: `IP:PORT/ID`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ResultHandle(pub Arc<str>);

impl ResultHandle {
    /// Address of the upstream that keeps the result.
    ///
    /// ```
    /// use tc_protocol::routing::ResultHandle;
    /// assert_eq!(ResultHandle("10.0.0.1:80/a".into()).upstream_address(), Some("10.0.0.1:80"));
    /// ```
    #[must_use]
    pub fn upstream_address(&self) -> Option<&str> {
        self.0.split_once('/').map(|(maker, _)| maker)
    }
}

/// What a piece is made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceInput {
    /// The request's own input, by its key.
    Request(Arc<str>),
    /// Results of earlier stages.
    Results(Arc<[ResultHandle]>),
}

/// All stages of a request that is to be begun, for whoever judges whether it is worth it.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChain {
    /// What is the same in every sending of the request.
    pub fingerprint: Fingerprint,
    /// The stages, in the route's order.
    pub stages: Vec<RouteStage>,
    /// How many pieces each has; none for a stage that is left out.
    pub pieces: Vec<u32>,
    /// Time until the last stage must be made for the request to be answered within its aim.
    pub until_latency_target: Duration,
    /// Time until nobody waits for the request any more.
    pub remaining: Duration,
}

/// All pieces of one stage of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct StageRequest {
    /// The request they are for, as its caller named it.
    pub request: Arc<str>,
    /// The service that makes them.
    pub service: ServiceName,
    /// The stage's index in the route.
    pub stage: u32,
    /// How many pieces the stage has.
    pub pieces: u32,
    /// What they are made from.
    pub input: PieceInput,
    /// About the size of one result, in bytes.
    pub result_bytes: u64,
    /// Rank of the request, 0 first.
    pub priority: u8,
    /// Time until the stage must be done for the request to be answered within its aim; zero when that has passed.
    pub until_latency_target: Duration,
    /// Time until nobody waits for the request any more.
    pub remaining: Duration,
    /// Where the results will be read, when that is known and matters.
    pub preferred_domain: Option<FailureDomain>,
    /// Bytes of inputs that are kept at their makers until the stage has read them.
    pub held_bytes: u64,
    /// Whether no other stage reads its inputs any more, so that they are given up as soon as its pieces have them.
    pub is_last_reader: bool,
    /// Pieces of the stages that read its results, by their service.
    pub dependents: Vec<(ServiceName, u32)>,
    /// All stages of the request, if it begins with this one: its home judges whether they are worth beginning.
    pub chain: Option<StageChain>,
}

/// One piece in a call to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PieceRequest {
    /// The request it is for.
    pub request: Arc<str>,
    /// The stage's index in the route.
    pub stage: u32,
    /// Number within the stage, from 0.
    pub piece: u32,
    /// Time until its result is of no use.
    pub remaining: Duration,
    /// What it is made from.
    pub input: PieceInput,
}

/// Why a piece was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceFailure {
    /// Its time was over at its turn.
    Late,
    /// A result it needs is no longer kept.
    InputGone,
    /// The upstream has no room for its result.
    ResultStoreFull,
    /// The upstream failed it.
    Failed,
}

/// What became of one piece.
pub type PieceResult = Result<ResultHandle, PieceFailure>;

/// Why a stage of a request was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageRefusal {
    /// It would be done too late; `retry_after` is when the backlog is expected to be worked off.
    Overloaded {
        /// When to come back.
        retry_after: Duration,
    },
    /// An input is gone; the stages before have to be done again.
    InputGone,
    /// Its pieces failed too often.
    Failed,
    /// The time of the request is over.
    Late,
    /// This instance is not able to make it: it knows no upstream of the service.
    NoUpstream,
    /// The service has another home by now; it is to be asked.
    Moved,
}
