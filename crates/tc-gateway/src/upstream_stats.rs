//! Statistics of upstreams from this instance's own calls: calls in progress, failures and response times.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_policy::{
    LoadEstimate, MomentarySlowdown, PickCandidate, PickPreference, SentCall, ServiceRoom,
    UnevenCandidate, UpstreamLoad, pick_uneven, pick_upstream,
};
use tc_protocol::{MonoTime, UpstreamId, routing::RegisteredUpstream};

/// Pause after the first failed call; it doubles with each consecutive failure.
const MIN_FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Upper bound of the pause: an upstream that has recovered is tried again within this time.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(4);
/// Pause after an upstream refused a request because it was full.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Weight of the latest time in the moving average of an upstream.
const TIME_WEIGHT: f64 = 0.25;
/// Ratio to the median of its service from which on an upstream counts as slow. Times to the first byte vary by a
/// factor of two with the length of the prompt.
const SLOW_RATIO: f64 = 2.5;
/// Time for which a reported load is valid, which is about the duration of a call.
const LOAD_MAX_AGE: Duration = Duration::from_millis(100);
/// Time for which a measured time is valid.
const TIME_MAX_AGE: Duration = Duration::from_secs(6);

#[derive(Debug, Default)]
struct CallStats {
    estimate: LoadEstimate,
    failures: u32,
    paused_until: MonoTime,
    /// Average time to the first byte, in milliseconds, and when it was last updated.
    first_byte_ms: Option<(f64, MonoTime)>,
    /// Load that the upstream last reported, and when.
    reported_load: Option<(u32, MonoTime)>,
}

impl CallStats {
    /// Returns the load of the upstream: this instance's calls in progress, or the recently reported load if that is
    /// higher.
    fn load(&self, now: MonoTime) -> f64 {
        let own = f64::from(self.estimate.in_flight());
        match self.reported_load {
            Some((reported, at)) if now.since(at) < LOAD_MAX_AGE => own.max(f64::from(reported)),
            _ => own,
        }
    }
}

/// Call statistics of all upstreams, shared by all requests.
#[derive(Debug, Default)]
pub(crate) struct UpstreamStats {
    stats: Mutex<HashMap<UpstreamId, CallStats>>,
    pub(crate) pace: crate::pace::UpstreamPaces,
}

/// Outcome of a call to an upstream, as far as it shows the health of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The upstream answered; the time to the first byte.
    Answered(Duration),
    /// The upstream refused the request because it is full.
    Full,
    /// The connection broke, the upstream was unreachable, or its answer was invalid.
    Failed,
}

/// Counts a call as in progress until dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    upstream_stats: Arc<UpstreamStats>,
    id: UpstreamId,
    call: SentCall,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(stats) = self.upstream_stats.lock().get_mut(&self.id) {
            stats.estimate.record_end(&self.call);
        }
    }
}

impl UpstreamStats {
    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, CallStats>> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses one of the upstreams in `all` that `admits` accepts, given its calls in progress, and `excluded` does not
    /// contain, and counts a call to it.
    ///
    /// Upstreams that are paused after failures are chosen only if there is no other. If one of those left has announced
    /// a momentary slowdown, the choice is the one for uneven upstreams, except for requests with an affinity key: a
    /// moment is too short to read their prompt again elsewhere.
    pub(crate) fn choose(
        self: &Arc<Self>,
        all: &[Arc<RegisteredUpstream>],
        excluded: &[UpstreamId],
        admits: impl Fn(&RegisteredUpstream, u32) -> bool,
        preference: &PickPreference<'_>,
    ) -> Option<(Arc<RegisteredUpstream>, InFlight)> {
        let now = MonoTime::now();
        let mut stats = self.lock();
        let in_progress = |id: &UpstreamId| stats.get(id).map_or(0, |s| s.estimate.in_flight());
        let usable: Vec<&Arc<RegisteredUpstream>> = all
            .iter()
            .filter(|u| u.takes_work() && !excluded.contains(&u.id))
            .filter(|u| admits(u, in_progress(&u.id)))
            .collect();
        let healthy: Vec<&Arc<RegisteredUpstream>> = usable
            .iter()
            .copied()
            .filter(|u| stats.get(&u.id).is_none_or(|k| k.paused_until <= now))
            .collect();
        let eligible = if healthy.is_empty() { usable } else { healthy };
        let announces = |u: &&Arc<RegisteredUpstream>| {
            stats
                .get(&u.id)
                .is_some_and(|s| s.estimate.announces_slowdown())
        };
        let is_uneven = preference.affinity_key.is_none() && eligible.iter().any(announces);
        let chosen = if is_uneven {
            choose_uneven(&stats, &eligible, preference, now)?
        } else {
            choose_even(&stats, &eligible, preference, now)?
        };
        let chosen = Arc::clone(eligible[chosen]);
        let in_flight = self.count_call(&mut stats, &chosen.id);
        Some((chosen, in_flight))
    }

