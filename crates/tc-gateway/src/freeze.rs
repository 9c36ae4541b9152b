//! Detects pauses of this process: it was stopped or starved of CPU time, or its machine was
//! suspended.
//!
//! State from before a pause may be outdated: upstreams have left, other processes have their
//! addresses, and callers have given up. A pause shows as a gap between two checks of the monotonic
//! clock. That clock does not count the time for which the machine is suspended, so the boot-time
//! clock is compared with it.

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

/// Returns the total time for which the machine has been suspended. Only the difference between two
/// calls is meaningful.
pub type SuspendedTime = fn() -> Duration;

/// Minimum length of a pause. Upstreams still serve requests for seconds after they have announced
/// that they are leaving, and a busy process on an eighth of a core is delayed by up to a few
/// hundred milliseconds.
const MIN_PAUSE: Duration = Duration::from_millis(800);
/// Interval of the checks that are made without requests, well below the minimum pause.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the suspended time as measured by the system: the difference between the boot-time clock
/// and the monotonic clock.
///
/// Returns zero if the clocks cannot be read. In that case only gaps in the monotonic clock are
/// detected.
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

/// Counts the pauses of this process.
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

    /// Returns the number of pauses so far, including one that has just ended.
    pub(crate) fn count(&self) -> u64 {
        self.check(MonoTime::now());
        *self.pauses.borrow()
    }

    /// Returns a receiver that is notified of each pause.
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
            log::warn!(gap_ms = pause.as_millis() as u64; "this process was paused; reading its state again");
            metrics::counter!("tc_pauses_total").increment(1);
            self.pauses.send_modify(|count| *count += 1);
        }
    }

    /// Checks for pauses until the future is dropped, and calls `on_pause` after each one.
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

/// Time limit that includes time for which the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeAllowed {
    until: tokio::time::Instant,
    suspended: SuspendedTime,
    suspended_at_start: Duration,
}

impl TimeAllowed {
    /// Ends at `until` on the monotonic clock, earlier by the time for which the machine is
    /// suspended meanwhile.
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
