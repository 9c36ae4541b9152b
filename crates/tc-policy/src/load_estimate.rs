//! Estimate of how soon an upstream would be done with one more request: from the load that it announces, the times of
//! its calls, and the calls sent to it since.

use std::time::Duration;

use tc_protocol::MonoTime;

use crate::slowdown::{AnnouncedSlowdown, MomentarySlowdown, faded};

/// Half-life of what the times of calls say about an upstream. An instance that sees one request a second calls each of
/// six upstreams a few times within it.
const TIMES_HALF_LIFE: Duration = Duration::from_secs(15);
/// Weight of the assumption that an upstream is as fast as its peers, in calls.
const EVEN_SPEED_WEIGHT: f64 = 3.0;
/// Ratio to its peers from which on the measured time of an upstream is taken as it is: calls differ by less.
const SLOW_RATIO: f64 = 2.5;
/// Bounds of the lasting slowdown, so that an outlier cannot keep an upstream out of use.
const LASTING_BOUNDS: (f64, f64) = (0.5, 10.0);
/// Half-life of what a report says about the load of the peers that have not reported.
const PEER_LOAD_HALF_LIFE: Duration = Duration::from_secs(1);
/// Bounds of the half-life of a reported load, which is the time of a call.
const REPORT_HALF_LIFE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_secs(2));
/// Time of a call before one was measured.
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(100);
/// Largest number of slots that an upstream may announce.
pub(crate) const MAX_SLOTS: u32 = 100_000;
/// Utilization from which on an upstream is expected to be slower.
const NEARLY_FULL: f64 = 0.75;
/// Extra time of a call on an upstream whose slots are all in use, as a fraction.
const FULL_EXTRA_TIME: f64 = 0.5;

/// The load that an upstream announces in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Momentary slowdown of its machine.
    pub slowdown: AnnouncedSlowdown,
}

/// Part of a report that cannot be used; the estimate goes without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportFault {
    /// The upstream no longer announces a momentary slowdown.
    SlowdownMissing,
    /// The momentary slowdown is not a number, or out of bounds.
    SlowdownUnreadable,
    /// The number of slots is zero or huge.
    SlotsInvalid,
    /// The number of slots differs from the one in the last report.
    SlotsChanged,
}

impl ReportFault {
    /// Returns the fault as a label for logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::SlowdownMissing => "slowdown_missing",
            Self::SlowdownUnreadable => "slowdown_unreadable",
            Self::SlotsInvalid => "slots_invalid",
            Self::SlotsChanged => "slots_changed",
        }
    }
}

/// A call in progress, to be passed to [`LoadEstimate::record_end`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the call counts as in progress until its end is recorded"]
pub struct SentCall {
    /// Number of reports received before the call.
    reports: u64,
}

/// Load and speed of an upstream as one instance knows them.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{AnnouncedSlowdown, LoadEstimate, PeerLoads, Slowdown, UpstreamLoad};
/// use tc_protocol::MonoTime;
/// let at = MonoTime::from_millis;
/// let mut estimate = LoadEstimate::default();
/// let slowdown = Slowdown::new(2.5).map_or(AnnouncedSlowdown::None, AnnouncedSlowdown::Times);
/// estimate.record_report(at(1_000), UpstreamLoad { running: 1, waiting: 0, slots: 8, slowdown });
/// let peers = PeerLoads::of(at(1_000), [(&estimate, 8)]);
/// assert!(estimate.finish(at(1_000), &peers, 8) > 2.4);
/// assert!(estimate.finish(at(2_000), &peers, 8) < 1.1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    report: Option<Report>,
    momentary: MomentarySlowdown,
    announces_slowdown: bool,
    fault: Option<ReportFault>,
    reports: u64,
    in_flight: u32,
    sent_since_report: u32,
    times: CallTimes,
    /// Times on a slot, without the wait for one.
    slot_times: CallTimes,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    requests: u32,
    slots: u32,
    at: MonoTime,
}

/// Mean logarithm of the times of calls, in which old calls fade.
#[derive(Clone, Copy, Debug, Default)]
struct CallTimes {
    log_ms: f64,
    weight: f64,
    updated: MonoTime,
}

impl CallTimes {
    fn weight(&self, now: MonoTime) -> f64 {
        self.weight * faded(now.since(self.updated), TIMES_HALF_LIFE)
    }

    fn record(&mut self, now: MonoTime, took: Duration, weight: f64) {
        let log_ms = (took.as_secs_f64() * 1_000.0).max(0.1).ln();
        self.weight = self.weight(now) + weight;
        self.log_ms += (log_ms - self.log_ms) * weight / self.weight;
        self.updated = now;
    }
}

