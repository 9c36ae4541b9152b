//! State machine of a model service's home.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use slotmap::{Key, KeyData, SlotMap};
use tc_protocol::{
    FailureDomain, MonoTime, UpstreamId,
    routing::{EngineChoice, EngineRequest, EngineSpec, PromptPart, RateLimit, RunProgress},
};

use super::{engine::Engine, holders::Holders};
use crate::{ColdLimit, PromptTimes, SendPacer, rendezvous::hashed_score};

slotmap::new_key_type! {
    /// An unfinished run at an engine.
    struct RunKey;
}

/// Fraction of an engine's memory assumed to hold cached parts; running requests need the rest.
const CACHE_FRACTION: f64 = 0.8;
/// Weight of reading a token again that another engine has cached, as a multiple of its reading time: the time is lost
/// to every request queued behind it.
const REREAD_WEIGHT: f64 = 3.0;
/// Cost of fetching a token from another engine: a tenth of reading it.
const FETCH_COST_PER_TOKEN: Duration = Duration::from_micros(2);
/// Cost of moving a megabyte of results between failure domains. Such traffic is expensive: a request with two
/// megabytes rather waits as long as a tenth of a long prompt takes to read.
const CROSS_DOMAIN_COST_PER_MB: Duration = Duration::from_millis(30);
/// Minimum number of tokens worth a fetch: a block of memory is read as fast as it is requested.
const MIN_FETCH_TOKENS: u32 = 64;
/// Time after a request's deadline at which a run without news is dropped, as its entry is gone.
const LOST_RUN_GRACE: Duration = Duration::from_secs(1);
const BYTES_PER_MB: f64 = 1_000_000.0;

/// A registered engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCandidate {
    /// Identifier of this incarnation of its process.
    pub id: UpstreamId,
    /// Failure domain of the engine.
    pub domain: FailureDomain,
    /// End of its cold phase, as far as known.
    pub cold_until: MonoTime,
}

#[derive(Debug)]
struct Run {
    upstream: UpstreamId,
    parts: std::sync::Arc<[PromptPart]>,
    prefill_tokens: u32,
    expected: Duration,
    /// Whether other prompts were queued before it.
    was_queued: bool,
    is_prefilled: bool,
    expires_at: MonoTime,
}

/// Availability classes of engines, in order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Availability {
    /// The engine has a free slot and no recent failure.
    Available,
    /// The engine is at the limit that applies in case it has turned cold without having reported it.
    AtColdLimit,
    /// The engine failed recently or has no free slot.
    Unavailable,
}

/// Evaluation of one engine for a prompt.
struct EngineCost<'a> {
    id: &'a UpstreamId,
    prefill_tokens: u32,
    own_time: Duration,
    source: Option<&'a UpstreamId>,
    /// Whether other prompts are queued before it.
    is_queued: bool,
    cost: Duration,
    tie_score: u64,
}

/// Tokens of a prompt that an engine has to read, and the source and cost of those that it fetches.
struct CacheUse<'a> {
    prefill_tokens: u32,
    source: Option<&'a UpstreamId>,
    cost: Duration,
}

/// Returns what an engine with `cached_here` leading tokens of the prompt has to read and fetch. `source` is the engine
/// that it fetches from, with the number of tokens.
fn cache_use<'a>(
    request: &EngineRequest,
    cached_here: u32,
    source: Option<&(u32, &'a UpstreamId)>,
) -> CacheUse<'a> {
    let tokens = request.prompt.tokens_in;
    let available = source.map_or(cached_here, |(fetchable, _)| (*fetchable).min(tokens));
    let fetched = available - cached_here.min(available);
    CacheUse {
        prefill_tokens: tokens - available,
        source: source.map(|(_, source)| *source),
        cost: FETCH_COST_PER_TOKEN * fetched,
    }
}

fn cross_domain_cost(bytes: u64) -> Duration {
    CROSS_DOMAIN_COST_PER_MB.mul_f64(bytes as f64 / BYTES_PER_MB)
}

/// Differences below a millisecond are noise. Among equals, prompts with the same shared part go to the same engine.
fn whole_millis(cost: Duration) -> Duration {
    Duration::from_millis(cost.as_millis() as u64)
}

/// Selects engines for the prompts of one service; see the module documentation.
#[derive(Debug)]
pub struct EnginePlanner {
    spec: EngineSpec,
    /// Limit for cold engines, for services whose engines are overload-sensitive while cold.
    cold_limit: Option<ColdLimit>,
    engines: BTreeMap<UpstreamId, Engine>,
    holders: Holders,
    runs: SlotMap<RunKey, Run>,
    times: PromptTimes,
}

