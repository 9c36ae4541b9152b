//! Operations on a claim shard and their replies.

use std::sync::Arc;

use tc_protocol::{ClaimVerdict, RecordedOutcome, wire::MAX_OBJECT_BYTES};

use super::model::{Entry, EntryState, KeyDigest};

/// Identifies an operation within its shard. Later operations have higher tickets.
pub type Ticket = u64;

/// An operation on one key of the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Claims the key unless it is already claimed.
    Claim {
        /// The key.
        key: KeyDigest,
        /// Hash of the request's body.
        body_hash: u64,
        /// Unique ID of the claim.
        claim_id: Arc<str>,
    },
    /// Records the outcome of a claim made by this instance.
    Record {
        /// The key.
        key: KeyDigest,
        /// The claim.
        claim_id: Arc<str>,
        /// The outcome.
        outcome: Arc<RecordedOutcome>,
    },
    /// Releases a claim made by this instance that was not acted on.
    Release {
        /// The key.
        key: KeyDigest,
        /// The claim.
        claim_id: Arc<str>,
    },
    /// Looks up the state of the key.
    Lookup {
        /// The key.
        key: KeyDigest,
    },
}

impl Op {
    pub(super) const fn key(&self) -> KeyDigest {
        match self {
            Self::Claim { key, .. }
            | Self::Record { key, .. }
            | Self::Release { key, .. }
            | Self::Lookup { key } => *key,
        }
    }

    /// Whether the operation may be dropped if its caller no longer waits.
    pub(super) const fn may_be_dropped(&self) -> bool {
        matches!(self, Self::Claim { .. } | Self::Lookup { .. })
    }
}

/// Reply to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Reply to [`Op::Claim`].
    Claim(ClaimVerdict),
    /// Reply to [`Op::Record`].
    Record(RecordResult),
    /// Reply to [`Op::Release`].
    Released,
    /// Reply to [`Op::Lookup`]: recorded, held, or `Unavailable` if the key is not claimed or no
    /// longer claimed.
    Lookup(ClaimVerdict),
}

/// Result of recording an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordResult {
    /// The outcome is recorded.
    Recorded,
    /// The claim is held by another instance, has expired, or has a different outcome.
    NotHolder,
    /// The shard has no space left.
    Full,
}

/// Limits on the size of a shard's objects.
#[derive(Clone, Copy, Debug)]
pub struct ShardLimits {
    /// Size of the head's entries in bytes from which they are sealed before more are added.
    pub seal_bytes: usize,
    /// Maximum size in bytes of the entries added by one commit.
    pub batch_bytes: usize,
    /// Maximum number of operations per commit.
    pub max_batch: usize,
    /// Maximum number of segments listed in the head.
    pub max_segments: usize,
}

impl Default for ShardLimits {
    fn default() -> Self {
        Self {
            seal_bytes: 64 * 1024,
            batch_bytes: 256 * 1024,
            max_batch: 256,
            max_segments: 4_000,
        }
    }
}

impl ShardLimits {
    /// Size of the head's entries in bytes beyond which a full shard refuses outcomes as well.
    pub(super) const fn max_head_bytes(&self) -> usize {
        MAX_OBJECT_BYTES / 2 - self.batch_bytes
    }
}

/// The newest entry of a key.
pub(super) enum Found<'a> {
    None,
    Entry(&'a Entry),
    /// A recorded outcome in this segment, which must be read first.
    InSegment(Arc<str>),
}

/// How to proceed with an operation.
pub(super) enum Decision {
    /// A reply that is valid whether or not the batch is written, unless the batch changed the key.
    Answer(Reply),
    /// A reply that is valid once the entry is written; `None` removes the entry.
    Change(Option<Entry>, Reply),
    /// The head must be read again first, because an old one may miss a release or an outcome.
    StaleHead,
    /// This segment must be read first.
    ReadSegment(Arc<str>),
}

