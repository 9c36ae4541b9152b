//! Creates the parts of a gateway process and runs them until the process is told to stop.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::body::Incoming;
use miette::Diagnostic;
use tc_fleet::{FleetError, Mesh, MeshSettings, SharedFleetShare, UpstreamLimits};
use tc_membership::{FleetShare, MembershipConfig, SourceTiming};
use tc_platform::{Store, StoreSettings};
use tc_protocol::MonoTime;
use tc_upstream::{ClientSettings, DialObserver, UpstreamClient};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    background::{
        hand_over_homes, place_services, remove_unregistered, watch_pauses, watch_upstream_reach,
    },
    backoffs::UpstreamBackoffs,
    codec::PlatformCodec,
    cold::ColdSends,
    engines::{EngineHomes, RunReportSender},
    freeze::PauseMonitor,
    handlers::{free_results, mesh_handlers},
    held_bytes::HeldBytes,
    homes::{BatchHomes, HomeContext, ResultReleaser, poll_outlooks},
    join::{Discovery, Settled, sync_members},
    limits::LimitedSends,
    listeners::{Listeners, into_runtime},
    origins::{StreamOrigins, follow_holders, send_new_origins},
    pace::start_pacing,
    peer_requests::PeerRequests,
    process_load::ProcessLoad,
    retry_budgets::{RetryBudgets, follow_members},
    run::{AnswerBody, RunContext, SharedOutlooks, SharedPromptTimes, SharedRoomTimes},
    serve::{CallerService, ConnectionLimits, Connections, InfoService, MetricsRenderer, accept},
    settings::GatewaySettings,
    stop::{SignalAction, Signals, StopState, stop},
    unknown_headers::UnknownHeaders,
    upstream_reach::UpstreamReach,
    upstream_stats::UpstreamStats,
    world::{
        StoreRole, WatchContext, WorldCell, WorldPart, fetch_gossiped_world, follow_source,
        gossip_world, watch_config, watch_evacuations, watch_upstreams,
    },
};

/// Timeout of store calls. The store normally answers within milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for connecting to an upstream. Losing two SYN packets would take longer, and another
/// upstream is usually available sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of an upstream's response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Errors that prevent the gateway from running.
#[derive(Debug, Error, Diagnostic)]
pub enum GatewayError {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    #[diagnostic(
        code(tc::gateway::listen),
        help("choose a free address of this machine")
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The communication layer between instances did not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] FleetError),
    /// Signal handlers or threads could not be set up.
    #[error("cannot start: {0}")]
    #[diagnostic(code(tc::gateway::start))]
    System(#[from] std::io::Error),
}

/// A running gateway instance.
pub struct Gateway {
    cx: Arc<RunContext>,
    stop: Arc<StopState>,
    connections: Connections,
    stop_accepting: CancellationToken,
}

