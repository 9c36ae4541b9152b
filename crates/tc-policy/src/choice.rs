//! Selection of an upstream by an entry instance.

use rand::RngExt;
use tc_protocol::{PermitRequest, UpstreamState, UpstreamSummary};

use crate::rendezvous::hashed_score;

/// Extra one-way distance to the nearest upstream, in milliseconds, up to which upstreams count as equally near.
const SAME_DISTANCE_MS: f64 = 0.25;
/// Extra one-way distance to the nearest upstream, in milliseconds, up to which an upstream may hold a workspace's
/// prefixes.
const PREFIX_EXTRA_DISTANCE_MS: f64 = 2.5;
/// Multiple of the average load up to which an upstream takes the prefixes that map to it.
const PREFIX_MAX_LOAD_FACTOR: f64 = 1.25;
/// Multiple of the median service time up to which a slower upstream is not penalized: differences below it are mostly
/// noise.
const SPEED_TOLERANCE: f64 = 1.25;
/// One in this many choices goes to a random upstream, to measure it.
const EXPLORE_ONE_IN: u32 = 64;
/// Age at which the wait reported in a summary no longer counts, in seconds.
const SUMMARY_MAX_AGE_S: f64 = 5.0;
/// Part of its service time that a call loses on a fully loaded upstream; a tie-breaker between two upstreams without a
/// wait.
const LOAD_SLOWDOWN: f64 = 0.1;
/// Service time assumed while no upstream of the service has been measured, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 100.0;

/// An upstream and what the entry knows of it.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCandidate<'a> {
    /// The upstream. Its own `summary` and `leaving` are ignored in favour of the newer values below.
    pub state: &'a UpstreamState,
    /// Last summary received from its home.
    pub summary: Option<UpstreamSummary>,
    /// Whether the upstream is leaving and gets no new work.
    pub leaving: bool,
    /// Age of the summary.
    pub summary_age: std::time::Duration,
    /// Calls of this entry that are waiting for a permit or running there.
    pub own_in_flight: u32,
    /// One-way network distance in milliseconds.
    pub distance_ms: f64,
}

/// A selected upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamChoice {
    /// Index into the candidates.
    pub index: usize,
    /// Reason for the selection, for display.
    pub why: &'static str,
}

/// Selects an upstream for `request`, or returns `None` if no upstream is usable.
///
/// Upstreams that are leaving, have no home or are listed in `request.excluded` are excluded, and ejected ones too
/// while others remain. A call with a prefix goes to the upstream that rendezvous hashing assigns to the prefix, unless
/// that upstream is busier than the others. Any other call goes to the better of two random upstreams by wait and
/// speed, and leaves the nearest failure domain only if the wait it saves exceeds the added distance.
///
/// One in 64 first attempts goes to a random near upstream, which may be an ejected one. Otherwise an upstream that was
/// once measured as slow would never be measured again, and the number of upstreams in use would shrink with every
/// temporary slowdown.
pub fn choose_upstream(
    candidates: &[UpstreamCandidate<'_>],
    request: &PermitRequest,
    random: &mut impl rand::Rng,
) -> Option<UpstreamChoice> {
    let usable: Vec<usize> = (0..candidates.len())
        .filter(|&i| is_usable(&candidates[i], request))
        .collect();
    let nearest = nearest_distance_ms(candidates, &usable)?;
    if usable.len() == 1 {
        return Some(choice(usable[0], "only one usable"));
    }
    if request.attempt.0 == 0 && random.random_ratio(1, EXPLORE_ONE_IN) {
        let near = within(candidates, &usable, nearest + PREFIX_EXTRA_DISTANCE_MS);
        return Some(choice(random_index(&near, random), "measured at random"));
    }
    let healthy: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|&i| !is_ejected(&candidates[i]))
        .collect();
    let pool = if healthy.is_empty() { usable } else { healthy };
    let view = PoolView::new(candidates, &pool);
    if let Some(prefix) = request.prefix
        && let Some(index) = choose_by_prefix(&view, prefix)
    {
        return Some(choice(index, "holds the prefix"));
    }
    Some(choose_by_wait(&view, random))
}

const fn choice(index: usize, why: &'static str) -> UpstreamChoice {
    UpstreamChoice { index, why }
}

fn is_usable(candidate: &UpstreamCandidate<'_>, request: &PermitRequest) -> bool {
    let state = candidate.state;
    !candidate.leaving && state.home.is_some() && !request.excluded.contains(&state.upstream.id)
}

fn is_ejected(candidate: &UpstreamCandidate<'_>) -> bool {
    candidate.summary.is_some_and(|s| s.ejected)
}

fn nearest_distance_ms(candidates: &[UpstreamCandidate<'_>], pool: &[usize]) -> Option<f64> {
    pool.iter()
        .map(|&i| candidates[i].distance_ms)
        .min_by(f64::total_cmp)
}

fn within(candidates: &[UpstreamCandidate<'_>], pool: &[usize], distance_ms: f64) -> Vec<usize> {
    pool.iter()
        .copied()
        .filter(|&i| candidates[i].distance_ms <= distance_ms)
        .collect()
}

fn random_index(pool: &[usize], random: &mut impl rand::Rng) -> usize {
    pool[random.random_range(0..pool.len())]
}

/// The candidates that remain after filtering, with their common statistics.
struct PoolView<'a> {
    candidates: &'a [UpstreamCandidate<'a>],
    pool: &'a [usize],
    nearest_ms: f64,
    typical_service_ms: f64,
}

