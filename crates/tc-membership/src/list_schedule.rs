//! When an instance that watches the store also lists it.

use std::time::Duration;

/// When an instance that watches the store also lists it, as an age of its last confirmation.
///
/// A watch that is never answered is indistinguishable from a store without changes. The list of
/// the first watcher confirms the state of all instances. The others start theirs when that one
/// should be known to them, so that they list the store only if the first watcher cannot.
///
/// ```
/// use std::time::Duration;
/// use tc_membership::SourceTiming;
/// let timing = SourceTiming::within(Duration::from_secs(5));
/// let (first, second) = (timing.list_schedule(Some(0)), timing.list_schedule(Some(3)));
/// for ms in [5, 120] {
///     let list_time = Duration::from_millis(ms);
///     assert!(first.start_at(list_time) + list_time <= second.start_at(list_time));
/// }
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSchedule {
    /// Age at which the list should be complete.
    pub(crate) complete_at: Duration,
    /// Age at which the list of the first watcher should be known, for all others.
    pub(crate) first_known_at: Option<Duration>,
    /// Age at which a list must be complete, also if it has to start before that of the first
    /// watcher is complete.
    pub(crate) latest: Duration,
}

impl ListSchedule {
    /// Returns the age of the confirmation at which a list starts that takes `list_time`.
    #[must_use]
    pub fn start_at(&self, list_time: Duration) -> Duration {
        let list_time = list_time.min(self.complete_at / 2);
        let start = self.complete_at.saturating_sub(list_time);
        let Some(first_known_at) = self.first_known_at else {
            return start;
        };
        let latest = self.latest.saturating_sub(list_time);
        start.max(first_known_at).min(latest)
    }
}
