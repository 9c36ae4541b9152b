//! Paces of upstreams that have just started or recovered: see [`tc_policy::LocalPaces`].

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use tc_fleet::Mesh;
use tc_policy::{LocalOutcome, LocalPaces, PaceChange, PaceEvent, SeenUpstream, Sender};
use tc_protocol::{MonoTime, ServiceName, UpstreamId};

use crate::{
    upstream_stats::{CallOutcome, UpstreamStats},
    world::{UpstreamTable, World, WorldCell},
};

/// Paces at this instance. Without [`UpstreamPaces::enable`], no upstream is paced.
#[derive(Default)]
pub(crate) struct UpstreamPaces {
    /// Set if upstreams are paced.
    mesh: OnceLock<Mesh>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    paces: LocalPaces,
    /// The table that the paces were last updated from.
    upstreams: Option<Arc<UpstreamTable>>,
    /// Version of the configuration at that time.
    config_version: u64,
    /// Number of paced upstreams that was last reported.
    reported: usize,
}

impl std::fmt::Debug for UpstreamPaces {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamPaces").finish_non_exhaustive()
    }
}

impl UpstreamPaces {
    /// Starts pacing, with the instances that share the windows.
    pub(crate) fn enable(&self, mesh: Mesh) {
        let _ = self.mesh.set(mesh);
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.mesh.get().is_some()
    }

    /// Updates the registered upstreams if they have changed.
    ///
    /// Batch services are left out: their homes run few calls at a time and probe failed upstreams with one.
    pub(crate) fn update(&self, world: &World) {
        let Some(config) = world.config.as_ref().filter(|_| world.is_known()) else {
            return;
        };
        if !self.is_enabled() {
            return;
        }
        let mut state = self.lock();
        let version = config.routing.version;
        let is_same = |known: &Arc<UpstreamTable>| Arc::ptr_eq(known, &world.upstreams);
        if state.config_version == version && state.upstreams.as_ref().is_some_and(is_same) {
            return;
        }
        state.config_version = version;
        state.upstreams = Some(Arc::clone(&world.upstreams));
        let services = config.routing.services.values();
        let paced = services.filter(|service| service.batch.is_none());
        let registered = paced.flat_map(|service| {
            let upstreams = world.upstreams.of_service(service.name.as_str());
            upstreams.iter().map(|upstream| SeenUpstream {
                id: upstream.id.clone(),
                service: upstream.service.clone(),
                slots: upstream.slots,
                has_home: service.engine.is_some(),
            })
        });
        state.paces.update(MonoTime::now(), registered);
        state.log_events();
    }

    /// Returns true if an upstream registered recently.
    pub(crate) fn is_new(&self, id: &UpstreamId) -> bool {
        self.lock().paces.is_new(MonoTime::now(), id)
    }

    /// Returns true if paces limit the choice among these upstreams.
    pub(crate) fn binds<'a>(&self, upstreams: impl Iterator<Item = &'a UpstreamId>) -> bool {
        self.is_enabled() && self.lock().paces.binds(upstreams)
    }

    /// Returns true if this instance may send another request to the upstream without a grant from a home.
    pub(crate) fn allows(&self, id: &UpstreamId, in_progress: u32) -> bool {
        let Some(mesh) = self.mesh.get() else {
            return true;
        };
        let mut state = self.lock();
        if !state.paces.is_paced(id) {
            return true;
        }
        let (me, members) = (&mesh.me().id, &mesh.members());
        let sender = Sender { me, members };
        let allows = state.paces.allows(MonoTime::now(), sender, id, in_progress);
        state.log_events();
        allows
    }

    /// Returns true if the upstream has recently failed a request of this instance.
    pub(crate) fn is_in_trouble(&self, id: &UpstreamId) -> bool {
        self.lock().paces.is_in_trouble(MonoTime::now(), id)
    }

    /// Records the outcome of a call. Returns when a paced service's upstream that failed is tried again.
    pub(crate) fn record(&self, id: &UpstreamId, outcome: CallOutcome) -> Option<MonoTime> {
        let mesh = self.mesh.get()?;
        let outcome = match outcome {
            CallOutcome::Answered(first_byte) => LocalOutcome::Answered(first_byte),
            CallOutcome::Full => LocalOutcome::Full,
            CallOutcome::Failed => LocalOutcome::Failed,
        };
        let (me, members) = (&mesh.me().id, &mesh.members());
        let sender = Sender { me, members };
        let mut state = self.lock();
        state.paces.record(MonoTime::now(), sender, id, outcome);
        state.log_events();
        state.paces.retry_at(id)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Logs and counts the changes of paces. All instances have the same, and only homes log them as information.
    fn log_events(&mut self) {
        let paced = self.paces.len();
        if std::mem::replace(&mut self.reported, paced) != paced {
            metrics::gauge!("tc_paced_upstreams_without_home").set(paced as f64);
        }
        for event in self.paces.take_events() {
            log_event("instance", log::Level::Debug, None, &event);
        }
    }
}

