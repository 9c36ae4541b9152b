//! State changes of a shard caused by the results of its steps.

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

/// Consecutive reads that must find the head unchanged before it is written again without reading
/// it first.
const UNCHANGED_READS: u32 = 4;
/// Reads of a listed but missing segment after which the shard is reported as damaged.
const MISSING_SEGMENT_READS: u32 = 5;

impl Shard {
    /// Reports the result of [`Step::ReadHead`].
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
            log::error!("head of claim shard {} cannot be decoded", self.index);
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

    /// Forgets segments that the head no longer lists, and schedules the deletion of a prepared
    /// segment that it can no longer list.
    ///
    /// A prepared segment can be listed only by a write based on the head version it was created
    /// from. Once the head has a later version that does not list the segment, no version ever
    /// will, so it can be deleted.
    fn drop_unlisted(&mut self) {
        let Some(head) = &self.head else { return };
        let listed = |name: &Arc<str>| head.value.segments.contains(name);
        let outdated = self.prepared_segment.take_if(|p| p.version != head.version);
        if let Some(orphan) = outdated.filter(|p| !listed(&p.name)) {
            self.to_delete.push(orphan.name);
        }
        let prepared_segment = self.prepared_segment.as_ref().map(|p| &p.name);
        self.sealed
            .retain(|name| listed(name) || prepared_segment == Some(name));
    }

    /// Reports the result of [`Step::ReadSegment`].
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
            log::error!("claim segment {name} cannot be decoded");
            return Progress::None;
        };
        self.missing_segment_reads = 0;
        self.sealed.insert(now, name.clone(), segment.entries);
        Progress::Made
    }

    /// Handles a listed segment that is missing. Most likely another instance has expired it and
    /// our head is old.
    fn on_missing_segment(&mut self, name: &Arc<str>) -> Progress {
        self.head = None;
        self.missing_segment_reads += 1;
        if self.missing_segment_reads < MISSING_SEGMENT_READS {
            return Progress::Made;
        }
        log::error!("claim segment {name} is listed but missing; its shard accepts no claims");
        Progress::None
    }

    /// Reports the result of [`Step::CreateSegment`]. An existing segment is fine too, because
    /// every instance that creates it from the same version of the head writes the same content.
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

    /// Reports the result of [`Step::WriteHead`].
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
                log::warn!("head of claim shard {} was not written: {e}", self.index);
                Progress::None
            }
        }
    }

    fn on_committed(&mut self, now: MonoTime, version: u64, batch: Batch) {
        if batch.expired > 0 {
            let old = self.head.take().map(|h| h.value).unwrap_or_default();
            let dropped = old.segments.into_iter().take(batch.expired);
            self.to_delete
                .extend(old.retired.into_iter().chain(dropped));
        }
        self.is_deletion_paused = false;
        self.adopt(now, version, batch.new_head);
        self.drop_unlisted();
        self.answer(&batch.pending);
    }

    /// Clears the mark of a lost write on the first `decided` operations, if it was based on an
    /// older head than `version`. They were decided on this version, so each write was either found
    /// in force or can no longer take effect.
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

    /// Reports the result of [`Step::Delete`]. A failed deletion is retried only after the next
    /// commit.
    pub fn on_segment_deleted(&mut self, name: &Arc<str>, done: bool) {
        if done {
            self.to_delete.retain(|n| n != name);
        } else {
            self.is_deletion_paused = true;
        }
    }
}
