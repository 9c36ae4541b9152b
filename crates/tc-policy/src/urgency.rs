//! Urgency with which a request competes for room at an engine. Answers load in which requests of several priorities
//! wait alike at a full engine.
//!
//! Engines admit more urgent requests first and preempt less urgent ones for them. A preempted stream pauses, so
//! requests of the same rank get the same urgency.

use std::time::Duration;

/// Number of priorities told apart among on-time requests; less urgent ones share the last.
const RANKS: usize = 3;
/// On-time requests of workspaces over their share.
const OVER_SHARE: u8 = 6;
const LATE_RESUMED: u8 = 7;
const LATE_MOST_URGENT: u8 = 8;
const LATE: u8 = 9;
/// Fraction of the expected time within which a request may still be answered. Requests of all urgencies were measured,
/// and urgent ones wait less.
const MIN_TIME_FRACTION: f64 = 0.5;

/// Properties of a request that determine its urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UrgencyQuery {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether its first event can be on time, or was if the request continues a stream.
    pub can_be_on_time: bool,
    /// Whether its workspace is over its share at a home.
    pub is_over_share: bool,
    /// Whether it continues a stream whose first events its caller has.
    pub is_resumed: bool,
}

/// Priorities that the requests to one engine service can have.
///
/// ```
/// use tc_policy::{UrgencyQuery, UrgencyScale};
/// let scale = UrgencyScale::new([0, 2]).expect("two priorities");
/// let review = UrgencyQuery { priority: 0, can_be_on_time: true, is_over_share: false, is_resumed: false };
/// let chat = UrgencyQuery { priority: 2, ..review };
/// assert!(scale.urgency(&review) < scale.urgency(&chat));
/// assert!(UrgencyScale::new([1, 1]).is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UrgencyScale {
    /// Sorted, without duplicates.
    priorities: Vec<u8>,
}

impl UrgencyScale {
    /// Number of urgencies; the lowest is the most urgent.
    pub const LEVELS: u8 = LATE + 1;

    /// Returns the scale of these priorities; `None` if there are fewer than two, so that no request goes before another.
    #[must_use]
    pub fn new(priorities: impl IntoIterator<Item = u8>) -> Option<Self> {
        let mut priorities: Vec<u8> = priorities.into_iter().collect();
        priorities.sort_unstable();
        priorities.dedup();
        (priorities.len() > 1).then_some(Self { priorities })
    }

    /// Returns the urgency of a request, 0 being the most urgent.
    ///
    /// On-time requests go by priority, resumed streams before the others of their rank; then those of workspaces over
    /// their share, then late ones.
    #[must_use]
    pub fn urgency(&self, query: &UrgencyQuery) -> u8 {
        let rank = self.rank(query.priority);
        match query {
            UrgencyQuery {
                can_be_on_time: false,
                is_resumed: true,
                ..
            } => LATE_RESUMED,
            UrgencyQuery {
                can_be_on_time: false,
                is_over_share: false,
                ..
            } if rank == 0 => LATE_MOST_URGENT,
            UrgencyQuery {
                can_be_on_time: false,
                ..
            } => LATE,
            // Started work is not held back for its workspace's other requests.
            UrgencyQuery {
                is_resumed: true, ..
            } => 2 * rank,
            UrgencyQuery {
                is_over_share: true,
                ..
            } => OVER_SHARE,
            _ => 2 * rank + 1,
        }
    }

    fn rank(&self, priority: u8) -> u8 {
        let more_urgent = self.priorities.partition_point(|other| *other < priority);
        more_urgent.min(RANKS - 1) as u8
    }
}

/// Returns whether the first event of a request can be on time, given the time left and the expected time to it.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::can_be_on_time;
/// let expected = Duration::from_millis(300);
/// assert!(can_be_on_time(Duration::from_millis(200), expected));
/// assert!(!can_be_on_time(Duration::from_millis(100), expected));
/// ```
#[must_use]
pub fn can_be_on_time(until_latency_target: Duration, expected: Duration) -> bool {
    !until_latency_target.is_zero() && until_latency_target >= expected.mul_f64(MIN_TIME_FRACTION)
}
