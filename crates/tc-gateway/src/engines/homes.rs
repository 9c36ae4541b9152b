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
    pub(crate) fn choose(&self, ask: &EngineRequest) -> Option<EngineChoice> {
        self.choose_by(ask, |planner| planner.choose(MonoTime::now(), ask))
    }

    /// Chooses an engine for a request of this instance, which cannot ask the home of the service.
    pub(crate) fn choose_alone(&self, mesh: &Mesh, ask: &EngineRequest) -> Option<EngineChoice> {
        let world = self.world.load();
        let config = world.config.as_ref()?;
        let service = config.service(ask.service.as_str())?;
        let limit = self.cold.limit(service);
        let may = |id: &UpstreamId| {
            limit.is_none_or(|limit| self.cold.has_share(mesh, id, limit.uncoordinated_senders()))
                && self.limits.may_send_beside_home(mesh, id)
        };
        let choice = self.choose_by(ask, |planner| {
            planner.choose_uncoordinated(MonoTime::now(), ask, may)
        })?;
        self.cold.note(service, &choice.upstream);
        self.limits.record(&choice.upstream);
        Some(choice)
    }

    /// `None` as well when the service has no engines.
    fn choose_by(
        &self,
        ask: &EngineRequest,
        choose: impl FnOnce(&mut EnginePlanner) -> Option<EngineChoice>,
    ) -> Option<EngineChoice> {
        let world = self.world.load();
        let config = world.config.as_ref()?;
        let service = config.service(ask.service.as_str())?;
        let spec = service.engine?;
        let mut homes = self.lock();
        let home = homes.entry(ask.service.clone()).or_insert_with(|| {
            log::info!(service = ask.service.as_str(); "this instance chooses engines of a service");
            Home {
                planner: EnginePlanner::new(spec),
                world: None,
                limit_changes: 0,
            }
        });
        home.take_world(&world, &ask.service, spec);
        home.take_limits(&self.limits);
        home.planner.set_cold_limit(self.cold.limit(service));
        let choice = choose(&mut home.planner);
        let (runs, engines) = home.planner.size();
        log::debug!(service = ask.service.as_str(), tokens = ask.prompt.tokens_in, runs = runs, engines = engines, choice = format!("{choice:?}").as_str(); "the home of engines chose");
        if choice.as_ref().is_some_and(|c| c.fetch_from.is_some()) {
            metrics::counter!("tc_prompt_fetches_total", "service" => ask.service.as_str().to_owned())
                .increment(1);
        }
        choice
    }

    /// Takes up what became of runs whose engines were chosen here.
    pub(crate) fn note(&self, service: &ServiceName, news: &[RunReport]) {
        let now = MonoTime::now();
        let mut homes = self.lock();
        let Some(home) = homes.get_mut(service) else {
            log::debug!(service = service.as_str(), runs = news.len(); "news of runs that this instance chose no engine for");
            return;
        };
        for report in news {
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
    fn take_world(&mut self, world: &Arc<World>, service: &ServiceName, spec: EngineSpec) {
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
    fn take_limits(&mut self, limits: &LimitedSends) {
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
