//! The homes of model services on this instance, by service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use tc_fleet::Mesh;
use tc_policy::{EngineCandidate, EnginePlanner};
use tc_protocol::{
    MonoTime, ServiceName, UpstreamId,
    routing::{EngineChoice, EngineLoad, EngineRequest, EngineSpec, RunProgress, RunReport},
};

use crate::{
    cold::ColdSends,
    limits::LimitedSends,
    pace::{UpstreamPaces, log_home_events, report_paced},
    upstream_stats::UpstreamStats,
    world::{World, WorldCell},
};

struct Home {
    planner: EnginePlanner,
    /// The world from which the engines of the planner were read.
    world: Option<Arc<World>>,
    /// Change counter of the rate limits that the planner uses.
    limit_changes: u64,
    /// Number of paced engines that was last reported.
    paced: usize,
}

/// Chooses engines for the services whose home is this instance, and for any other service while its home does not
/// answer.
pub(crate) struct EngineHomes {
    world: Arc<WorldCell>,
    cold: Arc<ColdSends>,
    limits: Arc<LimitedSends>,
    upstream_stats: Arc<UpstreamStats>,
    by_service: Mutex<HashMap<ServiceName, Home>>,
}

impl EngineHomes {
    pub(crate) fn new(
        world: Arc<WorldCell>,
        cold: Arc<ColdSends>,
        limits: Arc<LimitedSends>,
        upstream_stats: Arc<UpstreamStats>,
    ) -> Self {
        Self {
            world,
            cold,
            limits,
            upstream_stats,
            by_service: Mutex::default(),
        }
    }

    /// Chooses an engine as the home of its service; `None` if no engine may get the request.
    ///
    /// An engine that has announced to any instance that it is leaving is chosen for none from then on.
    pub(crate) fn choose(&self, engine_request: &EngineRequest) -> Option<EngineChoice> {
        for leaving in &engine_request.leaving {
            self.world.mark_leaving(leaving);
        }
        self.choose_with(engine_request, |planner| {
            planner.choose(MonoTime::now(), engine_request)
        })
    }

    /// Chooses an engine for a request of this instance while the home of the service does not answer.
    pub(crate) fn choose_without_home(
        &self,
        mesh: &Mesh,
        engine_request: &EngineRequest,
    ) -> Option<EngineChoice> {
        let world = self.world.load();
        let config = world.config.as_ref()?;
        let service = config.service(engine_request.service.as_str())?;
        let limit = self.cold.limit(service);
        let may_send = |id: &UpstreamId| {
            limit.is_none_or(|limit| self.cold.has_share(mesh, id, limit.uncoordinated_senders()))
                && self.limits.may_send_with_home_unreachable(mesh, id)
                && self.pace().allows(id, 0)
        };
        let choice = self.choose_with(engine_request, |planner| {
            planner.choose_uncoordinated(MonoTime::now(), engine_request, may_send)
        })?;
        self.cold.record(service, &choice.upstream);
        self.limits.record(&choice.upstream);
        Some(choice)
    }

    /// Returns `None` also if the service has no engines.
    fn choose_with(
        &self,
        engine_request: &EngineRequest,
        choose: impl FnOnce(&mut EnginePlanner) -> Option<EngineChoice>,
    ) -> Option<EngineChoice> {
        let world = self.world.load();
        let config = world.config.as_ref()?;
        let service = config.service(engine_request.service.as_str())?;
        let spec = service.engine?;
        let mut homes = self.lock();
        let home = homes.entry(engine_request.service.clone()).or_insert_with(|| {
            log::info!(service = engine_request.service.as_str(); "started choosing engines of a service");
            Home {
                planner: EnginePlanner::new(spec),
                world: None,
                limit_changes: 0,
                paced: 0,
            }
        });
        home.update_from_world(&world, &engine_request.service, spec, self.pace());
        home.update_limits(&self.limits);
        home.planner.set_cold_limit(self.cold.limit(service));
        let choice = choose(&mut home.planner);
        home.log_paces(&engine_request.service);
        let (runs, engines) = home.planner.size();
        log::debug!(service = engine_request.service.as_str(), tokens = engine_request.prompt.tokens_in, runs = runs, engines = engines, choice = format!("{choice:?}").as_str(); "engine choice made");
        if choice.as_ref().is_some_and(|c| c.fetch_from.is_some()) {
            metrics::counter!("tc_prompt_fetches_total", "service" => engine_request.service.as_str().to_owned())
                .increment(1);
        }
        choice
    }

