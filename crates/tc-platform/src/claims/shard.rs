//! State machine of one claim shard, without clock and I/O. The caller executes its steps one at a
//! time.
//!
//! All claims of a shard are made by compare-and-set writes of one object, its head. Claims that
//! fill it are moved to sealed segments, which are created before the head lists them and never
//! changed. A write based on an old head fails, however long its writer was paused. If the response
//! to a write is lost, the head is read and the write repeated until the head's version has
//! changed, after which the lost write can no longer take effect.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use serde_json::Value;
use tc_protocol::MonoTime;

use super::{
    batch::Batch,
    model::{Head, Segment},
    op::{Op, Reply, ShardLimits, Ticket},
    sealed_index::SealedIndex,
};
use crate::Versioned;

/// The retention is divided by this for the age at which claims are sealed even if there are few,
/// so that they can expire.
const SEAL_AGE_DIVISOR: u32 = 2;

/// The next step to execute. Its result must be reported before the next step is requested.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing to do until the next operation.
    Idle,
    /// Read the head, then call [`Shard::on_head_read`].
    ReadHead,
    /// Read this segment, then call [`Shard::on_segment_read`].
    ReadSegment(Arc<str>),
    /// Create this segment, then call [`Shard::on_segment_created`].
    CreateSegment(Arc<str>, Value),
    /// Write the head if it still has this version (0: it does not exist), then call
    /// [`Shard::on_head_written`].
    WriteHead(u64, Value),
    /// Delete this segment, whatever its version, then call [`Shard::on_segment_deleted`].
    Delete(Arc<str>),
}

/// Whether a step made progress. If not, the caller should back off before the next one.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Continue with the next step.
    Made,
    /// The store did not respond, or not as expected.
    None,
}

/// An operation without a reply so far.
pub(super) struct QueuedOp {
    pub(super) ticket: Ticket,
    pub(super) op: Op,
    /// Version of the head on which a write of this operation was based, if the response to that
    /// write was lost.
    pub(super) maybe_written_on: Option<u64>,
}

/// A segment created from this version of the head, to be listed by the next write.
pub(super) struct PreparedSegment {
    pub(super) version: u64,
    pub(super) name: Arc<str>,
}

/// State of one shard as known to this instance.
pub struct Shard {
    pub(super) index: u32,
    pub(super) limits: ShardLimits,
    pub(super) retention: Duration,
    pub(super) queue: VecDeque<QueuedOp>,
    next_ticket: Ticket,
    pub(super) replies: Vec<(Ticket, Reply)>,
    /// The head as last read or written; `None` if it must be read. Version 0 means that it does
    /// not exist.
    pub(super) head: Option<Versioned<Head>>,
    pub(super) head_bytes: usize,
    pub(super) last_version: u64,
    /// Operations below this ticket were submitted before the head was last known to be in force.
    pub(super) fresh_below: Ticket,
    /// Number of consecutive reads that must still find the head unchanged before it is written
    /// without reading it first.
    pub(super) reads_before_write: u32,
    /// The last segment listed in the head when its current entries were first seen, and the time
    /// of that.
    pub(super) entries_since: Option<(Option<Arc<str>>, MonoTime)>,
    pub(super) sealed: SealedIndex,
    pub(super) prepared_segment: Option<PreparedSegment>,
    pub(super) missing_segment_reads: u32,
    pub(super) batch: Option<Batch>,
    pub(super) to_delete: Vec<Arc<str>>,
    pub(super) is_deletion_paused: bool,
    pub(super) ticket_at_call: Ticket,
}

impl Shard {
    /// Creates a shard about which nothing is known.
    #[must_use]
    pub fn new(index: u32, limits: ShardLimits, retention: Duration) -> Self {
        Self {
            index,
            limits,
            retention,
            queue: VecDeque::new(),
            next_ticket: 0,
            replies: Vec::new(),
            head: None,
            head_bytes: 0,
            last_version: 0,
            fresh_below: 0,
            reads_before_write: 0,
            entries_since: None,
            sealed: SealedIndex::default(),
            prepared_segment: None,
            missing_segment_reads: 0,
            batch: None,
            to_delete: Vec::new(),
            is_deletion_paused: false,
            ticket_at_call: 0,
        }
    }

