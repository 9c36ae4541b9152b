//! Scheduling of member list comparisons between instances.
//!
//! Probes carry only three records each. When many instances start together, a new one is
//! introduced by an instance that knows only those that started earlier. Without comparisons it
//! then learns of about one member per second and places roles among the few it knows. This led to
//! two homes for one service for the rest of a day, where calls of the second home wait at
//! upstreams that the first considers free. Lists are therefore compared by digest until they
//! agree, and periodically after that.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Delay before the first comparison, and after each one that brought new records. An instance
/// introduced to a fleet of hundreds knows all members after a few comparisons, and until then
/// picks the wrong homes.
const INITIAL_WAIT: Duration = Duration::from_millis(80);
/// Maximum delay. Two digests every few seconds cost 50 bytes per second. Two lists that differ in
/// one record are reconciled within this time, while the records on probes take a minute in a fleet
/// of hundreds.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Maximum delay while the lists differ although the other's had nothing new: a third instance may
/// have records that both are missing.
const MAX_WAIT_WHILE_DIFFERENT: Duration = Duration::from_millis(500);
/// Number of comparisons that must find the same list, without new records in between, before the
/// members count as known. Two instances that have just started often know the same few members.
const SETTLED_AFTER: u32 = 2;
/// Relative width of the range by which delays vary, so that instances that start together do not
/// compare in lockstep.
const JITTER: f64 = 0.5;

/// Result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ComparisonOutcome {
    /// Both lists have the same members.
    Same,
    /// The lists differ, and the other's added something new.
    Updated,
    /// The lists differ, but the other's added nothing: it has fewer members, or its records await
    /// confirmation.
    Unchanged,
    /// The other instance did not reply.
    NoAnswer,
}

/// Schedule of member list comparisons.
///
/// ```
/// use tc_membership::{ComparisonOutcome, ViewSync};
/// use tc_protocol::MonoTime;
/// let start = MonoTime::from_millis(1_000);
/// let mut sync = ViewSync::new(start, 0.5);
/// while !sync.is_settled() {
///     sync.record(sync.next_comparison(), ComparisonOutcome::Same, 0.5);
/// }
/// let last = sync.next_comparison();
/// sync.record(last, ComparisonOutcome::Same, 0.5);
/// let longer = sync.next_comparison().since(last);
/// sync.record(sync.next_comparison(), ComparisonOutcome::Updated, 0.5);
/// sync.record(sync.next_comparison(), ComparisonOutcome::Updated, 0.5);
/// let shorter = sync.next_comparison();
/// sync.record(shorter, ComparisonOutcome::Updated, 0.5);
/// assert!(longer > sync.next_comparison().since(shorter), "equal lists are compared less often");
/// ```
#[derive(Clone, Debug)]
pub struct ViewSync {
    wait: Duration,
    next: MonoTime,
    /// Comparisons that found the same list with no new records in between, up to
    /// [`SETTLED_AFTER`].
    same_count: u32,
}

impl ViewSync {
    /// Creates a schedule that starts at `now`. `random` is between 0 and 1, as in
    /// [`ViewSync::record`].
    #[must_use]
    pub fn new(now: MonoTime, random: f64) -> Self {
        let mut sync = Self {
            wait: INITIAL_WAIT,
            next: now,
            same_count: 0,
        };
        sync.schedule(now, random);
        sync
    }

    /// Returns when to compare next.
    #[must_use]
    pub fn next_comparison(&self) -> MonoTime {
        self.next
    }

    /// Returns whether this instance has, at some point since it started, known the same members as
    /// others.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.same_count >= SETTLED_AFTER
    }

    /// Records the result of a comparison. `random`, between 0 and 1, varies the delay until the
    /// next one.
    pub fn record(&mut self, now: MonoTime, outcome: ComparisonOutcome, random: f64) {
        if !self.is_settled() {
            match outcome {
                ComparisonOutcome::Same => self.same_count += 1,
                ComparisonOutcome::Updated => self.same_count = 0,
                ComparisonOutcome::Unchanged | ComparisonOutcome::NoAnswer => {}
            }
        }
        self.wait = match outcome {
            _ if !self.is_settled() => INITIAL_WAIT,
            ComparisonOutcome::Updated | ComparisonOutcome::NoAnswer => INITIAL_WAIT,
            ComparisonOutcome::Unchanged => (self.wait * 2).min(MAX_WAIT_WHILE_DIFFERENT),
            ComparisonOutcome::Same => (self.wait * 2).min(MAX_WAIT),
        };
        self.schedule(now, random);
    }

    fn schedule(&mut self, now: MonoTime, random: f64) {
        let factor = 1.0 + JITTER * (random - 0.5);
        self.next = now.after(self.wait.mul_f64(factor));
    }
}
