//! The client that makes all calls.

use std::{net::SocketAddr, time::Duration};

use tc_protocol::{
    Outcome, RunState, UpstreamId,
    wire::{LoadReport, Order},
};

use crate::{
    call::{PlainCall, PlainReply, StageCall, StageReply},
    error::{CallError, CallErrorKind, OrderError},
    stream::EngineStream,
};

/// Bounds on what the client does and takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Longest time to make a connection; the call's own remaining time counts too.
    pub connect_timeout: Duration,
    /// Largest answer body in bytes, streams included.
    pub max_response_bytes: usize,
    /// Largest answer header in bytes; at least 8 KiB is allowed.
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
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    settings: ClientSettings,
}

impl UpstreamClient {
    /// A client with no connections yet.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self { settings }
    }

    /// Calls an engine (whole answer) or a pool.
    pub async fn run_stage(&self, call: StageCall) -> Result<StageReply, CallError> {
        Err(self.not_built(call.upstream))
    }

    /// Starts a streamed completion, or resumes one after event `resume_after` (0: from the start).
    pub async fn open_stream(
        &self,
        call: StageCall,
        resume_after: u64,
    ) -> Result<EngineStream, CallError> {
        let _ = resume_after;
        Err(self.not_built(call.upstream))
    }

    /// Calls a plain service and returns once the answer's header is there.
    pub async fn forward(&self, call: PlainCall) -> Result<PlainReply, CallError> {
        Err(self.not_built(call.upstream))
    }

    /// Reads an upstream's load report.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, CallError> {
        Err(self.not_built(address.to_string().into()))
    }

    /// Sends an order; repeating it is harmless.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<(), OrderError> {
        let _ = order;
        Err(self.not_built(address.to_string().into()).into())
    }

    fn not_built(&self, upstream: UpstreamId) -> CallError {
        CallError {
            kind: CallErrorKind::Connect,
            run_state: RunState::NotRun,
            outcome: Outcome::Unused,
            upstream,
            detail: format!(
                "calls are not built yet ({:?})",
                self.settings.connect_timeout
            ),
        }
    }
}
