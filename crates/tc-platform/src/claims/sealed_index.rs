//! Index of a shard's sealed segments.

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

/// Margin for clocks that run at slightly different rates, as a fraction of the retention.
const RETENTION_MARGIN: f64 = 0.01;

struct SealedSegment {
    /// When this instance first saw the segment. All its claims are older.
    first_seen: MonoTime,
    /// `None` for a recorded outcome, which is read from the store when needed.
    entries: HashMap<KeyDigest, Option<Entry>>,
}

/// Sealed segments by name, and the recorded outcomes loaded for the current replies.
#[derive(Default)]
pub(super) struct SealedIndex {
    segments: BTreeMap<Arc<str>, SealedSegment>,
    loaded_outcomes: BTreeMap<Arc<str>, Entries>,
}

impl SealedIndex {
    pub(super) fn has(&self, name: &str) -> bool {
        self.segments.contains_key(name)
    }

    /// Adds a segment, or loads the recorded outcomes of a known one.
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

    /// Removes all segments except those for which `keep` returns true.
    pub(super) fn retain(&mut self, keep: impl Fn(&Arc<str>) -> bool) {
        self.segments.retain(|name, _| keep(name));
    }

    /// Drops the outcomes loaded for the current replies, which would otherwise accumulate in
    /// memory.
    pub(super) fn clear_loaded_outcomes(&mut self) {
        self.loaded_outcomes.clear();
    }

    /// Returns the newest entry of a key in the segments `listed`, which are ordered from oldest to
    /// newest.
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

    /// Returns how many of the segments `listed`, from the oldest on, contain only expired claims.
    ///
    /// The age of a segment is measured on this instance's monotonic clock from when it first saw
    /// the segment, so wall clocks need not agree. With wall clocks, one fast clock would drop live
    /// claims, and requests would run twice. A restarted instance starts counting from zero, so it
    /// expires claims later, never earlier.
    pub(super) fn expired_count(
        &self,
        listed: &[Arc<str>],
        now: MonoTime,
        retention: Duration,
    ) -> usize {
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