    /// Counts a call to an upstream that was chosen elsewhere.
    pub(crate) fn begin_call(self: &Arc<Self>, id: &UpstreamId) -> InFlight {
        self.count_call(&mut self.lock(), id)
    }

    fn count_call(
        self: &Arc<Self>,
        stats: &mut HashMap<UpstreamId, CallStats>,
        id: &UpstreamId,
    ) -> InFlight {
        InFlight {
            upstream_stats: Arc::clone(self),
            id: id.clone(),
            call: stats.entry(id.clone()).or_default().estimate.record_send(),
        }
    }

    /// Records the outcome of a call.
    pub(crate) fn record(&self, id: &UpstreamId, outcome: CallOutcome) {
        let paced_until = self.pace.record(id, outcome);
        let now = MonoTime::now();
        let mut all = self.lock();
        let stats = all.entry(id.clone()).or_default();
        match outcome {
            CallOutcome::Answered(first_byte) => {
                stats.failures = 0;
                stats.paused_until = MonoTime::default();
                stats.estimate.record_time(now, first_byte);
                let ms = first_byte.as_secs_f64() * 1_000.0;
                let average = match stats.first_byte_ms {
                    Some((old, at)) if now.since(at) < TIME_MAX_AGE => {
                        old + TIME_WEIGHT * (ms - old)
                    }
                    _ => ms,
                };
                stats.first_byte_ms = Some((average, now));
            }
            CallOutcome::Full => stats.paused_until = now.after(FULL_PAUSE),
            CallOutcome::Failed => {
                let pause = MIN_FAILURE_PAUSE * 2u32.pow(stats.failures.min(8));
                stats.failures += 1;
                let paused_until = now.after(pause.min(MAX_FAILURE_PAUSE));
                stats.paused_until = paced_until.unwrap_or(paused_until);
            }
        }
    }

    /// Records the load that an upstream reports in an answer, if it reports one.
    pub(crate) fn record_load(&self, id: &UpstreamId, load: Option<UpstreamLoad>) {
        let Some(load) = load else { return };
        let now = MonoTime::now();
        let fault = {
            let mut all = self.lock();
            let stats = all.entry(id.clone()).or_default();
            stats.reported_load = Some((load.running.saturating_add(load.waiting), now));
            stats.estimate.record_report(now, load)
        };
        if let Some(fault) = fault {
            metrics::counter!("tc_load_report_faults_total", "reason" => fault.label())
                .increment(1);
            log::warn!(upstream = id.as_str(), reason = fault.label(), slots = load.slots; "load report of an upstream cannot be used in full");
        }
    }

    /// Returns the momentary slowdown that an upstream announced last.
    pub(crate) fn momentary_slowdown(&self, id: &UpstreamId) -> MomentarySlowdown {
        let all = self.lock();
        all.get(id)
            .map(|stats| stats.estimate.momentary())
            .unwrap_or_default()
    }

    /// Returns when the upstreams of a service have room, or `None` if nothing recent is known.
    pub(crate) fn room(&self, all: &[Arc<RegisteredUpstream>]) -> Option<ServiceRoom> {
        let unknown = LoadEstimate::default();
        let stats = self.lock();
        let working = all.iter().filter(|u| u.takes_work());
        let loads = working.map(|u| {
            let known = stats.get(&u.id);
            (known.map_or(&unknown, |s| &s.estimate), u.slots)
        });
        ServiceRoom::of(MonoTime::now(), loads)
    }

    /// Drops upstreams that are no longer registered.
    pub(crate) fn retain(&self, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.lock()
            .retain(|id, stats| stats.estimate.in_flight() > 0 || is_registered(id));
    }
}

/// Chooses among upstreams that announce no momentary slowdown; returns the index.
fn choose_even(
    stats: &HashMap<UpstreamId, CallStats>,
    eligible: &[&Arc<RegisteredUpstream>],
    preference: &PickPreference<'_>,
    now: MonoTime,
) -> Option<usize> {
    let median = median_time(stats, eligible, now);
    let candidates: Vec<PickCandidate<'_>> = eligible
        .iter()
        .map(|u| PickCandidate {
            id: &u.id,
            domain: &u.failure_domain,
            load: stats.get(&u.id).map_or(0.0, |k| k.load(now)),
            slots: u.slots,
            slowdown: slowdown(stats.get(&u.id), median, now),
        })
        .collect();
    pick_upstream(&candidates, preference)
}

