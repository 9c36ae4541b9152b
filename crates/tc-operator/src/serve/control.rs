//! The control thread: starts every layer, then waits for a signal.

use std::{
    sync::{Arc, OnceLock},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tc_caller::{CallerServer, CallerSettings};
use tc_fleet::{Fleet, FleetError, FleetKeys, FleetSettings, PermitPolicy, ReportHandlers};
use tc_platform::{Claims, ClaimsSettings, Store, StoreSettings};
use tc_protocol::{Incarnation, Member, MemberState, TcError};
use tc_telemetry::MetricsHandle;
use tc_upstream::{ClientSettings, UpstreamClient};
use tokio::{net::TcpListener, runtime::Handle};
use tokio_util::sync::CancellationToken;

use super::{admin, cannot_listen, internal, missing, ports, report, stop};
use crate::{serve_admin, settings::Settings};

/// Longest time of one call to the platform.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Claim shards over the whole platform: each shard's commits follow one another, so that this many times one over the
/// store's answer time bounds the fleet's claim commits.
const CLAIM_SHARDS: u32 = 8;
/// Shortest time between two commits of one shard by one instance.
const CLAIM_COMMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Most operations in one commit.
const CLAIM_BATCH: usize = 512;
/// Largest sum of header names and values towards callers, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// The layers of a running instance that commands and the planned stop need.
#[derive(Clone)]
pub(super) struct Running {
    pub(super) fleet: Fleet,
    pub(super) caller: Arc<CallerServer>,
    pub(super) claims: Claims,
    pub(super) store: Store,
    pub(super) started: std::time::Instant,
}

/// Runs the instance; returns after its planned stop.
pub(super) async fn run(
    settings: &Settings,
    traffic: Handle,
    metrics: MetricsHandle,
) -> Result<(), Box<TcError>> {
    let listener = bind(settings.listen)?;
    let admin_listener = TcpListener::bind(settings.admin_listen)
        .await
        .map_err(|error| cannot_listen(settings.admin_listen, &error))?;
    let me = member(settings);
    let running = start(settings, &me, &traffic).await?;
    let stop = CancellationToken::new();
    let listener = {
        let _entered = traffic.enter();
        TcpListener::from_std(listener).map_err(internal)?
    };
    let served = traffic.spawn(Arc::clone(&running.caller).serve(listener, stop.clone()));
    let admin_ports = Arc::new(admin::ports(&running, metrics));
    let token = settings.operator_token.clone();
    let admin_stop = CancellationToken::new();
    tokio::spawn(serve_admin(
        admin_listener,
        admin_ports,
        token,
        admin_stop.clone(),
    ));
    tokio::spawn(follow_config(running.clone()));
    let seeded = !settings.seeds.is_empty();
    tokio::spawn(missing::warn_while_missing(running.clone(), seeded));
    log::info!(
        instance = me.id.as_str(), incarnation = me.incarnation.0;
        "serving callers on {}, instances on {}, operators on {}",
        settings.listen, settings.fleet_listen, settings.admin_listen
    );
    let ended = stop::wait_and_stop(&running, settings.drain_limit, stop, served).await;
    admin_stop.cancel();
    ended
}

async fn start(
    settings: &Settings,
    me: &Member,
    traffic: &Handle,
) -> Result<Running, Box<TcError>> {
    let store = Store::new(StoreSettings {
        address: settings.platform,
        calls_per_s: settings.store_calls_per_s,
        timeout: STORE_TIMEOUT,
    });
    let claims = Claims::start(store.clone(), claims_settings(me));
    let running: Arc<OnceLock<Running>> = Arc::default();
    let local = ReportHandlers {
        explain: report::explain_here(Arc::clone(&running)),
        report: report::report_here(Arc::clone(&running)),
    };
    // A client's connections belong to one runtime, so control and traffic have one each.
    let control_client = UpstreamClient::new(ClientSettings::default());
    let fleet = Fleet::start(
        fleet_settings(settings, me, traffic)?,
        store.clone(),
        control_client,
        local,
    )
    .await
    .map_err(fleet_error)?;
    let caller_settings = CallerSettings {
        me: me.id.clone(),
        incarnation: me.incarnation,
        max_body_bytes: settings.max_body_bytes,
        max_header_bytes: MAX_HEADER_BYTES,
        baseline: settings.baseline,
    };
    let traffic_client = UpstreamClient::new(ClientSettings::default());
    let caller = CallerServer::new(
        caller_settings,
        ports::caller(&fleet, &claims),
        traffic_client,
    );
    let layers = Running {
        fleet,
        caller,
        claims,
        store,
        started: std::time::Instant::now(),
    };
    let _ = running.set(layers.clone());
    Ok(layers)
}

fn bind(address: std::net::SocketAddr) -> Result<std::net::TcpListener, Box<TcError>> {
    let listener =
        std::net::TcpListener::bind(address).map_err(|error| cannot_listen(address, &error))?;
    listener.set_nonblocking(true).map_err(internal)?;
    Ok(listener)
}

fn member(settings: &Settings) -> Member {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Member {
        id: settings.instance_id.clone(),
        incarnation: Incarnation(since_epoch.as_millis() as u64),
        caller_address: settings.listen,
        fleet_address: settings.fleet_advertise,
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
        state: MemberState::Alive,
        strength: Member::default_strength(),
    }
}

fn claims_settings(me: &Member) -> ClaimsSettings {
    let policy = tc_protocol::Policy::default();
    ClaimsSettings {
        shards: CLAIM_SHARDS,
        commit_interval: CLAIM_COMMIT_INTERVAL,
        max_batch: CLAIM_BATCH,
        retention: Duration::from_secs(policy.claim_retention_s),
        holder: me.id.clone(),
        incarnation: me.incarnation,
    }
}

fn fleet_settings(
    settings: &Settings,
    me: &Member,
    traffic: &Handle,
) -> Result<FleetSettings, Box<TcError>> {
    let keys: Vec<&str> = settings
        .fleet_keys
        .iter()
        .map(crate::Secret::expose)
        .collect();
    Ok(FleetSettings {
        me: me.clone(),
        fleet_listen: settings.fleet_listen,
        seeds: settings.seeds.clone(),
        keys: FleetKeys::new(&keys).map_err(fleet_error)?,
        policy: if settings.baseline {
            PermitPolicy::Baseline
        } else {
            PermitPolicy::Home
        },
        membership: tc_membership::MembershipConfig::default(),
        traffic: traffic.clone(),
    })
}

fn fleet_error(error: FleetError) -> Box<TcError> {
    match error {
        FleetError::Listen { address, source } => cannot_listen(address, &source),
        error => internal(error),
    }
}

/// Hands changed configuration to the layers that do not read the view.
async fn follow_config(running: Running) {
    let mut every = tokio::time::interval(Duration::from_secs(1));
    loop {
        every.tick().await;
        let retention = running.fleet.view().config.policy.claim_retention_s;
        running.claims.set_retention(Duration::from_secs(retention));
    }
}
