//! A caller server with fake ports in front of stand-in upstreams.
#![allow(
    dead_code,
    reason = "each test file is a program of its own and uses its part"
)]

pub(crate) mod client;
pub(crate) mod fleet;
pub(crate) mod ports;

use std::{sync::Arc, time::Duration};

use tc_caller::{CallerServer, CallerSettings, CallerTimeouts, Ports};
use tc_protocol::{InstanceId, RequestId};
use tc_stand_ins::{Engine, EngineConfig, Plain, PlainConfig, Pool, PoolConfig, Recorder};
use tc_upstream::{ClientSettings, UpstreamClient};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use client::Client;
use fleet::{ANY_PORT, INCARNATION, ME};
use ports::Fakes;

/// Largest body the test server takes.
pub(crate) const MAX_BODY: usize = 64 * 1024;
/// Largest headers the test server takes.
pub(crate) const MAX_HEADERS: usize = 8 * 1024;

/// As in service, but for what tests wait for.
const TIMEOUTS: CallerTimeouts = CallerTimeouts {
    first_request: Duration::from_secs(2),
    header_read: Duration::from_secs(2),
    body_read: Duration::from_secs(10),
    reader_stall: Duration::from_secs(3),
};

/// Upstreams, two of each service.
pub(crate) struct Upstreams {
    pub(crate) recorder: Recorder,
    pub(crate) pools: Vec<Pool>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) plains: Vec<Plain>,
}

impl Upstreams {
    /// Upstreams that answer at once; `token` is the time for each generated token.
    pub(crate) async fn start(token: Duration) -> Self {
        let recorder = Recorder::new();
        let mut up = Self {
            recorder: recorder.clone(),
            pools: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
        };
        for service in ["encode", "rerank", "bill"] {
            for n in 1..=2 {
                let cfg = PoolConfig::new(&format!("{service}-{n}"), service);
                up.pools
                    .push(Pool::start(ANY_PORT, cfg, recorder.clone()).await.unwrap());
            }
        }
        for n in 1..=2 {
            let mut cfg = EngineConfig::new(&format!("gen-{n}"), "generate");
            cfg.per_token = token;
            up.engines.push(
                Engine::start(ANY_PORT, cfg, recorder.clone())
                    .await
                    .unwrap(),
            );
        }
        for service in ["lots", "notify"] {
            for n in 1..=2 {
                let cfg = PlainConfig::new(&format!("{service}-{n}"), service);
                up.plains
                    .push(Plain::start(ANY_PORT, cfg, recorder.clone()).await.unwrap());
            }
        }
        up
    }

    pub(crate) fn pool(&self, id: &str) -> &Pool {
        let found = self.pools.iter().find(|p| p.id().as_str() == id);
        found.expect("a pool of that name")
    }
}

/// One instance under test.
pub(crate) struct World {
    pub(crate) up: Upstreams,
    pub(crate) fakes: Arc<Fakes>,
    pub(crate) instance: Instance,
    pub(crate) client: Client,
}

/// A running server.
pub(crate) struct Instance {
    pub(crate) server: Arc<CallerServer>,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) stop: CancellationToken,
    pub(crate) serving: tokio::task::JoinHandle<()>,
}

impl Instance {
    pub(crate) async fn start(id: &str, ports: Ports, baseline: bool) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.unwrap();
        let address = listener.local_addr().unwrap();
        let settings = CallerSettings {
            me: InstanceId::from(id),
            incarnation: INCARNATION,
            max_body_bytes: MAX_BODY,
            max_header_bytes: MAX_HEADERS,
            baseline,
        };
        let upstream = UpstreamClient::new(ClientSettings::default());
        let server = CallerServer::with_timeouts(settings, ports, upstream, TIMEOUTS);
        let stop = CancellationToken::new();
        let serving = tokio::spawn(server.clone().serve(listener, stop.clone()));
        Self {
            server,
            address,
            stop,
            serving,
        }
    }
}

impl World {
    pub(crate) async fn start() -> Self {
        Self::with_token_time(Duration::ZERO).await
    }

    pub(crate) async fn with_token_time(token: Duration) -> Self {
        let up = Upstreams::start(token).await;
        let fakes = Arc::new(Fakes::new(fleet::config(&up)));
        let instance = Instance::start(ME, fakes.ports(), false).await;
        let client = Client::new(instance.address);
        Self {
            up,
            fakes,
            instance,
            client,
        }
    }

    /// Lets the pipeline that generates do so for longer.
    pub(crate) fn set_max_tokens(&self, max_tokens: u32) {
        self.reconfigure(|config| {
            let summary = config.pipelines.get_mut("summary").unwrap();
            let stages = summary.stages.iter_mut();
            stages.for_each(|stage| stage.max_tokens = max_tokens);
        });
    }

    pub(crate) fn reconfigure(&self, change: impl FnOnce(&mut tc_protocol::FleetConfig)) {
        let mut view = (*self.fakes.view()).clone();
        change(Arc::make_mut(&mut view.config));
        self.fakes.set_view(view);
    }

    /// The decisions kept of a request.
    pub(crate) fn steps(&self, id: &str) -> Vec<serde_json::Value> {
        let explanation = self.instance.server.explain(&RequestId::from(id)).unwrap();
        let steps = explanation.steps.iter();
        steps.map(|s| serde_json::to_value(s).unwrap()).collect()
    }

    /// What was decided for a request, in words.
    pub(crate) fn explained(&self, id: &str) -> Vec<String> {
        let words = self.steps(id).into_iter().map(|s| s["what"].clone());
        words.map(|w| w.as_str().unwrap().to_owned()).collect()
    }
}

/// Waits until `check` holds; fails after a generous bound.
pub(crate) async fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..1_000 {
        if check() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never happened: {what}");
}

/// Starts a second instance that knows the first, and tells the first of it.
pub(crate) async fn second_instance(world: &World, id: &str) -> Instance {
    let config = (*world.fakes.view().config).clone();
    let fakes = Arc::new(Fakes::new(config.clone()));
    let other = Instance::start(id, fakes.ports(), false).await;
    let first = fleet::member(ME, INCARNATION, world.instance.address);
    let second = fleet::member(id, INCARNATION, other.address);
    fakes.set_view(fleet::view(
        second.clone(),
        std::slice::from_ref(&first),
        config.clone(),
    ));
    world.fakes.set_view(fleet::view(first, &[second], config));
    other
}
