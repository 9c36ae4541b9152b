//! The homes of model services on this instance, by service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use tc_fleet::Mesh;
use tc_policy::{EngineCandidate, EnginePlanner};
use tc_protocol::{
    MonoTime, ServiceName, UpstreamId,
    routing::{EngineChoice, EngineRequest, EngineSpec, RunReport},
};

use crate::{
    cold::ColdSends,
    limits::LimitedSends,
    world::{World, WorldCell},
};

struct Home {
    planner: EnginePlanner,
    /// The world that the planner's engines were taken from.
    world: Option<Arc<World>>,
    /// Count of changes of the limits that the planner has.
    limit_changes: u64,
}

/// Chooses engines for the services homed here, and for any other when its home does not answer.
pub(crate) struct EngineHomes {
    world: Arc<WorldCell>,
    cold: Arc<ColdSends>,
    limits: Arc<LimitedSends>,
    by_service: Mutex<HashMap<ServiceName, Home>>,
}

impl EngineHomes {
    pub(crate) fn new(
        world: Arc<WorldCell>,
        cold: Arc<ColdSends>,
        limits: Arc<LimitedSends>,
    ) -> Self {
        Self {
            world,
            cold,
            limits,
            by_service: Mutex::default(),
        }
    }

    /// Chooses an engine as the home of its service; `None` when there is none that may get the request.
    pub(crate) fn choose(&self, engine_request: &EngineRequest) -> Option<EngineChoice> {
        self.choose_with(engine_request, |planner| {
            planner.choose(MonoTime::now(), engine_request)
        })
    }

    /// Chooses an engine for a request of this instance, which cannot engine_request the home of the service.
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
            limit.is_none_or(|limit| self.cold.has_share(mesh, id, limit.senders_without_home()))
                && self.limits.may_send_with_home_unreachable(mesh, id)
        };
        let choice = self.choose_with(engine_request, |planner| {
            planner.choose_without_home(MonoTime::now(), engine_request, may_send)
        })?;
        self.cold.record(service, &choice.upstream);
        self.limits.record(&choice.upstream);
        Some(choice)
    }

    /// `None` as well when the service has no engines.
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
            log::info!(service = engine_request.service.as_str(); "this instance chooses engines of a service");
            Home {
                planner: EnginePlanner::new(spec),
                world: None,
                limit_changes: 0,
            }
        });
        home.update_from_world(&world, &engine_request.service, spec);
        home.update_limits(&self.limits);
        home.planner.set_cold_limit(self.cold.limit(service));
        let choice = choose(&mut home.planner);
        let (runs, engines) = home.planner.size();
        log::debug!(service = engine_request.service.as_str(), tokens = engine_request.prompt.tokens_in, runs = runs, engines = engines, choice = format!("{choice:?}").as_str(); "the home of engines chose");
        if choice.as_ref().is_some_and(|c| c.fetch_from.is_some()) {
            metrics::counter!("tc_prompt_fetches_total", "service" => engine_request.service.as_str().to_owned())
                .increment(1);
        }
        choice
    }

    /// Takes up what became of runs whose engines were to_chosen_engine here.
    pub(crate) fn record(&self, service: &ServiceName, reports: &[RunReport]) {
        let now = MonoTime::now();
        let mut homes = self.lock();
        let Some(home) = homes.get_mut(service) else {
            log::debug!(service = service.as_str(), runs = reports.len(); "run reports received for a service without a local engine planner");
            return;
        };
        for report in reports {
            home.planner.record(now, report.run, report.progress);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ServiceName, Home>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Home {
    /// Takes up the engines that may get new work, if they may have changed.
    fn update_from_world(&mut self, world: &Arc<World>, service: &ServiceName, spec: EngineSpec) {
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
                cold_until: engine.cold_until,
            })
            .collect();
        self.planner.set_engines(spec, &engines);
        self.world = Some(Arc::clone(world));
        // Engines that are new here may be limited already.
        self.limit_changes = 0;
    }

    /// Takes up the limits that engines announce, if they may have changed.
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
