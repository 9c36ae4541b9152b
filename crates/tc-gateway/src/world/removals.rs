//! Removals held back after an outage of the store.
//!
//! Upstreams that could not renew their entries during an outage lapse and are back a moment after it. Taking every
//! removal at its word would leave services without upstreams just when the store returns, seen as a wave of
//! refusals although every upstream is well.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tc_platform::ObjectEvent;
use tc_protocol::MonoTime;

/// How long after the store's return an entry may still be on its way back.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);
/// An outage from this length on can have let entries lapse: shorter than three heartbeats of any upstream.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Decides when removals count.
#[derive(Debug, Default)]
pub(super) struct HeldRemovals {
    failing_since: Option<MonoTime>,
    held_until: MonoTime,
    held: BTreeMap<Arc<str>, u64>,
}

impl HeldRemovals {
    /// The store did not answer.
    pub(super) fn record_failure(&mut self, now: MonoTime) {
        self.failing_since.get_or_insert(now);
    }

    /// The store answered.
    pub(super) fn record_answer(&mut self, now: MonoTime) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now.since(since) >= MIN_OUTAGE {
            self.held_until = now.after(REREGISTRATION_TIME);
        }
    }

    /// The changes that count now; removals just after an outage are held.
    pub(super) fn filter(&mut self, now: MonoTime, events: Vec<ObjectEvent>) -> Vec<ObjectEvent> {
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
        passed
    }

    /// Removals whose entries did not come back.
    pub(super) fn take_due(&mut self, now: MonoTime) -> Vec<ObjectEvent> {
        if now < self.held_until {
            return Vec::new();
        }
        std::mem::take(&mut self.held)
            .into_iter()
            .map(|(name, revision)| ObjectEvent::Removed { name, revision })
            .collect()
    }

    /// When [`HeldRemovals::due`] should be asked, if anything is held.
    pub(super) fn next_due(&self) -> Option<MonoTime> {
        (!self.held.is_empty()).then_some(self.held_until)
    }
}
