//! One upstream of a batch service as its home knows it.

use std::time::Duration;

use tc_protocol::{FailureDomain, MonoTime, UpstreamId};

use crate::SendPacer;

/// Pause after an upstream refused a call because it was full: about half a call, as calls of another home, or of this
/// one's life before a restart, must end first. Each refused call spends as many repeats as it has pieces, so a shorter
/// pause uses up the budget before the upstream is free.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// First pause after a call failed; doubles with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause: an upstream that is back is used again within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Weight of the newest call in the speed. Three calls move it by two thirds: a call takes a third of a second, and
/// an upstream turns slow for seconds.
const SPEED_WEIGHT: f64 = 0.3;
/// Bounds of the speed, so that one odd time cannot keep an upstream out of use.
const SPEED_BOUNDS: (f64, f64) = (0.5, 10.0);

/// An upstream as registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchUpstream {
    /// Identifies this life of its process.
    pub id: UpstreamId,
    /// Where it runs.
    pub domain: FailureDomain,
}

#[derive(Debug)]
pub(super) struct Maker {
    pub(super) domain: FailureDomain,
    /// Whether it is registered and not leaving.
    pub(super) ready: bool,
    pub(super) calls: u32,
    /// Bytes of results that its calls in progress will leave there.
    pub(super) reserved: u64,
    /// Time its calls take against what is expected; 2 is half as fast.
    pub(super) speed: f64,
    pub(super) failures: u32,
    pub(super) not_before: MonoTime,
    /// End of the backoff that the upstream requested; failures do not shorten it.
    pub(super) backoff_until: MonoTime,
    /// When the call in progress is expected to end.
    pub(super) busy_until: MonoTime,
    /// Set while the upstream announces a rate limit.
    pub(super) limited: Option<SendPacer>,
}

impl Maker {
    pub(super) fn new(domain: FailureDomain) -> Self {
        Self {
            domain,
            ready: true,
            calls: 0,
            reserved: 0,
            speed: 1.0,
            failures: 0,
            not_before: MonoTime::default(),
            backoff_until: MonoTime::default(),
            busy_until: MonoTime::default(),
            limited: None,
        }
    }

    pub(super) fn is_free(&self, now: MonoTime, slots: u32) -> bool {
        self.ready
            && self.calls < slots
            && now >= self.not_before
            && self.wait_for_limit(now).is_zero()
    }

    /// Returns the time until a call keeps to the announced rate limit.
    pub(super) fn wait_for_limit(&self, now: MonoTime) -> Duration {
        self.limited.map_or(Duration::ZERO, |paced| paced.wait(now))
    }

    /// Returns the seconds of an ordinary upstream's time that this one gives in a second.
    pub(super) fn throughput(&self, typical_call_s: f64) -> f64 {
        let own = 1.0 / self.speed;
        self.limited
            .map_or(own, |paced| own.min(paced.per_s() * typical_call_s))
    }

    pub(super) fn answered(&mut self, took: Duration, expected: Duration) {
        self.failures = 0;
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.note_speed(ratio);
    }

    /// It is full, of calls or of results that others keep there.
    pub(super) fn refused(&mut self, now: MonoTime) {
        self.not_before = self.not_before.max(now.after(FULL_PAUSE));
    }

    /// Sends no calls for the duration of a requested backoff.
    pub(super) fn back_off(&mut self, now: MonoTime, backoff: Duration) {
        self.backoff_until = self.backoff_until.max(now.after(backoff));
        self.not_before = self.not_before.max(self.backoff_until);
    }

    /// A call broke or was given up: a pause that grows with each failure in a row, and what its time tells.
    pub(super) fn failed(&mut self, now: MonoTime, took: Duration, expected: Duration) {
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.not_before = now.after(pause.min(LONGEST_PAUSE)).max(self.backoff_until);
        // A call that was given up took at least this long.
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        if ratio > self.speed {
            self.note_speed(ratio);
        }
    }

    fn note_speed(&mut self, ratio: f64) {
        let speed = self.speed + SPEED_WEIGHT * (ratio - self.speed);
        self.speed = speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
    }
}