impl Gateway {
    /// Starts an instance on the current runtime, which belongs to the control thread. Requests run
    /// on `traffic`.
    ///
    /// `metrics` renders the metrics.
    pub async fn start(
        settings: GatewaySettings,
        codec: PlatformCodec,
        traffic: tokio::runtime::Handle,
        metrics: MetricsRenderer,
    ) -> Result<Self, GatewayError> {
        let listeners = Listeners::bind(&settings).await?;
        let store = Store::new(StoreSettings {
            address: settings.store,
            calls_per_s: settings.store_calls_per_s,
            timeout: STORE_TIMEOUT,
        });
        let pause_monitor = Arc::new(PauseMonitor::new(settings.suspended));
        let world = Arc::new(WorldCell::new(codec, Arc::clone(&pause_monitor)));
        let settled = Settled::with_timeout();
        let cx = start_context(&settings, codec, Arc::clone(&world), &traffic, &settled).await?;
        let source_timing = SourceTiming::within(settings.propagation_limit());
        let role = StoreRole::new(source_timing);
        let watch = WatchContext {
            store: store.clone(),
            codec,
            cell: Arc::clone(&world),
            batch_time: source_timing.batch_time,
            should_watch: role.should_watch(),
            list_schedule: role.list_schedule(),
            hedge_delay: source_timing.hedge_delay,
        };
        tokio::spawn(watch_config(watch.clone()));
        tokio::spawn(watch_upstreams(watch.clone()));
        if settings.evacuation_limit.is_some() {
            tokio::spawn(watch_evacuations(watch));
        } else {
            world.disable_part(WorldPart::Evacuations);
        }
        let cell = Arc::clone(&world);
        tokio::spawn(follow_source(
            cx.mesh.clone(),
            cell,
            source_timing,
            role,
            settled.subscribe(),
        ));
        let (mesh, cell) = (cx.mesh.clone(), Arc::clone(&world));
        tokio::spawn(gossip_world(mesh, cell));
        let (mesh, cell) = (cx.mesh.clone(), Arc::clone(&world));
        let grace = source_timing.heartbeat_interval;
        tokio::spawn(fetch_gossiped_world(mesh, cell, grace));
        let discovery = Discovery {
            settings: settings.clone(),
            codec,
            store,
            mesh: cx.mesh.clone(),
            settled: settled.clone(),
        };
        tokio::spawn(discovery.clone().join_unknown_members());
        tokio::spawn(discovery.join());
        tokio::spawn(sync_members(cx.mesh.clone(), settled));
        tokio::spawn(place_services(cx.mesh.clone(), Arc::clone(&world)));
        tokio::spawn(hand_over_homes(cx.mesh.clone(), Arc::clone(&cx.homes)));
        tokio::spawn(follow_members(
            cx.mesh.clone(),
            Arc::clone(&cx.retry_budgets),
        ));
        tokio::spawn(remove_unregistered(Arc::clone(&cx)));
        tokio::spawn(watch_pauses(pause_monitor, cx.mesh.clone()));
        traffic.spawn(watch_upstream_reach(Arc::clone(&cx)));
        let gateway = Self {
            cx,
            stop: Arc::new(StopState::new(settings.grace)),
            connections: Connections::default(),
            stop_accepting: CancellationToken::new(),
        };
        gateway.serve(&settings, &traffic, listeners, metrics)?;
        log::info!(instance = settings.me.id.as_str(), listen = settings.listen.to_string().as_str(), domain = settings.me.failure_domain.as_str(); "gateway started");
        Ok(gateway)
    }

    /// Returns the number of instances not known to be dead, including this one.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.cx.instances()
    }

    /// Returns the number of instances among which this one divides fleet-wide allowances.
    #[must_use]
    pub fn assumed_instances(&self) -> usize {
        self.cx.retry_budgets.assumed_instances()
    }

    /// Stops gracefully. Returns when the process may exit.
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

