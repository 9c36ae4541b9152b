//! A budget for sending requests again, over a sliding window.

use std::{collections::VecDeque, time::Duration};

use tc_protocol::MonoTime;

/// Width of the window's steps. What is counted lapses up to one step late, which only makes the budget smaller.
const STEP: Duration = Duration::from_millis(500);

/// How often requests may be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats a request in the window.
    pub ratio: f64,
    /// Repeats in the window besides.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts requests and repeats of one service over a sliding window.
///
/// Without it every failing upstream multiplies the load on the others, seen as an outage that spreads.
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
    requests: Counts,
    repeats: Counts,
}

impl RetryBudget {
    /// A budget with nothing counted.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            requests: Counts::default(),
            repeats: Counts::default(),
        }
    }

    /// Changes the limits; what was counted stays.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime) {
        self.requests.add(now);
    }

    /// Takes one repeat from the budget if there is one.
    pub fn try_spend(&mut self, now: MonoTime) -> bool {
        let window = self.limits.window;
        let requests = self.requests.within(now, window) as f64;
        let spent = self.repeats.within(now, window) as f64;
        let allowed = self.limits.ratio * requests + self.limits.extra;
        if spent + 1.0 > allowed {
            return false;
        }
        self.repeats.add(now);
        true
    }
}

/// Counts by step of time, oldest first.
#[derive(Clone, Debug, Default)]
struct Counts {
    steps: VecDeque<(MonoTime, u64)>,
}

impl Counts {
    fn add(&mut self, now: MonoTime) {
        match self.steps.back_mut() {
            Some((start, count)) if now.since(*start) < STEP => *count += 1,
            _ => self.steps.push_back((now, 1)),
        }
    }

    fn within(&mut self, now: MonoTime, window: Duration) -> u64 {
        while let Some((start, _)) = self.steps.front()
            && now.since(*start) > window + STEP
        {
            self.steps.pop_front();
        }
        self.steps.iter().map(|(_, count)| count).sum()
    }
}
