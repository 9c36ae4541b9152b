//! When an instance that watches the store also lists it.

use std::time::Duration;

/// Smallest age at which the first watcher lists, as a fraction of the age at which its list should
/// be complete.
const MIN_START_FRACTION: f64 = 0.125;

/// When an instance that watches the store also lists it, as an age of its last confirmation.
///
/// A watch that is never answered is indistinguishable from a store without changes. The list of
/// the first watcher confirms the state of all instances. The others start theirs when that one
/// should be complete, so that they list the store only if the first watcher cannot. This holds
/// while a list takes less than a third of the age at which theirs is complete.
///
/// ```
/// use std::time::Duration;
/// use tc_membership::SourceTiming;
/// let timing = SourceTiming::within(Duration::from_secs(5));
/// let (first, second) = (timing.list_schedule(Some(0)), timing.list_schedule(Some(3)));
/// for ms in [5, 450] {
///     let list_time = Duration::from_millis(ms);
///     assert!(first.start_at(list_time) + list_time < second.start_at(list_time));
/// }
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSchedule {
    /// Age at which the list should be complete.
    pub(crate) complete_at: Duration,
    /// Whether other instances wait for the list before they start theirs.
    pub(crate) is_first: bool,
}

impl ListSchedule {
    /// Returns the age of the confirmation at which a list starts that takes `list_time`.
    ///
    /// The first watcher starts earlier by the time of another list, as the others need that time
    /// if it fails.
    #[must_use]
    pub fn start_at(&self, list_time: Duration) -> Duration {
        let list_time = list_time.min(self.complete_at / 2);
        if self.is_first {
            let earliest = self.complete_at.mul_f64(MIN_START_FRACTION);
            self.complete_at.saturating_sub(list_time * 2).max(earliest)
        } else {
            self.complete_at.saturating_sub(list_time)
        }
    }
}
