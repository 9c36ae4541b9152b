//! Selection of the instances that watch the store, and of the relays between them and the others.
//!
//! Every change costs one store call per watching instance. If each instance had its own watch, a
//! change would cost as many calls as there are instances, and each would read a list of hundreds
//! of upstreams page by page: most of what a fleet of hundreds spends on the store. Instead, a few
//! instances watch and relay changes. The others watch only while no source keeps them up to date.

use std::collections::HashMap;

use tc_protocol::{FailureDomain, Member};

use crate::{
    placement::{min_strength, weighted_score},
    rendezvous::usable,
};

/// Number of instances that watch the store. With four, at least one remains to relay changes in 99
/// of 100 cases where a third of the fleet is partitioned or restarting.
pub(crate) const WATCHER_COUNT: usize = 4;
/// Number of instances that a source relays the store to, as far as there are enough strong
/// instances. A list of 10,000 upstreams then takes a source of 1 Gbit/s a quarter of a second.
const MAX_FOLLOWERS: usize = 32;
const WATCHER_ROLE: &str = "watcher of the store";

/// Returns the instances that watch the store, best first: strong ones, spread over as many failure
/// domains as possible. Weak ones are used only if there are too few others, because sending a list
/// of hundreds of upstreams to dozens of followers takes seconds on a slow link.
///
/// ```
/// use tc_membership::store_watchers;
/// assert!(store_watchers(&[]).is_empty());
/// ```
#[must_use]
pub fn store_watchers(members: &[Member]) -> Vec<&Member> {
    StoreSources::new(members).watchers
}

/// The instances that others follow for the state of the store.
///
/// The watchers read the store. If they would have more than [`MAX_FOLLOWERS`] followers each,
/// relays follow the watchers, and the other instances follow the relays. A change then reaches all
/// instances in two hops, and what each source sends does not grow with the fleet while the number
/// of relays is at most [`WATCHER_COUNT`] × [`MAX_FOLLOWERS`], which serves 4,096 instances.
///
/// ```
/// use tc_membership::StoreSources;
/// assert!(StoreSources::new(&[]).relays.is_empty());
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSources<'a> {
    /// Instances that watch the store, best first.
    pub watchers: Vec<&'a Member>,
    /// Instances that follow the watchers and are followed by the rest, best first. Empty in a
    /// fleet that the watchers can serve alone.
    pub relays: Vec<&'a Member>,
    /// Relays in a fleet of twice the size. They keep the followers they have, so that a fleet that
    /// shrinks does not reconnect.
    pub(crate) former_relays: Vec<&'a Member>,
}

impl<'a> StoreSources<'a> {
    /// Selects the sources among the members.
    #[must_use]
    pub fn new(members: &'a [Member]) -> Self {
        let usable = usable(members);
        let count = relay_count(usable.len());
        let min_strength = min_strength(&usable);
        let (strong, weak): (Vec<&Member>, Vec<&Member>) = usable
            .into_iter()
            .partition(|member| member.strength >= min_strength);
        let mut watchers = ranked(strong);
        let mut relays = watchers.split_off(WATCHER_COUNT.min(watchers.len()));
        if watchers.len() < WATCHER_COUNT {
            watchers.extend(ranked(weak));
            watchers.truncate(WATCHER_COUNT);
        }
        let mut former_relays = relays.split_off(count.min(relays.len()));
        former_relays.truncate(count);
        Self {
            watchers,
            relays,
            former_relays,
        }
    }

    /// Returns the number of followers that a source accepts: twice its share, so that followers of
    /// lost sources are accepted, while an instance that many take for a source as they start is
    /// not held up by sending the whole list to all of them.
    #[must_use]
    pub fn max_followers(&self, members: usize) -> usize {
        let sources = if self.relays.is_empty() {
            self.watchers.len()
        } else {
            self.relays.len()
        };
        2 * members.div_ceil(sources.max(1)).max(MAX_FOLLOWERS)
    }
}

/// Returns the number of relays in a fleet of this many instances. It is a power of two, so that it
/// does not follow each change of the fleet.
fn relay_count(members: usize) -> usize {
    if members <= WATCHER_COUNT * (MAX_FOLLOWERS + 1) {
        return 0;
    }
    members.div_ceil(MAX_FOLLOWERS).next_power_of_two()
}

/// Orders members by their score, taking the best of each failure domain first, then the second
/// best of each.
fn ranked(members: Vec<&Member>) -> Vec<&Member> {
    let mut scored: Vec<(f64, &Member)> = members
        .into_iter()
        .map(|member| (weighted_score(WATCHER_ROLE, member), member))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    let mut taken_by_domain: HashMap<&FailureDomain, usize> = HashMap::new();
    let mut by_position: Vec<(usize, &Member)> = scored
        .into_iter()
        .map(|(_, member)| {
            let position = taken_by_domain.entry(&member.failure_domain).or_default();
            *position += 1;
            (*position, member)
        })
        .collect();
    // The sort is stable.
    by_position.sort_by_key(|(position, _)| *position);
    by_position.into_iter().map(|(_, member)| member).collect()
}
