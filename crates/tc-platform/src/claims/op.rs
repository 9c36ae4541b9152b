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
    pub(super) const fn last_room(&self) -> usize {
        MAX_OBJECT_BYTES / 2 - self.batch_bytes
    }
}

/// The newest entry of a key, wherever it is.
pub(super) enum Found<'a> {
    Nothing,
    Entry(&'a Entry),
    /// A recorded outcome that is in this segment, which must be read first.
    In(Arc<str>),
}

/// What an operation leads to.
pub(super) enum Judged {
    /// An answer that holds whatever happens to the batch, unless the batch changed the key.
    Answer(Reply),
    /// An answer that holds once the entry is written; `None` removes it.
    Change(Option<Entry>, Reply),
    /// The shard's head must be read again first: an old one may hide a release or an outcome.
    Stale,
    /// This segment must be read first.
    Read(Arc<str>),
}

impl Op {
    /// Judges the operation by the newest entry of its key. `fresh` says that the entry was in force after the
    /// operation was asked for; `sealed` that some segment holds the key.
    pub(super) fn judge(&self, found: &Found<'_>, fresh: bool, sealed: bool) -> Judged {
        let entry = match found {
            Found::In(name) if !matches!(self, Self::Release { .. }) => {
                return Judged::Read(name.clone());
            }
            Found::Nothing | Found::In(_) => None,
            Found::Entry(entry) => Some(*entry),
        };
        let live = entry.filter(|e| e.state != EntryState::Released);
        match self {
            Self::Claim {
                body_hash,
                claim_id,
                ..
            } => judge_claim(live, *body_hash, claim_id, fresh),
            Self::Lookup { .. } => judge_look(live, fresh),
            Self::Release { claim_id, .. } => judge_release(live, claim_id, sealed),
            Self::Record {
                claim_id, outcome, ..
            } => judge_record(entry, claim_id, outcome, fresh),
        }
    }
}

fn judge_claim(live: Option<&Entry>, body: u64, claim_id: &Arc<str>, fresh: bool) -> Judged {
    let Some(entry) = live else {
        let entry = Entry {
            body,
            claim: claim_id.clone(),
            state: EntryState::Held,
        };
        return Judged::Change(Some(entry), Reply::Claim(ours(claim_id)));
    };
    if entry.claim == *claim_id {
        return Judged::Answer(Reply::Claim(ours(claim_id)));
    }
    let verdict = match &entry.state {
        EntryState::Recorded(outcome) if entry.body == body => {
            ClaimVerdict::Recorded(outcome.as_ref().clone())
        }
        _ if !fresh => return Judged::Stale,
        _ if entry.body != body => ClaimVerdict::BodyMismatch,
        _ => ClaimVerdict::Held,
    };
    Judged::Answer(Reply::Claim(verdict))
}

fn ours(claim_id: &Arc<str>) -> ClaimVerdict {
    ClaimVerdict::Acquired {
        claim_id: claim_id.to_string(),
    }
}

fn judge_look(live: Option<&Entry>, fresh: bool) -> Judged {
    let verdict = match live.map(|e| &e.state) {
        Some(EntryState::Recorded(outcome)) => ClaimVerdict::Recorded(outcome.as_ref().clone()),
        _ if !fresh => return Judged::Stale,
        Some(_) => ClaimVerdict::Held,
        None => ClaimVerdict::Unavailable,
    };
    Judged::Answer(Reply::Lookup(verdict))
}

fn judge_release(live: Option<&Entry>, claim_id: &Arc<str>, sealed: bool) -> Judged {
    match live {
        Some(e) if e.claim == *claim_id && e.state == EntryState::Held => {
            let tombstone = sealed.then(|| Entry {
                state: EntryState::Released,
                ..e.clone()
            });
            Judged::Change(tombstone, Reply::Released)
        }
        _ => Judged::Answer(Reply::Released),
    }
}

fn judge_record(
    entry: Option<&Entry>,
    claim_id: &Arc<str>,
    outcome: &Arc<RecordedOutcome>,
    fresh: bool,
) -> Judged {
    let ours = entry.filter(|e| e.claim == *claim_id);
    let recording = match ours.map(|e| (e, &e.state)) {
        Some((entry, EntryState::Held)) => {
            let recorded = Entry {
                state: EntryState::Recorded(outcome.clone()),
                ..entry.clone()
            };
            return Judged::Change(Some(recorded), Reply::Record(RecordResult::Recorded));
        }
        Some((_, EntryState::Recorded(known))) if known == outcome => RecordResult::Recorded,
        _ if !fresh => return Judged::Stale,
        _ => RecordResult::NotHolder,
    };
    Judged::Answer(Reply::Record(recording))
}
