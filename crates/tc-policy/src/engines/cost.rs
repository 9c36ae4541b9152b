//! Costs of a prompt on the engines of a service, and the engine on which it costs least.

use std::{collections::HashSet, time::Duration};

use tc_protocol::{
    MonoTime, UpstreamId, UpstreamVersion,
    routing::{EngineRequest, PromptPart, meets_version},
};

use super::{
    engine::Engine,
    planner::EnginePlanner,
    sources::{Source, Sources},
};
use crate::rendezvous::hashed_score;

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
const BYTES_PER_MB: f64 = 1_000_000.0;

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
pub(super) struct EngineCost<'a> {
    pub(super) id: &'a UpstreamId,
    pub(super) prefill_tokens: u32,
    pub(super) own_time: Duration,
    pub(super) source: Option<&'a UpstreamId>,
    /// Whether other prompts are queued before it.
    pub(super) is_queued: bool,
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

impl EnginePlanner {
    /// Returns the engine among those that `may` allows on which the prompt costs least.
    pub(super) fn best_engine<'a>(
        &'a self,
        now: MonoTime,
        request: &EngineRequest,
        may: impl Fn(&UpstreamId, &Engine) -> bool,
    ) -> Option<EngineCost<'a>> {
        let excluded: HashSet<&UpstreamId> = request.excluded.iter().collect();
        let availability = |id: &UpstreamId, engine: &Engine| {
            let may_get = engine.ready
                && meets_version(engine.version.as_ref(), request.version.as_ref())
                && !excluded.contains(id)
                && may(id, engine);
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

    /// Returns the best of these engines that have not cached the first part of the prompt.
    ///
    /// All terms of the cost but the engine's queue, speed and failure domain are the same for these engines of a version.
    fn best_without_cache<'a>(
        &self,
        now: MonoTime,
        request: &EngineRequest,
        engines: impl Iterator<Item = (&'a UpstreamId, &'a Engine)>,
        sources: &Sources<'a>,
    ) -> Option<EngineCost<'a>> {
        let total: u64 = request.inputs.iter().map(|(_, bytes)| bytes).sum();
        let key = request.prompt.shared_prefix_id().unwrap_or_default();
        let without_source = self.uncached(request, None);
        let with_source: Vec<(&UpstreamVersion, (CacheUse<'a>, Duration))> = sources
            .by_version
            .iter()
            .map(|(version, sources)| (*version, self.uncached(request, sources.first())))
            .collect();
        let run_time = self.run_time.usual();
        let mut best: Option<EngineCost<'a>> = None;
        for (id, engine) in engines {
            let version = engine.version.as_ref();
            let found = with_source.iter().find(|(v, _)| Some(*v) == version);
            let (cache, own_time) = found.map_or(&without_source, |(_, uncached)| uncached);
            let own_time = own_time.mul_f64(engine.time_factor(now, run_time));
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
            if is_better && !self.holders.contains(&request.prompt.parts, id) {
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

    /// Returns what an engine has to read and fetch that has cached nothing of the prompt, and its usual time for it.
    fn uncached<'a>(
        &self,
        request: &EngineRequest,
        source: Option<&Source<'a>>,
    ) -> (CacheUse<'a>, Duration) {
        let cache = cache_use(request, 0, source);
        let own_time = self.times.estimate(cache.prefill_tokens);
        (cache, own_time)
    }

    fn availability(&self, now: MonoTime, engine: &Engine) -> Availability {
        if !engine.is_healthy(now) || !engine.has_free_slot(now, self.run_time.usual()) {
            Availability::Unavailable
        } else if engine.is_within_cold_limit(now, self.cold_limit) {
            Availability::Available
        } else {
            Availability::AtColdLimit
        }
    }

    /// Returns the engines that most of a prompt can be fetched from.
    fn sources(&self, now: MonoTime, parts: &[PromptPart]) -> Sources<'_> {
        let mut found: Vec<(Source<'_>, &UpstreamVersion)> = self
            .holders
            .of(parts)
            .filter_map(|id| self.engines.get_key_value(id))
            .filter(|(_, engine)| engine.ready && engine.is_healthy(now))
            .filter_map(|(id, engine)| {
                let tokens = engine.prefix_cache.fetchable_tokens(parts);
                Some(((tokens, id), engine.version.as_ref()?))
            })
            .filter(|((tokens, _), _)| *tokens >= MIN_FETCH_TOKENS)
            .collect();
        found.sort_by(|a, b| b.cmp(a));
        let mut sources = Sources::default();
        for (source, version) in found {
            sources.push(version, source);
        }
        sources
    }

    fn evaluate<'a>(
        &self,
        now: MonoTime,
        request: &EngineRequest,
        id: &'a UpstreamId,
        engine: &Engine,
        sources: &Sources<'a>,
    ) -> EngineCost<'a> {
        let sources = sources.of(engine.version.as_ref());
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
            .mul_f64(engine.time_factor(now, self.run_time.usual()));
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
}

#[cfg(test)]
mod tests {
    use bolero::{TypeGenerator, generator::produce};
    use tc_protocol::routing::{EngineSpec, Prompt, RunProgress};

    use super::*;
    use crate::EngineCandidate;

    const DOMAINS: [&str; 4] = ["a", "a", "b", "c"];
    const VERSIONS: [Option<&str>; 4] = [Some("v1"), Some("v2"), Some("v1"), None];
    const SPEC: EngineSpec = EngineSpec {
        slots: 4,
        kv_cache_tokens: 20_000,
    };

    #[derive(Clone, Copy, Debug, TypeGenerator)]
    struct Op {
        shared_part: u8,
        shared_tokens: u8,
        own_tokens: u16,
        input_domain: u8,
        input_kb: u16,
        excluded: u8,
        event: u8,
        took_ms: u8,
        wait_ms: u8,
    }

    /// Returns the engine that costs least if each one is evaluated with all its cached parts.
    fn best_of_all<'a>(
        planner: &'a EnginePlanner,
        now: MonoTime,
        request: &EngineRequest,
    ) -> Option<EngineCost<'a>> {
        let sources = planner.sources(now, &request.prompt.parts);
        let allowed = planner
            .engines
            .iter()
            .filter(|(id, engine)| engine.ready && !request.excluded.contains(id));
        let best = allowed
            .clone()
            .map(|(_, engine)| planner.availability(now, engine))
            .min()?;
        allowed
            .filter(|(_, engine)| planner.availability(now, engine) == best)
            .map(|(id, engine)| planner.evaluate(now, request, id, engine, &sources))
            .min_by_key(|option| (option.cost, option.tie_score))
    }

    fn request_of(op: Op, number: u64) -> EngineRequest {
        let part = |id, tokens| PromptPart { id, tokens };
        let shared_tokens = u32::from(op.shared_tokens) * 8;
        let own_tokens = u32::from(op.own_tokens) % 4_000;
        EngineRequest {
            service: "model".into(),
            prompt: Prompt {
                tokens_in: shared_tokens + own_tokens,
                tokens_out: 10,
                parts: [
                    part(u64::from(op.shared_part % 4), shared_tokens),
                    part(1_000 + number, own_tokens),
                ]
                .into(),
            },
            inputs: vec![(
                DOMAINS[usize::from(op.input_domain % 4)].into(),
                u64::from(op.input_kb) * 16,
            )],
            version: None,
            excluded: vec![format!("e{}", op.excluded % 8).into()],
            leaving: Vec::new(),
            remaining: Duration::from_secs(10),
        }
    }

    /// Guards against a choice that differs from the cheapest engine, because most engines are not evaluated with their
    /// cached parts.
    #[test]
    fn choice_is_the_cheapest_of_all_engines() {
        tc_fuzz::check(2_000, produce::<Vec<Op>>(), |ops: &Vec<Op>| {
            let mut planner = EnginePlanner::new(SPEC);
            let engines = DOMAINS
                .iter()
                .enumerate()
                .map(|(i, domain)| EngineCandidate {
                    id: format!("e{i}").into(),
                    domain: (*domain).into(),
                    version: VERSIONS[i].map(Into::into),
                    cold_until: MonoTime::default(),
                });
            planner.set_engines(SPEC, &engines.collect::<Vec<_>>());
            let mut now = MonoTime::from_millis(1_000);
            for (&op, number) in ops.iter().zip(0..) {
                now = now.after(Duration::from_millis(op.wait_ms.into()));
                let request = request_of(op, number);
                let expected = best_of_all(&planner, now, &request)
                    .map(|best| (best.id.clone(), best.source.cloned(), best.prefill_tokens));
                let choice = planner
                    .best_engine(now, &request, |_, _| true)
                    .map(|best| (best.id.clone(), best.source.cloned(), best.prefill_tokens));
                assert_eq!(choice, expected);
                let Some(choice) = planner.choose(now, &request) else {
                    continue;
                };
                if op.event % 4 != 0 {
                    let took = Duration::from_millis(op.took_ms.into());
                    planner.record(now, choice.run, RunProgress::FirstEvent(took));
                }
                match op.event % 5 {
                    0 => {}
                    1 => planner.record(now, choice.run, RunProgress::Failed),
                    _ => planner.record(now, choice.run, RunProgress::Ended),
                }
            }
        });
    }
}
