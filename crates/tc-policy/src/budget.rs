//! A budget for extra calls (hedges, retries) as a ratio of the ordinary ones.

/// Fixed-point parts of one extra call; whole numbers, so that rounding can never add up to a call too many.
const PARTS_PER_CALL: u64 = 1_000_000;

/// Allows at most `burst + ratio * calls` extra calls.
///
/// The allowance that may be saved up is bounded too. Without that bound, a quiet day would save enough retries to
/// multiply an outage, seen as a retry storm although the ratio over the day is kept.
#[derive(Clone, Debug)]
pub struct ExtraCallBudget {
    per_call: u64,
    saved: u64,
    most_saved: u64,
    calls: u64,
    spent: u64,
}

impl ExtraCallBudget {
    /// A budget of `ratio` extra calls per call, and `burst` at the start.
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
        let (per_call, saved) = (parts(ratio), parts(burst));
        Self {
            per_call,
            saved,
            most_saved: saved + PARTS_PER_CALL + per_call,
            calls: 0,
            spent: 0,
        }
    }

    /// Counts one ordinary call.
    pub fn record_call(&mut self) {
        self.calls += 1;
        self.saved = (self.saved + self.per_call).min(self.most_saved);
    }

    /// Takes one extra call from the budget if there is one.
    pub fn try_spend(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(PARTS_PER_CALL) else {
            return false;
        };
        self.saved = left;
        self.spent += 1;
        true
    }

    /// Extra calls taken.
    #[must_use]
    pub const fn spent(&self) -> u64 {
        self.spent
    }

    /// Ordinary calls counted.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.calls
    }
}

fn parts(calls: f64) -> u64 {
    (calls.max(0.0) * PARTS_PER_CALL as f64).floor() as u64
}
