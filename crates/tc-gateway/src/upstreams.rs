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
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause: an upstream that is back is tried again within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Pause after an upstream refused a request because it was full.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Weight of the newest time in an upstream's average.
const TIME_WEIGHT: f64 = 0.25;
/// An upstream counts as slow from this multiple of the median of its service on. First answers vary by two with the
/// length of the prompt.
const SLOW_FROM: f64 = 2.5;
/// How long an upstream's own word on its load says anything: about as long as a call takes.
const REPORT_LIFE: Duration = Duration::from_millis(100);
/// How long a time says anything.
const TIME_LIFE: Duration = Duration::from_secs(6);

#[derive(Debug, Default)]
struct Known {
    in_flight: u32,
    failures: u32,
    not_before: MonoTime,
    /// Average time to the first byte, in milliseconds, and when it last changed.
    first_byte_ms: Option<(f64, MonoTime)>,
    /// Work in progress there as it last told, and when.
    reported: Option<(u32, MonoTime)>,
}

impl Known {
    /// Work in progress there: what this instance sent, or what the upstream told a moment ago if that is more.
    fn load(&self, now: MonoTime) -> f64 {
        let own = f64::from(self.in_flight);
        match self.reported {
            Some((told, at)) if now.since(at) < REPORT_LIFE => own.max(f64::from(told)),
            _ => own,
        }
    }
}

/// Everything this instance knows of upstreams; shared by all requests.
#[derive(Debug, Default)]
pub(crate) struct UpstreamBook {
    known: Mutex<HashMap<UpstreamId, Known>>,
}

/// How a call to an upstream went, as far as it tells of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallHealth {
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
    book: Arc<UpstreamBook>,
    id: UpstreamId,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(known) = self.book.lock().get_mut(&self.id) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }
}

impl UpstreamBook {
    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses an upstream among those of `all` that `admits` lets through, but `except`, and counts a call to it.
    ///
    /// Upstreams that pause after failures are chosen only when there is no other.
    pub(crate) fn choose(
        self: &Arc<Self>,
        all: &[Arc<RegisteredUpstream>],
        except: &[UpstreamId],
        admits: impl Fn(&RegisteredUpstream) -> bool,
        wish: &PickPreference<'_>,
    ) -> Option<(Arc<RegisteredUpstream>, InFlight)> {
        let now = MonoTime::now();
        let mut known = self.lock();
        let fit: Vec<&Arc<RegisteredUpstream>> = all
            .iter()
            .filter(|u| u.takes_work() && !except.contains(&u.id) && admits(u))
            .collect();
        let sound: Vec<&Arc<RegisteredUpstream>> = fit
            .iter()
            .copied()
            .filter(|u| known.get(&u.id).is_none_or(|k| k.not_before <= now))
            .collect();
        let pool = if sound.is_empty() { fit } else { sound };
        let median = median_time(&known, &pool, now);
        let candidates: Vec<PickCandidate<'_>> = pool
            .iter()
            .map(|u| PickCandidate {
                id: &u.id,
                domain: &u.failure_domain,
                load: known.get(&u.id).map_or(0.0, |k| k.load(now)),
                slots: u.slots,
                slowdown: slowness(known.get(&u.id), median, now),
            })
            .collect();
        let chosen = Arc::clone(pool[pick_upstream(&candidates, wish)?]);
        known.entry(chosen.id.clone()).or_default().in_flight += 1;
        let in_flight = InFlight {
            book: Arc::clone(self),
            id: chosen.id.clone(),
        };
        Some((chosen, in_flight))
    }

    /// Counts a call to an upstream that was chosen elsewhere.
    pub(crate) fn count(self: &Arc<Self>, id: &UpstreamId) -> InFlight {
        self.lock().entry(id.clone()).or_default().in_flight += 1;
        InFlight {
            book: Arc::clone(self),
            id: id.clone(),
        }
    }

    /// Takes up how a call went.
    pub(crate) fn note(&self, id: &UpstreamId, health: CallHealth) {
        let now = MonoTime::now();
        let mut all = self.lock();
        let known = all.entry(id.clone()).or_default();
        match health {
            CallHealth::Answered(first_byte) => {
                known.failures = 0;
                known.not_before = MonoTime::default();
                let ms = first_byte.as_secs_f64() * 1_000.0;
                let average = match known.first_byte_ms {
                    Some((old, at)) if now.since(at) < TIME_LIFE => old + TIME_WEIGHT * (ms - old),
                    _ => ms,
                };
                known.first_byte_ms = Some((average, now));
            }
            CallHealth::Full => known.not_before = now.after(FULL_PAUSE),
            CallHealth::Failed => {
                let pause = FIRST_PAUSE * 2u32.pow(known.failures.min(8));
                known.failures += 1;
                known.not_before = now.after(pause.min(LONGEST_PAUSE));
            }
        }
    }

    /// Takes up what an upstream says of its load.
    pub(crate) fn note_load(&self, id: &UpstreamId, load: UpstreamLoad) {
        let reported = (load.running + load.waiting, MonoTime::now());
        self.lock().entry(id.clone()).or_default().reported = Some(reported);
    }

    /// Forgets upstreams that are gone.
    pub(crate) fn retain(&self, keep: impl Fn(&UpstreamId) -> bool) {
        self.lock()
            .retain(|id, known| known.in_flight > 0 || keep(id));
    }
}

fn fresh_time(known: Option<&Known>, now: MonoTime) -> Option<f64> {
    let (ms, at) = known?.first_byte_ms?;
    (now.since(at) < TIME_LIFE).then_some(ms)
}

fn median_time(
    known: &HashMap<UpstreamId, Known>,
    pool: &[&Arc<RegisteredUpstream>],
    now: MonoTime,
) -> Option<f64> {
    let mut times: Vec<f64> = pool
        .iter()
        .filter_map(|u| fresh_time(known.get(&u.id), now))
        .collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}

fn slowness(known: Option<&Known>, median: Option<f64>, now: MonoTime) -> f64 {
    let (Some(own), Some(median)) = (fresh_time(known, now), median) else {
        return 1.0;
    };
    let ratio = own / median.max(1.0);
    if ratio >= SLOW_FROM { ratio } else { 1.0 }
}
