//! An entry's choice of upstream.

use rand::RngExt;
use tc_protocol::{PermitRequest, UpstreamState, UpstreamSummary};

use crate::rendezvous::hashed_score;

/// Upstreams this much farther than the nearest, in milliseconds one way, count as equally near.
const SAME_DISTANCE_MS: f64 = 0.25;
/// Upstreams this much farther than the nearest, in milliseconds one way, may hold a workspace's prefixes.
const PREFIX_REACH_MS: f64 = 2.5;
/// Load above the average, as a factor, up to which an upstream takes the prefixes that prefer it.
const PREFIX_LOAD_FACTOR: f64 = 1.25;
/// Service time against the others' median, as a factor, up to which speed does not count: it is mostly noise.
const SPEED_TOLERANCE: f64 = 1.25;
/// One in this many choices measures an upstream at random.
const EXPLORE_ONE_IN: u32 = 64;
/// Age at which a summary's queue says nothing any more, in seconds.
const SUMMARY_FADES_S: f64 = 5.0;
/// How much of its service time a call loses on a fully loaded upstream; decides between two without a wait.
const LOAD_SLOWDOWN: f64 = 0.1;
/// Service time taken for an upstream while none in the service is measured, in milliseconds.
const UNKNOWN_SERVICE_MS: f64 = 100.0;

/// One upstream as an entry sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream. Its `summary` and `leaving` are not looked at: what is heard since is newer.
    pub state: &'a UpstreamState,
    /// Last summary heard from its home.
    pub summary: Option<UpstreamSummary>,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Age of the summary.
    pub summary_age: std::time::Duration,
    /// Calls of this entry asked for or running there.
    pub own_in_flight: u32,
    /// Network distance in milliseconds one way.
    pub distance_ms: f64,
}

/// The chosen upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index into the candidates.
    pub index: usize,
    /// Why, in words.
    pub why: &'static str,
}

/// Chooses an upstream for `ask`, or `None` when none may be used.
///
/// Left out are upstreams that are leaving, have no home or are in `ask.excluded`, and ejected ones while others are
/// left. A call with a prefix goes to the upstream that its prefix prefers, unless that one is busier than the
/// others; any other goes to the better of two by wait and speed, and leaves the nearest failure domain only when
/// the wait it saves exceeds the distance.
///
/// One in 64 first attempts goes to a near upstream at random, an ejected one included. Without that, an upstream
/// that once measured slow would never be measured again, seen as a fleet that shrinks by one with every hiccup.
pub fn choose(
    candidates: &[Candidate<'_>],
    ask: &PermitRequest,
    random: &mut impl rand::Rng,
) -> Option<Choice> {
    let usable: Vec<usize> = (0..candidates.len())
        .filter(|&i| may_use(&candidates[i], ask))
        .collect();
    let nearest = distance_of_nearest(candidates, &usable)?;
    if usable.len() == 1 {
        return Some(choice(usable[0], "only one usable"));
    }
    if ask.attempt.0 == 0 && random.random_ratio(1, EXPLORE_ONE_IN) {
        let near = within(candidates, &usable, nearest + PREFIX_REACH_MS);
        return Some(choice(pick(&near, random), "measured at random"));
    }
    let healthy: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|&i| !is_ejected(&candidates[i]))
        .collect();
    let pool = if healthy.is_empty() { usable } else { healthy };
    let view = View::new(candidates, &pool);
    if let Some(prefix) = ask.prefix
        && let Some(index) = by_prefix(&view, prefix)
    {
        return Some(choice(index, "holds the prefix"));
    }
    Some(by_wait(&view, random))
}

const fn choice(index: usize, why: &'static str) -> Choice {
    Choice { index, why }
}

fn may_use(candidate: &Candidate<'_>, ask: &PermitRequest) -> bool {
    let state = candidate.state;
    !candidate.leaving && state.home.is_some() && !ask.excluded.contains(&state.upstream.id)
}

fn is_ejected(candidate: &Candidate<'_>) -> bool {
    candidate.summary.is_some_and(|s| s.ejected)
}

fn distance_of_nearest(candidates: &[Candidate<'_>], pool: &[usize]) -> Option<f64> {
    pool.iter()
        .map(|&i| candidates[i].distance_ms)
        .min_by(f64::total_cmp)
}

fn within(candidates: &[Candidate<'_>], pool: &[usize], distance_ms: f64) -> Vec<usize> {
    pool.iter()
        .copied()
        .filter(|&i| candidates[i].distance_ms <= distance_ms)
        .collect()
}

fn pick(pool: &[usize], random: &mut impl rand::Rng) -> usize {
    pool[random.random_range(0..pool.len())]
}

/// The candidates that are left, and what is typical of them.
struct View<'a> {
    candidates: &'a [Candidate<'a>],
    pool: &'a [usize],
    nearest: f64,
    typical_service_ms: f64,
}