impl LoadEstimate {
    /// Returns true if the upstream has announced a momentary slowdown since its start.
    #[must_use]
    pub const fn announces_slowdown(&self) -> bool {
        self.announces_slowdown
    }

    /// Returns the number of calls in progress from this instance.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the momentary slowdown that the upstream announced last.
    #[must_use]
    pub const fn momentary(&self) -> MomentarySlowdown {
        self.momentary
    }

    /// Records a report. Returns its fault if the report before did not have it.
    pub fn record_report(&mut self, now: MonoTime, load: UpstreamLoad) -> Option<ReportFault> {
        let fault = self
            .record_slowdown(now, load.slowdown)
            .or(self.slots_fault(load.slots));
        if fault == Some(ReportFault::SlotsChanged) {
            self.times = CallTimes::default();
            self.slot_times = CallTimes::default();
        }
        self.report = Some(Report {
            requests: load.running.saturating_add(load.waiting),
            slots: load.slots,
            at: now,
        });
        self.reports += 1;
        self.sent_since_report = 0;
        let is_new = self.fault != fault;
        self.fault = fault;
        fault.filter(|_| is_new)
    }

    fn record_slowdown(
        &mut self,
        now: MonoTime,
        slowdown: AnnouncedSlowdown,
    ) -> Option<ReportFault> {
        self.momentary.record(now, slowdown);
        match slowdown {
            AnnouncedSlowdown::Times(_) => {
                self.announces_slowdown = true;
                None
            }
            AnnouncedSlowdown::None => self
                .announces_slowdown
                .then_some(ReportFault::SlowdownMissing),
            AnnouncedSlowdown::Unreadable => Some(ReportFault::SlowdownUnreadable),
        }
    }

    fn slots_fault(&self, slots: u32) -> Option<ReportFault> {
        if !(1..=MAX_SLOTS).contains(&slots) {
            return Some(ReportFault::SlotsInvalid);
        }
        let is_changed = self.report.is_some_and(|known| known.slots != slots);
        is_changed.then_some(ReportFault::SlotsChanged)
    }

    /// Counts a call to the upstream.
    pub const fn record_send(&mut self) -> SentCall {
        self.in_flight += 1;
        self.sent_since_report += 1;
        SentCall {
            reports: self.reports,
        }
    }

    /// Records the end of a call, with or without an answer.
    pub const fn record_end(&mut self, call: &SentCall) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if call.reports == self.reports {
            self.sent_since_report = self.sent_since_report.saturating_sub(1);
        }
    }

    /// Records the time of a call, whose answer brought the last report. The momentary slowdown is not part of the
    /// lasting one. Calls on a loaded upstream weigh less, as their times show its queue as well.
    ///
    /// The times themselves are not corrected for the load: a report shows the load at the end of a call, and an upstream
    /// with a growing queue would appear to be fast.
    pub fn record_time(&mut self, now: MonoTime, took: Duration) {
        let load = self.report.map_or(1.0, |report| {
            load_factor(report.requests.into(), report.slots.max(1).into())
        });
        let usual = self.momentary.usual_time(now, took);
        self.times.record(now, usual, load.recip());
        let rounds = self.report.map_or(1.0, |report| {
            1.0 + queue_rounds(report.requests.into(), report.slots.max(1).into())
        });
        self.slot_times.record(now, usual.div_f64(rounds), 1.0);
    }

    /// Returns the time for which a request occupies a slot at the moment, or `None` if none was measured. It is too short
    /// while the queue grows, so a wait that follows from it is at least that long.
    pub(crate) fn slot_time(&self, now: MonoTime) -> Option<Duration> {
        if self.slot_times.weight(now) <= f64::EPSILON {
            return None;
        }
        let usual_s = self.slot_times.log_ms.exp().min(1e6) / 1_000.0;
        Some(Duration::from_secs_f64(usual_s * self.momentary.at(now)))
    }

    /// Returns the last reported number of requests, or this instance's own calls if there are more, with the report's age.
    pub(crate) fn reported(&self, now: MonoTime) -> Option<(f64, Duration)> {
        let report = self.report?;
        let requests = report.requests.max(self.in_flight);
        Some((requests.into(), now.since(report.at)))
    }

    /// Returns the number of requests that the upstream is expected to have.
    #[must_use]
    pub fn requests(&self, now: MonoTime, peers: &PeerLoads, slots: u32) -> f64 {
        let usual = peers.utilization * f64::from(self.slots(slots));
        let reported = self.report.map_or(usual, |report| {
            let weight = faded(now.since(report.at), peers.report_half_life());
            usual + weight * (f64::from(report.requests) - usual)
        });
        (reported + f64::from(self.sent_since_report)).max(f64::from(self.in_flight))
    }

    /// Returns the time until one more request would be done, as a multiple of the usual time of a call. `slots` is the
    /// registered number of slots.
    #[must_use]
    pub fn finish(&self, now: MonoTime, peers: &PeerLoads, slots: u32) -> f64 {
        let requests = self.requests(now, peers, slots) + 1.0;
        load_factor(requests, f64::from(self.slots(slots))) * self.slowdown(now, peers)
    }

    /// Returns the lasting and momentary slowdown, multiplied.
    #[must_use]
    pub fn slowdown(&self, now: MonoTime, peers: &PeerLoads) -> f64 {
        self.lasting_slowdown(now, peers) * self.momentary.at(now)
    }

    /// Returns the time of calls relative to the peers; 2 is half as fast.
    #[must_use]
    pub fn lasting_slowdown(&self, now: MonoTime, peers: &PeerLoads) -> f64 {
        let Some(peers_log_ms) = peers.log_ms else {
            return 1.0;
        };
        let weight = self.times.weight(now);
        if weight <= f64::EPSILON {
            return 1.0;
        }
        let log_ratio = self.times.log_ms - peers_log_ms;
        let is_slow = log_ratio >= SLOW_RATIO.ln() && weight >= 1.0;
        let share = if is_slow {
            1.0
        } else {
            weight / (weight + EVEN_SPEED_WEIGHT)
        };
        let slowdown = (log_ratio * share).exp();
        slowdown.clamp(LASTING_BOUNDS.0, LASTING_BOUNDS.1)
    }

    /// Returns the announced number of slots, or the registered one if the last report cannot be used.
    pub(crate) fn slots(&self, registered: u32) -> u32 {
        let is_usable = !matches!(
            self.fault,
            Some(ReportFault::SlotsChanged | ReportFault::SlotsInvalid)
        );
        let announced = self.report.map(|report| report.slots);
        announced
            .filter(|slots| is_usable && (1..=MAX_SLOTS).contains(slots))
            .unwrap_or(registered)
            .max(1)
    }
}

