//! Wires the parts of one gateway process together and runs them until it is told to stop.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::body::Incoming;
use miette::Diagnostic;
use tc_fleet::{FleetError, Mesh, MeshSettings, UpstreamLimits};
use tc_membership::{MembershipConfig, SourceTiming};
use tc_platform::{Store, StoreSettings};
use tc_upstream::{ClientSettings, UpstreamClient};
use thiserror::Error;
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    backoffs::UpstreamBackoffs,
    budgets::RetryBudgets,
    codec::PlatformCodec,
    cold::ColdSends,
    engines::{EngineHomes, RunReportSender},
    freeze::FreezeWatch,
    handlers::{free_results, mesh_handlers},
    homes::{BatchHomes, HomeContext, ResultReleaser, poll_outlooks},
    join::{Finder, Settled, keep_members_same},
    limits::LimitedSends,
    listeners::{Listeners, on_traffic},
    run::{AnswerBody, RunContext, SharedOutlooks, SharedPromptTimes},
    serve::{CallerService, ConnectionLimits, Connections, InfoService, MetricsText, accept},
    settings::GatewaySettings,
    stop::{Asked, Signals, StopState, stop},
    unknown_headers::UnknownHeaders,
    world::{
        StoreRole, WatchContext, WorldCell, WorldPart, follow_source, watch_config,
        watch_evacuations, watch_upstreams,
    },
};

/// Longest time one call to the store may take; it answers in milliseconds when it is well.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time to connect to an upstream: two lost opening packets would take longer, and another upstream is near.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer of an upstream.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How often upstreams that are gone are forgotten.
const FORGET_EVERY: Duration = Duration::from_secs(10);

/// Why the gateway could not run.
#[derive(Debug, Error, Diagnostic)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    #[diagnostic(
        code(tc::gateway::listen),
        help("choose a free address of this machine")
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The layer between instances did not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] FleetError),
    /// Signals or threads cannot be had.
    #[error("cannot start: {0}")]
    #[diagnostic(code(tc::gateway::start))]
    System(#[from] std::io::Error),
}

/// One gateway instance that is serving.
pub struct Gateway {
    cx: Arc<RunContext>,
    stop: Arc<StopState>,
    connections: Connections,
    stop_accepting: CancellationToken,
}

impl Gateway {
    /// Starts an instance on the current runtime, which is the control thread's; requests run on `traffic`.
    ///
    /// `metrics` renders the metrics.
    pub async fn start(
        settings: GatewaySettings,
        codec: PlatformCodec,
        traffic: tokio::runtime::Handle,
        metrics: MetricsText,
    ) -> Result<Self, GatewayError> {
        let listeners = Listeners::bind(&settings).await?;
        let store = Store::new(StoreSettings {
            address: settings.store,
            calls_per_s: settings.store_calls_per_s,
            timeout: STORE_TIMEOUT,
        });
        let freezes = Arc::new(FreezeWatch::new(settings.suspended));
        let world = Arc::new(WorldCell::new(codec, Arc::clone(&freezes)));
        let settled = Settled::soon();
        let cx = start_context(&settings, codec, Arc::clone(&world), &traffic, &settled).await?;
        let source_timing = SourceTiming::within(news_bound(&settings));
        let role = StoreRole::new(source_timing);
        let watch = WatchContext {
            store: store.clone(),
            codec,
            cell: Arc::clone(&world),
            leave_time: settings.leave_time,
            watches: role.watches(),
            check_after: role.check_after(),
        };
        tokio::spawn(watch_config(watch.clone()));
        tokio::spawn(watch_upstreams(watch.clone()));
        if settings.evacuate_time.is_some() {
            tokio::spawn(watch_evacuations(watch));
        } else {
            world.leave_out(WorldPart::Evacuations);
        }
        let followed = Arc::clone(&world);
        tokio::spawn(follow_source(
            cx.mesh.clone(),
            followed,
            source_timing,
            role,
            settled.watch(),
        ));
        let finder = Finder {
            settings: settings.clone(),
            codec,
            store,
            mesh: cx.mesh.clone(),
            settled: settled.clone(),
        };
        tokio::spawn(finder.clone().look_for_strangers());
        tokio::spawn(finder.join());
        tokio::spawn(keep_members_same(cx.mesh.clone(), settled));
        tokio::spawn(follow_roles(cx.mesh.clone(), Arc::clone(&cx.homes)));
        tokio::spawn(forget(Arc::clone(&cx)));
        tokio::spawn(notice_absences(freezes, cx.mesh.clone()));
        let gateway = Self {
            cx,
            stop: Arc::new(StopState::new(settings.grace)),
            connections: Connections::default(),
            stop_accepting: CancellationToken::new(),
        };
        gateway.serve(&settings, &traffic, listeners, metrics)?;
        log::info!(instance = settings.me.id.as_str(), listen = settings.listen.to_string().as_str(), domain = settings.me.failure_domain.as_str(); "started");
        Ok(gateway)
    }

