//! Placement of roles on instances by rendezvous hashing: no election, and only the roles of an instance that goes
//! are moved.

use tc_protocol::{FailureDomain, Member, Region};

use crate::rank::{rank, usable};

/// What is less than this part of the strongest is weak: a home that moves there would take four times as long for each call.
const WEAK_PART: u32 = 4;
const HOME_ROLE: &str = "home";
const WATCHER_ROLE: &str = "watcher";

/// The instance that holds the role named by `key`, or `None` when no instance is usable.
///
/// Candidates are the alive members of the failure domain; when it has none, those of the region; when that has none,
/// all. Suspected members are candidates only while no member at all is alive; leaving and dead ones never are.
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
        best(key, usable.iter().copied(), |m| {
            Some(&m.failure_domain) == failure_domain
        })
    };
    let in_region = || best(key, usable.iter().copied(), |m| Some(&m.region) == region);
    in_domain()
        .or_else(in_region)
        .or_else(|| best(key, usable.iter().copied(), |_| true))
}

fn best<'a>(
    key: &str,
    members: impl Iterator<Item = &'a Member>,
    admits: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    let admitted: Vec<&Member> = members.filter(|m| admits(m)).collect();
    let weak_below = weak_below(&admitted);
    let strong = admitted.into_iter().filter(|m| m.strength >= weak_below);
    strong.max_by(|a, b| {
        let (of_a, of_b) = (weighted(key, a), weighted(key, b));
        of_a.total_cmp(&of_b).then_with(|| a.id.cmp(&b.id))
    })
}

/// Members of less strength hold no role while there are stronger ones.
///
/// Weighing alone does not keep roles off them: of 295 instances 277 may be weak, and together they then hold one home in
/// thirty. Such a home has an eighth of a core and a link of 20 Mbit/s for 3,000 pieces a second. It never catches up, its
/// callers' connections time out and are made anew, and every request of its service waits until the next restart.
pub(crate) fn weak_below(members: &[&Member]) -> u32 {
    let strongest = members.iter().map(|member| member.strength).max();
    strongest.unwrap_or_default() / WEAK_PART
}

/// Score of a member for a key: in proportion to their strength, members have the highest one.
///
/// Instances differ by five times in processor and a hundred times in network. A home on the weakest would delay every
/// call of its service: 250 to 590 ms were seen on an eighth of a core behind 10 Mbit/s.
pub(crate) fn weighted(key: &str, member: &Member) -> f64 {
    // Evenly between 0 and 1, neither included.
    let even = (rank(HOME_ROLE, key, member.id.as_str()) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(member.strength.max(1)) / -even.min(1.0 - f64::EPSILON).ln()
}

/// The `count` instances of a failure domain that watch the platform for a new configuration, best rank first.
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
            std::cmp::Reverse(rank(WATCHER_ROLE, domain.as_str(), m.id.as_str())),
            &m.id,
        )
    });
    ranked.truncate(count);
    ranked
}
