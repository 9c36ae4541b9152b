//! What is asked of a claim shard, and the answers.

use std::sync::Arc;

use tc_protocol::{ClaimVerdict, RecordedOutcome, wire::MAX_OBJECT_BYTES};

use super::model::{Entry, EntryState, KeyDigest};

/// Names an operation within its shard; later ones are higher.
pub type Ticket = u64;

/// One operation on a key of the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Claim the key unless it is claimed.
    Claim {
        /// The key.
        key: KeyDigest,
        /// Hash of the request's body.
        body_hash: u64,
        /// Used for no other claim, ever.
        claim_id: Arc<str>,
    },
    /// Record the outcome of a claim of ours.
    Record {
        /// The key.
        key: KeyDigest,
        /// The claim.
        claim_id: Arc<str>,
        /// The outcome.
        outcome: Arc<RecordedOutcome>,
    },
    /// Give up a claim of ours that was not acted on.
    Release {
        /// The key.
        key: KeyDigest,
        /// The claim.
        claim_id: Arc<str>,
    },
    /// Look what is known of the key.
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

    /// Whether it need not be carried out once nobody waits for its answer.
    pub(super) const fn may_be_dropped(&self) -> bool {
        matches!(self, Self::Claim { .. } | Self::Lookup { .. })
    }
}

/// The answer to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To [`Op::Claim`].
    Claim(ClaimVerdict),
    /// To [`Op::Record`].
    Record(RecordResult),
    /// To [`Op::Release`].
    Released,
    /// To [`Op::Lookup`]: recorded, held, or `Unavailable` when the key is not claimed (any more).
    Lookup(ClaimVerdict),
}

/// What became of recording an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordResult {
    /// It is recorded.
    Recorded,
    /// The claim is not ours, has expired, or another outcome was recorded for it.
    NotHolder,
    /// The shard has no room left.
    Full,
}

/// Sizes that bound a shard's objects.
#[derive(Clone, Copy, Debug)]
pub struct ShardLimits {
    /// Size of the head's entries from which they are sealed before more are added, in bytes.
    pub seal_bytes: usize,
    /// Most bytes of entries one commit adds.
    pub batch_bytes: usize,
    /// Most operations one commit takes.
    pub max_batch: usize,
    /// Most segments the head lists.
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
    /// Size of the head's entries beyond which even a full shard takes no outcomes.
    pub(super) const fn max_head_bytes(&self) -> usize {
        MAX_OBJECT_BYTES / 2 - self.batch_bytes
    }
}

/// The newest entry of a key, wherever it is.
pub(super) enum Found<'a> {
    None,
    Entry(&'a Entry),
    /// A recorded outcome that is in this segment, which must be read first.
    InSegment(Arc<str>),
}

/// What an operation leads to.
pub(super) enum Decision {
    /// An answer that holds whatever happens to the batch, unless the batch changed the key.
    Answer(Reply),
    /// An answer that holds once the entry is written; `None` removes it.
    Change(Option<Entry>, Reply),
    /// The shard's head must be read again first: an old one may hide a release or an outcome.
    StaleHead,
    /// This segment must be read first.
    ReadSegment(Arc<str>),
}

impl Op {
    /// Judges the operation by the newest entry of its key. `fresh` says that the entry was in force after the
    /// operation was asked for; `sealed` that some segment holds the key.
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
        return Decision::Change(Some(entry), Reply::Claim(ours(claim_id)));
    };
    if entry.claim_id == *claim_id {
        return Decision::Answer(Reply::Claim(ours(claim_id)));
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

fn ours(claim_id: &Arc<str>) -> ClaimVerdict {
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
    let ours = entry.filter(|e| e.claim_id == *claim_id);
    let record_result = match ours.map(|e| (e, &e.state)) {
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
