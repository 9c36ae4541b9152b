//! A model engine: continuous batching, a prefix cache, streams that resume, orders.

mod batch;
mod completion;
mod config;
mod orders;
mod prefix_cache;
mod stream;

pub use config::EngineConfig;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    ops::Deref,
    sync::{Arc, Mutex},
};

use futures::{FutureExt, future::BoxFuture};
use http::{Method, StatusCode};

use self::{
    completion::complete,
    orders::{Orders, handle_order},
    prefix_cache::PrefixCache,
    stream::StreamJob,
};
use crate::{
    answer::{Answer, refusal},
    recorder::Recorder,
    upstream::{Call, Identity, Slots, Upstream, UpstreamHandle},
};

/// A running engine; dropping it stops it.
pub struct Engine {
    handle: UpstreamHandle,
    state: Arc<State>,
}

struct State {
    cfg: EngineConfig,
    upstream: Arc<Upstream>,
    prefixes: Mutex<PrefixCache>,
    streams: Mutex<HashMap<Identity, Arc<StreamJob>>>,
    orders: Orders,
}

impl Engine {
    /// Starts an engine on `address`; port 0 takes a free one.
    pub async fn start(
        address: SocketAddr,
        cfg: EngineConfig,
        recorder: Recorder,
    ) -> io::Result<Self> {
        let slots = Slots::new(cfg.slots, cfg.load_lag);
        let (id, service) = (cfg.id.clone(), cfg.service.clone());
        let (upstream, listener) = Upstream::bind(address, id, service, slots, recorder).await?;
        let state = Arc::new(State {
            prefixes: Mutex::new(PrefixCache::new(cfg.prefix_cache_entries)),
            streams: Mutex::default(),
            orders: Orders::new(cfg.models.clone()),
            upstream: Arc::clone(&upstream),
            cfg,
        });
        let handle = upstream.serve(listener, Arc::clone(&state), handle);
        Ok(Self { handle, state })
    }

    /// Models loaded now, as `name@version`.
    #[must_use]
    pub fn models(&self) -> Vec<String> {
        self.state.orders.models()
    }

    /// Role that the last accepted order gave it.
    #[must_use]
    pub fn role(&self) -> Option<String> {
        self.state.orders.role()
    }
}

impl Deref for Engine {
    type Target = UpstreamHandle;

    fn deref(&self) -> &UpstreamHandle {
        &self.handle
    }
}

fn handle(state: Arc<State>, call: Call) -> BoxFuture<'static, Answer> {
    async move {
        if call.is_load_request() {
            return Ok(state.upstream.load_report(state.orders.models()));
        }
        match (&call.parts.method, call.parts.uri.path()) {
            (&Method::POST, "/v1/completions") => {
                let resp = complete(&state, &call).await?;
                state.upstream.faults.spoil(resp).await
            }
            (&Method::POST, "/orders") => Ok(handle_order(&state, &call.body)),
            _ => Ok(refusal(StatusCode::NOT_FOUND, "no such path")),
        }
    }
    .boxed()
}
