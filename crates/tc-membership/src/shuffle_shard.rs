//! The addresses a workspace's callers are told: a shuffle shard of the instances.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
};

use tc_protocol::{FailureDomain, Member, WorkspaceName};

use crate::rank::{rank, usable};

const INSTANCE_ROLE: &str = "shard-instance";
const DOMAIN_ROLE: &str = "shard-domain";
/// With fewer, the loss of one instance would leave callers without an address until they ask again.
const MIN_SHARD: usize = 2;

/// Instances that callers of `workspace` should use, best first.
///
/// The shard has `weight * shard_size` instances, at least two where there are two, taken in turn from the failure
/// domains. It holds alive members, or suspected ones when no member is alive. Which instances are in it depends only
/// on the workspace and the members, so every instance answers the same; the order puts those in the failure domain
/// `near` first, then those in its region. When an instance goes, one other takes its place.
///
/// ```
/// use tc_membership::shuffle_shard;
/// assert!(shuffle_shard(&"lintas".into(), 1, 3, &[], &"kl-a".into()).is_empty());
/// ```
#[must_use]
pub fn shuffle_shard<'a>(
    workspace: &WorkspaceName,
    weight: u32,
    shard_size: u32,
    members: &'a [Member],
    near: &FailureDomain,
) -> Vec<&'a Member> {
    let size = (weight as usize)
        .saturating_mul(shard_size as usize)
        .max(MIN_SHARD);
    let mut shard = take_in_turn(by_domain(workspace, members), size);
    let near_region = members
        .iter()
        .find(|m| m.failure_domain == *near)
        .map(|m| &m.region);
    // The sort is stable: instances at the same distance keep the order in which they were taken.
    shard.sort_by_key(|m| (m.failure_domain != *near, Some(&m.region) != near_region));
    shard
}

/// Usable members of each failure domain by rank, the domains themselves by rank.
fn by_domain<'a>(workspace: &WorkspaceName, members: &'a [Member]) -> Vec<VecDeque<&'a Member>> {
    let key = workspace.as_str();
    let mut ranked = usable(members);
    ranked.sort_by_cached_key(|m| (Reverse(rank(INSTANCE_ROLE, key, m.id.as_str())), &m.id));
    let mut domains: BTreeMap<(Reverse<u64>, &FailureDomain), VecDeque<&Member>> = BTreeMap::new();
    for member in ranked {
        let domain = &member.failure_domain;
        let place = (Reverse(rank(DOMAIN_ROLE, key, domain.as_str())), domain);
        domains.entry(place).or_default().push_back(member);
    }
    domains.into_values().collect()
}

fn take_in_turn(mut domains: Vec<VecDeque<&Member>>, size: usize) -> Vec<&Member> {
    let mut shard = Vec::new();
    while shard.len() < size {
        let before = shard.len();
        let room = size - before;
        shard.extend(
            domains
                .iter_mut()
                .filter_map(VecDeque::pop_front)
                .take(room),
        );
        if shard.len() == before {
            break;
        }
    }
    shard
}
