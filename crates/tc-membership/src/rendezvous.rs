//! Rendezvous hashing: a stable pseudo-random order of candidates for each key.

use tc_protocol::{Member, MemberState};
use xxhash_rust::xxh3::Xxh3;

/// Returns the score of `candidate` for `key` in `role`. The highest score wins.
///
/// Each part is prefixed with its length, so that no two different triples hash the same bytes.
pub(crate) fn rendezvous_score(role: &str, key: &str, candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [role, key, candidate] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.digest()
}

/// Returns the alive members or, if there are none, the suspected ones.
pub(crate) fn usable(members: &[Member]) -> Vec<&Member> {
    let in_state = |state| members.iter().filter(move |m| m.state == state);
    let alive: Vec<_> = in_state(MemberState::Alive).collect();
    if alive.is_empty() {
        return in_state(MemberState::Suspect).collect();
    }
    alive
}
