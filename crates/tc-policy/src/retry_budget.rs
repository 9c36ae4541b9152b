//! Retry budget of one instance, as part of a budget that holds over the whole fleet.

use std::{collections::VecDeque, time::Duration};

use tc_protocol::MonoTime;

/// Resolution of the window.
const STEPS_PER_WINDOW: u64 = 20;
/// Steps that a retry, or a request before it is counted, may be in flight.
const IN_FLIGHT_STEPS: u64 = 2;
/// Steps for which a permit is valid. The other steps in flight are for connecting and sending.
const PERMIT_STEPS: u32 = 1;
/// Fraction of the fixed allowance that may be saved up. The rest accrues within a window.
const SAVED_FRACTION: f64 = 0.5;
/// Tolerance of sums of fractions of a retry.
const ROUNDING: f64 = 1e-9;

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

/// State of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests within the window.
    pub requests: u64,
    /// Further retries that the requests allow.
    pub earned: f64,
    /// Further retries that the fixed allowance allows.
    pub saved: f64,
}

/// Permission for one retry.
///
/// It expires, as a retry that waits arrives in another window than the one in which it was counted. A retry whose
/// permit has expired needs another one.
#[derive(Debug)]
#[must_use]
pub struct RetryPermit {
    valid_until: MonoTime,
}

impl RetryPermit {
    /// Returns true if the retry may be sent now.
    #[must_use]
    pub fn is_valid(&self, now: MonoTime) -> bool {
        now <= self.valid_until
    }
}

/// Decides on the retries that one instance makes for the requests of one service.
///
/// Without a budget, every failing upstream multiplies the load on the others and the outage spreads.
///
/// The limits hold in every window for the sum over all instances, if the fixed allowances of those that run at the same
/// time add up to that of the fleet. Nothing that an earlier process did needs to be known:
///
/// - In any window, the retries that requests pay for stay within the ratio of a mean of two counts: the requests that
///   this instance received in that window, and in the one that begins half a window earlier. The sum over all
///   instances then stays within the ratio of all requests in one of the two.
/// - The fixed allowance accrues over time from zero. Processes that run after each other accrue no more than one that
///   runs all the time.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{RetryBudget, RetryLimits};
/// use tc_protocol::MonoTime;
/// let limits = RetryLimits { ratio: 0.5, extra: 4.0, window: Duration::from_secs(10) };
/// let start = MonoTime::from_millis(1);
/// let mut budget = RetryBudget::new(limits, start);
/// assert!(budget.try_spend(start).is_none());
/// for _ in 0..4 {
///     budget.record_request(start);
/// }
/// let permit = budget.try_spend(start).unwrap();
/// assert!(permit.is_valid(start.after(Duration::from_millis(100))));
/// assert!(budget.try_spend(start).is_none());
/// let later = start.after(Duration::from_secs(6));
/// assert!(!permit.is_valid(later));
/// assert!(budget.try_spend(later).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Steps of the recent past in which something was counted, oldest first.
    steps: VecDeque<Step>,
    /// Unused part of the fixed allowance.
    saved: f64,
    saved_at: MonoTime,
}

/// Counts of one step of the window.
#[derive(Clone, Copy, Debug)]
struct Step {
    index: u64,
    requests: u64,
    /// Retries paid for by requests. A retry that is paid for in part by the fixed allowance counts in part.
    paid_retries: f64,
}

impl RetryBudget {
    /// Creates a budget whose fixed allowance accrues from the given time.
    #[must_use]
    pub fn new(limits: RetryLimits, accrues_from: MonoTime) -> Self {
        Self {
            limits,
            steps: VecDeque::new(),
            saved: 0.0,
            saved_at: accrues_from,
        }
    }

    /// Changes the limits and keeps the counts. What was saved is reduced to what the new limits allow.
    pub fn set_limits(&mut self, now: MonoTime, limits: RetryLimits) {
        if limits == self.limits {
            return;
        }
        self.accrue(now);
        self.limits = limits;
        self.saved = self.saved.min(self.max_saved());
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime) {
        self.current_step(now).requests += 1;
    }

    /// Returns true if a retry is available, without taking it.
    pub fn can_spend(&mut self, now: MonoTime) -> bool {
        self.accrue(now);
        1.0 - self.paid(now) <= self.saved + ROUNDING
    }

