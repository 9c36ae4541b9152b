//! Split of the time within which requests must stop reaching an upstream that leaves.

use std::time::Duration;

/// Share of the drain time for the way of a request that was sent just before its instance learned of
/// the change.
const SENT_SHARE: f64 = 0.1;

/// Split of the drain time: the time between the store's acceptance that an upstream leaves and the
/// moment from which no more request may reach it.
///
/// ```
/// use std::time::Duration;
/// use tc_membership::DrainBudget;
/// let drain_time = Duration::from_secs(3);
/// let budget = DrainBudget::of(drain_time);
/// assert_eq!(budget.known_within + budget.sent_within, drain_time);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainBudget {
    /// Time until every instance knows of the change.
    pub known_within: Duration,
    /// Time from the last check of an upstream, when its connection is open, until the request has
    /// reached it.
    pub sent_within: Duration,
}

impl DrainBudget {
    /// Splits a drain time.
    #[must_use]
    pub fn of(drain_time: Duration) -> Self {
        let sent_within = drain_time.mul_f64(SENT_SHARE);
        Self {
            known_within: drain_time.saturating_sub(sent_within),
            sent_within,
        }
    }
}