    /// Instances that are not thought to be dead, this one included.
    #[must_use]
    pub fn members(&self) -> usize {
        self.cx.instances()
    }

    /// Stops it as planned: done when the process may end.
    pub async fn stop(&self) {
        stop(
            &self.stop,
            &self.cx.mesh,
            &self.connections,
            &self.stop_accepting,
        )
        .await;
    }
}

/// Runs a gateway process until SIGTERM or SIGINT has ended it; `reload` is called at SIGHUP.
///
/// For the other arguments see [`Gateway::start`].
pub async fn run(
    settings: GatewaySettings,
    codec: PlatformCodec,
    traffic: tokio::runtime::Handle,
    metrics: MetricsText,
    reload: impl Fn() + Send,
) -> Result<(), GatewayError> {
    let mut signals = Signals::new()?;
    let gateway = Gateway::start(settings, codec, traffic, metrics).await?;
    while signals.next().await == Asked::Reload {
        reload();
    }
    gateway.stop().await;
    Ok(())
}

async fn start_context(
    settings: &GatewaySettings,
    codec: PlatformCodec,
    world: Arc<WorldCell>,
    traffic: &tokio::runtime::Handle,
    settled: &Settled,
) -> Result<Arc<RunContext>, GatewayError> {
    let client = UpstreamClient::new(ClientSettings {
        connect_timeout: CONNECT_TIMEOUT,
        max_response_bytes: MAX_ANSWER_BYTES,
        ..ClientSettings::default()
    });
    let budgets = Arc::new(RetryBudgets::new(settings.repeats));
    let (releaser, release_queue) = ResultReleaser::new();
    let limits = Arc::<UpstreamLimits>::default();
    let unknown_headers = Arc::<UnknownHeaders>::default();
    let backoffs = Arc::<UpstreamBackoffs>::default();
    let homes = Arc::new(BatchHomes::new(HomeContext {
        codec,
        client: client.clone(),
        world: Arc::clone(&world),
        budgets: Arc::clone(&budgets),
        releaser: releaser.clone(),
        limits: Arc::clone(&limits),
        backoffs: Arc::clone(&backoffs),
        unknown_headers: Arc::clone(&unknown_headers),
    }));
    let mesh_settings = MeshSettings {
        me: settings.me.clone(),
        listen: settings.me.fleet_address,
        keys: settings.keys.clone(),
        timing: MembershipConfig::default(),
        traffic: traffic.clone(),
        limits: Arc::clone(&limits),
    };
    let cold = Arc::new(ColdSends::new(settings.cold));
    let limits = Arc::new(LimitedSends::new(limits));
    let engines = EngineHomes::new(Arc::clone(&world), Arc::clone(&cold), Arc::clone(&limits));
    let engines = Arc::new(engines);
    let beat = SourceTiming::within(news_bound(settings)).heartbeat_interval;
    let handlers = mesh_handlers(beat, &homes, &engines, &world);
    let mesh = Mesh::start(mesh_settings, handlers).await?;
    let (run_reports, told) = RunReportSender::new();
    traffic.spawn(told.forward(mesh.clone(), Arc::clone(&engines)));
    traffic.spawn(poll_outlooks(mesh.clone(), Arc::clone(&homes)));
    traffic.spawn(free_results(
        release_queue,
        mesh.clone(),
        Arc::clone(&homes),
    ));
    Ok(Arc::new(RunContext {
        codec,
        world,
        mesh,
        homes,
        engines,
        run_reports,
        releaser,
        upstream_stats: Arc::default(),
        cold,
        limits,
        backoffs,
        unknown_headers,
        budgets,
        outlooks: SharedOutlooks::default(),
        prompt_times: SharedPromptTimes::default(),
        client,
        suspended: settings.suspended,
        members_settled: settled.watch(),
    }))
}

