//! The state machine of a model service's home.

use std::{collections::BTreeMap, time::Duration};

use slotmap::{Key, KeyData, SlotMap};
use tc_protocol::{
    FailureDomain, MonoTime, UpstreamId,
    routing::{EngineChoice, EngineRequest, EngineSpec, PromptPart, RateLimit, RunProgress},
};

use super::engine::Engine;
use crate::{ColdLimit, PacedSends, PromptTimes, rendezvous::hashed_score};

slotmap::new_key_type! {
    /// A run at an engine that has not ended.
    struct RunKey;
}

/// Part of an engine's memory that kept parts are taken to have; running requests need the rest.
const KEPT_PART: f64 = 0.8;
/// How much more a token counts that is read again though another engine keeps it, in times of reading it: the engine's
/// time is lost to every request behind it.
const AGAIN: f64 = 3.0;
/// Time that fetching a token from another engine counts as: a tenth of reading it.
const FETCH_PER_TOKEN: Duration = Duration::from_micros(2);
/// Time that a megabyte of results between failure domains counts as; such bytes are dear, and a request of two megabytes
/// rather waits for as long as a tenth of a long prompt takes to read.
const AWAY_PER_MB: Duration = Duration::from_millis(30);
/// Fewest tokens that are worth a fetch: a block of memory is read as fast as it is asked for.
const LEAST_FETCH: u32 = 64;
/// Time beyond a request's own after which a run without news is forgotten: its entry is gone.
const FORGET_AFTER: Duration = Duration::from_secs(1);
const BYTES_PER_MB: f64 = 1_000_000.0;

/// An engine as registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCandidate {
    /// Identifies this life of its process.
    pub id: UpstreamId,
    /// Where it runs.
    pub domain: FailureDomain,
    /// Until when it is cold, as far as known.
    pub cold_until: MonoTime,
}

#[derive(Debug)]
struct Run {
    upstream: UpstreamId,
    parts: std::sync::Arc<[PromptPart]>,
    tokens_read: u32,
    expected: Duration,
    /// Whether other prompts were before it.
    waited: bool,
    has_read: bool,
    forget_at: MonoTime,
}

/// Classes of engines, the ones to be taken first before the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fitness {
    /// It has a place and has not failed lately.
    Fit,
    /// It got as much lately as it bears if it has turned cold unheard.
    Driven,
    /// It failed lately or has no place.
    Unsound,
}

/// What one engine would mean for a prompt.
struct Weighed<'a> {
    id: &'a UpstreamId,
    read: u32,
    own: Duration,
    source: Option<&'a UpstreamId>,
    /// Whether other prompts are before it.
    waits: bool,
    cost: Duration,
    chance: u64,
}

/// Decides for one service. See the module.
#[derive(Debug)]
pub struct EnginePlanner {
    spec: EngineSpec,
    /// Set when engines are fragile while they are cold.
    cold: Option<ColdLimit>,
    engines: BTreeMap<UpstreamId, Engine>,
    runs: SlotMap<RunKey, Run>,
    times: PromptTimes,
}

