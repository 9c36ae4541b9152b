//! Rendezvous hashing: all instances with the same list of nodes map a key to the same node without coordination.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the score of `node` for `key`, which is the same on every instance and in every build.
///
/// ```
/// use tc_policy::rendezvous_score;
/// assert_eq!(rendezvous_score("k", "a"), rendezvous_score("k", "a"));
/// assert_ne!(rendezvous_score("k", "a"), rendezvous_score("k", "b"));
/// ```
#[must_use]
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    hashed_score(xxh3_64(key.as_bytes()), node)
}

/// Returns the [`rendezvous_score`] for a key that is already hashed.
pub(crate) fn hashed_score(key: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), key)
}

/// Returns the node with the highest score for `key`, or `None` without nodes. Ties go to the greater name.
///
/// Removing a node moves only the keys that were assigned to it.
///
/// ```
/// use tc_policy::rendezvous;
/// let all = ["a", "b", "c"];
/// let first = rendezvous("k", &all, |n| n).unwrap();
/// let rest: Vec<&str> = all.iter().copied().filter(|n| n != first).collect();
/// assert_ne!(rendezvous("k", &rest, |n| n).unwrap(), first);
/// ```
pub fn rendezvous<'a, N>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a N>,
    name: impl Fn(&N) -> &str,
) -> Option<&'a N> {
    let key = xxh3_64(key.as_bytes());
    nodes.into_iter().max_by(|a, b| {
        let (a, b) = (name(a), name(b));
        hashed_score(key, a)
            .cmp(&hashed_score(key, b))
            .then_with(|| a.cmp(b))
    })
}
