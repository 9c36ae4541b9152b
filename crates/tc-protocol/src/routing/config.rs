//! The operators' configuration for routed requests: routes, services and workspaces.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{ServiceName, WorkspaceName};

/// A version of the configuration for routed requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// Increases with every change, not necessarily by one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<RoutedService>>,
    /// Limits for callers' connections and requests.
    pub limits: CallerLimits,
    /// Workspaces by API key; empty if no key is required.
    pub keys: HashMap<Arc<str>, Arc<RoutedWorkspace>>,
    /// Whether requests to non-public routes require an API key.
    pub keys_required: bool,
    /// Entries that cannot be used and are left out above.
    pub faults: Vec<ConfigFault>,
}

/// An entry of a configuration that cannot be used. The rest of the configuration is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// Entry that has the problem, such as `route summary`.
    pub subject: String,
    /// Description of the problem.
    pub problem: String,
    /// Consequence for requests.
    pub effect: FaultEffect,
}

/// Consequence of an entry that cannot be used for requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultEffect {
    /// Requests to the host and path prefix cannot be served.
    Unserved {
        /// Host of the route.
        host: Arc<str>,
        /// Path prefix of the route; starts and ends with a slash.
        path_prefix: Arc<str>,
    },
    /// API keys are missing, so that an unknown key may be valid.
    KeysMissing,
    /// The entry has no effect. Routes that need it have a fault of their own.
    Ignored,
}

/// A workspace that sends routed requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutedWorkspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Priority of its requests, 0 most urgent; overrides the priority of the route.
    pub priority: Option<u8>,
}

/// Limits for callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the request headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a caller to send the request headers.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until a configuration is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether the requests of a route may be retried, and whether responses are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Each request runs at most once.
    NonIdempotent,
    /// The response is a stream of numbered events; each request runs at most once.
    Stream,
    /// A stream that can be resumed after the last delivered event, also on another upstream.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be sent again although it may have run.
    #[must_use]
    pub const fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Routing rule for the requests to a host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that the route matches.
    pub host: Arc<str>,
    /// Path prefix that the route matches; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may be retried, and whether responses are streams.
    pub kind: RouteKind,
    /// Maximum time a caller waits.
    pub timeout: Duration,
    /// Latency objective of the response, or of the first event of a stream.
    pub latency_target: Duration,
    /// Priority, 0 most urgent.
    pub priority: u8,
    /// Services with the weights by which requests are distributed among them.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of upstreams a request is sent to.
    pub max_attempts: u32,
    /// Stages to run before the request itself; [`RouteStage::depends_on`] refers to them by index. They may be listed in
    /// another order than they run.
    pub stages: Vec<RouteStage>,
    /// Whether requests require no API key.
    pub public: bool,
    /// Maximum time between two events of a stream.
    pub max_event_gap: Option<Duration>,
    /// Time after which callers that have received no event of a stream disconnect, if it is less than their deadline.
    pub first_event_timeout: Option<Duration>,
}

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteStage {
    /// Service that processes the pieces of the stage.
    pub service: ServiceName,
    /// Indices of the stages whose results this stage reads.
    pub depends_on: Vec<usize>,
    /// Approximate size of the result of one piece, in bytes.
    pub result_bytes: u64,
}

/// A service that routes or stages refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections one upstream accepts from all clients together.
    pub max_connections: u32,
    /// Set if the upstreams process pieces of stages in batches.
    pub batch: Option<BatchSpec>,
    /// Set if the upstreams are model engines.
    pub engine: Option<EngineSpec>,
    /// Set if the upstreams tolerate only a reduced load for some time after a start.
    pub cold_start: Option<ColdStartSpec>,
}

/// Reduced capacity of a cold upstream: one that has just started or has lost its warmed-up state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartSpec {
    /// Time for which an upstream stays cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold upstream tolerates; it crashes at rates well above.
    pub max_requests_per_s: f64,
}

/// Parameters of an upstream of a batch service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchSpec {
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of queued calls.
    pub queue_capacity: u32,
    /// Maximum number of pieces per call.
    pub max_pieces: usize,
    /// Fixed time per call, in addition to the time of its pieces.
    pub call_overhead: Duration,
    /// Approximate time per piece.
    pub piece_time: Duration,
    /// Storage for results, in bytes.
    pub result_capacity_bytes: u64,
    /// Time for which a result is kept unless it is freed earlier.
    pub result_ttl: Duration,
    /// Bandwidth of the network link, in bytes per second.
    pub link_bytes_per_s: f64,
}

/// Parameters of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens; running requests and cached prompt parts share it.
    pub kv_cache_tokens: u64,
}