    /// Records the progress of runs whose engines were chosen here.
    pub(crate) fn record(&self, service: &ServiceName, reports: &[RunReport]) {
        let now = MonoTime::now();
        let mut homes = self.lock();
        let Some(home) = homes.get_mut(service) else {
            log::debug!(service = service.as_str(), runs = reports.len(); "run reports received for a service without a local engine planner");
            return;
        };
        count_reports(service, reports);
        let was_uneven = home.planner.is_uneven();
        for report in reports {
            if let Some(load) = &report.load {
                let faulty = home.planner.record_load(now, report.run, load);
                if let Some(engine) = faulty {
                    log_load_fault(&engine, load);
                }
            }
            home.planner.record(now, report.run, report.progress);
        }
        if home.planner.is_uneven() && !was_uneven {
            log::info!(service = service.as_str(); "engines announce momentary slowdowns; they are chosen by load and speed");
        }
        home.log_paces(service);
    }

    fn pace(&self) -> &UpstreamPaces {
        &self.upstream_stats.pace
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ServiceName, Home>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs and counts an announced number of requests that began to be unusable.
fn log_load_fault(engine: &UpstreamId, load: &EngineLoad) {
    let reason = "requests_invalid";
    metrics::counter!("tc_load_report_faults_total", "reason" => reason).increment(1);
    log::warn!(upstream = engine.as_str(), reason = reason, running = load.running, waiting = load.waiting, slots = load.slots; "load report of an upstream cannot be used in full");
}

/// Counts refusals and announced loads.
fn count_reports(service: &ServiceName, reports: &[RunReport]) {
    let service = || service.as_str().to_owned();
    let refusals = reports
        .iter()
        .filter(|report| report.progress == RunProgress::Refused);
    let refusals = refusals.count() as u64;
    if refusals > 0 {
        metrics::counter!("tc_engine_refusals_total", "service" => service()).increment(refusals);
    }
    let loads = reports.iter().filter(|report| report.load.is_some());
    let loads = loads.count() as u64;
    if loads > 0 {
        metrics::counter!("tc_engine_load_reports_total", "service" => service()).increment(loads);
    }
}

impl Home {
    /// Passes the engines that take new work to the planner, if the world has changed.
    fn update_from_world(
        &mut self,
        world: &Arc<World>,
        service: &ServiceName,
        spec: EngineSpec,
        paces: &UpstreamPaces,
    ) {
        let is_same = self
            .world
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, world));
        if is_same {
            return;
        }
        let engines = world.upstreams.of_service(service.as_str());
        let engines: Vec<EngineCandidate> = engines
            .iter()
            .filter(|engine| engine.takes_work())
            .map(|engine| EngineCandidate {
                id: engine.id.clone(),
                domain: engine.failure_domain.clone(),
                version: engine.version.clone(),
                cold_until: engine.cold_until,
            })
            .collect();
        self.planner.set_engines(spec, &engines);
        if paces.is_enabled() {
            paces.update(world);
            self.planner
                .pace_new(MonoTime::now(), |id| paces.is_new(id));
        }
        self.world = Some(Arc::clone(world));
        // Engines that are new here may already have rate limits.
        self.limit_changes = 0;
    }

    /// Logs changes of paces and reports how many engines are paced.
    fn log_paces(&mut self, service: &ServiceName) {
        let events = self.planner.take_pace_events();
        log_home_events(service, &events);
        let paced = self.planner.paces().len();
        if std::mem::replace(&mut self.paced, paced) != paced {
            report_paced(service, paced);
        }
    }

    /// Passes changed rate limits of engines to the planner.
    fn update_limits(&mut self, limits: &LimitedSends) {
        let limits = limits.limits();
        let changes = limits.changes();
        if changes == self.limit_changes {
            return;
        }
        self.limit_changes = changes;
        self.planner
            .set_limits(MonoTime::now(), |id| limits.get(id));
    }
}