impl<'a> View<'a> {
    fn new(candidates: &'a [Candidate<'a>], pool: &'a [usize]) -> Self {
        let mut measured: Vec<f64> = pool
            .iter()
            .filter_map(|&i| candidates[i].summary)
            .map(|s| s.service_ms)
            .filter(|&ms| ms > 0.0)
            .collect();
        measured.sort_unstable_by(f64::total_cmp);
        let middle = measured.len().saturating_sub(1) / 2;
        Self {
            candidates,
            pool,
            nearest: distance_of_nearest(candidates, pool).unwrap_or_default(),
            typical_service_ms: measured.get(middle).copied().unwrap_or(UNKNOWN_SERVICE_MS),
        }
    }

    fn summary(&self, index: usize) -> UpstreamSummary {
        self.candidates[index].summary.unwrap_or_default()
    }

    /// Calls running or waiting there, as far as known here.
    fn load(&self, index: usize) -> u32 {
        let summary = self.summary(index);
        let known = summary.in_flight.saturating_add(summary.waiting);
        known.max(self.candidates[index].own_in_flight)
    }

    /// Calls it runs at once; 1 while unknown.
    fn room(&self, index: usize) -> f64 {
        f64::from(self.summary(index).concurrency.max(1))
    }

    fn service_ms(&self, index: usize) -> f64 {
        match self.summary(index).service_ms {
            ms if ms > 0.0 => ms,
            _ => self.typical_service_ms,
        }
    }

    /// Expected wait there. The home's own figure fades with its age; calls of our own that it cannot have seen yet
    /// count at once, else all calls of an entry would go to one upstream between two summaries.
    fn wait_ms(&self, index: usize) -> f64 {
        let candidate = &self.candidates[index];
        let fresh = 1.0 - (candidate.summary_age.as_secs_f64() / SUMMARY_FADES_S).min(1.0);
        let room = self.room(index);
        let unknown = candidate.summary.is_none_or(|s| s.concurrency == 0);
        let own = f64::from(candidate.own_in_flight);
        let ahead = if unknown { own } else { own + 1.0 - room };
        let by_own = ahead.max(0.0) * self.service_ms(index) / room;
        (self.summary(index).wait_ms * fresh).max(by_own)
    }

    /// Time lost there against a typical, idle upstream at the same distance.
    fn lost_ms(&self, index: usize) -> f64 {
        let tolerated = self.typical_service_ms * SPEED_TOLERANCE;
        self.wait_ms(index) + (self.service_ms(index) - tolerated).max(0.0)
    }

    /// [`View::lost_ms`] and how much its load slows a call, to decide between two at the same distance.
    fn near_cost(&self, index: usize) -> f64 {
        let busy = (f64::from(self.load(index)) / self.room(index)).min(1.0);
        self.lost_ms(index) + busy * LOAD_SLOWDOWN * self.typical_service_ms
    }
}

/// Rendezvous of the prefix over the near upstreams, past those that are busier than the others.
fn by_prefix(view: &View<'_>, prefix: u64) -> Option<usize> {
    let near = within(view.candidates, view.pool, view.nearest + PREFIX_REACH_MS);
    let total: u32 = near.iter().map(|&i| view.load(i)).sum();
    let average = f64::from(total + 1) / near.len() as f64;
    let bound = (average * PREFIX_LOAD_FACTOR).ceil();
    near.into_iter()
        .filter(|&i| f64::from(view.load(i)) < bound && view.lost_ms(i) <= view.typical_service_ms)
        .max_by_key(|&i| hashed_score(prefix, view.candidates[i].state.upstream.id.as_str()))
}

fn by_wait(view: &View<'_>, random: &mut impl rand::Rng) -> Choice {
    let limit = view.nearest + SAME_DISTANCE_MS;
    let (near, far): (Vec<usize>, Vec<usize>) = view
        .pool
        .iter()
        .partition(|&&i| view.candidates[i].distance_ms <= limit);
    let best_near = better_of_two(view, &near, random);
    if far.is_empty() {
        return choice(best_near, "better of two");
    }
    let best_far = better_of_two(view, &far, random);
    let farther = view.candidates[best_far].distance_ms - view.candidates[best_near].distance_ms;
    if view.lost_ms(best_near) - view.lost_ms(best_far) > farther {
        return choice(best_far, "saves more wait than its distance costs");
    }
    choice(best_near, "better of two near")
}

fn better_of_two(view: &View<'_>, pool: &[usize], random: &mut impl rand::Rng) -> usize {
    let first = random.random_range(0..pool.len());
    if pool.len() == 1 {
        return pool[first];
    }
    let other = (first + random.random_range(1..pool.len())) % pool.len();
    let (first, other) = (pool[first], pool[other]);
    if view.near_cost(other) < view.near_cost(first) {
        other
    } else {
        first
    }
}
