//! State machine of a model service's home.

use std::{collections::BTreeMap, time::Duration};

use slotmap::{Key, SlotMap};
use tc_protocol::{
    FailureDomain, MonoTime, UpstreamId, UpstreamVersion,
    routing::{EngineChoice, EngineRequest, EngineSpec, PromptPart, RateLimit},
};

use super::{cost::EngineCost, engine::Engine, holders::Holders, run_time::RunTime};
use crate::{ColdLimit, HomePaces, PaceEvent, PromptTimes, SendPacer};

slotmap::new_key_type! {
    /// An unfinished run at an engine.
    pub(super) struct RunKey;
}

/// Fraction of an engine's memory assumed to hold cached parts; running requests need the rest.
const CACHE_FRACTION: f64 = 0.8;
/// Time after a request's deadline at which a run without news is dropped, as its entry is gone.
const LOST_RUN_GRACE: Duration = Duration::from_secs(1);

/// A registered engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCandidate {
    /// Identifier of this incarnation of its process.
    pub id: UpstreamId,
    /// Failure domain of the engine.
    pub domain: FailureDomain,
    /// Version of its software, if it is known.
    pub version: Option<UpstreamVersion>,
    /// End of its cold phase, as far as known.
    pub cold_until: MonoTime,
}

#[derive(Debug)]
pub(super) struct Run {
    pub(super) upstream: UpstreamId,
    pub(super) parts: std::sync::Arc<[PromptPart]>,
    pub(super) prefill_tokens: u32,
    pub(super) expected: Duration,
    /// Whether the expected time comes from measurements.
    pub(super) is_measured: bool,
    /// Expected time to the first event on an engine like its peers, behind the prompts that were queued before.
    pub(super) usual_first_event: Duration,
    /// Whether other prompts were queued before it.
    pub(super) was_queued: bool,
    pub(super) is_prefilled: bool,
    pub(super) chosen_at: MonoTime,
    pub(super) expires_at: MonoTime,
}

/// Selects engines for the prompts of one service; see the module documentation.
#[derive(Debug)]
pub struct EnginePlanner {
    pub(super) spec: EngineSpec,
    /// Whether an engine has announced a momentary slowdown.
    pub(super) is_uneven: bool,
    /// Limit for cold engines, for services whose engines are overload-sensitive while cold.
    pub(super) cold_limit: Option<ColdLimit>,
    pub(super) engines: BTreeMap<UpstreamId, Engine>,
    pub(super) holders: Holders,
    pub(super) runs: SlotMap<RunKey, Run>,
    pub(super) times: PromptTimes,
    pub(super) run_time: RunTime,
    pub(super) paces: HomePaces,
}

