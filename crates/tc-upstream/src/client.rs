//! The client that makes all calls.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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
    meter::CallMeter,
    plain, stage,
    stream::{self, EngineStream},
};

/// Bounds on what the client does and takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Longest time to make a connection; the call's own remaining time counts too.
    pub connect_timeout: Duration,
    /// Largest answer body in bytes, streams included.
    pub max_response_bytes: usize,
    /// Largest answer header in bytes, status line included.
    pub max_header_bytes: usize,
    /// Idle connections kept for one upstream.
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

/// Calls upstreams over kept-alive connections. Cheap to clone; clones share the connections.
///
/// A call runs in the task that awaits it: dropping its future closes its connection, which cancels the call. All
/// clones must be used on one tokio runtime.
///
/// ```
/// use tc_protocol::RunState;
/// use tc_upstream::{CallErrorKind, ClientSettings, UpstreamClient};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let client = UpstreamClient::new(ClientSettings::default());
/// let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
/// let error = client.load_report(nobody).await.unwrap_err();
/// assert_eq!(error.kind, CallErrorKind::Connect);
/// assert_eq!(error.run_state, RunState::NotRun);
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    pub(crate) shared: Arc<Shared>,
}

/// What all clones share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: ClientSettings,
    pub(crate) idle: Arc<IdleConnections>,
}

impl UpstreamClient {
    /// A client with no connections yet.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        let idle = Arc::new(IdleConnections::new(settings.pool_idle_per_host));
        Self {
            shared: Arc::new(Shared { settings, idle }),
        }
    }

    /// Calls an engine (whole answer) or a pool. The answer is returned only if it is whole and names this call.
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

    /// Starts a streamed completion, or resumes one after event `resume_after` (0: from the start).
    ///
    /// An error of a resumed stream never says "not run", as its events were seen before.
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

    /// Calls a plain service and returns once the answer's header is there, whatever its status.
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

    /// Reads an upstream's load report. It has no identifier of the upstream, so errors name its address.
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

    /// Sends an order; repeating it is harmless.
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