    /// Takes one retry from the budget; returns `None` if the budget is exhausted.
    pub fn try_spend(&mut self, now: MonoTime) -> Option<RetryPermit> {
        if !self.can_spend(now) {
            return None;
        }
        let paid = self.paid(now);
        let missing = 1.0 - paid;
        self.saved = (self.saved - missing).max(0.0);
        self.current_step(now).paid_retries += paid;
        Some(RetryPermit {
            valid_until: now.after(self.step_time() * PERMIT_STEPS),
        })
    }

    /// Returns the state of the budget.
    pub fn usage(&mut self, now: MonoTime) -> RetryUsage {
        self.accrue(now);
        let last = self.step_index(now);
        RetryUsage {
            requests: self.requests_within(last.saturating_sub(STEPS_PER_WINDOW - 1), last),
            earned: self.earned(now),
            saved: self.saved,
        }
    }

    /// Returns the part of the next retry that requests pay for.
    fn paid(&self, now: MonoTime) -> f64 {
        self.earned(now).clamp(0.0, 1.0)
    }

    /// Returns how many more retries the requests pay for in every window that has not ended.
    fn earned(&self, now: MonoTime) -> f64 {
        let last = self.step_index(now);
        let oldest = last.saturating_sub(STEPS_PER_WINDOW + IN_FLIGHT_STEPS);
        let unspent_from = |first| {
            let requests = self.requests_around(first, last);
            self.limits.ratio * requests - self.paid_since(first)
        };
        (oldest..=last)
            .map(unspent_from)
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the mean of the requests within a window that has not ended and within the one that begins half a window
    /// earlier.
    ///
    /// The window begins in the step `first` or, as seen at the upstreams, up to the time in flight later. Only steps
    /// that lie within it for every such beginning are counted.
    fn requests_around(&self, first: u64, last: u64) -> f64 {
        let half = STEPS_PER_WINDOW / 2;
        let from = first + 1 + IN_FLIGHT_STEPS;
        let within = self.requests_within(from, last);
        let half_earlier_to = (first + half - 1).max(last.saturating_sub(half + 1));
        let half_earlier = self.requests_within(from.saturating_sub(half), half_earlier_to);
        (within + half_earlier) as f64 / 2.0
    }

    fn requests_within(&self, from: u64, to: u64) -> u64 {
        let steps = self.steps.iter();
        let counted = steps.filter(|step| (from..=to).contains(&step.index));
        counted.map(|step| step.requests).sum()
    }

    fn paid_since(&self, from: u64) -> f64 {
        let steps = self.steps.iter().filter(|step| step.index >= from);
        steps.map(|step| step.paid_retries).sum()
    }

    fn accrue(&mut self, now: MonoTime) {
        let steps = (STEPS_PER_WINDOW + IN_FLIGHT_STEPS) as f64;
        let time = self.step_time().as_secs_f64() * steps;
        let per_s = self.limits.extra * (1.0 - SAVED_FRACTION) / time;
        let accrued = per_s * now.since(self.saved_at).as_secs_f64();
        self.saved = (self.saved + accrued).min(self.max_saved());
        self.saved_at = self.saved_at.max(now);
    }

    fn max_saved(&self) -> f64 {
        self.limits.extra * SAVED_FRACTION
    }

    /// Returns the step of the current time, and drops those that no window needs any more.
    fn current_step(&mut self, now: MonoTime) -> &mut Step {
        let index = self.step_index(now);
        let kept = STEPS_PER_WINDOW + IN_FLIGHT_STEPS + STEPS_PER_WINDOW / 2;
        while self.steps.front().is_some_and(|s| s.index + kept < index) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.index < index) {
            self.steps.push_back(Step {
                index,
                requests: 0,
                paid_retries: 0.0,
            });
        }
        let newest = self.steps.len() - 1;
        &mut self.steps[newest]
    }

    fn step_index(&self, now: MonoTime) -> u64 {
        let step_ms = self.step_time().as_millis().max(1);
        (now.since(MonoTime::default()).as_millis() / step_ms) as u64
    }

    fn step_time(&self) -> Duration {
        (self.limits.window / STEPS_PER_WINDOW as u32).max(Duration::from_millis(1))
    }
}
