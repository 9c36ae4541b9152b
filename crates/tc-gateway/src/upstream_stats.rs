//! What this instance knows of upstreams from its own calls: work in progress, failures, speed.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_policy::{PickCandidate, PickPreference, pick_upstream};
use tc_protocol::{MonoTime, UpstreamId, routing::RegisteredUpstream};

use crate::call::UpstreamLoad;

/// First pause after a call failed; doubles with each failure in a row.
const MIN_FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause: an upstream that is back is tried again within this time.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(4);
/// Pause after an upstream refused a request because it was full.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Weight of the newest time in an upstream's average.
const TIME_WEIGHT: f64 = 0.25;
/// An upstream counts as slow from this multiple of the median of its service on. First answers vary by two with the
/// length of the prompt.
const SLOW_RATIO: f64 = 2.5;
/// How long an upstream's own word on its load says anything: about as long as a call takes.
const LOAD_MAX_AGE: Duration = Duration::from_millis(100);
/// How long a time says anything.
const TIME_MAX_AGE: Duration = Duration::from_secs(6);

#[derive(Debug, Default)]
struct CallStats {
    in_flight: u32,
    failures: u32,
    paused_until: MonoTime,
    /// Average time to the first byte, in milliseconds, and when it last changed.
    first_byte_ms: Option<(f64, MonoTime)>,
    /// Work in progress there as it last told, and when.
    reported_load: Option<(u32, MonoTime)>,
}

impl CallStats {
    /// Work in progress there: what this instance sent, or what the upstream told a moment ago if that is more.
    fn load(&self, now: MonoTime) -> f64 {
        let own = f64::from(self.in_flight);
        match self.reported_load {
            Some((told, at)) if now.since(at) < LOAD_MAX_AGE => own.max(f64::from(told)),
            _ => own,
        }
    }
}

/// Everything this instance knows of upstreams; shared by all requests.
#[derive(Debug, Default)]
pub(crate) struct UpstreamStats {
    known: Mutex<HashMap<UpstreamId, CallStats>>,
}

/// How a call to an upstream went, as far as it tells of its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// It answered; the time to the first byte of its answer.
    Answered(Duration),
    /// It said that it is full.
    Full,
    /// It broke, could not be reached, or answered nonsense.
    Failed,
}

/// A call in progress; counted until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    upstream_stats: Arc<UpstreamStats>,
    id: UpstreamId,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(known) = self.upstream_stats.lock().get_mut(&self.id) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }
}

impl UpstreamStats {
    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, CallStats>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses an upstream among those of `all` that `admits` lets through, but `excluded`, and counts a call to it.
    ///
    /// Upstreams that pause after failures are chosen only when there is no other.
    pub(crate) fn choose(
        self: &Arc<Self>,
        all: &[Arc<RegisteredUpstream>],
        excluded: &[UpstreamId],
        admits: impl Fn(&RegisteredUpstream) -> bool,
        preference: &PickPreference<'_>,
    ) -> Option<(Arc<RegisteredUpstream>, InFlight)> {
        let now = MonoTime::now();
        let mut known = self.lock();
        let usable: Vec<&Arc<RegisteredUpstream>> = all
            .iter()
            .filter(|u| u.takes_work() && !excluded.contains(&u.id) && admits(u))
            .collect();
        let healthy: Vec<&Arc<RegisteredUpstream>> = usable
            .iter()
            .copied()
            .filter(|u| known.get(&u.id).is_none_or(|k| k.paused_until <= now))
            .collect();
        let eligible = if healthy.is_empty() { usable } else { healthy };
        let median = median_time(&known, &eligible, now);
        let candidates: Vec<PickCandidate<'_>> = eligible
            .iter()
            .map(|u| PickCandidate {
                id: &u.id,
                domain: &u.failure_domain,
                load: known.get(&u.id).map_or(0.0, |k| k.load(now)),
                slots: u.slots,
                slowness: slowness(known.get(&u.id), median, now),
            })
            .collect();
        let chosen = Arc::clone(eligible[pick_upstream(&candidates, preference)?]);
        known.entry(chosen.id.clone()).or_default().in_flight += 1;
        let in_flight = InFlight {
            upstream_stats: Arc::clone(self),
            id: chosen.id.clone(),
        };
        Some((chosen, in_flight))
    }

    /// Counts a call to an upstream that was chosen elsewhere.
    pub(crate) fn begin_call(self: &Arc<Self>, id: &UpstreamId) -> InFlight {
        self.lock().entry(id.clone()).or_default().in_flight += 1;
        InFlight {
            upstream_stats: Arc::clone(self),
            id: id.clone(),
        }
    }

    /// Takes up how a call went.
    pub(crate) fn record(&self, id: &UpstreamId, outcome: CallOutcome) {
        let now = MonoTime::now();
        let mut all = self.lock();
        let known = all.entry(id.clone()).or_default();
        match outcome {
            CallOutcome::Answered(first_byte) => {
                known.failures = 0;
                known.paused_until = MonoTime::default();
                let ms = first_byte.as_secs_f64() * 1_000.0;
                let average = match known.first_byte_ms {
                    Some((old, at)) if now.since(at) < TIME_MAX_AGE => {
                        old + TIME_WEIGHT * (ms - old)
                    }
                    _ => ms,
                };
                known.first_byte_ms = Some((average, now));
            }
            CallOutcome::Full => known.paused_until = now.after(FULL_PAUSE),
            CallOutcome::Failed => {
                let pause = MIN_FAILURE_PAUSE * 2u32.pow(known.failures.min(8));
                known.failures += 1;
                known.paused_until = now.after(pause.min(MAX_FAILURE_PAUSE));
            }
        }
    }

    /// Takes up what an upstream says of its load.
    pub(crate) fn record_load(&self, id: &UpstreamId, load: UpstreamLoad) {
        let reported_load = (load.running + load.waiting, MonoTime::now());
        self.lock().entry(id.clone()).or_default().reported_load = Some(reported_load);
    }

    /// Forgets upstreams that are gone.
    pub(crate) fn retain(&self, keep: impl Fn(&UpstreamId) -> bool) {
        self.lock()
            .retain(|id, known| known.in_flight > 0 || keep(id));
    }
}

fn recent_time(known: Option<&CallStats>, now: MonoTime) -> Option<f64> {
    let (ms, at) = known?.first_byte_ms?;
    (now.since(at) < TIME_MAX_AGE).then_some(ms)
}

fn median_time(
    known: &HashMap<UpstreamId, CallStats>,
    eligible: &[&Arc<RegisteredUpstream>],
    now: MonoTime,
) -> Option<f64> {
    let mut times: Vec<f64> = eligible
        .iter()
        .filter_map(|u| recent_time(known.get(&u.id), now))
        .collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}

fn slowness(known: Option<&CallStats>, median: Option<f64>, now: MonoTime) -> f64 {
    let (Some(own), Some(median)) = (recent_time(known, now), median) else {
        return 1.0;
    };
    let ratio = own / median.max(1.0);
    if ratio >= SLOW_RATIO { ratio } else { 1.0 }
}
