//! Common parts of engines, pools and plain services: process, identity, slots, faults and load report.

mod answer_fault;
mod faults;
mod handle;
mod identity;
mod process;
mod slots;

pub use answer_fault::AnswerFault;
pub(crate) use faults::EVENT_STREAM;
pub use faults::UpstreamFaults;
pub use handle::UpstreamHandle;
pub(crate) use identity::{Identity, echoed, header_text, idempotency_key, priority};
pub(crate) use process::Life;
pub(crate) use slots::{SlotGuard, Slots};

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, Method, Request, Response, StatusCode, request::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tc_protocol::{ServiceName, UpstreamId, wire::LoadReport};
use tokio::net::TcpListener;

use self::process::Process;
use crate::{
    answer::{Answer, Body, Closed, json, refusal},
    recorder::{CallGuard, Ending, Recorder},
};

/// Path of the load report.
const LOAD_PATH: &str = "/load";

/// The parts every upstream has.
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) service: ServiceName,
    pub(crate) recorder: Recorder,
    pub(crate) slots: Arc<Slots>,
    pub(crate) faults: UpstreamFaults,
    process: Arc<Process>,
}

/// A call whose body has been read.
pub(crate) struct Call {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

impl Upstream {
    pub(crate) async fn bind(
        address: SocketAddr,
        id: UpstreamId,
        service: ServiceName,
        slots: Arc<Slots>,
        recorder: Recorder,
    ) -> io::Result<(Arc<Self>, TcpListener)> {
        let (process, listener) = Process::bind(address).await?;
        let process = Arc::new(process);
        let upstream = Self {
            id,
            service,
            recorder,
            slots,
            faults: UpstreamFaults::new(Arc::clone(&process)),
            process,
        };
        Ok((Arc::new(upstream), listener))
    }

    /// Serves calls to `owner` with `handle`; the switches that act on every call are applied around it.
    pub(crate) fn serve<U>(
        self: &Arc<Self>,
        listener: TcpListener,
        owner: Arc<U>,
        handle: fn(Arc<U>, Call) -> BoxFuture<'static, Answer>,
    ) -> UpstreamHandle
    where
        U: Send + Sync + 'static,
    {
        let upstream = Arc::clone(self);
        self.process.serve(
            listener,
            Arc::new(move |req| {
                let (owner, upstream) = (Arc::clone(&owner), Arc::clone(&upstream));
                Box::pin(async move {
                    let call = read_call(req).await?;
                    if upstream.faults.is_down() {
                        return Ok(upstream.down(&call));
                    }
                    if call.is_load_request() {
                        upstream.faults.hold().await;
                    }
                    let life = upstream.life();
                    let answer = handle(owner, call).await;
                    // A crash aborts the connections a moment later; nothing may be answered in between.
                    if life.has_crashed() {
                        Err(Closed)
                    } else {
                        answer
                    }
                })
            }),
        );
        UpstreamHandle::new(Arc::clone(self))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.process.address()
    }

    pub(crate) fn life(&self) -> Arc<Life> {
        self.process.life()
    }

    pub(crate) fn close(&self) {
        self.process.close();
    }

    /// Records the arrival of a call.
    pub(crate) fn record(
        &self,
        identity: &Identity,
        headers: &HeaderMap,
        input: &[u8],
    ) -> CallGuard {
        let key = idempotency_key(headers);
        let record = identity.record(&self.id, &self.service, key, input);
        CallGuard::new(&self.recorder, self.life(), record)
    }

    /// Ends the process because of a call that crashes it.
    pub(crate) fn crash_by(&self, guard: CallGuard) -> Closed {
        let life = guard.life();
        guard.end(Ending::Crashed);
        self.crash(&life);
        Closed
    }

    /// Ends the process because of a call.
    pub(crate) fn crash(&self, life: &Arc<Life>) {
        log::info!("upstream {} crashed by a call", self.id);
        self.process.crash(life);
    }

    /// Holds a slot's call for as long as `work` takes at the present slowness.
    pub(crate) async fn work(&self, work: Duration) {
        self.faults.hold().await;
        let work = work.mul_f64(self.faults.slow_factor());
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
    }

    /// The lagging load report.
    pub(crate) fn load_report(&self, models: Vec<String>) -> Response<Body> {
        let (load, age) = self.slots.lagging_load();
        json(&LoadReport {
            incarnation: self.life().incarnation(),
            running: load.running,
            queued: load.queued,
            slots: self.slots.limit(),
            age_ms: age.as_millis() as u64,
            leaving: self.faults.is_leaving(),
            models,
        })
    }

    fn down(&self, call: &Call) -> Response<Body> {
        if !call.is_load_request() {
            let identity = Identity::from_headers(&call.parts.headers);
            self.record(&identity, &call.parts.headers, &call.body)
                .end(Ending::Refused);
        }
        refusal(StatusCode::SERVICE_UNAVAILABLE, "down")
    }
}

impl Call {
    pub(crate) fn is_load_request(&self) -> bool {
        self.parts.method == Method::GET && self.parts.uri.path() == LOAD_PATH
    }
}

async fn read_call(req: Request<Incoming>) -> Result<Call, Closed> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    Ok(Call { parts, body })
}
