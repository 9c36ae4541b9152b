//! Retry budget over a sliding window.

use std::{collections::VecDeque, time::Duration};

use tc_protocol::MonoTime;

/// Resolution of the window. Counts expire up to one step late, which only makes the budget smaller.
const STEP: Duration = Duration::from_millis(500);

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Additional retries allowed in the window.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Use of a retry budget within its window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests counted.
    pub requests: u64,
    /// Retries taken.
    pub retries: u64,
    /// Retries allowed in total.
    pub allowed: f64,
}

/// Counts the requests and retries of one service over a sliding window.
///
/// Without a budget, every failing upstream multiplies the load on the others and the outage spreads.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{RetryBudget, RetryLimits};
/// use tc_protocol::MonoTime;
/// let limits = RetryLimits { ratio: 0.5, extra: 1.0, window: Duration::from_secs(10) };
/// let mut budget = RetryBudget::new(limits);
/// let now = MonoTime::from_millis(1);
/// assert!(budget.try_spend(now));
/// assert!(!budget.try_spend(now));
/// budget.record_request(now);
/// budget.record_request(now);
/// assert!(budget.try_spend(now));
/// assert!(budget.try_spend(MonoTime::from_millis(20_000)));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    requests: WindowCounts,
    retries: WindowCounts,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            requests: WindowCounts::default(),
            retries: WindowCounts::default(),
        }
    }

    /// Changes the limits and keeps the counts.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime) {
        self.requests.add(now);
    }

    /// Takes one retry from the budget; returns false if the budget is exhausted.
    pub fn try_spend(&mut self, now: MonoTime) -> bool {
        let usage = self.usage(now);
        if usage.retries as f64 + 1.0 > usage.allowed {
            return false;
        }
        self.retries.add(now);
        true
    }

    /// Returns the use of the budget within the window that ends now.
    pub fn usage(&mut self, now: MonoTime) -> RetryUsage {
        let window = self.limits.window;
        let requests = self.requests.sum_within(now, window);
        RetryUsage {
            requests,
            retries: self.retries.sum_within(now, window),
            allowed: self.limits.ratio * requests as f64 + self.limits.extra,
        }
    }
}

/// Counts per step of the window, oldest first.
#[derive(Clone, Debug, Default)]
struct WindowCounts {
    steps: VecDeque<(MonoTime, u64)>,
}

impl WindowCounts {
    fn add(&mut self, now: MonoTime) {
        match self.steps.back_mut() {
            Some((start, count)) if now.since(*start) < STEP => *count += 1,
            _ => self.steps.push_back((now, 1)),
        }
    }

    fn sum_within(&mut self, now: MonoTime, window: Duration) -> u64 {
        while let Some((start, _)) = self.steps.front()
            && now.since(*start) > window + STEP
        {
            self.steps.pop_front();
        }
        self.steps.iter().map(|(_, count)| count).sum()
    }
}
