//! Fencing of orders at the home of an upstream that does not check fencing numbers itself.

use thiserror::Error;

/// The order's fencing number is below one already seen: its sender has lost its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the order is fenced off: fencing number {highest} was seen before")]
pub struct StaleFence {
    /// Highest number seen.
    pub highest: u64,
}

/// Remembers the highest fencing number seen for one upstream.
///
/// A holder that was paused past the end of its lease may still send its order, after its successor's. An upstream
/// that ignores fencing numbers would obey and be left in the older state; so all orders go through the home, and the
/// home refuses.
#[derive(Clone, Debug, Default)]
pub struct OrderGuard {
    highest: u64,
}

impl OrderGuard {
    /// A guard that starts at the fencing number of the plan in the platform.
    ///
    /// A new home has seen no orders; starting at zero it would let pass one that its predecessor would have refused.
    #[must_use]
    pub fn new(plan_fence: u64) -> Self {
        Self {
            highest: plan_fence,
        }
    }

    /// Records a number seen in the plan.
    pub fn observe(&mut self, fence: u64) {
        self.highest = self.highest.max(fence);
    }

    /// Lets an order pass if no higher number was seen; the same number may pass again, orders being idempotent.
    ///
    /// # Errors
    /// [`StaleFence`] when a higher number was seen.
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