impl Op {
    /// Decides how to proceed with the operation, given the newest entry of its key. `fresh` means
    /// that the entry was in force after the operation was submitted; `sealed` that a segment
    /// contains the key.
    pub(super) fn decide(&self, found: &Found<'_>, fresh: bool, sealed: bool) -> Decision {
        let entry = match found {
            Found::InSegment(name) if !matches!(self, Self::Release { .. }) => {
                return Decision::ReadSegment(name.clone());
            }
            Found::None | Found::InSegment(_) => None,
            Found::Entry(entry) => Some(*entry),
        };
        let live = entry.filter(|e| e.state != EntryState::Released);
        match self {
            Self::Claim {
                body_hash,
                claim_id,
                ..
            } => decide_claim(live, *body_hash, claim_id, fresh),
            Self::Lookup { .. } => decide_lookup(live, fresh),
            Self::Release { claim_id, .. } => decide_release(live, claim_id, sealed),
            Self::Record {
                claim_id, outcome, ..
            } => decide_record(entry, claim_id, outcome, fresh),
        }
    }
}

fn decide_claim(
    live: Option<&Entry>,
    body_hash: u64,
    claim_id: &Arc<str>,
    fresh: bool,
) -> Decision {
    let Some(entry) = live else {
        let entry = Entry {
            body_hash,
            claim_id: claim_id.clone(),
            state: EntryState::Held,
        };
        return Decision::Change(Some(entry), Reply::Claim(acquired(claim_id)));
    };
    if entry.claim_id == *claim_id {
        return Decision::Answer(Reply::Claim(acquired(claim_id)));
    }
    let verdict = match &entry.state {
        EntryState::Recorded(outcome) if entry.body_hash == body_hash => {
            ClaimVerdict::Recorded(outcome.as_ref().clone())
        }
        _ if !fresh => return Decision::StaleHead,
        _ if entry.body_hash != body_hash => ClaimVerdict::BodyMismatch,
        _ => ClaimVerdict::Held,
    };
    Decision::Answer(Reply::Claim(verdict))
}

fn acquired(claim_id: &Arc<str>) -> ClaimVerdict {
    ClaimVerdict::Acquired {
        claim_id: claim_id.to_string(),
    }
}

fn decide_lookup(live: Option<&Entry>, fresh: bool) -> Decision {
    let verdict = match live.map(|e| &e.state) {
        Some(EntryState::Recorded(outcome)) => ClaimVerdict::Recorded(outcome.as_ref().clone()),
        _ if !fresh => return Decision::StaleHead,
        Some(_) => ClaimVerdict::Held,
        None => ClaimVerdict::Unavailable,
    };
    Decision::Answer(Reply::Lookup(verdict))
}

fn decide_release(live: Option<&Entry>, claim_id: &Arc<str>, sealed: bool) -> Decision {
    match live {
        Some(e) if e.claim_id == *claim_id && e.state == EntryState::Held => {
            let tombstone = sealed.then(|| Entry {
                state: EntryState::Released,
                ..e.clone()
            });
            Decision::Change(tombstone, Reply::Released)
        }
        _ => Decision::Answer(Reply::Released),
    }
}

fn decide_record(
    entry: Option<&Entry>,
    claim_id: &Arc<str>,
    outcome: &Arc<RecordedOutcome>,
    fresh: bool,
) -> Decision {
    let own_entry = entry.filter(|e| e.claim_id == *claim_id);
    let record_result = match own_entry.map(|e| (e, &e.state)) {
        Some((entry, EntryState::Held)) => {
            let recorded = Entry {
                state: EntryState::Recorded(outcome.clone()),
                ..entry.clone()
            };
            return Decision::Change(Some(recorded), Reply::Record(RecordResult::Recorded));
        }
        Some((_, EntryState::Recorded(known))) if known == outcome => RecordResult::Recorded,
        _ if !fresh => return Decision::StaleHead,
        _ => RecordResult::NotHolder,
    };
    Decision::Answer(Reply::Record(record_result))
}
