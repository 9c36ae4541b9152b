//! Fencing of orders by the home of an upstream that does not check fencing tokens itself.

use thiserror::Error;

/// The order's fencing token is lower than one already seen: its sender has lost the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the fencing token is stale: {highest} has already been seen")]
pub struct StaleFence {
    /// Highest fencing token seen.
    pub highest: u64,
}

/// Tracks the highest fencing token seen for one upstream.
///
/// A lease holder that was paused past the end of its lease may send its order after its
/// successor's. An upstream that ignores fencing tokens would execute it and be left in the older
/// state. All orders therefore go through the home, which rejects stale ones.
#[derive(Clone, Debug, Default)]
pub struct OrderGuard {
    highest: u64,
}

impl OrderGuard {
    /// Creates a guard that starts at the fencing token of the plan stored in the platform.
    ///
    /// A new home has seen no orders. Starting at zero, it would accept an order that its
    /// predecessor would have rejected.
    #[must_use]
    pub fn new(plan_fence: u64) -> Self {
        Self {
            highest: plan_fence,
        }
    }

    /// Records a fencing token seen in the plan.
    pub fn record(&mut self, fence: u64) {
        self.highest = self.highest.max(fence);
    }

    /// Accepts an order unless a higher token was seen. The same token is accepted again, since
    /// orders are idempotent.
    ///
    /// # Errors
    /// Returns [`StaleFence`] if a higher token was seen.
    ///
    /// ```
    /// use tc_membership::{OrderGuard, StaleFence};
    /// let mut guard = OrderGuard::new(4);
    /// assert_eq!(guard.check(3), Err(StaleFence { highest: 4 }));
    /// assert_eq!(guard.check(6), Ok(()));
    /// assert_eq!(guard.check(5), Err(StaleFence { highest: 6 }));
    /// ```
    pub fn check(&mut self, fence: u64) -> Result<(), StaleFence> {
        if fence < self.highest {
            return Err(StaleFence {
                highest: self.highest,
            });
        }
        self.highest = fence;
        Ok(())
    }
}