/// Returns the time of a request among this many at an upstream, as a multiple of its time on an idle one.
pub(crate) fn load_factor(requests: f64, slots: f64) -> f64 {
    let fullness = (requests / slots - NEARLY_FULL) / (1.0 - NEARLY_FULL);
    let extra_time = FULL_EXTRA_TIME * fullness.clamp(0.0, 1.0);
    (1.0 + queue_rounds(requests, slots)) * (1.0 + extra_time)
}

/// Returns the number of times that all slots have to become free before the queue is empty.
fn queue_rounds(requests: f64, slots: f64) -> f64 {
    (requests - slots).max(0.0) / slots
}

/// Expectation for an upstream without news of its own: the mean of its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoads {
    /// Mean number of requests per slot.
    utilization: f64,
    /// Mean logarithm of the time of a call, in milliseconds.
    log_ms: Option<f64>,
}

impl PeerLoads {
    /// Returns the means over the upstreams of a service, each with its registered number of slots.
    #[must_use]
    pub fn of<'a>(
        now: MonoTime,
        upstreams: impl IntoIterator<Item = (&'a LoadEstimate, u32)>,
    ) -> Self {
        let (mut load, mut load_weight) = (0.0, 0.0);
        let (mut log_ms, mut time_weight) = (0.0, 0.0);
        for (upstream, slots) in upstreams {
            if let Some(report) = upstream.report {
                let weight = faded(now.since(report.at), PEER_LOAD_HALF_LIFE);
                load += weight * f64::from(report.requests) / f64::from(upstream.slots(slots));
                load_weight += weight;
            }
            // Each upstream counts once, so that one that gets most calls does not become the norm.
            let weight = upstream.times.weight(now).min(1.0);
            log_ms += weight * upstream.times.log_ms;
            time_weight += weight;
        }
        let mean = |sum: f64, weight: f64| (weight > f64::EPSILON).then(|| sum / weight);
        Self {
            utilization: mean(load, load_weight).unwrap_or_default(),
            log_ms: mean(log_ms, time_weight),
        }
    }

    fn report_half_life(&self) -> Duration {
        let call_time = self.log_ms.map_or(DEFAULT_CALL_TIME, |log_ms| {
            Duration::from_secs_f64(log_ms.exp().min(1e6) / 1_000.0)
        });
        call_time.clamp(REPORT_HALF_LIFE_BOUNDS.0, REPORT_HALF_LIFE_BOUNDS.1)
    }
}