/// Chooses by when each upstream would be done with the request; returns the index.
fn choose_uneven(
    stats: &HashMap<UpstreamId, CallStats>,
    eligible: &[&Arc<RegisteredUpstream>],
    preference: &PickPreference<'_>,
    now: MonoTime,
) -> Option<usize> {
    let unknown = LoadEstimate::default();
    let candidates: Vec<UnevenCandidate<'_>> = eligible
        .iter()
        .map(|u| UnevenCandidate {
            id: &u.id,
            domain: &u.failure_domain,
            slots: u.slots,
            load: stats.get(&u.id).map_or(&unknown, |s| &s.estimate),
        })
        .collect();
    let (chosen, reason) = pick_uneven(now, &candidates, preference)?;
    let reason = reason.label();
    metrics::counter!("tc_uneven_choices_total", "reason" => reason).increment(1);
    let momentary = candidates[chosen].load.momentary().at(now);
    log::debug!(upstream = candidates[chosen].id.as_str(), reason = reason, candidates = candidates.len(), momentary_slowdown = momentary; "upstream chosen by estimated time");
    Some(chosen)
}

fn recent_time(stats: Option<&CallStats>, now: MonoTime) -> Option<f64> {
    let (ms, at) = stats?.first_byte_ms?;
    (now.since(at) < TIME_MAX_AGE).then_some(ms)
}

fn median_time(
    stats: &HashMap<UpstreamId, CallStats>,
    eligible: &[&Arc<RegisteredUpstream>],
    now: MonoTime,
) -> Option<f64> {
    let mut times: Vec<f64> = eligible
        .iter()
        .filter_map(|u| recent_time(stats.get(&u.id), now))
        .collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied()
}

fn slowdown(stats: Option<&CallStats>, median: Option<f64>, now: MonoTime) -> f64 {
    let (Some(own), Some(median)) = (recent_time(stats, now), median) else {
        return 1.0;
    };
    let ratio = own / median.max(1.0);
    if ratio >= SLOW_RATIO { ratio } else { 1.0 }
}

#[cfg(test)]
mod tests {
    use tc_protocol::FailureDomain;

    use super::*;

    fn upstream(number: usize) -> Arc<RegisteredUpstream> {
        Arc::new(RegisteredUpstream {
            id: format!("u{number}").into(),
            service: "web".into(),
            version: None,
            address: ([10, 0, 0, 1], 80).into(),
            failure_domain: FailureDomain::from(["a", "b"][number % 2]),
            slots: 4,
            draining: false,
            evacuated: false,
            cold_until: MonoTime::default(),
        })
    }

    /// Guards against choices that change for upstreams that announce no momentary slowdown. The expected choices are
    /// those of the rule that knew none.
    #[test]
    fn upstreams_that_announce_no_slowdown_are_chosen_as_before() {
        let stats = Arc::new(UpstreamStats::default());
        let all: Vec<_> = (0..6).map(upstream).collect();
        let domain = FailureDomain::from("a");
        let mut chosen = String::new();
        let mut in_progress = Vec::new();
        for request in 0..120_u64 {
            let preference = PickPreference {
                affinity_key: (request % 5 == 0).then_some(request / 10),
                domain: (request % 3 == 0).then_some(&domain),
                tie_breaker: request,
            };
            let excluded = [all[(request % 7) as usize % 6].id.clone()];
            let choice = stats.choose(&all, &excluded, |_, _| true, &preference);
            let (upstream, in_flight) = choice.expect("there are upstreams");
            chosen.push_str(&upstream.id.as_str()[1..]);
            let id = &upstream.id;
            match request % 11 {
                4 => stats.record(id, CallOutcome::Full),
                7 => stats.record(id, CallOutcome::Failed),
                _ => {
                    let took = Duration::from_millis(20 + request * 37 % 300);
                    let load = UpstreamLoad {
                        running: (request * 13 % 7) as u32,
                        slots: 4,
                        ..UpstreamLoad::default()
                    };
                    stats.record_load(id, Some(load));
                    stats.record(id, CallOutcome::Answered(took));
                }
            }
            in_progress.push(in_flight);
            if request % 4 == 3 {
                in_progress.clear();
            }
        }
        assert_eq!(
            chosen,
            "305213443022222200033335553555442222242221151111155511111211\
             222224422224442222200022220000222000222200002220000222022222"
        );
    }
}
