//! Monotonic time and deadlines.

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Monotonic time in microseconds since the process first read the clock.
///
/// Decision code takes the time as an argument, so that tests can control it. Messages between processes carry only
/// durations, because the origin differs per process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Reads the process's monotonic clock.
    #[must_use]
    pub fn now() -> Self {
        static ORIGIN: OnceLock<Instant> = OnceLock::new();
        let origin = *ORIGIN.get_or_init(Instant::now);
        Self(origin.elapsed().as_micros() as u64 + 1)
    }

    /// Returns the time `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Subtracts `by`, saturating at the origin.
    #[must_use]
    pub const fn before(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by.as_micros() as u64))
    }

    /// Adds `by`, saturating at the largest value.
    #[must_use]
    pub const fn after(self, by: Duration) -> Self {
        Self(self.0.saturating_add(by.as_micros() as u64))
    }

    /// Returns the milliseconds since `origin`, rounded down; negative if this time is before `origin`.
    ///
    /// ```
    /// use tc_protocol::MonoTime;
    /// assert_eq!(MonoTime(4_000).millis_since(MonoTime(5_500)), -2);
    /// ```
    #[must_use]
    pub fn millis_since(self, origin: Self) -> i64 {
        let micros = i128::from(self.0) - i128::from(origin.0);
        i64::try_from(micros.div_euclid(1_000)).unwrap_or(i64::MAX)
    }

    /// Moves this time by `millis` milliseconds, into the past if negative.
    ///
    /// ```
    /// use tc_protocol::MonoTime;
    /// assert_eq!(MonoTime(5_500).offset_by_millis(-2), MonoTime(3_500));
    /// ```
    #[must_use]
    pub const fn offset_by_millis(self, millis: i64) -> Self {
        let by = Duration::from_millis(millis.unsigned_abs());
        if millis < 0 {
            self.before(by)
        } else {
            self.after(by)
        }
    }
}

/// The time by which a request must be completed.
///
/// ```
/// use std::time::Duration;
/// use tc_protocol::{Deadline, MonoTime};
/// let deadline = Deadline::from_budget(MonoTime::from_millis(10), Duration::from_millis(5));
/// assert_eq!(deadline.remaining(MonoTime::from_millis(12)), Duration::from_millis(3));
/// assert!(deadline.is_past(MonoTime::from_millis(15)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline(pub MonoTime);

impl Deadline {
    /// Returns the deadline `budget` after `now`.
    #[must_use]
    pub const fn from_budget(now: MonoTime, budget: Duration) -> Self {
        Self(now.after(budget))
    }

    /// Returns the time left at `now`, or zero if the deadline has passed.
    #[must_use]
    pub const fn remaining(self, now: MonoTime) -> Duration {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed at `now`.
    #[must_use]
    pub const fn is_past(self, now: MonoTime) -> bool {
        self.0.0 <= now.0
    }
}