impl EnginePlanner {
    /// Creates a planner without engines.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            cold_limit: None,
            engines: BTreeMap::new(),
            holders: Holders::default(),
            runs: SlotMap::with_key(),
            times: PromptTimes::default(),
        }
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
            let engine = self
                .engines
                .entry(candidate.id.clone())
                .or_insert_with(|| Engine::new(candidate.domain.clone(), spec.slots));
            engine.ready = true;
            engine.cold_until = candidate.cold_until;
        }
        self.engines
            .retain(|_, engine| engine.ready || engine.runs > 0);
        let engines = &self.engines;
        self.holders.retain(|id| engines.contains_key(id));
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
        let best = self.best_engine(now, request, may)?;
        let upstream = best.id.clone();
        let fetch_from = best.source.cloned();
        let run = Run {
            upstream: upstream.clone(),
            parts: request.prompt.parts.clone(),
            prefill_tokens: best.prefill_tokens,
            expected: best.own_time,
            was_queued: best.is_queued,
            is_prefilled: false,
            expires_at: now.after(request.remaining + LOST_RUN_GRACE),
        };
        Some(EngineChoice {
            upstream,
            fetch_from,
            run: self.start_run(now, run),
        })
    }

    /// Registers a run at its engine and returns the run's number.
    fn start_run(&mut self, now: MonoTime, run: Run) -> u64 {
        let capacity_tokens = self.cache_capacity();
        if let Some(engine) = self.engines.get_mut(&run.upstream) {
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

    /// Records progress of a run. Progress of unknown runs is ignored.
    pub fn record(&mut self, now: MonoTime, run: u64, progress: RunProgress) {
        let key = RunKey::from(KeyData::from_ffi(run));
        match progress {
            RunProgress::FirstEvent(took) => self.record_first_event(now, key, took),
            RunProgress::Ended => self.end_run(now, key),
            RunProgress::Failed => {
                let upstream = self.runs.get(key).map(|run| run.upstream.clone());
                self.end_run(now, key);
                if let Some(engine) = upstream.and_then(|id| self.engines.get_mut(&id)) {
                    engine.record_failure(now);
                }
            }
        }
    }

    /// Returns the number of unfinished runs and the number of engines.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        (self.runs.len(), self.engines.len())
    }

    fn best_engine<'a>(
        &'a self,
        now: MonoTime,
        request: &EngineRequest,
        may: impl Fn(&UpstreamId, &Engine) -> bool,
    ) -> Option<EngineCost<'a>> {
        let excluded: HashSet<&UpstreamId> = request.excluded.iter().collect();
        let availability = |id: &UpstreamId, engine: &Engine| {
            let may_get = engine.ready && !excluded.contains(id) && may(id, engine);
            may_get.then(|| self.availability(now, engine))
        };
        let candidates: Vec<(Availability, &UpstreamId, &Engine)> = self
            .engines
            .iter()
            .filter_map(|(id, engine)| Some((availability(id, engine)?, id, engine)))
            .collect();
        let best_availability = candidates.iter().map(|(class, ..)| *class).min()?;
        let sources = self.sources(now, &request.prompt.parts);
        let is_best =
            |id: &UpstreamId, engine: &Engine| availability(id, engine) == Some(best_availability);
        let holders = self.holders.of(&request.prompt.parts);
        let holder = holders
            .filter_map(|id| self.engines.get_key_value(id))
            .filter(|(id, engine)| is_best(id, engine))
            .map(|(id, engine)| self.evaluate(now, request, id, engine, &sources))
            .min_by_key(|option| (option.cost, option.tie_score));
        let others = candidates
            .into_iter()
            .filter(|(class, ..)| *class == best_availability)
            .map(|(_, id, engine)| (id, engine));
        let other = self.best_without_cache(now, request, others, &sources);
        [holder, other]
            .into_iter()
            .flatten()
            .min_by_key(|option| (option.cost, option.tie_score))
    }

    /// Returns the best of these engines if none of them had any part of the prompt cached.
    ///
    /// All terms of the cost but the engine's queue, speed and failure domain are then the same for all engines. An
    /// engine with cached parts costs less than this shows, and is evaluated by itself.
    fn best_without_cache<'a>(
        &self,
        now: MonoTime,
        request: &EngineRequest,
        engines: impl Iterator<Item = (&'a UpstreamId, &'a Engine)>,
        sources: &[(u32, &'a UpstreamId)],
    ) -> Option<EngineCost<'a>> {
        let cache = cache_use(request, 0, sources.first());
        let own_time = self.times.estimate(cache.prefill_tokens);
        let total: u64 = request.inputs.iter().map(|(_, bytes)| bytes).sum();
        let key = request.prompt.shared_prefix_id().unwrap_or_default();
        let mut best: Option<EngineCost<'a>> = None;
        for (id, engine) in engines {
            let own_time = own_time.mul_f64(engine.slowdown);
            let here = request.inputs.iter();
            let here = here.filter(|(domain, _)| *domain == engine.domain);
            let here: u64 = here.map(|(_, bytes)| bytes).sum();
            let cost = whole_millis(
                engine.prefill_done_at.since(now)
                    + own_time
                    + cache.cost
                    + cross_domain_cost(total - here),
            );
            if best.as_ref().is_some_and(|best| cost > best.cost) {
                continue;
            }
            let tie_score = hashed_score(key, id.as_str());
            let is_better = best
                .as_ref()
                .is_none_or(|best| (cost, tie_score) < (best.cost, best.tie_score));
            if is_better {
                best = Some(EngineCost {
                    id,
                    prefill_tokens: cache.prefill_tokens,
                    own_time,
                    source: cache.source,
                    is_queued: engine.prefill_done_at > now,
                    cost,
                    tie_score,
                });
            }
        }
        best
    }

    fn availability(&self, now: MonoTime, engine: &Engine) -> Availability {
        if !engine.is_healthy(now) || !engine.has_free_slot() {
            Availability::Unavailable
        } else if engine.is_within_cold_limit(now, self.cold_limit) {
            Availability::Available
        } else {
            Availability::AtColdLimit
        }
    }

    /// Returns the two engines that most of a prompt can be fetched from, best first.
    fn sources(&self, now: MonoTime, parts: &[PromptPart]) -> Vec<(u32, &UpstreamId)> {
        let mut sources: Vec<(u32, &UpstreamId)> = self
            .holders
            .of(parts)
            .filter_map(|id| self.engines.get_key_value(id))
            .filter(|(_, engine)| engine.ready && engine.is_healthy(now))
            .map(|(id, engine)| (engine.prefix_cache.fetchable_tokens(parts), id))
            .filter(|(tokens, _)| *tokens >= MIN_FETCH_TOKENS)
            .collect();
        sources.sort_by(|a, b| b.cmp(a));
        sources.truncate(2);
        sources
    }

    fn evaluate<'a>(
        &self,
        now: MonoTime,
        request: &EngineRequest,
        id: &'a UpstreamId,
        engine: &Engine,
        sources: &[(u32, &'a UpstreamId)],
    ) -> EngineCost<'a> {
        let tokens = request.prompt.tokens_in;
        let cached_here = engine
            .prefix_cache
            .cached_tokens(&request.prompt.parts)
            .min(tokens);
        let source = sources.iter().find(|(fetchable, source)| {
            *source != id && *fetchable >= cached_here.saturating_add(MIN_FETCH_TOKENS)
        });
        let cache = cache_use(request, cached_here, source);
        let own_time = self
            .times
            .estimate(cache.prefill_tokens)
            .mul_f64(engine.slowdown);
        let available = tokens - cache.prefill_tokens;
        let best_available = sources
            .first()
            .map_or(0, |(fetchable, _)| (*fetchable).min(tokens));
        let reread_time = self
            .times
            .estimate(tokens.saturating_sub(available))
            .saturating_sub(self.times.estimate(tokens - best_available.max(available)));
        let cross_domain_bytes: u64 = request
            .inputs
            .iter()
            .filter(|(domain, _)| *domain != engine.domain)
            .map(|(_, bytes)| bytes)
            .sum();
        let cost = engine.prefill_done_at.since(now)
            + own_time
            + reread_time.mul_f64(REREAD_WEIGHT)
            + cache.cost
            + cross_domain_cost(cross_domain_bytes);
        let key = request.prompt.shared_prefix_id().unwrap_or_default();
        EngineCost {
            id,
            prefill_tokens: cache.prefill_tokens,
            own_time,
            source: cache.source,
            is_queued: engine.prefill_done_at > now,
            cost: whole_millis(cost),
            tie_score: hashed_score(key, id.as_str()),
        }
    }

    fn record_first_event(&mut self, now: MonoTime, key: RunKey, took: Duration) {
        let capacity_tokens = self.cache_capacity();
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut run.is_prefilled, true) {
            return;
        }
        if !run.was_queued {
            self.times.record(run.prefill_tokens, took);
        }
        let expected = (!run.was_queued).then_some(run.expected);
        let (upstream, parts) = (run.upstream.clone(), run.parts.clone());
        if let Some(engine) = self.engines.get_mut(&upstream) {
            let evicted = engine.prefix_cache.insert(&parts, true, capacity_tokens);
            self.holders.add(&parts, &upstream);
            self.holders.remove(&evicted, &upstream);
            engine.record_first_event(took, expected);
        }
        self.update_prefill_done(now, &upstream);
    }

    fn end_run(&mut self, now: MonoTime, key: RunKey) {
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
    fn update_prefill_done(&mut self, now: MonoTime, upstream: &UpstreamId) {
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

    fn cache_capacity(&self) -> u64 {
        (self.spec.kv_cache_tokens as f64 * CACHE_FRACTION) as u64
    }
}
