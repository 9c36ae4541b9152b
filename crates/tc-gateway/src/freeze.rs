//! Notices that this process did not run for a while: stopped, starved, or its machine suspended.
//!
//! What it knew before may be wrong by then: upstreams have left, others have their addresses, callers have given up.
//! The steady clock shows a stop as a gap between two looks, but leaves out the time of a suspended machine, so the two
//! clocks are compared as well.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};
use tc_protocol::MonoTime;
use tokio::{
    sync::watch::{Receiver, Sender},
    time::sleep,
};

/// Time a machine has been suspended so far, of which only the difference between two readings counts.
pub type SuspendedTime = fn() -> Duration;

/// Shortest absence that counts. Upstreams are given work for seconds after they said that they leave, and a busy
/// process on an eighth of a core is late by up to a few hundred milliseconds.
const MIN_PAUSE: Duration = Duration::from_millis(800);
/// How often it is looked when no request does; well inside the shortest absence.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The system's own account of suspended time: what the boot-time clock counts and the steady clock does not.
///
/// Zero where the clocks cannot be read; then only gaps in the steady clock are noticed.
#[must_use]
pub fn suspended_time() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from).ok();
    let steady = read(ClockId::CLOCK_MONOTONIC);
    let boot = read(ClockId::CLOCK_BOOTTIME);
    match (boot, steady) {
        (Some(boot), Some(steady)) => boot.saturating_sub(steady),
        _ => Duration::ZERO,
    }
}

struct LastCheck {
    at: MonoTime,
    suspended: Duration,
}

/// Counts the times that this process was absent.
pub(crate) struct PauseMonitor {
    suspended: SuspendedTime,
    last: Mutex<LastCheck>,
    pauses: Sender<u64>,
}

impl PauseMonitor {
    pub(crate) fn new(suspended: SuspendedTime) -> Self {
        let last = LastCheck {
            at: MonoTime::now(),
            suspended: suspended(),
        };
        Self {
            suspended,
            last: Mutex::new(last),
            pauses: Sender::new(0),
        }
    }

    /// How often this process was absent so far; notices an absence that has just ended.
    pub(crate) fn count(&self) -> u64 {
        self.check(MonoTime::now());
        *self.pauses.borrow()
    }

    /// Told of each absence.
    pub(crate) fn changes(&self) -> Receiver<u64> {
        self.pauses.subscribe()
    }

    fn check(&self, now: MonoTime) {
        let suspended = (self.suspended)();
        let pause = {
            let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
            let gap = now.since(last.at);
            let extra = suspended.saturating_sub(last.suspended);
            *last = LastCheck { at: now, suspended };
            gap + extra
        };
        if pause >= MIN_PAUSE {
            log::warn!(gap_ms = pause.as_millis() as u64; "this process was paused; what it knew is read again");
            metrics::counter!("tc_pauses_total").increment(1);
            self.pauses.send_modify(|count| *count += 1);
        }
    }

    /// Looks until the process ends; `woke` is called after each absence.
    pub(crate) async fn run(&self, on_pause: impl Fn()) {
        let mut known = 0;
        loop {
            sleep(CHECK_INTERVAL).await;
            let count = self.count();
            if count > known {
                known = count;
                on_pause();
            }
        }
    }
}

/// Time that may still be spent on something, counted also while the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeAllowed {
    until: tokio::time::Instant,
    suspended: SuspendedTime,
    suspended_at_start: Duration,
}

impl TimeAllowed {
    /// Ends at `until` of the steady clock, or as much earlier as the machine will have been suspended by then.
    pub(crate) fn until(until: tokio::time::Instant, suspended: SuspendedTime) -> Self {
        Self {
            until,
            suspended,
            suspended_at_start: suspended(),
        }
    }

    pub(crate) fn left(&self) -> Duration {
        let suspended = (self.suspended)().saturating_sub(self.suspended_at_start);
        let left = self
            .until
            .saturating_duration_since(tokio::time::Instant::now());
        left.saturating_sub(suspended)
    }
}