/// Runs a gateway process until SIGTERM or SIGINT stops it. Calls `reload` on SIGHUP.
///
/// For the other arguments see [`Gateway::start`].
pub async fn run(
    settings: GatewaySettings,
    codec: PlatformCodec,
    traffic: tokio::runtime::Handle,
    metrics: MetricsRenderer,
    reload: impl Fn() + Send,
) -> Result<(), GatewayError> {
    let mut signals = Signals::new()?;
    let gateway = Gateway::start(settings, codec, traffic, metrics).await?;
    while signals.next().await == SignalAction::Reload {
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
    let client_settings = ClientSettings {
        connect_timeout: CONNECT_TIMEOUT,
        max_response_bytes: MAX_RESPONSE_BYTES,
        ..ClientSettings::default()
    };
    let upstream_reach = Arc::new(UpstreamReach::new(Arc::clone(&world)));
    let reach = Arc::clone(&upstream_reach);
    let observer: DialObserver = Arc::new(move |address, is_connected| {
        reach.record(address, is_connected);
    });
    let client =
        UpstreamClient::with_dial_hooks(client_settings, settings.reaches_upstream, observer);
    let fleet_address = settings.me.fleet_address;
    let share = FleetShare::new(MonoTime::now(), fleet_address, &settings.seeds);
    let share = Arc::new(SharedFleetShare::new(share));
    let retry_budgets = RetryBudgets::new(settings.retry_budget, Arc::clone(&share));
    let retry_budgets = Arc::new(retry_budgets);
    let (releaser, release_queue) = ResultReleaser::new();
    let limits = Arc::<UpstreamLimits>::default();
    let unknown_headers = Arc::<UnknownHeaders>::default();
    let backoffs = Arc::<UpstreamBackoffs>::default();
    let upstream_stats = Arc::<UpstreamStats>::default();
    let load = Arc::<ProcessLoad>::default();
    tokio::spawn(Arc::clone(&load).observe("control"));
    traffic.spawn(Arc::clone(&load).observe("traffic"));
    let homes = Arc::new(BatchHomes::new(HomeContext {
        codec,
        client: client.clone(),
        world: Arc::clone(&world),
        retry_budgets: Arc::clone(&retry_budgets),
        releaser: releaser.clone(),
        limits: Arc::clone(&limits),
        backoffs: Arc::clone(&backoffs),
        unknown_headers: Arc::clone(&unknown_headers),
        upstream_stats: Arc::clone(&upstream_stats),
        load,
    }));
    let mesh_settings = MeshSettings {
        me: settings.me.clone(),
        listen: settings.me.fleet_address,
        keys: settings.keys.clone(),
        timing: MembershipConfig::default(),
        traffic: traffic.clone(),
        limits: Arc::clone(&limits),
        share,
    };
    let cold = Arc::new(ColdSends::new(settings.cold));
    let limits = Arc::new(LimitedSends::new(limits));
    let engines = Arc::new(EngineHomes::new(
        Arc::clone(&world),
        Arc::clone(&cold),
        Arc::clone(&limits),
        Arc::clone(&upstream_stats),
    ));
    let heartbeat_interval = SourceTiming::within(settings.propagation_limit()).heartbeat_interval;
    let (origins, new_origins) = StreamOrigins::new();
    let handlers = mesh_handlers(heartbeat_interval, &homes, &engines, &world, &origins);
    let mesh = Mesh::start(mesh_settings, handlers).await?;
    start_pacing(settings.pace_new_upstreams, &mesh, &world, &upstream_stats);
    traffic.spawn(send_new_origins(mesh.clone(), new_origins));
    let pauses = world.pause_monitor().changes();
    traffic.spawn(follow_holders(mesh.clone(), Arc::clone(&origins), pauses));
    let (run_reports, report_receiver) = RunReportSender::new();
    traffic.spawn(report_receiver.forward(mesh.clone(), Arc::clone(&engines)));
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
        upstream_stats,
        upstream_reach,
        peer_requests: PeerRequests::new(MAX_RESPONSE_BYTES),
        cold,
        limits,
        backoffs,
        unknown_headers,
        retry_budgets,
        origins,
        outlooks: SharedOutlooks::default(),
        prompt_times: SharedPromptTimes::default(),
        room_times: SharedRoomTimes::default(),
        client,
        held_bytes: HeldBytes::new(settings.max_held_bytes),
        suspended: settings.suspended,
        members_settled: settled.subscribe(),
    }))
}

impl Gateway {
    fn serve(
        &self,
        settings: &GatewaySettings,
        traffic: &tokio::runtime::Handle,
        listeners: Listeners,
        metrics: MetricsRenderer,
    ) -> Result<(), GatewayError> {
        let _entered = traffic.enter();
        self.start_callers(settings, into_runtime(listeners.callers)?);
        let info = InfoService {
            cx: Arc::clone(&self.cx),
            stop: Arc::clone(&self.stop),
            address_max_age: settings.address_max_age,
            metrics,
        };
        if let Some(listener) = listeners.ready {
            let info = info.clone();
            self.start_info(into_runtime(listener)?, move |req| info.ready(&req));
        }
        if let Some(listener) = listeners.directory {
            let info = info.clone();
            self.start_info(into_runtime(listener)?, move |req| info.directory(&req));
        }
        if let Some(listener) = listeners.metrics {
            self.start_info(into_runtime(listener)?, move |_req| info.metrics());
        }
        Ok(())
    }

    fn start_callers(&self, settings: &GatewaySettings, listener: TcpListener) {
        let service = CallerService {
            cx: Arc::clone(&self.cx),
            connections: self.connections.clone(),
            stop: Arc::clone(&self.stop),
            config_apply_limit: settings.config_apply_limit,
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

    /// Serves an information endpoint until the process ends.
    fn start_info<F>(&self, listener: TcpListener, answer: F)
    where
        F: Fn(Request<Incoming>) -> Response<AnswerBody> + Clone + Send + 'static,
    {
        let answer = move |req| std::future::ready(answer(req));
        let world = Arc::clone(&self.cx.world);
        let limits = move || connection_limits(&world);
        let never_cancelled = CancellationToken::new();
        tokio::spawn(accept(
            listener,
            Connections::default(),
            limits,
            never_cancelled,
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
