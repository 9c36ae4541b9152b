//! State of one upstream of a batch service at its home.

use std::time::Duration;

use tc_protocol::{FailureDomain, MonoTime, UpstreamId};

use super::BatchPlanner;
use crate::{MomentarySlowdown, SendPacer, slowdown::faded};

/// Pause after an upstream refused a call because it was full: about half a call, since calls from another home, or
/// from this one before a restart, must end first. Each refused call spends as many retries as it has pieces, so a
/// shorter pause would use up the budget before the upstream is free.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Backoff after the first failed call; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff; a recovered upstream is used again within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Weight of the latest call in the slowdown average. Three calls change it by two thirds: a call takes a third of a
/// second, and an upstream stays slow for seconds.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Bounds of the slowdown, so that a single outlier cannot take an upstream out of use.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 10.0);

/// Half-life of the slowdown of an upstream without calls, if its momentary slowdown is known. It may have been slow for
/// the sake of other work on its machine.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(15);

/// A registered upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchUpstream {
    /// Identifies the upstream process; it changes on restart.
    pub id: UpstreamId,
    /// Failure domain in which the upstream runs.
    pub domain: FailureDomain,
}

#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) domain: FailureDomain,
    /// Whether it is registered and not leaving.
    pub(super) ready: bool,
    /// Calls in progress.
    pub(super) calls: u32,
    /// Those of them that are overdue.
    pub(super) overdue_calls: u32,
    /// Bytes that the results of its calls in progress will occupy.
    pub(super) reserved_bytes: u64,
    /// Ratio of actual to expected call time, apart from the momentary slowdown; 2 is half as fast.
    pub(super) slowdown: f64,
    /// Last announcement.
    pub(super) momentary: MomentarySlowdown,
    /// Time at which the slowdown has faded; `None` if it does not fade.
    faded_until: Option<MonoTime>,
    pub(super) failures: u32,
    pub(super) not_before: MonoTime,
    /// End of the backoff that the upstream requested; failures do not shorten it.
    pub(super) backoff_until: MonoTime,
    /// Expected end of the call in progress.
    pub(super) busy_until: MonoTime,
    /// Set while the upstream announces a rate limit.
    pub(super) rate_limit: Option<SendPacer>,
}

impl UpstreamState {
    pub(super) fn new(domain: FailureDomain) -> Self {
        Self {
            domain,
            ready: true,
            calls: 0,
            overdue_calls: 0,
            reserved_bytes: 0,
            slowdown: 1.0,
            momentary: MomentarySlowdown::default(),
            faded_until: None,
            failures: 0,
            not_before: MonoTime::default(),
            backoff_until: MonoTime::default(),
            busy_until: MonoTime::default(),
            rate_limit: None,
        }
    }

    pub(super) fn is_free(&self, now: MonoTime, slots: u32) -> bool {
        self.ready
            && self.has_free_slot(slots)
            && now >= self.not_before
            && self.rate_limit_wait(now).is_zero()
    }

    /// An overdue call does not occupy a slot: its answer may have been lost.
    pub(super) fn has_free_slot(&self, slots: u32) -> bool {
        self.calls.saturating_sub(self.overdue_calls) < slots
    }

    /// Returns the time until the announced rate limit allows a call.
    pub(super) fn rate_limit_wait(&self, now: MonoTime) -> Duration {
        self.rate_limit
            .map_or(Duration::ZERO, |paced| paced.wait(now))
    }

    /// Returns the expected time of a call that starts now, relative to the usual time on an upstream of usual speed.
    pub(super) fn expected_slowdown(&self, now: MonoTime) -> f64 {
        self.slowdown * self.momentary.at(now)
    }

    fn set_momentary(&mut self, now: MonoTime, momentary: MomentarySlowdown) {
        self.momentary = momentary;
        if let Some(until) = self.faded_until {
            let left = faded(now.since(until), SLOWDOWN_HALF_LIFE);
            self.slowdown = 1.0 + left * (self.slowdown - 1.0);
        }
        self.faded_until = momentary.is_announced().then_some(now);
    }

    /// Returns the seconds of nominal upstream time that this upstream provides per second.
    pub(super) fn throughput(&self, typical_call_s: f64) -> f64 {
        let unlimited = 1.0 / self.slowdown;
        self.rate_limit.map_or(unlimited, |paced| {
            unlimited.min(paced.per_s() * typical_call_s)
        })
    }

    pub(super) fn record_success(&mut self, took: Duration, expected: Duration) {
        self.failures = 0;
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.update_slowdown(ratio);
    }

    /// Records the answer to an overdue call, whose time was recorded when it became overdue.
    pub(super) fn record_late_answer(&mut self) {
        self.failures = 0;
        self.not_before = self.backoff_until;
    }

    /// Records a call refused because the upstream has no free slot or no result memory.
    pub(super) fn record_refusal(&mut self, now: MonoTime) {
        self.not_before = self.not_before.max(now.after(FULL_PAUSE));
    }

    /// Sends no calls for the duration of a requested backoff.
    pub(super) fn back_off(&mut self, now: MonoTime, backoff: Duration) {
        self.backoff_until = self.backoff_until.max(now.after(backoff));
        self.not_before = self.not_before.max(self.backoff_until);
    }

    /// Records a failed or overdue call: starts a backoff that grows with consecutive failures, and updates the
    /// slowdown if the call was slow.
    pub(super) fn record_failure(&mut self, now: MonoTime, took: Duration, expected: Duration) {
        let backoff = INITIAL_BACKOFF * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.not_before = now.after(backoff.min(MAX_BACKOFF)).max(self.backoff_until);
        // For an overdue call, this ratio is a lower bound.
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        if ratio > self.slowdown {
            self.update_slowdown(ratio);
        }
    }

    fn update_slowdown(&mut self, ratio: f64) {
        let slowdown = self.slowdown + SLOWDOWN_WEIGHT * (ratio - self.slowdown);
        self.slowdown = slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
    }
}

impl BatchPlanner {
    /// Updates the momentary slowdowns that upstreams announce.
    pub fn set_slowdowns(
        &mut self,
        now: MonoTime,
        slowdown_of: impl Fn(&UpstreamId) -> MomentarySlowdown,
    ) {
        for (id, upstream) in &mut self.upstreams {
            upstream.set_momentary(now, slowdown_of(id));
        }
    }
}
