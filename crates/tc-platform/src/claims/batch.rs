//! Planning of a commit: which queued operations are answered immediately and which by a write of
//! the head.

use std::collections::BTreeMap;

use tc_protocol::ClaimVerdict;

use super::{
    model::{Entry, Head, KeyDigest, json_len},
    op::{Decision, Found, Op, RecordResult, Reply, Ticket},
    shard::{PreparedSegment, QueuedOp, Shard, Step},
};
use crate::Versioned;

/// Size of an entry's key and punctuation in the head's JSON form, in bytes.
const KEY_BYTES: usize = 40;

/// Operations decided together on one version of the head.
#[derive(Default)]
pub(super) struct Batch {
    /// Replies that are already valid.
    pub(super) answered: Vec<(Ticket, Reply)>,
    /// Replies that are valid once the batch is written.
    pub(super) pending: Vec<(Ticket, Reply)>,
    /// Entries by key after the batch; `None` removes the entry.
    changes: BTreeMap<KeyDigest, Option<Entry>>,
    bytes: usize,
    /// Number of operations decided, from the front of the queue.
    pub(super) decided: usize,
    /// Whether the shard has no space for another segment.
    full: bool,
    /// Number of segments removed by the write.
    pub(super) expired: usize,
    /// The head after the write.
    pub(super) new_head: Head,
}

impl Batch {
    /// Decides the queued operations from the front until a limit is reached. Fails with the step
    /// that is needed first, if any.
    pub(super) fn plan(shard: &Shard, head: &Versioned<Head>, full: bool) -> Result<Self, Step> {
        let mut batch = Self {
            full,
            ..Self::default()
        };
        for queued in shard.queue.iter().take(shard.limits.max_batch) {
            if batch.bytes >= shard.limits.batch_bytes {
                break;
            }
            batch.plan_op(shard, head, queued)?;
            batch.decided += 1;
        }
        Ok(batch)
    }

    fn plan_op(
        &mut self,
        shard: &Shard,
        head: &Versioned<Head>,
        queued: &QueuedOp,
    ) -> Result<(), Step> {
        let key = queued.op.key();
        let fresh = queued.ticket < shard.fresh_below || self.changes.contains_key(&key);
        let listed = &head.value.segments;
        let in_segments = shard.sealed.find(listed, key);
        let sealed = !matches!(in_segments, Found::None)
            || (shard.prepared_segment.is_some() && head.value.entries.contains_key(&key));
        let found = match (self.changes.get(&key), head.value.entries.get(&key)) {
            (Some(Some(entry)), _) | (None, Some(entry)) => Found::Entry(entry),
            (Some(None), _) => Found::None,
            (None, None) => in_segments,
        };
        let decision = queued.op.decide(&found, fresh, sealed);
        self.apply_decision(shard, queued, decision)
    }

    fn apply_decision(
        &mut self,
        shard: &Shard,
        queued: &QueuedOp,
        decision: Decision,
    ) -> Result<(), Step> {
        let (ticket, key) = (queued.ticket, queued.op.key());
        match decision {
            Decision::StaleHead => return Err(Step::ReadHead),
            Decision::ReadSegment(name) => return Err(Step::ReadSegment(name)),
            Decision::Answer(reply) if self.changes.contains_key(&key) => {
                self.pending.push((ticket, reply));
            }
            Decision::Answer(reply) => self.answered.push((ticket, reply)),
            Decision::Change(entry, reply) => {
                // An operation that may already have been written is not refused for lack of space.
                // A write must determine its result first.
                let may_refuse = queued.maybe_written_on.is_none() && self.full;
                let refusal = may_refuse.then(|| refusal_if_full(shard, &queued.op));
                if let Some(refusal) = refusal.flatten() {
                    self.answered.push((ticket, refusal));
                    return Ok(());
                }
                self.bytes += entry.as_ref().map_or(0, |e| json_len(e) + KEY_BYTES);
                self.changes.insert(key, entry);
                self.pending.push((ticket, reply));
            }
        }
        Ok(())
    }

    /// Returns the head after this batch, without its first `expired` segments.
    pub(super) fn head(
        &self,
        old: &Versioned<Head>,
        prepared_segment: Option<&PreparedSegment>,
        expired: usize,
    ) -> Head {
        let mut new = old.value.clone();
        if let Some(prepared_segment) = prepared_segment {
            new.entries.clear();
            new.segments.push(prepared_segment.name.clone());
        }
        if expired > 0 {
            new.retired = new.segments.drain(..expired).collect();
        }
        for (key, change) in &self.changes {
            match change {
                Some(entry) => new.entries.insert(*key, entry.clone()),
                None => new.entries.remove(key),
            };
        }
        new
    }
}

/// Returns the refusal if the full shard has no space for the operation.
fn refusal_if_full(shard: &Shard, op: &Op) -> Option<Reply> {
    match op {
        Op::Claim { .. } => {
            log::error!(
                "claim shard {} is full: raise the number of shards or lower the retention",
                shard.index
            );
            Some(Reply::Claim(ClaimVerdict::Unavailable))
        }
        Op::Record { .. } if shard.head_bytes >= shard.limits.max_head_bytes() => {
            Some(Reply::Record(RecordResult::Full))
        }
        _ => None,
    }
}