impl EnginePlanner {
    /// Creates a planner without engines.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            is_uneven: false,
            cold_limit: None,
            engines: BTreeMap::new(),
            holders: Holders::default(),
            runs: SlotMap::with_key(),
            times: PromptTimes::default(),
            run_time: RunTime::default(),
            paces: HomePaces::default(),
        }
    }

    /// Returns true if an engine has announced a momentary slowdown, from which on the rules for uneven engines apply.
    #[must_use]
    pub const fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Sets the request limit for cold engines.
    pub const fn set_cold_limit(&mut self, limit: Option<ColdLimit>) {
        self.cold_limit = limit;
    }

    /// Sets the engines that may get new work. An engine that is no longer listed is removed, with its cached parts,
    /// once its runs have ended.
    pub fn set_engines(&mut self, spec: EngineSpec, listed: &[EngineCandidate]) {
        self.spec = spec;
        for engine in self.engines.values_mut() {
            engine.ready = false;
            engine.slots = spec.slots;
        }
        for candidate in listed {
            let engine = self.engines.entry(candidate.id.clone()).or_insert_with(|| {
                Engine::new(candidate.domain.clone(), spec.slots, self.is_uneven)
            });
            engine.ready = true;
            engine.version.clone_from(&candidate.version);
            engine.cold_until = candidate.cold_until;
        }
        self.engines
            .retain(|_, engine| engine.ready || engine.runs > 0);
        let engines = &self.engines;
        self.holders.retain(|id| engines.contains_key(id));
        self.paces.retain(|id| engines.contains_key(id));
    }

    /// Paces engines that have just started or recovered; `is_new` is asked once for each engine.
    pub fn pace_new(&mut self, now: MonoTime, is_new: impl Fn(&UpstreamId) -> bool) {
        self.paces.set_enabled(true);
        let ready = self.engines.iter().filter(|(_, engine)| engine.ready);
        let ready: Vec<&UpstreamId> = ready.map(|(id, _)| id).collect();
        self.paces.begin_new(now, self.spec.slots, &ready, is_new);
    }

    /// Returns the paces of the engines.
    #[must_use]
    pub const fn paces(&self) -> &HomePaces {
        &self.paces
    }

    /// Removes and returns the changes of paces since the last call.
    pub fn take_pace_events(&mut self) -> Vec<PaceEvent> {
        self.paces.take_events()
    }

    /// Sets the rate limits that engines announce.
    ///
    /// A limit applies to all instances together, and only the home sees what all of them send.
    pub fn set_limits(
        &mut self,
        now: MonoTime,
        limit_of: impl Fn(&UpstreamId) -> Option<RateLimit>,
    ) {
        for (id, engine) in &mut self.engines {
            SendPacer::update_limit(&mut engine.rate_limit, now, limit_of(id));
        }
    }

    /// Selects an engine as the home of the service; returns `None` if no engine may get the request.
    pub fn choose(&mut self, now: MonoTime, request: &EngineRequest) -> Option<EngineChoice> {
        let cold_limit = self.cold_limit;
        self.choose_among(now, request, |_, engine| {
            let is_warm_enough =
                !engine.is_cold(now) || engine.is_within_cold_limit(now, cold_limit);
            is_warm_enough && engine.is_within_rate_limit(now)
        })
    }

    /// Selects an engine for an instance that cannot reach the home, among the warm ones that `may` allows.
    pub fn choose_uncoordinated(
        &mut self,
        now: MonoTime,
        request: &EngineRequest,
        may: impl Fn(&UpstreamId) -> bool,
    ) -> Option<EngineChoice> {
        self.choose_among(now, request, |id, engine| !engine.is_cold(now) && may(id))
    }

    fn choose_among(
        &mut self,
        now: MonoTime,
        request: &EngineRequest,
        may: impl Fn(&UpstreamId, &Engine) -> bool,
    ) -> Option<EngineChoice> {
        self.drop_lost_runs(now);
        // An engine that has failed and has no runs may be down; one that has runs may only be full.
        let within_pace = |id: &UpstreamId, engine: &Engine| {
            let is_serving = engine.is_healthy(now) || engine.runs > 0;
            is_serving && self.paces.allows(id, engine.runs) && may(id, engine)
        };
        let ready = self.engines.values().filter(|engine| engine.ready).count();
        let paced = self.paces.binds(ready).then_some(within_pace);
        let best = paced
            .and_then(|within_pace| self.best_within_pace(now, request, within_pace))
            .or_else(|| self.best_engine(now, request, &may))?;
        let upstream = best.id.clone();
        let fetch_from = best.source.cloned();
        let run = Run {
            upstream: upstream.clone(),
            parts: request.prompt.parts.clone(),
            prefill_tokens: best.prefill_tokens,
            expected: best.own_time,
            is_measured: self.times.is_measured(),
            usual_first_event: self.usual_first_event(now, &upstream, best.prefill_tokens),
            was_queued: best.is_queued,
            is_prefilled: false,
            chosen_at: now,
            expires_at: now.after(request.remaining + LOST_RUN_GRACE),
        };
        Some(EngineChoice {
            upstream,
            fetch_from,
            run: self.start_run(now, run),
        })
    }

    /// Returns the best engine within its pace. If all are full, the one with the fewest runs is the least likely to refuse.
    fn best_within_pace(
        &self,
        now: MonoTime,
        request: &EngineRequest,
        within_pace: impl Fn(&UpstreamId, &Engine) -> bool,
    ) -> Option<EngineCost<'_>> {
        let may_accept = |id: &UpstreamId, engine: &Engine| {
            let is_refusing = !engine.is_healthy(now) || !engine.refusals.allow(now, engine.runs);
            engine.ready && !is_refusing && within_pace(id, engine)
        };
        let accepting = self.engines.iter();
        let accepting = accepting.filter(|(id, engine)| may_accept(id, engine));
        let fewest_runs = accepting.map(|(_, engine)| engine.runs).min();
        let run_time = self.run_time.usual();
        let accepting = |id: &UpstreamId, engine: &Engine| {
            let is_emptiest = Some(engine.runs) == fewest_runs;
            (is_emptiest || engine.has_free_slot(now, run_time)) && may_accept(id, engine)
        };
        self.best_engine(now, request, accepting)
            .or_else(|| self.best_engine(now, request, &within_pace))
    }

    /// Returns the expected time to the first event of a prompt behind those that the engine has yet to read.
    fn usual_first_event(&self, now: MonoTime, id: &UpstreamId, prefill_tokens: u32) -> Duration {
        let engine = self.engines.get(id);
        let queued = engine.map_or(Duration::ZERO, |engine| {
            let queued = engine.prefill_done_at.since(now);
            queued.div_f64(engine.slowdown(now).max(1.0))
        });
        queued + self.times.estimate(prefill_tokens)
    }

    /// Registers a run at its engine and returns the run's number.
    fn start_run(&mut self, now: MonoTime, run: Run) -> u64 {
        let capacity_tokens = self.cache_capacity();
        let run_time = self.run_time.usual();
        if let Some(engine) = self.engines.get_mut(&run.upstream) {
            engine.refusals.record_send(now, engine.runs, run_time);
            engine.runs += 1;
            engine.record_send(now);
            if self.cold_limit.is_some() {
                engine.recent_sends.record(now);
            }
            engine.prefill_done_at = engine.prefill_done_at.max(now).after(run.expected);
            let evicted = engine
                .prefix_cache
                .insert(&run.parts, false, capacity_tokens);
            self.holders.add(&run.parts, &run.upstream);
            self.holders.remove(&evicted, &run.upstream);
        }
        self.runs.insert(run).data().as_ffi()
    }

    /// Returns the number of unfinished runs and the number of engines.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        (self.runs.len(), self.engines.len())
    }

    pub(super) fn end_run(&mut self, now: MonoTime, key: RunKey) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&run.upstream) {
            engine.runs = engine.runs.saturating_sub(1);
            if !run.is_prefilled {
                let removed = engine.prefix_cache.remove_incomplete(&run.parts);
                self.holders.remove(&removed, &run.upstream);
            }
            if !engine.ready && engine.runs == 0 {
                self.engines.remove(&run.upstream);
                self.holders.retain(|id| *id != run.upstream);
            }
        }
        if !run.is_prefilled {
            self.update_prefill_done(now, &run.upstream);
        }
    }

    /// Updates when an engine will have read its prompts, from the runs without a first event.
    pub(super) fn update_prefill_done(&mut self, now: MonoTime, upstream: &UpstreamId) {
        let remaining: Duration = self
            .runs
            .values()
            .filter(|run| run.upstream == *upstream && !run.is_prefilled)
            .map(|run| run.expected)
            .sum();
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.prefill_done_at = engine.prefill_done_at.min(now.after(remaining));
        }
    }

    fn drop_lost_runs(&mut self, now: MonoTime) {
        let lost: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.expires_at <= now)
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.end_run(now, key);
        }
    }

    pub(super) fn cache_capacity(&self) -> u64 {
        (self.spec.kv_cache_tokens as f64 * CACHE_FRACTION) as u64
    }
}
