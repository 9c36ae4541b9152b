//! When an instance compares its list of members with another's.
//!
//! Probes carry news, three records each. An instance that starts together with many others is introduced while the
//! one that introduces it knows only those that came before; from then on it hears of about one member a second, and it
//! places roles among the few that it knows. Seen as two homes of one service for the rest of a day: calls of the second
//! wait at upstreams that the first takes for free. So lists are compared, as digests, until they agree, and now and then
//! after that.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Wait until the first comparison, and again after each that brought news: an instance that was introduced among
/// hundreds knows them all after a few, and until then it takes the wrong instances for homes.
const FIRST: Duration = Duration::from_millis(80);
/// Longest wait. Two digests a few seconds apart are 50 bytes a second; two lists that differ in one record are told so
/// within it, where the records on probes take a minute among hundreds.
const LONGEST: Duration = Duration::from_secs(4);
/// Longest wait while lists differ, though the other's told nothing new: a third may know what both of them lack.
const LONGEST_UNLIKE: Duration = Duration::from_millis(500);
/// Lists that must be found the same, without news between them, before the members count as known: two that have just
/// started often know the same few.
const SETTLED_AFTER: u32 = 2;
/// Part by which waits vary, so that instances that start together do not ask in step.
const JITTER: f64 = 0.5;

/// What a comparison brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ComparisonOutcome {
    /// The other's list has the same members.
    Same,
    /// It differs, and told something that was not known here.
    Updated,
    /// It differs, but told nothing new: the other knows less, or what it tells is disputed.
    Unchanged,
    /// The other did not answer.
    NoAnswer,
}

/// The times of comparisons.
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
/// assert!(longer > sync.next_comparison().since(shorter), "lists that agree are compared less often");
/// ```
#[derive(Clone, Debug)]
pub struct ViewSync {
    wait: Duration,
    next: MonoTime,
    /// Comparisons in a row that brought no news and found the same list, up to [`SETTLED_AFTER`].
    same: u32,
}

impl ViewSync {
    /// `chance` is between 0 and 1, as in [`ViewSync::record`].
    #[must_use]
    pub fn new(now: MonoTime, chance: f64) -> Self {
        let mut sync = Self {
            wait: FIRST,
            next: now,
            same: 0,
        };
        sync.schedule(now, chance);
        sync
    }

    /// When to compare next.
    #[must_use]
    pub fn next_comparison(&self) -> MonoTime {
        self.next
    }

    /// Whether this instance has come to know the same members as others, at some time since it started.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.same >= SETTLED_AFTER
    }

    /// Takes up what a comparison brought; `chance`, between 0 and 1, varies the wait until the next.
    pub fn record(&mut self, now: MonoTime, outcome: ComparisonOutcome, chance: f64) {
        if !self.is_settled() {
            match outcome {
                ComparisonOutcome::Same => self.same += 1,
                ComparisonOutcome::Updated => self.same = 0,
                ComparisonOutcome::Unchanged | ComparisonOutcome::NoAnswer => {}
            }
        }
        self.wait = match outcome {
            _ if !self.is_settled() => FIRST,
            ComparisonOutcome::Updated | ComparisonOutcome::NoAnswer => FIRST,
            ComparisonOutcome::Unchanged => (self.wait * 2).min(LONGEST_UNLIKE),
            ComparisonOutcome::Same => (self.wait * 2).min(LONGEST),
        };
        self.schedule(now, chance);
    }

    fn schedule(&mut self, now: MonoTime, chance: f64) {
        let varied = 1.0 + JITTER * (chance - 0.5);
        self.next = now.after(self.wait.mul_f64(varied));
    }
}
