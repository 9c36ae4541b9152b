//! Rate limit for the log lines of each call site.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tc_protocol::MonoTime;

const WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of call sites with their own budget. Further call sites share one, so that memory stays bounded for
/// any number of targets.
const MAX_CALL_SITES: usize = 4_096;
const SHARED_CALL_SITE: u64 = 0;

/// Limits the number of lines per second for each call site and counts the suppressed lines.
///
/// Under overload, the same few call sites log for every refused call. Without a limit, the log pipe fills, writes
/// block, and serving threads wait for the log: latency grows with the log volume.
///
/// ```
/// use tc_protocol::MonoTime;
/// use tc_telemetry::{LogDecision, LogRateLimiter};
/// let limiter = LogRateLimiter::new(1);
/// assert_eq!(limiter.admit(7, MonoTime::from_millis(0)), LogDecision::Write { suppressed: 0 });
/// assert_eq!(limiter.admit(7, MonoTime::from_millis(1)), LogDecision::Suppress);
/// assert_eq!(limiter.admit(8, MonoTime::from_millis(2)), LogDecision::Write { suppressed: 0 });
/// assert_eq!(limiter.admit(7, MonoTime::from_millis(1_000)), LogDecision::Write { suppressed: 1 });
/// ```
#[derive(Debug)]
pub struct LogRateLimiter {
    lines_per_window: u32,
    call_sites: Mutex<HashMap<u64, Window>>,
}

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// Write the line.
    Write {
        /// Lines of the same call site suppressed since the last written line.
        suppressed: u64,
    },
    /// Suppress the line and count it.
    Suppress,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    started: MonoTime,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Creates a limiter that allows `lines_per_second` lines per second for each call site.
    #[must_use]
    pub fn new(lines_per_second: u32) -> Self {
        Self {
            lines_per_window: lines_per_second,
            call_sites: Mutex::default(),
        }
    }

    /// Decides whether a line of `call_site` may be written at `now`.
    pub fn admit(&self, call_site: u64, now: MonoTime) -> LogDecision {
        let mut call_sites = self
            .call_sites
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let has_own_budget =
            call_sites.len() < MAX_CALL_SITES || call_sites.contains_key(&call_site);
        let call_site = if has_own_budget {
            call_site
        } else {
            SHARED_CALL_SITE
        };
        let window = call_sites.entry(call_site).or_insert(Window {
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
