//! One version of the operators' routes, services and workspaces.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{ServiceName, WorkspaceName};

/// One version of the configuration for routed requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// Rises with every change, not always by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services by name.
    pub services: BTreeMap<ServiceName, Arc<RoutedService>>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// Workspaces by the keys that callers present; empty when no key is needed.
    pub keys: HashMap<Arc<str>, Arc<RoutedWorkspace>>,
    /// Whether requests of routes that are not public need a key.
    pub keys_required: bool,
}

/// A workspace as requests see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutedWorkspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Rank of its requests, 0 first; goes before a route's.
    pub priority: Option<u8>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request header in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a header.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// What holds before a configuration is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Any request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events; the request runs at most once.
    Stream,
    /// A stream that may be resumed after the last event delivered, on another upstream too.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub const fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Where requests of a host and path prefix go, and by which rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host it belongs to.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer (a stream's first event) is worth most.
    pub latency_target: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services and the weights by which requests are split between them.
    pub targets: Vec<(ServiceName, u32)>,
    /// Most upstreams one request is sent to.
    pub max_attempts: u32,
    /// Work to be done before the request itself, by index.
    pub stages: Vec<RouteStage>,
    /// Whether requests need no key.
    pub public: bool,
    /// Longest pause between two events of a stream.
    pub max_event_gap: Option<Duration>,
    /// How long callers wait for a stream's first event before they leave, if that is less than their deadline.
    pub first_event_timeout: Option<Duration>,
}

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteStage {
    /// Who makes its pieces.
    pub service: ServiceName,
    /// Indices of the stages whose results it needs.
    pub depends_on: Vec<usize>,
    /// About the size of one piece's result, in bytes.
    pub result_bytes: u64,
}

/// A service that routes or stages name.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// Its name.
    pub name: ServiceName,
    /// Most connections one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Set when its upstreams make pieces of stages in batches.
    pub batch: Option<BatchSpec>,
    /// Set when its upstreams are model engines.
    pub engine: Option<EngineSpec>,
    /// Set when its upstreams are fragile for a while after they start.
    pub cold_start: Option<ColdStartSpec>,
}

/// How an upstream behaves while it is cold: just started, or with what it had warmed up lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartSpec {
    /// How long it is cold after its start.
    pub duration: Duration,
    /// Requests a second that it bears meanwhile; well above them it crashes.
    pub max_requests_per_s: f64,
}

/// How one upstream of a batch service works.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchSpec {
    /// Calls worked on at the same time.
    pub slots: u32,
    /// Calls that may wait.
    pub queue_capacity: u32,
    /// Most pieces in one call.
    pub max_pieces: usize,
    /// Time of a call besides its pieces.
    pub call_overhead: Duration,
    /// About the time of one piece.
    pub piece_time: Duration,
    /// Room for results, in bytes.
    pub result_capacity_bytes: u64,
    /// How long a result is kept unless it is given up before.
    pub result_ttl: Duration,
    /// Bytes a second over its link.
    pub link_bytes_per_s: f64,
}

/// How one model engine works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests run at the same time.
    pub slots: u32,
    /// Memory shared by running requests and kept prompt parts, in tokens.
    pub kv_cache_tokens: u64,
}
