//! A plain HTTP service.

use std::{io, net::SocketAddr, ops::Deref, sync::Arc, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use tc_protocol::{ServiceName, UpstreamId};

use crate::{
    answer::{Answer, json},
    output::{crashes, plain_output},
    recorder::{Ending, Recorder},
    upstream::{Call, Identity, Slots, Upstream, UpstreamHandle, echoed, priority},
};

/// Behavior of a plain service.
#[derive(Clone, Debug)]
pub struct PlainConfig {
    /// Its identifier.
    pub id: UpstreamId,
    /// Its service, for the records.
    pub service: ServiceName,
    /// Time of a call. Zero answers at once; timers have a precision of 1 ms.
    pub work: Duration,
    /// Calls run at once; more wait by priority, then arrival.
    pub slots: u32,
    /// Age of the load report.
    pub load_lag: Duration,
}

impl PlainConfig {
    /// An upstream of `service` with 8 slots that answers at once.
    #[must_use]
    pub fn new(id: &str, service: &str) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            work: Duration::ZERO,
            slots: 8,
            load_lag: Duration::ZERO,
        }
    }
}

/// A running plain service; dropping it stops it.
///
/// It answers any method and path with [`plain_output`], and `GET /load` with its load report.
pub struct Plain {
    handle: UpstreamHandle,
}

struct State {
    cfg: PlainConfig,
    upstream: Arc<Upstream>,
}

impl Plain {
    /// Starts a plain service on `address`; port 0 takes a free one.
    pub async fn start(
        address: SocketAddr,
        cfg: PlainConfig,
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

impl Deref for Plain {
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
        let resp = state.run(&call).await?;
        state.upstream.faults.spoil(resp).await
    }
    .boxed()
}

impl State {
    async fn run(&self, call: &Call) -> Answer {
        let headers = &call.parts.headers;
        let identity = Identity::from_headers(headers);
        let mut guard = self.upstream.record(&identity, headers, &call.body);
        let slot = self.upstream.slots.acquire(priority(headers)).await;
        guard.start();
        let stage = identity.stage.as_ref().map(AsRef::as_ref);
        if crashes(&String::from_utf8_lossy(&call.body), stage) {
            return Err(self.upstream.crash_by(guard));
        }
        self.upstream.work(self.cfg.work).await;
        drop(slot);
        guard.stop_busy();
        let path = call.parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let mut resp = json(&plain_output(path, &call.body));
        resp.headers_mut().extend(echoed(headers));
        guard.end(Ending::Answered);
        Ok(resp)
    }
}
