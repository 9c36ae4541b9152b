//! Shuffle sharding: the instances whose addresses are given to the callers of a workspace.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
};

use tc_protocol::{FailureDomain, Member, WorkspaceName};

use crate::rendezvous::{rendezvous_score, usable};

const INSTANCE_ROLE: &str = "shard-instance";
const DOMAIN_ROLE: &str = "shard-domain";
/// With fewer, losing one instance would leave callers without an address until their next lookup.
const MIN_SHARD_SIZE: usize = 2;

/// Returns the instances that callers of `workspace` should use, best first.
///
/// The shard has `weight * shard_size` instances, at least two if available, picked round-robin
/// across the failure domains. It contains alive members, or suspected ones if no member is alive.
/// The selection depends only on the workspace and the members, so every instance returns the same
/// set. Instances in `preferred_domain` are ordered first, then those in its region. When an
/// instance is lost, one other takes its place.
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
    preferred_domain: &FailureDomain,
) -> Vec<&'a Member> {
    let size = (weight as usize)
        .saturating_mul(shard_size as usize)
        .max(MIN_SHARD_SIZE);
    let mut shard = take_round_robin(by_domain(workspace, members), size);
    let preferred_region = members
        .iter()
        .find(|m| m.failure_domain == *preferred_domain)
        .map(|m| &m.region);
    // The sort is stable: instances at the same distance keep their order of selection.
    shard.sort_by_key(|m| {
        (
            m.failure_domain != *preferred_domain,
            Some(&m.region) != preferred_region,
        )
    });
    shard
}

/// Returns the usable members of each failure domain by score, with the domains ordered by score.
fn by_domain<'a>(workspace: &WorkspaceName, members: &'a [Member]) -> Vec<VecDeque<&'a Member>> {
    let key = workspace.as_str();
    let mut ranked = usable(members);
    ranked.sort_by_cached_key(|m| {
        (
            Reverse(rendezvous_score(INSTANCE_ROLE, key, m.id.as_str())),
            &m.id,
        )
    });
    let mut domains: BTreeMap<(Reverse<u64>, &FailureDomain), VecDeque<&Member>> = BTreeMap::new();
    for member in ranked {
        let domain = &member.failure_domain;
        let domain_order = (
            Reverse(rendezvous_score(DOMAIN_ROLE, key, domain.as_str())),
            domain,
        );
        domains.entry(domain_order).or_default().push_back(member);
    }
    domains.into_values().collect()
}

fn take_round_robin(mut domains: Vec<VecDeque<&Member>>, size: usize) -> Vec<&Member> {
    let mut shard = Vec::new();
    while shard.len() < size {
        let before = shard.len();
        let remaining = size - before;
        shard.extend(
            domains
                .iter_mut()
                .filter_map(VecDeque::pop_front)
                .take(remaining),
        );
        if shard.len() == before {
            break;
        }
    }
    shard
}
