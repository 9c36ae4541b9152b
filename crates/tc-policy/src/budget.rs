//! Budget for extra calls (hedges and retries), as a ratio of regular calls.

/// Fixed-point units per extra call. Integers, because rounding errors could add up to a call too many.
const UNITS_PER_CALL: u64 = 1_000_000;

/// Allows at most `burst + ratio * calls` extra calls.
///
/// The unused allowance is bounded as well. Without that bound, a quiet day would accumulate enough retries to cause a
/// retry storm in the next outage, although the ratio over the day is kept.
#[derive(Clone, Debug)]
pub struct ExtraCallBudget {
    per_call: u64,
    saved: u64,
    max_saved: u64,
    calls: u64,
    spent: u64,
}

impl ExtraCallBudget {
    /// Creates a budget of `ratio` extra calls per regular call, with an initial allowance of `burst`.
    ///
    /// ```
    /// use tc_policy::ExtraCallBudget;
    /// let mut budget = ExtraCallBudget::new(0.5, 1.0);
    /// assert!(budget.try_spend());
    /// assert!(!budget.try_spend());
    /// budget.record_call();
    /// budget.record_call();
    /// assert!(budget.try_spend());
    /// assert_eq!((budget.calls(), budget.spent()), (2, 2));
    /// ```
    #[must_use]
    pub fn new(ratio: f64, burst: f64) -> Self {
        let (per_call, saved) = (units(ratio), units(burst));
        Self {
            per_call,
            saved,
            max_saved: saved + UNITS_PER_CALL + per_call,
            calls: 0,
            spent: 0,
        }
    }

    /// Counts one regular call.
    pub fn record_call(&mut self) {
        self.calls += 1;
        self.saved = (self.saved + self.per_call).min(self.max_saved);
    }

    /// Takes one extra call from the budget; returns false if the budget is exhausted.
    pub fn try_spend(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(UNITS_PER_CALL) else {
            return false;
        };
        self.saved = left;
        self.spent += 1;
        true
    }

    /// Returns the number of extra calls taken.
    #[must_use]
    pub const fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the number of regular calls counted.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.calls
    }
}

fn units(calls: f64) -> u64 {
    (calls.max(0.0) * UNITS_PER_CALL as f64).floor() as u64
}