impl EnginePlanner {
    /// A planner that knows no engine yet.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            cold: None,
            engines: BTreeMap::new(),
            runs: SlotMap::with_key(),
            times: PromptTimes::default(),
        }
    }

    /// Takes up how much engines bear while they are cold.
    pub const fn set_cold_limit(&mut self, limit: Option<ColdLimit>) {
        self.cold = limit;
    }

    /// Takes up the list of engines that may get new work. What one that is no longer listed kept is forgotten once its
    /// runs have ended.
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
    }

    /// Takes up the rate limits that engines announce.
    ///
    /// A limit binds all instances together, and only the home sees what all of them send.
    pub fn set_limits(
        &mut self,
        now: MonoTime,
        limit_of: impl Fn(&UpstreamId) -> Option<RateLimit>,
    ) {
        for (id, engine) in &mut self.engines {
            PacedSends::take_up(&mut engine.limited, now, limit_of(id));
        }
    }

    /// Chooses an engine as the home of the service; `None` when there is none that may get the request.
    pub fn choose(&mut self, now: MonoTime, ask: &EngineRequest) -> Option<EngineChoice> {
        let cold = self.cold;
        self.choose_among(now, ask, |_, engine| {
            let is_warm_enough = !engine.is_cold(now) || engine.bears_more(now, cold);
            is_warm_enough && engine.is_within_limit(now)
        })
    }

    /// Chooses an engine for an instance that cannot ask the home, among the warm ones that `may` names.
    pub fn choose_alone(
        &mut self,
        now: MonoTime,
        ask: &EngineRequest,
        may: impl Fn(&UpstreamId) -> bool,
    ) -> Option<EngineChoice> {
        self.choose_among(now, ask, |id, engine| !engine.is_cold(now) && may(id))
    }

    fn choose_among(
        &mut self,
        now: MonoTime,
        ask: &EngineRequest,
        may: impl Fn(&UpstreamId, &Engine) -> bool,
    ) -> Option<EngineChoice> {
        self.forget_lost_runs(now);
        let best = self.best(now, ask, may)?;
        let upstream = best.id.clone();
        let fetch_from = best.source.cloned();
        let run = Run {
            upstream: upstream.clone(),
            parts: ask.prompt.parts.clone(),
            tokens_read: best.read,
            expected: best.own,
            waited: best.waits,
            has_read: false,
            forget_at: now.after(ask.remaining + FORGET_AFTER),
        };
        Some(EngineChoice {
            upstream,
            fetch_from,
            run: self.begin(now, run),
        })
    }

    /// Counts a run at its engine; returns its number.
    fn begin(&mut self, now: MonoTime, run: Run) -> u64 {
        let most_tokens = self.most_kept();
        if let Some(engine) = self.engines.get_mut(&run.upstream) {
            engine.runs += 1;
            engine.record_send(now);
            if self.cold.is_some() {
                engine.recent.note(now);
            }
            engine.read_all_at = engine.read_all_at.max(now).after(run.expected);
            engine.kept.note(&run.parts, false, most_tokens);
        }
        self.runs.insert(run).data().as_ffi()
    }

    /// Takes up what became of a run. News of runs that are not known changes nothing.
    pub fn note(&mut self, now: MonoTime, run: u64, news: RunProgress) {
        let key = RunKey::from(KeyData::from_ffi(run));
        match news {
            RunProgress::FirstEvent(took) => self.has_read(now, key, took),
            RunProgress::Ended => self.end(now, key),
            RunProgress::Failed => {
                let upstream = self.runs.get(key).map(|run| run.upstream.clone());
                self.end(now, key);
                if let Some(engine) = upstream.and_then(|id| self.engines.get_mut(&id)) {
                    engine.failed(now);
                }
            }
        }
    }

    /// Runs that have not ended, and engines.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        (self.runs.len(), self.engines.len())
    }

    fn best<'a>(
        &'a self,
        now: MonoTime,
        ask: &EngineRequest,
        may: impl Fn(&UpstreamId, &Engine) -> bool,
    ) -> Option<Weighed<'a>> {
        let fit: Vec<(Fitness, &UpstreamId, &Engine)> = self
            .engines
            .iter()
            .filter(|(id, engine)| engine.ready && !ask.excluded.contains(id) && may(id, engine))
            .map(|(id, engine)| (self.fitness(now, engine), id, engine))
            .collect();
        let fittest = fit.iter().map(|(fitness, ..)| *fitness).min()?;
        let sources = self.sources(now, &ask.prompt.parts);
        fit.into_iter()
            .filter(|(fitness, ..)| *fitness == fittest)
            .map(|(_, id, engine)| (id, engine))
            .map(|(id, engine)| self.weigh(now, ask, id, engine, &sources))
            .min_by_key(|option| (option.cost, option.chance))
    }

    fn fitness(&self, now: MonoTime, engine: &Engine) -> Fitness {
        if !engine.is_sound(now) || !engine.has_slot() {
            Fitness::Unsound
        } else if engine.bears_more(now, self.cold) {
            Fitness::Fit
        } else {
            Fitness::Driven
        }
    }

    /// The two engines that most of a prompt can be fetched from, best first.
    fn sources(&self, now: MonoTime, parts: &[PromptPart]) -> Vec<(u32, &UpstreamId)> {
        let mut sources: Vec<(u32, &UpstreamId)> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.ready && engine.is_sound(now))
            .map(|(id, engine)| (engine.kept.fetchable_of(parts), id))
            .filter(|(tokens, _)| *tokens >= LEAST_FETCH)
            .collect();
        sources.sort_by(|a, b| b.cmp(a));
        sources.truncate(2);
        sources
    }

    fn weigh<'a>(
        &self,
        now: MonoTime,
        ask: &EngineRequest,
        id: &'a UpstreamId,
        engine: &Engine,
        sources: &[(u32, &'a UpstreamId)],
    ) -> Weighed<'a> {
        let tokens = ask.prompt.tokens_in;
        let here = engine.kept.kept_of(&ask.prompt.parts).min(tokens);
        let source = sources
            .iter()
            .find(|(kept, source)| *source != id && *kept >= here.saturating_add(LEAST_FETCH));
        let kept = source.map_or(here, |(kept, _)| (*kept).min(tokens));
        let read = tokens - kept;
        let own = self.times.expect(read).mul_f64(engine.speed);
        let best_kept = sources.first().map_or(0, |(kept, _)| (*kept).min(tokens));
        let again = self
            .times
            .expect(tokens.saturating_sub(kept))
            .saturating_sub(self.times.expect(tokens - best_kept.max(kept)));
        let away: u64 = ask
            .inputs
            .iter()
            .filter(|(domain, _)| *domain != engine.domain)
            .map(|(_, bytes)| bytes)
            .sum();
        let cost = engine.read_all_at.since(now)
            + own
            + again.mul_f64(AGAIN)
            + FETCH_PER_TOKEN * (kept - here.min(kept))
            + AWAY_PER_MB.mul_f64(away as f64 / BYTES_PER_MB);
        let key = ask.prompt.shared_prefix_id().unwrap_or_default();
        Weighed {
            id,
            read,
            own,
            source: source.map(|(_, source)| *source),
            waits: engine.read_all_at > now,
            // Differences below a millisecond say nothing; among equals a family of prompts keeps to one engine.
            cost: Duration::from_millis(cost.as_millis() as u64),
            chance: hashed_score(key, id.as_str()),
        }
    }

    fn has_read(&mut self, now: MonoTime, key: RunKey, took: Duration) {
        let most_tokens = self.most_kept();
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut run.has_read, true) {
            return;
        }
        if !run.waited {
            self.times.learn(run.tokens_read, took);
        }
        let expected = (!run.waited).then_some(run.expected);
        let (upstream, parts) = (run.upstream.clone(), run.parts.clone());
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.kept.note(&parts, true, most_tokens);
            engine.answered(took, expected);
        }
        self.look_at_reading(now, &upstream);
    }

    fn end(&mut self, now: MonoTime, key: RunKey) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&run.upstream) {
            engine.runs = engine.runs.saturating_sub(1);
            if !run.has_read {
                engine.kept.not_read(&run.parts);
            }
            if !engine.ready && engine.runs == 0 {
                self.engines.remove(&run.upstream);
            }
        }
        if !run.has_read {
            self.look_at_reading(now, &run.upstream);
        }
    }

    /// What an engine still has to read, from the runs that had no event yet.
    fn look_at_reading(&mut self, now: MonoTime, upstream: &UpstreamId) {
        let left: Duration = self
            .runs
            .values()
            .filter(|run| run.upstream == *upstream && !run.has_read)
            .map(|run| run.expected)
            .sum();
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.read_all_at = engine.read_all_at.min(now.after(left));
        }
    }

    fn forget_lost_runs(&mut self, now: MonoTime) {
        let lost: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.forget_at <= now)
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.end(now, key);
        }
    }

    fn most_kept(&self) -> u64 {
        (self.spec.kv_cache_tokens as f64 * KEPT_PART) as u64
    }
}
