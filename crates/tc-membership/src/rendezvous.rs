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

/// Returns the alive members. If there are none, returns the isolated ones, or else the suspected
/// ones.
pub(crate) fn usable(members: &[Member]) -> Vec<&Member> {
    let states = [
        MemberState::Alive,
        MemberState::Isolated,
        MemberState::Suspect,
    ];
    let in_state = |state| members.iter().filter(move |m| m.state == state).collect();
    let by_state = states.into_iter().map(in_state);
    by_state
        .into_iter()
        .find(|members: &Vec<&Member>| !members.is_empty())
        .unwrap_or_default()
}