/// Bound within which whatever the store says must count on every instance.
fn news_bound(settings: &GatewaySettings) -> Duration {
    let evacuate_time = settings.evacuate_time.unwrap_or(settings.leave_time);
    let times = [settings.leave_time, settings.config_time, evacuate_time];
    times.into_iter().min().unwrap_or_default()
}

impl Gateway {
    fn serve(
        &self,
        settings: &GatewaySettings,
        traffic: &tokio::runtime::Handle,
        listeners: Listeners,
        metrics: MetricsText,
    ) -> Result<(), GatewayError> {
        let _entered = traffic.enter();
        self.start_callers(on_traffic(listeners.callers)?);
        let info = InfoService {
            cx: Arc::clone(&self.cx),
            stop: Arc::clone(&self.stop),
            address_max_age: settings.address_max_age,
            metrics,
        };
        if let Some(listener) = listeners.ready {
            let info = info.clone();
            self.start_info(on_traffic(listener)?, move |req| info.ready(&req));
        }
        if let Some(listener) = listeners.directory {
            let info = info.clone();
            self.start_info(on_traffic(listener)?, move |req| info.directory(&req));
        }
        if let Some(listener) = listeners.metrics {
            self.start_info(on_traffic(listener)?, move |_req| info.metrics());
        }
        Ok(())
    }

    fn start_callers(&self, listener: TcpListener) {
        let service = CallerService {
            cx: Arc::clone(&self.cx),
            connections: self.connections.clone(),
            stop: Arc::clone(&self.stop),
        };
        let world = Arc::clone(&self.cx.world);
        let limits = move || connection_limits(&world);
        let stop = self.stop_accepting.clone();
        let answer = move |req| service.clone().answer(req);
        tokio::spawn(accept(
            listener,
            self.connections.clone(),
            limits,
            stop,
            answer,
        ));
    }

    /// Small questions are answered to the end of the process.
    fn start_info<F>(&self, listener: TcpListener, answer: F)
    where
        F: Fn(Request<Incoming>) -> Response<AnswerBody> + Clone + Send + 'static,
    {
        let answer = move |req| std::future::ready(answer(req));
        let world = Arc::clone(&self.cx.world);
        let limits = move || connection_limits(&world);
        let never = CancellationToken::new();
        tokio::spawn(accept(
            listener,
            Connections::default(),
            limits,
            never,
            answer,
        ));
    }
}

fn connection_limits(world: &WorldCell) -> ConnectionLimits {
    let world = world.load();
    let limits = world
        .config
        .as_ref()
        .map(|config| config.routing.limits)
        .unwrap_or_default();
    ConnectionLimits {
        idle: limits.idle_timeout,
        header_bytes: limits.header_bytes,
    }
}

/// Hands homes over when the members change.
async fn follow_roles(mesh: Mesh, homes: Arc<BatchHomes>) {
    let mut changes = mesh.changes();
    while changes.changed().await.is_ok() {
        homes.hand_over(|service| {
            let home = mesh.home(service.as_str(), &[]);
            home.is_none_or(|home| home.id == mesh.me().id)
        });
    }
}

/// An instance that was absent may have been taken for dead, and may take others for what they no longer are.
async fn notice_absences(freezes: Arc<FreezeWatch>, mesh: Mesh) {
    freezes.keep_looking(|| mesh.woke()).await;
}

async fn forget(cx: Arc<RunContext>) {
    loop {
        sleep(FORGET_EVERY).await;
        let world = cx.world.load();
        cx.upstream_stats.retain(|id| world.upstreams.contains(id));
        cx.cold.retain(|id| world.upstreams.contains(id));
        cx.limits.retain(|id| world.upstreams.contains(id));
        cx.backoffs.expire();
    }
}
