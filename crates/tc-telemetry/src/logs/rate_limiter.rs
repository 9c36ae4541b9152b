//! Rate limit for the log lines of each call site.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_protocol::MonoTime;

const WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of call sites with their own budget. Further call sites share one, so that memory stays bounded for
/// any number of targets.
const MAX_CALL_SITES: usize = 4_096;
const SHARED_CALL_SITE: u64 = 0;
/// Time after the start of a window from which its suppressed lines are overdue, unless the call site logs again.
const OVERDUE_AFTER: Duration = Duration::from_secs(2);

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
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    call_sites: HashMap<u64, Window>,
    /// Number of call sites with suppressed lines that no written line has counted.
    uncounted_sites: usize,
    /// Time of the last search for overdue counts.
    searched: Option<MonoTime>,
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
            state: Mutex::default(),
        }
    }

    /// Decides whether a line of `call_site` may be written at `now`.
    pub fn admit(&self, call_site: u64, now: MonoTime) -> LogDecision {
        let mut state = self.lock();
        let call_site = state.budget_of(call_site);
        let State {
            call_sites,
            uncounted_sites,
            ..
        } = &mut *state;
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
            *uncounted_sites += usize::from(window.suppressed == 0);
            window.suppressed += 1;
            return LogDecision::Suppress;
        }
        window.lines += 1;
        *uncounted_sites -= usize::from(window.suppressed > 0);
        LogDecision::Write {
            suppressed: std::mem::take(&mut window.suppressed),
        }
    }

    /// Returns the call sites that have suppressed lines and logged nothing since, with the number of these lines, and
    /// resets those numbers. It looks for them once in each window at most.
    ///
    /// ```
    /// use tc_protocol::MonoTime;
    /// use tc_telemetry::LogRateLimiter;
    /// let limiter = LogRateLimiter::new(1);
    /// limiter.admit(7, MonoTime::from_millis(0));
    /// limiter.admit(7, MonoTime::from_millis(1));
    /// assert_eq!(limiter.take_overdue(MonoTime::from_millis(900)), []);
    /// assert_eq!(limiter.take_overdue(MonoTime::from_millis(2_000)), [(7, 1)]);
    /// ```
    pub fn take_overdue(&self, now: MonoTime) -> Vec<(u64, u64)> {
        let mut state = self.lock();
        let is_due = |searched| now.since(searched) >= WINDOW;
        if state.uncounted_sites == 0 || !state.searched.is_none_or(is_due) {
            return Vec::new();
        }
        state.searched = Some(now);
        let sites = state.call_sites.iter_mut();
        let overdue: Vec<(u64, u64)> = sites
            .filter(|(_, window)| {
                window.suppressed > 0 && now.since(window.started) >= OVERDUE_AFTER
            })
            .map(|(call_site, window)| (*call_site, std::mem::take(&mut window.suppressed)))
            .collect();
        state.uncounted_sites -= overdue.len();
        overdue
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the call site whose budget a line of `call_site` uses.
    fn budget_of(&self, call_site: u64) -> u64 {
        let sites = &self.call_sites;
        if sites.len() < MAX_CALL_SITES || sites.contains_key(&call_site) {
            call_site
        } else {
            SHARED_CALL_SITE
        }
    }
}
