//! How a shard's state changes with the results of its steps.

use std::sync::Arc;

use serde_json::Value;
use tc_protocol::MonoTime;

#[cfg(doc)]
use super::shard::Step;
use super::{
    batch::Batch,
    model::{Head, Segment, json_len},
    shard::{PreparedSegment, Progress, Shard},
};
use crate::{StoreError, Versioned};

/// Reads in a row that must find the head unchanged before it is written again without reading it first.
const UNCHANGED_READS: u32 = 4;
/// Reads of a listed segment that is not there after which the shard is called damaged.
const MISSING_SEGMENT_READS: u32 = 5;

impl Shard {
    /// Feeds back [`Step::ReadHead`].
    pub fn on_head_read(
        &mut self,
        now: MonoTime,
        result: Result<Option<Versioned<Value>>, StoreError>,
    ) -> Progress {
        let Ok(found) = result else {
            return Progress::None;
        };
        let (version, head) = match found {
            None => (0, Ok(Head::default())),
            Some(object) => (object.version, serde_json::from_value(object.value)),
        };
        let Ok(head) = head else {
            log::error!("head of claim shard {} cannot be read", self.index);
            return Progress::None;
        };
        self.reads_before_write = if version == self.last_version {
            self.reads_before_write.saturating_sub(1)
        } else {
            UNCHANGED_READS
        };
        self.adopt(now, version, head);
        self.drop_unlisted();
        Progress::Made
    }

    fn adopt(&mut self, now: MonoTime, version: u64, head: Head) {
        let last = head.segments.last().cloned();
        let same = self.entries_since.as_ref().is_some_and(|(l, _)| *l == last);
        if head.entries.is_empty() {
            self.entries_since = None;
        } else if !same {
            self.entries_since = Some((last, now));
        }
        self.head_bytes = json_len(&head.entries);
        self.last_version = version;
        self.fresh_below = self.ticket_at_call;
        self.head = Some(Versioned {
            version,
            value: head,
        });
    }

    /// Settles a prepared segment that the head has passed by, and forgets those it no longer lists.
    ///
    /// The head may be listed a prepared segment only by a write based on the version the segment was made from.
    /// So once the head has moved on without listing it, it never will, and deleting it is safe.
    fn drop_unlisted(&mut self) {
        let Some(head) = &self.head else { return };
        let listed = |name: &Arc<str>| head.value.segments.contains(name);
        let outdated = self.prepared_segment.take_if(|p| p.version != head.version);
        if let Some(orphan) = outdated.filter(|p| !listed(&p.name)) {
            self.unlisted.push(orphan.name);
        }
        let prepared_segment = self.prepared_segment.as_ref().map(|p| &p.name);
        self.sealed
            .retain(|name| listed(name) || prepared_segment == Some(name));
    }

    /// Feeds back [`Step::ReadSegment`].
    pub fn on_segment_read(
        &mut self,
        now: MonoTime,
        name: &Arc<str>,
        result: Result<Option<Versioned<Value>>, StoreError>,
    ) -> Progress {
        let object = match result {
            Ok(Some(object)) => object,
            Ok(None) => return self.on_missing_segment(name),
            Err(_) => return Progress::None,
        };
        let Ok(segment) = serde_json::from_value::<Segment>(object.value) else {
            log::error!("claim segment {name} cannot be read");
            return Progress::None;
        };
        self.missing_segment_reads = 0;
        self.sealed.insert(now, name.clone(), segment.entries);
        Progress::Made
    }

    /// A listed segment is gone: most likely others expired it meanwhile, and the head is old.
    fn on_missing_segment(&mut self, name: &Arc<str>) -> Progress {
        self.head = None;
        self.missing_segment_reads += 1;
        if self.missing_segment_reads < MISSING_SEGMENT_READS {
            return Progress::Made;
        }
        log::error!("claim segment {name} is listed and missing; its shard takes no claims");
        Progress::None
    }

    /// Feeds back [`Step::CreateSegment`]. That it exists already is as good: whoever made it from the same version
    /// of the head wrote the same.
    pub fn on_segment_created(
        &mut self,
        now: MonoTime,
        name: &Arc<str>,
        result: &Result<u64, StoreError>,
    ) -> Progress {
        if !matches!(result, Ok(_) | Err(StoreError::Conflict { .. })) {
            return Progress::None;
        }
        if let Some(head) = &self.head {
            let entries = head.value.entries.clone();
            self.prepared_segment = Some(PreparedSegment {
                version: head.version,
                name: name.clone(),
            });
            self.sealed.insert(now, name.clone(), entries);
        }
        Progress::Made
    }

    /// Feeds back [`Step::WriteHead`].
    pub fn on_head_written(&mut self, now: MonoTime, result: Result<u64, StoreError>) -> Progress {
        let Some(batch) = self.batch.take() else {
            return Progress::None;
        };
        match result {
            Ok(version) => {
                self.on_committed(now, version, batch);
                Progress::Made
            }
            Err(StoreError::Conflict { .. }) => {
                self.head = None;
                self.reads_before_write = UNCHANGED_READS;
                Progress::Made
            }
            Err(StoreError::MaybeApplied) => {
                self.mark_maybe_written(&batch);
                Progress::None
            }
            Err(e) => {
                log::warn!("claim shard {} was not written: {e}", self.index);
                Progress::None
            }
        }
    }

    fn on_committed(&mut self, now: MonoTime, version: u64, batch: Batch) {
        if batch.expired > 0 {
            let old = self.head.take().map(|h| h.value).unwrap_or_default();
            let dropped = old.segments.into_iter().take(batch.expired);
            self.unlisted.extend(old.retired.into_iter().chain(dropped));
        }
        self.is_deletion_paused = false;
        self.adopt(now, version, batch.new);
        self.drop_unlisted();
        self.answer(&batch.pending);
    }

    /// Forgets that the first `judged` operations may have been written on an older head than `version`: having been
    /// judged on this one, each was either found in force or never will be.
    pub(super) fn clear_lost_writes(&mut self, version: u64, decided: usize) {
        for queued in self.queue.iter_mut().take(decided) {
            queued.maybe_written_on.take_if(|on| *on < version);
        }
    }

    fn mark_maybe_written(&mut self, batch: &Batch) {
        let base = self.head.take().map(|h| h.version);
        for (ticket, _) in &batch.pending {
            if let Ok(at) = self.queue.binary_search_by_key(ticket, |q| q.ticket) {
                self.queue[at].maybe_written_on = base;
            }
        }
    }

    /// Feeds back [`Step::Delete`]; after a failure it is tried again only after the next commit.
    pub fn on_segment_deleted(&mut self, name: &Arc<str>, done: bool) {
        if done {
            self.unlisted.retain(|n| n != name);
        } else {
            self.is_deletion_paused = true;
        }
    }
}
