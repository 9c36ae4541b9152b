//! A pool: encoder, retriever or reranker.

use std::{io, net::SocketAddr, ops::Deref, sync::Arc, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use http::{Method, StatusCode};
use tc_protocol::{
    ServiceName, UpstreamId,
    wire::{PoolRequest, PoolResponse},
};

use crate::{
    answer::{Answer, json, refusal},
    output::{crashes, pool_output},
    recorder::{Ending, Recorder},
    upstream::{Call, Identity, Slots, Upstream, UpstreamHandle, echoed, priority},
};

const BYTES_PER_KB: f64 = 1024.0;

/// Behavior of a pool.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Its identifier.
    pub id: UpstreamId,
    /// Its service, for the records.
    pub service: ServiceName,
    /// Time of a call with an empty input. Zero answers at once; timers have a precision of 1 ms.
    pub base: Duration,
    /// Added for each 1,024 bytes of input.
    pub per_kb: Duration,
    /// Calls run at once; more wait by priority, then arrival.
    pub slots: u32,
    /// Age of the load report.
    pub load_lag: Duration,
}

impl PoolConfig {
    /// A pool of `service` with 8 slots that answers at once.
    #[must_use]
    pub fn new(id: &str, service: &str) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            base: Duration::ZERO,
            per_kb: Duration::ZERO,
            slots: 8,
            load_lag: Duration::ZERO,
        }
    }
}

/// A running pool; dropping it stops it.
pub struct Pool {
    handle: UpstreamHandle,
}

struct State {
    cfg: PoolConfig,
    upstream: Arc<Upstream>,
}

impl Pool {
    /// Starts a pool on `address`; port 0 takes a free one.
    pub async fn start(
        address: SocketAddr,
        cfg: PoolConfig,
        recorder: Recorder,
    ) -> io::Result<Self> {
        let slots = Slots::new(cfg.slots, cfg.load_lag);
        let (id, service) = (cfg.id.clone(), cfg.service.clone());
        let (upstream, listener) = Upstream::bind(address, id, service, slots, recorder).await?;
        let state = Arc::new(State {
            cfg,
            upstream: Arc::clone(&upstream),
        });
        let handle = upstream.serve(listener, state, handle);
        Ok(Self { handle })
    }
}

impl Deref for Pool {
    type Target = UpstreamHandle;

    fn deref(&self) -> &UpstreamHandle {
        &self.handle
    }
}

fn handle(state: Arc<State>, call: Call) -> BoxFuture<'static, Answer> {
    async move {
        if call.is_load_request() {
            return Ok(state.upstream.load_report(Vec::new()));
        }
        if call.parts.method != Method::POST || call.parts.uri.path() != "/run" {
            return Ok(refusal(StatusCode::NOT_FOUND, "no such path"));
        }
        let resp = state.run(&call).await?;
        state.upstream.faults.spoil(resp).await
    }
    .boxed()
}

impl State {
    async fn run(&self, call: &Call) -> Answer {
        let headers = &call.parts.headers;
        let req: PoolRequest = match serde_json::from_slice(&call.body) {
            Ok(req) => req,
            Err(error) => return Ok(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        let identity = Identity {
            request: Some(req.request_id.clone()),
            stage: Some(req.stage.clone()),
            attempt: req.attempt,
        };
        let mut guard = self
            .upstream
            .record(&identity, headers, req.input.as_bytes());
        let slot = self.upstream.slots.acquire(priority(headers)).await;
        guard.start();
        if crashes(&req.input, Some(req.stage.as_str())) {
            return Err(self.upstream.crash_by(guard));
        }
        self.upstream.work(self.work_for(&req.input)).await;
        drop(slot);
        let busy = guard.stop_busy();
        let mut resp = json(&PoolResponse {
            output: pool_output(req.stage.as_str(), &req.input),
            request_id: req.request_id,
            stage: req.stage,
            attempt: req.attempt,
            busy_ms: busy.as_secs_f64() * 1_000.0,
        });
        resp.headers_mut().extend(echoed(headers));
        guard.end(Ending::Answered);
        Ok(resp)
    }

    fn work_for(&self, input: &str) -> Duration {
        let kb = input.len() as f64 / BYTES_PER_KB;
        self.cfg.base + self.cfg.per_kb.mul_f64(kb)
    }
}
