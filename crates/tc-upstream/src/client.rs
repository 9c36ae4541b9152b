//! The client for all calls to upstreams.

use std::{fmt, io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use tc_protocol::{
    Outcome, ServiceKind,
    wire::{LoadReport, Order},
};
use tracing::{Instrument, Span};

use crate::{
    call::{PlainCall, PlainResponse, StageCall, StageResponse},
    connection::IdleConnections,
    control,
    error::{CallError, OrderError},
    exchange::dial_observed,
    meter::CallMeter,
    plain, stage,
    stream::{self, EngineStream},
};

/// Timeouts and size limits of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Connect timeout; the call's remaining time applies as well.
    pub connect_timeout: Duration,
    /// Maximum size of a response body in bytes, including streams.
    pub max_response_bytes: usize,
    /// Maximum size of a response header in bytes, including the status line.
    pub max_header_bytes: usize,
    /// Maximum number of idle connections per upstream address and traffic type.
    pub pool_idle_per_host: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            max_response_bytes: 16 << 20,
            max_header_bytes: 16 << 10,
            pool_idle_per_host: 64,
        }
    }
}

/// Calls upstreams over keep-alive connections. Cheap to clone; clones share the connections.
///
/// A call runs in the task that awaits it. Dropping its future closes the connection, which cancels the call. All
/// clones must be used on the same tokio runtime.
///
/// ```
/// use tc_protocol::RunState;
/// use tc_upstream::{CallErrorKind, ClientSettings, UpstreamClient};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let client = UpstreamClient::new(ClientSettings::default());
/// let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
/// let error = client.load_report(unused_address).await.unwrap_err();
/// assert_eq!(error.kind, CallErrorKind::Connect);
/// assert_eq!(error.run_state, RunState::NotRun);
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    pub(crate) shared: Arc<Shared>,
}

/// Returns true if connections to an address may be opened.
pub type DialFilter = fn(SocketAddr) -> bool;

/// Receives the address of each new connection, and whether it was established.
pub type DialObserver = Arc<dyn Fn(SocketAddr, bool) + Send + Sync>;

/// State shared by all clones of a client.
pub(crate) struct Shared {
    pub(crate) settings: ClientSettings,
    pub(crate) idle: Arc<IdleConnections>,
    pub(crate) dial_filter: DialFilter,
    pub(crate) dial_observer: DialObserver,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl UpstreamClient {
    /// Creates a client without any connections.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self::with_dial_hooks(settings, |_| true, Arc::new(|_, _| {}))
    }

    /// Creates a client without any connections. A connection that `filter` rejects is not reused, and a new one fails
    /// as if it was refused. `observer` receives the result of each attempt to open one.
    #[must_use]
    pub fn with_dial_hooks(
        settings: ClientSettings,
        filter: DialFilter,
        observer: DialObserver,
    ) -> Self {
        let idle = Arc::new(IdleConnections::new(settings.pool_idle_per_host));
        Self {
            shared: Arc::new(Shared {
                settings,
                idle,
                dial_filter: filter,
                dial_observer: observer,
            }),
        }
    }

    /// Opens a connection and closes it again. Returns true if it was established.
    pub async fn probe(&self, address: SocketAddr) -> bool {
        let limit = self.shared.settings.connect_timeout;
        dial_observed(&self.shared, address, limit).await.is_ok()
    }

    /// Opens a connection and closes it again. Returns true if it was refused, so that no process listens there.
    ///
    /// ```
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// # runtime.block_on(async {
    /// use tc_upstream::{ClientSettings, UpstreamClient};
    /// let client = UpstreamClient::new(ClientSettings::default());
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = listener.local_addr().unwrap();
    /// assert!(!client.is_refused(address).await);
    /// drop(listener);
    /// assert!(client.is_refused(address).await);
    /// # });
    /// ```
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        let limit = self.shared.settings.connect_timeout;
        let dialed = dial_observed(&self.shared, address, limit).await;
        dialed.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Calls a pool, or an engine without streaming. Returns the response only if it is complete and names this call.
    pub async fn run_stage(&self, call: StageCall) -> Result<StageResponse, CallError> {
        let span = stage_span(&call);
        let mut meter = CallMeter::start(kind_label(call.kind));
        let result = stage::run_stage(&self.shared, call).instrument(span).await;
        meter.end(
            result
                .as_ref()
                .map_or_else(|e| e.outcome, |_| Outcome::Answered),
        );
        result
    }

    /// Starts a streamed completion, or resumes one after event `resume_after` (0 starts from the beginning).
    ///
    /// Errors of a resumed stream never have the run state `NotRun`, as the stream has delivered events before.
    pub async fn open_stream(
        &self,
        call: StageCall,
        resume_after: u64,
    ) -> Result<EngineStream, CallError> {
        let span = stage_span(&call);
        let meter = CallMeter::start("stream");
        stream::open_stream(&self.shared, call, resume_after, meter)
            .instrument(span)
            .await
    }

    /// Calls a plain service and returns once the response header has arrived, whatever its status. A short response of
    /// known length is read completely first.
    pub async fn forward(&self, call: PlainCall) -> Result<PlainResponse, CallError> {
        let span = tracing::info_span!(
            "upstream_call",
            upstream = %call.upstream,
            stage = %call.stage,
            attempt = call.attempt.0,
        );
        let meter = CallMeter::start(kind_label(ServiceKind::Plain));
        plain::forward(&self.shared, call, meter)
            .instrument(span)
            .await
    }

    /// Fetches an upstream's load report. Errors name the upstream by its address, as its identifier is not known here.
    pub async fn load_report(&self, address: SocketAddr) -> Result<LoadReport, CallError> {
        let mut meter = CallMeter::start("load");
        let result = control::load_report(&self.shared, address).await;
        meter.end(
            result
                .as_ref()
                .map_or_else(|e| e.outcome, |_| Outcome::Answered),
        );
        result
    }

    /// Sends an order. Orders are idempotent, so they can be sent again.
    pub async fn send_order(&self, address: SocketAddr, order: &Order) -> Result<(), OrderError> {
        let mut meter = CallMeter::start("order");
        let result = control::send_order(&self.shared, address, order).await;
        meter.end(match &result {
            Ok(()) => Outcome::Answered,
            Err(OrderError::Refused { .. }) => Outcome::Rejected,
            Err(OrderError::Call(e)) => e.outcome,
        });
        result
    }
}

fn stage_span(call: &StageCall) -> Span {
    tracing::info_span!(
        "upstream_call",
        upstream = %call.upstream,
        stage = %call.stage,
        attempt = call.attempt.0,
    )
}

const fn kind_label(kind: ServiceKind) -> &'static str {
    match kind {
        ServiceKind::Engine => "engine",
        ServiceKind::Pool => "pool",
        ServiceKind::Plain => "plain",
    }
}
