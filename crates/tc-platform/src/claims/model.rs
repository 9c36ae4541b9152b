//! Stored claim objects: one head per shard, and the sealed segments listed in it.

use std::{collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tc_protocol::{ClaimKey, RecordedOutcome};

/// Maximum size of an outcome recorded with its body, in bytes of JSON.
pub const MAX_OUTCOME_BYTES: usize = 4 * 1024;
/// Maximum length of a recorded content type in bytes.
const MAX_CONTENT_TYPE_BYTES: usize = 256;

/// First half of the SHA-256 of a claim key.
///
/// Entries are looked up by it, so keys of any length take the same space. The hash is
/// cryptographic because callers choose the keys: with a weaker one, a workspace could craft a key
/// that matches another workspace's outcome.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Returns the digest of a key.
    ///
    /// ```
    /// use tc_platform::claim_shard::KeyDigest;
    /// use tc_protocol::ClaimKey;
    /// let key = |key: &str| ClaimKey {
    ///     workspace: "lintas".into(),
    ///     target: "pipeline/notice".into(),
    ///     key: key.into(),
    /// };
    /// assert_eq!(KeyDigest::of(&key("a")), KeyDigest::of(&key("a")));
    /// assert_ne!(KeyDigest::of(&key("a")), KeyDigest::of(&key("b")));
    /// ```
    #[must_use]
    pub fn of(key: &ClaimKey) -> Self {
        let mut hash = Sha256::new();
        for part in [key.workspace.as_str(), &key.target, &key.key] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let half = digest.first_chunk().copied().unwrap_or_default();
        Self(u128::from_be_bytes(half))
    }

    /// Returns the shard that holds the key, out of `shards`.
    #[must_use]
    pub fn shard(self, shards: u32) -> u32 {
        (self.0 % u128::from(shards.max(1))) as u32
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        format!("{:032x}", digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EntryState {
    /// Claimed, without an outcome so far.
    Held,
    /// The run ended with this outcome.
    Recorded(Arc<RecordedOutcome>),
    /// Released without having been acted on, so the key is free again. Written only if a sealed
    /// segment still contains the claim; otherwise the entry is removed.
    Released,
}

/// A claim. The newest entry of a key takes precedence: first the head's, then those of the
/// segments from last to first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// Hash of the request's body.
    #[serde(rename = "body")]
    pub(crate) body_hash: u64,
    /// Unique ID of the claim.
    #[serde(rename = "claim")]
    pub(crate) claim_id: Arc<str>,
    pub(crate) state: EntryState,
}

pub(crate) type Entries = BTreeMap<KeyDigest, Entry>;

/// Head object of a shard, the only one that changes. Its version fences all claims of the shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Claims that are not sealed yet.
    pub(crate) entries: Entries,
    /// Names of the sealed segments, oldest first.
    pub(crate) segments: Vec<Arc<str>>,
    /// Segment names removed by the last pruning, in case its writer died before it deleted the
    /// segments.
    pub(crate) retired: Vec<Arc<str>>,
}

/// Sealed segment of older claims, never changed after it is created. Its name ends in the version
/// of the head that the entries come from, so every instance that seals that version writes the
/// same content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Segment {
    pub(crate) entries: Entries,
}

/// Removes the body of an outcome that is too large to be recorded.
pub(crate) fn truncate_outcome(mut outcome: RecordedOutcome) -> RecordedOutcome {
    if outcome.content_type.len() > MAX_CONTENT_TYPE_BYTES {
        outcome.content_type.clear();
        outcome.body = None;
    }
    if json_len(&outcome) > MAX_OUTCOME_BYTES {
        outcome.body = None;
    }
    outcome
}

/// Returns the length of a value's JSON form in bytes.
pub(crate) fn json_len(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}
