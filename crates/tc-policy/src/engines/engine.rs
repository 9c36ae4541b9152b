//! One engine as its home knows it.

use std::time::Duration;

use tc_protocol::{FailureDomain, MonoTime};

use super::kept::KeptParts;
use crate::{ColdLimit, RecentSends, SendPacer};

/// First pause after a run failed; doubles with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause: an engine that is back is used again within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Weight of the newest run in the speed: an engine turns slow for seconds, in which it reads some ten prompts.
const SPEED_WEIGHT: f64 = 0.2;
/// Bounds of the speed, so that one odd time cannot keep an engine out of use.
const SPEED_BOUNDS: (f64, f64) = (0.5, 10.0);
/// Shortest time from which something is learnt of the speed: below it, steps of other requests count for more.
const LEAST_TO_LEARN: Duration = Duration::from_millis(40);

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) domain: FailureDomain,
    pub(super) slots: u32,
    /// Whether it is registered and not leaving.
    pub(super) ready: bool,
    /// Until when it is cold, as far as known.
    pub(super) cold_until: MonoTime,
    /// What was sent there lately.
    pub(super) recent: RecentSends,
    pub(super) kept: KeptParts,
    /// Runs that have not ended.
    pub(super) runs: u32,
    /// When it has read all that it was given, as far as expected.
    pub(super) read_all_at: MonoTime,
    /// Time it takes against what is expected; 2 is half as fast.
    pub(super) speed: f64,
    /// Set while the engine announces a rate limit.
    pub(super) limited: Option<SendPacer>,
    failures: u32,
    not_before: MonoTime,
}

impl Engine {
    pub(super) fn new(domain: FailureDomain, slots: u32) -> Self {
        Self {
            domain,
            slots,
            ready: true,
            cold_until: MonoTime::default(),
            recent: RecentSends::default(),
            kept: KeptParts::default(),
            runs: 0,
            read_all_at: MonoTime::default(),
            speed: 1.0,
            limited: None,
            failures: 0,
            not_before: MonoTime::default(),
        }
    }

    pub(super) fn is_sound(&self, now: MonoTime) -> bool {
        self.not_before <= now
    }

    pub(super) const fn has_slot(&self) -> bool {
        self.runs < self.slots
    }

    pub(super) fn is_cold(&self, now: MonoTime) -> bool {
        self.cold_until > now
    }

    /// Whether a home may still send to it in this moment without driving it beyond what it bears if it is cold.
    pub(super) fn bears_more(&self, now: MonoTime, limit: Option<ColdLimit>) -> bool {
        let Some(limit) = limit else { return true };
        let most = if self.is_cold(now) {
            limit.of_home()
        } else {
            limit.of_home_if_warm()
        };
        self.recent.count(now) < most
    }

    /// Returns true if another send keeps to the rate limit that the engine announces.
    pub(super) fn is_within_limit(&self, now: MonoTime) -> bool {
        self.limited.is_none_or(|paced| paced.may_send(now))
    }

    pub(super) fn record_send(&mut self, now: MonoTime) {
        if let Some(paced) = &mut self.limited {
            paced.record(now);
        }
    }

    /// A run had its first event; `expected` tells what was expected of it if it had not to wait for others.
    pub(super) fn answered(&mut self, took: Duration, expected: Option<Duration>) {
        self.failures = 0;
        self.not_before = MonoTime::default();
        let Some(expected) = expected.filter(|expected| *expected >= LEAST_TO_LEARN) else {
            return;
        };
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        let speed = self.speed + SPEED_WEIGHT * (ratio - self.speed);
        self.speed = speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
    }

    pub(super) fn failed(&mut self, now: MonoTime) {
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.not_before = now.after(pause.min(LONGEST_PAUSE));
    }
}
