//! Bounds how many lines one place in the code may log.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tc_protocol::MonoTime;

const WINDOW: Duration = Duration::from_secs(1);
/// Places counted on their own; more share one budget, so that memory stays bounded whatever targets are made up.
const MAX_SITES: usize = 4_096;
const SHARED_SITE: u64 = 0;

/// Lets each place log so many lines a second, and counts the rest.
///
/// Under overload the same few places log for every refused call. Without a bound the log pipe fills, the write
/// blocks, and the threads that should serve wait for the log, noticed as latency that grows with the log volume.
///
/// ```
/// use tc_protocol::MonoTime;
/// use tc_telemetry::{LogDecision, LogRateLimiter};
/// let gate = LogRateLimiter::new(1);
/// assert_eq!(gate.admit(7, MonoTime::from_millis(0)), LogDecision::Write { suppressed: 0 });
/// assert_eq!(gate.admit(7, MonoTime::from_millis(1)), LogDecision::Suppress);
/// assert_eq!(gate.admit(8, MonoTime::from_millis(2)), LogDecision::Write { suppressed: 0 });
/// assert_eq!(gate.admit(7, MonoTime::from_millis(1_000)), LogDecision::Write { suppressed: 1 });
/// ```
#[derive(Debug)]
pub struct LogRateLimiter {
    lines_per_window: u32,
    sites: Mutex<HashMap<u64, Window>>,
}

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// Write it.
    Write {
        /// Lines of the same place that were suppressed since the last one written.
        suppressed: u64,
    },
    /// Leave it out; it is counted.
    Suppress,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    started: MonoTime,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Lets each place write `lines_per_second` lines in a second.
    #[must_use]
    pub fn new(lines_per_second: u32) -> Self {
        Self {
            lines_per_window: lines_per_second,
            sites: Mutex::default(),
        }
    }

    /// Decides on one line of `site` at `now`.
    pub fn admit(&self, site: u64, now: MonoTime) -> LogDecision {
        let mut sites = self.sites.lock().unwrap_or_else(PoisonError::into_inner);
        let known = sites.len() < MAX_SITES || sites.contains_key(&site);
        let site = if known { site } else { SHARED_SITE };
        let window = sites.entry(site).or_insert(Window {
            started: now,
            lines: 0,
            suppressed: 0,
        });
        if now.since(window.started) >= WINDOW {
            window.started = now;
            window.lines = 0;
        }
        if window.lines >= self.lines_per_window {
            window.suppressed += 1;
            return LogDecision::Suppress;
        }
        window.lines += 1;
        LogDecision::Write {
            suppressed: std::mem::take(&mut window.suppressed),
        }
    }
}