impl<'a> PoolView<'a> {
    fn new(candidates: &'a [UpstreamCandidate<'a>], pool: &'a [usize]) -> Self {
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
            nearest_ms: nearest_distance_ms(candidates, pool).unwrap_or_default(),
            typical_service_ms: measured.get(middle).copied().unwrap_or(DEFAULT_SERVICE_MS),
        }
    }

    fn summary(&self, index: usize) -> UpstreamSummary {
        self.candidates[index].summary.unwrap_or_default()
    }

    /// Returns the known number of calls that run or wait there.
    fn load(&self, index: usize) -> u32 {
        let summary = self.summary(index);
        let known = summary.in_flight.saturating_add(summary.waiting);
        known.max(self.candidates[index].own_in_flight)
    }

    /// Returns the number of calls that it runs concurrently; 1 while unknown.
    fn concurrency(&self, index: usize) -> f64 {
        f64::from(self.summary(index).concurrency.max(1))
    }

    fn service_ms(&self, index: usize) -> f64 {
        match self.summary(index).service_ms {
            ms if ms > 0.0 => ms,
            _ => self.typical_service_ms,
        }
    }

    /// Returns the expected wait. The wait that the home reported loses weight with the summary's age. This entry's own
    /// calls, which the home may not have counted yet, count immediately; otherwise all calls of an entry would go to
    /// one upstream between two summaries.
    fn wait_ms(&self, index: usize) -> f64 {
        let candidate = &self.candidates[index];
        let fresh = 1.0 - (candidate.summary_age.as_secs_f64() / SUMMARY_MAX_AGE_S).min(1.0);
        let concurrency = self.concurrency(index);
        let unknown = candidate.summary.is_none_or(|s| s.concurrency == 0);
        let own = f64::from(candidate.own_in_flight);
        let ahead = if unknown {
            own
        } else {
            own + 1.0 - concurrency
        };
        let own_wait_ms = ahead.max(0.0) * self.service_ms(index) / concurrency;
        (self.summary(index).wait_ms * fresh).max(own_wait_ms)
    }

    /// Returns the expected delay compared with a typical idle upstream at the same distance.
    fn delay_ms(&self, index: usize) -> f64 {
        let tolerated_ms = self.typical_service_ms * SPEED_TOLERANCE;
        self.wait_ms(index) + (self.service_ms(index) - tolerated_ms).max(0.0)
    }

    /// Returns [`PoolView::delay_ms`] plus the slowdown by load, to compare two upstreams at the same distance.
    fn loaded_delay_ms(&self, index: usize) -> f64 {
        let busy = (f64::from(self.load(index)) / self.concurrency(index)).min(1.0);
        self.delay_ms(index) + busy * LOAD_SLOWDOWN * self.typical_service_ms
    }
}

/// Selects by rendezvous hashing of the prefix among the near upstreams, and skips those that are busier than the
/// others.
fn choose_by_prefix(view: &PoolView<'_>, prefix: u64) -> Option<usize> {
    let near = within(
        view.candidates,
        view.pool,
        view.nearest_ms + PREFIX_EXTRA_DISTANCE_MS,
    );
    let total: u32 = near.iter().map(|&i| view.load(i)).sum();
    let average = f64::from(total + 1) / near.len() as f64;
    let bound = (average * PREFIX_MAX_LOAD_FACTOR).ceil();
    near.into_iter()
        .filter(|&i| f64::from(view.load(i)) < bound && view.delay_ms(i) <= view.typical_service_ms)
        .max_by_key(|&i| hashed_score(prefix, view.candidates[i].state.upstream.id.as_str()))
}

fn choose_by_wait(view: &PoolView<'_>, random: &mut impl rand::Rng) -> UpstreamChoice {
    let limit = view.nearest_ms + SAME_DISTANCE_MS;
    let (near, far): (Vec<usize>, Vec<usize>) = view
        .pool
        .iter()
        .partition(|&&i| view.candidates[i].distance_ms <= limit);
    let near_index = choose_of_two(view, &near, random);
    if far.is_empty() {
        return choice(near_index, "better of two");
    }
    let far_index = choose_of_two(view, &far, random);
    let extra_distance_ms =
        view.candidates[far_index].distance_ms - view.candidates[near_index].distance_ms;
    if view.delay_ms(near_index) - view.delay_ms(far_index) > extra_distance_ms {
        return choice(far_index, "saves more wait than its distance costs");
    }
    choice(near_index, "better of two near")
}

fn choose_of_two(view: &PoolView<'_>, pool: &[usize], random: &mut impl rand::Rng) -> usize {
    let first = random.random_range(0..pool.len());
    if pool.len() == 1 {
        return pool[first];
    }
    let other = (first + random.random_range(1..pool.len())) % pool.len();
    let (first, other) = (pool[first], pool[other]);
    if view.loaded_delay_ms(other) < view.loaded_delay_ms(first) {
        other
    } else {
        first
    }
}