    /// Sets how long claims are kept, which must exceed the longest time from a claim to its use.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Queues an operation and returns the ticket of its reply.
    pub fn push(&mut self, op: Op) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.queue.push_back(QueuedOp {
            ticket,
            op,
            maybe_written_on: None,
        });
        ticket
    }

    /// Drops claims and lookups whose callers no longer wait, except those that may have been
    /// written. Their result must be determined; otherwise the key would stay claimed without a
    /// run, and every resend would get "unknown".
    pub fn drop_abandoned(&mut self, is_abandoned: impl Fn(Ticket) -> bool) {
        self.queue.retain(|q| {
            q.maybe_written_on.is_some() || !q.op.may_be_dropped() || !is_abandoned(q.ticket)
        });
    }

    /// Returns the number of operations without a reply.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the operation has no reply so far.
    #[must_use]
    pub fn is_queued(&self, ticket: Ticket) -> bool {
        self.queue
            .binary_search_by_key(&ticket, |q| q.ticket)
            .is_ok()
    }

    /// Returns the number of calls that the queued operations are expected to need: a write, plus a
    /// read of the head if it must be read.
    #[must_use]
    pub fn expected_calls(&self) -> u32 {
        let write = u32::from(!self.queue.is_empty());
        write + u32::from(write > 0 && self.must_read_head())
    }

    /// Whether the head is unknown, or likely to have been changed by others since it was read or
    /// written.
    fn must_read_head(&self) -> bool {
        let oldest = self.queue.front().map_or(0, |q| q.ticket);
        self.head.is_none() || (self.reads_before_write > 0 && oldest >= self.fresh_below)
    }

    /// Takes the available replies.
    pub fn take_replies(&mut self) -> Vec<(Ticket, Reply)> {
        std::mem::take(&mut self.replies)
    }

    /// Returns the next step.
    pub fn next_step(&mut self, now: MonoTime) -> Step {
        while !self.queue.is_empty() {
            if let Some(step) = self.advance(now) {
                return step;
            }
        }
        self.next_deletion()
    }

    /// Processes the queue once. Returns `None` if all operations were answered without a step.
    fn advance(&mut self, now: MonoTime) -> Option<Step> {
        let head = match &self.head {
            Some(head) if !self.must_read_head() => head,
            _ => return Some(self.read_head()),
        };
        let unread = head.value.segments.iter().find(|n| !self.sealed.has(n));
        if let Some(name) = unread {
            return Some(Step::ReadSegment(name.clone()));
        }
        let version = head.version;
        let batch = match Batch::plan(self, head, self.is_full(now, head)) {
            Ok(batch) => batch,
            Err(Step::ReadHead) => return Some(self.read_head()),
            Err(step) => return Some(step),
        };
        self.sealed.clear_loaded_outcomes();
        self.clear_lost_writes(version, batch.decided);
        self.answer(&batch.answered);
        if batch.pending.is_empty() {
            return None;
        }
        Some(self.write_batch(now, batch))
    }

    fn write_batch(&mut self, now: MonoTime, mut batch: Batch) -> Step {
        let Some(head) = &self.head else {
            return self.read_head();
        };
        if self.prepared_segment.is_none() && self.must_seal(now) && !self.is_full(now, head) {
            return self.seal(head);
        }
        let expired = self
            .sealed
            .expired_count(&head.value.segments, now, self.retention);
        let new = batch.head(head, self.prepared_segment.as_ref(), expired);
        let (base, value) = (head.version, to_value(&new));
        self.ticket_at_call = self.next_ticket;
        (batch.new_head, batch.expired) = (new, expired);
        self.batch = Some(batch);
        Step::WriteHead(base, value)
    }

    fn must_seal(&self, now: MonoTime) -> bool {
        self.entries_since.as_ref().is_some_and(|(_, since)| {
            self.has_enough_to_seal() || now.since(*since) >= self.retention / SEAL_AGE_DIVISOR
        })
    }

    fn has_enough_to_seal(&self) -> bool {
        self.head_bytes >= self.limits.seal_bytes
    }

    /// Whether there is no space for another segment.
    fn is_full(&self, now: MonoTime, head: &Versioned<Head>) -> bool {
        let listed = &head.value.segments;
        let is_near = self.has_enough_to_seal() && listed.len() >= self.limits.max_segments;
        is_near && {
            let expired = self.sealed.expired_count(listed, now, self.retention);
            listed.len() - expired >= self.limits.max_segments
        }
    }

    fn seal(&self, head: &Versioned<Head>) -> Step {
        let segment = Segment {
            entries: head.value.entries.clone(),
        };
        Step::CreateSegment(self.segment_name(head.version), to_value(&segment))
    }

    fn segment_name(&self, version: u64) -> Arc<str> {
        format!("segment-{:03}-{version}", self.index).into()
    }

    fn read_head(&mut self) -> Step {
        self.ticket_at_call = self.next_ticket;
        Step::ReadHead
    }

    pub(super) fn answer(&mut self, replies: &[(Ticket, Reply)]) {
        for (ticket, reply) in replies {
            if let Ok(at) = self.queue.binary_search_by_key(ticket, |q| q.ticket) {
                self.queue.remove(at);
                self.replies.push((*ticket, reply.clone()));
            }
        }
    }

    /// Returns the deletion of a segment that no head lists any more, if nothing else is to be
    /// done.
    fn next_deletion(&mut self) -> Step {
        match self.to_delete.last() {
            Some(name) if !self.is_deletion_paused => Step::Delete(name.clone()),
            _ => Step::Idle,
        }
    }
}

fn to_value(object: &impl serde::Serialize) -> Value {
    // Maps with string keys and plain members can always be converted to JSON.
    serde_json::to_value(object).unwrap_or_default()
}
