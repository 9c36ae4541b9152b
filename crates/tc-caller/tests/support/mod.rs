//! Test environment: a caller server with fake ports and stand-in upstreams.
#![allow(
    dead_code,
    reason = "each test file is compiled with this module and uses only a part of it"
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

/// Maximum request body size of the test server.
pub(crate) const MAX_BODY: usize = 64 * 1024;
/// Maximum size of the request headers of the test server.
pub(crate) const MAX_HEADERS: usize = 8 * 1024;

/// Shorter than the defaults, except `body_read`, because tests wait for the others to expire.
const TIMEOUTS: CallerTimeouts = CallerTimeouts {
    first_request: Duration::from_secs(2),
    header_read: Duration::from_secs(2),
    body_read: Duration::from_secs(10),
    reader_stall: Duration::from_secs(3),
};

/// Stand-in upstreams, two for each service.
pub(crate) struct Upstreams {
    pub(crate) recorder: Recorder,
    pub(crate) pools: Vec<Pool>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) plains: Vec<Plain>,
}

impl Upstreams {
    /// Starts upstreams that respond without a delay, except that engines take `per_token` for each token.
    pub(crate) async fn start(per_token: Duration) -> Self {
        let recorder = Recorder::new();
        let mut upstreams = Self {
            recorder: recorder.clone(),
            pools: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
        };
        for service in ["encode", "rerank", "bill"] {
            for n in 1..=2 {
                let cfg = PoolConfig::new(&format!("{service}-{n}"), service);
                upstreams
                    .pools
                    .push(Pool::start(ANY_PORT, cfg, recorder.clone()).await.unwrap());
            }
        }
        for n in 1..=2 {
            let mut cfg = EngineConfig::new(&format!("gen-{n}"), "generate");
            cfg.per_token = per_token;
            upstreams.engines.push(
                Engine::start(ANY_PORT, cfg, recorder.clone())
                    .await
                    .unwrap(),
            );
        }
        for service in ["lots", "notify"] {
            for n in 1..=2 {
                let cfg = PlainConfig::new(&format!("{service}-{n}"), service);
                upstreams
                    .plains
                    .push(Plain::start(ANY_PORT, cfg, recorder.clone()).await.unwrap());
            }
        }
        upstreams
    }

    pub(crate) fn pool(&self, id: &str) -> &Pool {
        let found = self.pools.iter().find(|p| p.id().as_str() == id);
        found.expect("unknown pool")
    }
}

/// One instance with its upstreams, fake ports and a client.
pub(crate) struct TestEnv {
    pub(crate) upstreams: Upstreams,
    pub(crate) fakes: Arc<Fakes>,
    pub(crate) instance: Instance,
    pub(crate) client: Client,
}

/// A running caller server.
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

impl TestEnv {
    pub(crate) async fn start() -> Self {
        Self::with_token_time(Duration::ZERO).await
    }

    pub(crate) async fn with_token_time(per_token: Duration) -> Self {
        let upstreams = Upstreams::start(per_token).await;
        let fakes = Arc::new(Fakes::new(fleet::config(&upstreams)));
        let instance = Instance::start(ME, fakes.ports(), false).await;
        let client = Client::new(instance.address);
        Self {
            upstreams,
            fakes,
            instance,
            client,
        }
    }

    /// Sets the maximum number of generated tokens of the pipeline `summary`.
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

    /// Returns the recorded steps of a request.
    pub(crate) fn steps(&self, id: &str) -> Vec<serde_json::Value> {
        let explanation = self.instance.server.explain(&RequestId::from(id)).unwrap();
        let steps = explanation.steps.iter();
        steps.map(|s| serde_json::to_value(s).unwrap()).collect()
    }

    /// Returns the kinds of the decisions recorded for a request.
    pub(crate) fn decisions(&self, id: &str) -> Vec<String> {
        let kinds = self.steps(id).into_iter().map(|s| s["what"].clone());
        kinds
            .map(|kind| kind.as_str().unwrap().to_owned())
            .collect()
    }
}

/// Waits until `check` returns true, and panics after 10 seconds.
pub(crate) async fn eventually(condition: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..1_000 {
        if check() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting until {condition}");
}

/// Starts a second instance. The views of both instances contain each other.
pub(crate) async fn second_instance(env: &TestEnv, id: &str) -> Instance {
    let config = (*env.fakes.view().config).clone();
    let fakes = Arc::new(Fakes::new(config.clone()));
    let other = Instance::start(id, fakes.ports(), false).await;
    let first = fleet::member(ME, INCARNATION, env.instance.address);
    let second = fleet::member(id, INCARNATION, other.address);
    fakes.set_view(fleet::view(
        second.clone(),
        std::slice::from_ref(&first),
        config.clone(),
    ));
    env.fakes.set_view(fleet::view(first, &[second], config));
    other
}
