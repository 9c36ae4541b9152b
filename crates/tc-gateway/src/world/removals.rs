//! Delays removals of upstreams after an outage of the store, or after its restore from an older copy.
//!
//! Entries of upstreams that could not renew them during an outage expire, and are registered again
//! shortly after it. If every removal took effect at once, services would lose their upstreams just
//! when the store returns, and refuse many requests although all upstreams are healthy. Likewise, an
//! upstream that registered after the copy was made writes its entry again.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tc_platform::ObjectEvent;
use tc_protocol::{MonoTime, StoreRevision};

/// Time after the store's return within which an expired entry may be registered again.
pub(super) const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);
/// Minimum duration of an outage in which entries can expire. It is shorter than three heartbeats
/// of any upstream.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Whether changes up to a revision are all there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completeness {
    /// All are included.
    Complete,
    /// Some removals are left out.
    LacksRemovals,
}

/// Holds removals back for a while after an outage.
#[derive(Debug, Default)]
pub struct HeldRemovals {
    failing_since: Option<MonoTime>,
    held_until: MonoTime,
    held: BTreeMap<Arc<str>, StoreRevision>,
    /// Revision that the list reflects once the held removals are applied.
    complete_at: StoreRevision,
}

impl HeldRemovals {
    /// Records that a call to the store failed. The list is confirmed as of `confirmed` by any instance.
    pub fn record_failure(&mut self, now: MonoTime, confirmed: MonoTime) {
        let since = *self.failing_since.get_or_insert(now);
        // The store answered another instance meanwhile, so entries could not expire all the while.
        if confirmed > since {
            self.end_outage(since, confirmed);
            self.failing_since = Some(confirmed);
        }
    }

    /// Records that the store answered. The list was confirmed as of `confirmed` by any instance before.
    pub fn record_answer(&mut self, now: MonoTime, confirmed: MonoTime) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let answered = confirmed.max(since);
        self.end_outage(since, answered);
        self.end_outage(answered, now);
    }

    /// Holds removals back if the store answered nobody for long enough.
    fn end_outage(&mut self, since: MonoTime, until: MonoTime) {
        if until.since(since) >= MIN_OUTAGE {
            self.held_until = self.held_until.max(until.after(REREGISTRATION_TIME));
        }
    }

    /// Records that the store was restored from an older copy.
    pub fn record_restore(&mut self, now: MonoTime) {
        self.held_until = now.after(REREGISTRATION_TIME);
    }

    /// Returns the changes up to revision `at` to apply now, and holds back removals shortly after an outage.
    pub fn filter(
        &mut self,
        now: MonoTime,
        events: Vec<ObjectEvent>,
        at: StoreRevision,
    ) -> (Vec<ObjectEvent>, Completeness) {
        let is_holding = now < self.held_until;
        let mut passed = Vec::with_capacity(events.len());
        for event in events {
            match event {
                ObjectEvent::Put(object) => {
                    self.held.remove(&object.name);
                    passed.push(ObjectEvent::Put(object));
                }
                ObjectEvent::Removed { name, revision } if is_holding => {
                    self.held.insert(name, revision);
                }
                removed @ ObjectEvent::Removed { .. } => passed.push(removed),
            }
        }
        if self.held.is_empty() {
            return (passed, Completeness::Complete);
        }
        self.complete_at = self.complete_at.max(at);
        (passed, Completeness::LacksRemovals)
    }

    /// Returns the held removals whose time is over and whose entries were not registered again, with the revision that the
    /// list reflects after them.
    pub fn take_due(&mut self, now: MonoTime) -> Option<(Vec<ObjectEvent>, StoreRevision)> {
        if now < self.held_until || self.held.is_empty() {
            return None;
        }
        let held = std::mem::take(&mut self.held).into_iter();
        let due = held.map(|(name, revision)| ObjectEvent::Removed { name, revision });
        Some((due.collect(), self.complete_at))
    }

    /// Returns when [`HeldRemovals::take_due`] should be called next, or `None` if no removal is
    /// held.
    pub(super) fn next_due(&self) -> Option<MonoTime> {
        (!self.held.is_empty()).then_some(self.held_until)
    }
}