/// Reports the number of paced upstreams at the home of a service.
pub(crate) fn report_paced(service: &ServiceName, paced: usize) {
    metrics::gauge!("tc_paced_upstreams", "service" => service.as_str().to_owned())
        .set(paced as f64);
}

/// Logs and counts changes of paces at the home of a service.
pub(crate) fn log_home_events(service: &ServiceName, events: &[PaceEvent]) {
    for event in events {
        log_event("home", log::Level::Info, Some(service), event);
    }
}

fn log_event(
    scope: &'static str,
    level: log::Level,
    service: Option<&ServiceName>,
    event: &PaceEvent,
) {
    let upstream = event.upstream.as_str();
    let service = service.map_or("", ServiceName::as_str);
    match event.change {
        PaceChange::Begun(cause, window) => {
            metrics::counter!("tc_paces_begun_total", "scope" => scope, "cause" => cause.label())
                .increment(1);
            log::log!(level, service = service, upstream = upstream, scope = scope, cause = cause.label(), window = window; "pace of an upstream begun");
        }
        PaceChange::Lowered(evidence, window) => {
            metrics::counter!("tc_paces_lowered_total", "scope" => scope, "evidence" => evidence.label())
                .increment(1);
            log::log!(level, service = service, upstream = upstream, scope = scope, evidence = evidence.label(), window = window; "pace of an upstream lowered");
        }
        PaceChange::Ended(reason, after) => {
            metrics::counter!("tc_paces_ended_total", "scope" => scope, "reason" => reason.label())
                .increment(1);
            metrics::histogram!("tc_pace_duration_ms", "scope" => scope)
                .record(after.as_secs_f64() * 1_000.0);
            log::log!(level, service = service, upstream = upstream, scope = scope, reason = reason.label(), after_ms = after.as_millis() as u64; "pace of an upstream ended");
        }
    }
}

/// Starts pacing if it is enabled, and logs the setting.
pub(crate) fn start_pacing(
    is_enabled: bool,
    mesh: &Mesh,
    world: &Arc<WorldCell>,
    upstream_stats: &Arc<UpstreamStats>,
) {
    log::info!(enabled = is_enabled; "pacing of new and recovering upstreams set");
    if is_enabled {
        upstream_stats.pace.enable(mesh.clone());
        let (world, upstream_stats) = (Arc::clone(world), Arc::clone(upstream_stats));
        tokio::spawn(follow_upstreams(world, upstream_stats));
    }
}

/// Keeps the registered upstreams up to date until the future is dropped.
async fn follow_upstreams(world: Arc<WorldCell>, upstream_stats: Arc<UpstreamStats>) {
    let mut changes = world.changes();
    loop {
        upstream_stats.pace.update(&world.load());
        if changes.changed().await.is_err() {
            return;
        }
    }
}
