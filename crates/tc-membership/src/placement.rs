//! Placement of roles on instances by rendezvous hashing. No election is needed, and losing an
//! instance moves only the roles it held.

use std::collections::BTreeMap;

use tc_protocol::{FailureDomain, InstanceId, Member, MemberState, Region};

use crate::{
    rendezvous::{rendezvous_score, usable},
    stream_origins::spread_over_domains,
};

/// Members with less than `1 / WEAK_DIVISOR` of the greatest strength are weak: a home that moved
/// there would take four times as long for each call.
const WEAK_DIVISOR: u32 = 4;
const HOME_ROLE: &str = "home";
const WATCHER_ROLE: &str = "watcher";

/// Returns the instance that holds the role named by `key`, or `None` if no instance is usable.
///
/// Candidates are the alive members of the failure domain, else those of the region, else all.
/// Isolated members are candidates only while no member at all is alive, and suspected ones only
/// while none is isolated either. Leaving and dead members never are.
///
/// ```
/// use tc_membership::home_of;
/// assert!(home_of("upstream/e1", &[], None, None).is_none());
/// ```
#[must_use]
pub fn home_of<'a>(
    key: &str,
    members: &'a [Member],
    failure_domain: Option<&FailureDomain>,
    region: Option<&Region>,
) -> Option<&'a Member> {
    let usable = usable(members);
    let in_domain = || {
        highest_scored(key, usable.iter().copied(), |m| {
            Some(&m.failure_domain) == failure_domain
        })
    };
    let in_region = || highest_scored(key, usable.iter().copied(), |m| Some(&m.region) == region);
    in_domain()
        .or_else(in_region)
        .or_else(|| highest_scored(key, usable.iter().copied(), |_| true))
}

/// Places a role for each of `keys` so that no instance holds more of them than its part of the fleet's strength.
///
/// Hashing each key by itself would place all of four roles on one of eight instances once in 512 fleets, and two of them
/// on one instance in most. The first of `n` keys are placed as if there were no others, so keys with more work go first.
/// Every instance that knows the same members and keys computes the same homes. A lost instance moves its own roles, and
/// those that have to make place for them.
///
/// ```
/// use tc_membership::spread_homes;
/// assert!(spread_homes(["generate", "embed"], &[]).is_empty());
/// ```
#[must_use]
pub fn spread_homes<'a, 'k>(
    keys: impl IntoIterator<Item = &'k str>,
    members: &'a [Member],
) -> BTreeMap<&'k str, &'a Member> {
    let mut candidates = usable(members);
    let min_strength = min_strength(&candidates);
    candidates.retain(|member| member.strength >= min_strength);
    let total: f64 = candidates.iter().map(|member| relative(member)).sum();
    let mut roles: BTreeMap<&InstanceId, f64> = BTreeMap::new();
    let mut homes = BTreeMap::new();
    for (placed, key) in keys.into_iter().enumerate() {
        let has_place = |member: &&&Member| {
            let part = (placed + 1) as f64 * relative(member) / total;
            roles.get(&member.id).copied().unwrap_or_default() < part.ceil()
        };
        let best = candidates.iter().filter(has_place).max_by(|a, b| {
            let (score_a, score_b) = (weighted_score(key, a), weighted_score(key, b));
            score_a.total_cmp(&score_b).then_with(|| a.id.cmp(&b.id))
        });
        if let Some(home) = best {
            *roles.entry(&home.id).or_default() += 1.0;
            homes.insert(key, *home);
        }
    }
    homes
}

fn relative(member: &Member) -> f64 {
    f64::from(member.strength.max(1))
}

/// Returns the home of `key` and the instances that keep a copy of what it knows: those that would be the home next,
/// `copies` at most, in as many failure domains as possible.
///
/// Isolated members keep copies, so that what a home knows stays reachable while isolation moves the home.
///
/// ```
/// use tc_membership::home_and_copies;
/// assert!(home_and_copies("suspects/generate", &[], 2).is_empty());
/// ```
#[must_use]
pub fn home_and_copies<'a>(key: &str, members: &'a [Member], copies: usize) -> Vec<&'a Member> {
    let home = home_of(key, members, None, None);
    let states = [MemberState::Alive, MemberState::Isolated];
    let mut ranked: Vec<&Member> = members
        .iter()
        .filter(|m| states.contains(&m.state) && home.is_none_or(|home| home.id != m.id))
        .collect();
    let min_strength = min_strength(&ranked);
    ranked.retain(|member| member.strength >= min_strength);
    ranked.sort_by(|a, b| {
        let (score_a, score_b) = (weighted_score(key, a), weighted_score(key, b));
        score_b.total_cmp(&score_a).then_with(|| b.id.cmp(&a.id))
    });
    let copies = spread_over_domains(ranked, copies);
    home.into_iter().chain(copies).collect()
}

fn highest_scored<'a>(
    key: &str,
    members: impl Iterator<Item = &'a Member>,
    is_candidate: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    let candidates: Vec<&Member> = members.filter(|m| is_candidate(m)).collect();
    let min_strength = min_strength(&candidates);
    let strong = candidates
        .into_iter()
        .filter(|m| m.strength >= min_strength);
    strong.max_by(|a, b| {
        let (score_a, score_b) = (weighted_score(key, a), weighted_score(key, b));
        score_a.total_cmp(&score_b).then_with(|| a.id.cmp(&b.id))
    })
}

/// Returns the strength below which members hold no role while stronger ones exist.
///
/// Weighting alone does not keep roles off weak members: 277 of 295 instances may be weak, and
/// together they then hold one home in thirty. Such a home has an eighth of a core and a 20 Mbit/s
/// link for 3,000 pieces per second. It never catches up, its callers' connections time out and are
/// re-established, and every request of its service waits until the next restart.
pub(crate) fn min_strength(members: &[&Member]) -> u32 {
    let strongest = members.iter().map(|member| member.strength).max();
    strongest.unwrap_or_default() / WEAK_DIVISOR
}

/// Weighted rendezvous score of a member for a key. The probability of having the highest score is
/// proportional to the member's strength.
///
/// Instances differ by a factor of five in CPU and a hundred in network bandwidth. A home on the
/// weakest would delay every call of its service: 250 to 590 ms on an eighth of a core behind 10
/// Mbit/s.
pub(crate) fn weighted_score(key: &str, member: &Member) -> f64 {
    // Uniformly distributed between 0 and 1, both exclusive.
    let uniform = (rendezvous_score(HOME_ROLE, key, member.id.as_str()) as f64 + 1.0)
        / (u64::MAX as f64 + 2.0);
    relative(member) / -uniform.min(1.0 - f64::EPSILON).ln()
}

/// Returns the `count` instances of a failure domain that watch the platform for new
/// configurations, highest score first.
///
/// ```
/// use tc_membership::config_watchers;
/// assert!(config_watchers(&[], &"kl-a".into(), 2).is_empty());
/// ```
#[must_use]
pub fn config_watchers<'a>(
    members: &'a [Member],
    domain: &FailureDomain,
    count: usize,
) -> Vec<&'a Member> {
    let mut ranked = usable(members);
    ranked.retain(|m| m.failure_domain == *domain);
    ranked.sort_by_key(|m| {
        (
            std::cmp::Reverse(rendezvous_score(
                WATCHER_ROLE,
                domain.as_str(),
                m.id.as_str(),
            )),
            &m.id,
        )
    });
    ranked.truncate(count);
    ranked
}
