//! What this instance knows of a shard's sealed segments.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use tc_protocol::MonoTime;

use super::{
    model::{Entries, Entry, EntryState, KeyDigest},
    op::Found,
};

/// Room for clocks that run at slightly different rates, as a part of the retention.
const RETENTION_MARGIN: f64 = 0.01;

struct SealedSegment {
    /// When this instance first knew of it. All its claims are older.
    first_seen: MonoTime,
    /// `None` where an outcome is recorded, which stays in the store until it is asked for.
    entries: HashMap<KeyDigest, Option<Entry>>,
}

/// Index of sealed segments by name, with the outcomes that were asked for just now.
#[derive(Default)]
pub(super) struct SealedIndex {
    segments: BTreeMap<Arc<str>, SealedSegment>,
    loaded_outcomes: BTreeMap<Arc<str>, Entries>,
}

impl SealedIndex {
    pub(super) fn has(&self, name: &str) -> bool {
        self.segments.contains_key(name)
    }

    /// Takes in a segment, or opens one that is known already.
    pub(super) fn insert(&mut self, now: MonoTime, name: Arc<str>, entries: Entries) {
        if self.has(&name) {
            self.loaded_outcomes.insert(name, entries);
            return;
        }
        let index = entries.into_iter().map(|(key, entry)| {
            let recorded = matches!(entry.state, EntryState::Recorded(_));
            (key, (!recorded).then_some(entry))
        });
        let segment = SealedSegment {
            first_seen: now,
            entries: index.collect(),
        };
        self.segments.insert(name, segment);
    }

    /// Forgets all segments but those that `keep` names.
    pub(super) fn retain(&mut self, keep: impl Fn(&Arc<str>) -> bool) {
        self.segments.retain(|name, _| keep(name));
    }

    /// Forgets the outcomes read for one round of answers; they would pile up in memory.
    pub(super) fn close(&mut self) {
        self.loaded_outcomes.clear();
    }

    /// The newest entry of a key in the segments `listed`, oldest first.
    pub(super) fn find<'a>(&'a self, listed: &[Arc<str>], key: KeyDigest) -> Found<'a> {
        for name in listed.iter().rev() {
            let segment = self.segments.get(name);
            match segment.and_then(|s| s.entries.get(&key)) {
                None => {}
                Some(Some(entry)) => return Found::Entry(entry),
                Some(None) => {
                    let loaded_outcomes = self.loaded_outcomes.get(name).and_then(|o| o.get(&key));
                    return loaded_outcomes
                        .map_or_else(|| Found::InSegment(name.clone()), Found::Entry);
                }
            }
        }
        Found::None
    }

    /// How many of the segments `listed`, oldest first, hold nothing but expired claims.
    ///
    /// A segment's age is counted on this instance's own monotonic clock from when it first saw the segment, so no
    /// agreement between wall clocks is needed: with them, one fast clock would drop live claims, seen as requests
    /// that ran twice. A restarted instance starts counting anew and expires later, never earlier.
    pub(super) fn expired(&self, listed: &[Arc<str>], now: MonoTime, retention: Duration) -> usize {
        let age = retention.mul_f64(1.0 + RETENTION_MARGIN);
        listed
            .iter()
            .take_while(|&name| {
                let segment = self.segments.get(name);
                segment.is_some_and(|s| now.since(s.first_seen) >= age)
            })
            .count()
    }
}
