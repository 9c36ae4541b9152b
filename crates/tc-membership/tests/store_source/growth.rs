//! Growth of the costs of relaying the store with the size of the fleet.

use std::{collections::HashMap, time::Duration};

use tc_membership::{SourceTiming, StoreSource, StoreSources};
use tc_protocol::{InstanceId, MonoTime};

use crate::fleet::{BOUND, Fleet, STEP, State, id, members};

/// Greatest number of instances that a source may have to send the whole list to, at any size.
const FOLLOWERS_AT_ANY_SIZE: usize = 64;

/// Returns the greatest number of followers of any instance.
fn most_followers(instances: usize) -> usize {
    let mut fleet = Fleet::new(instances);
    let mut followers: HashMap<InstanceId, usize> = HashMap::new();
    for source in &mut fleet.sources {
        if let Some(id) = source.source(fleet.now) {
            *followers.entry(id).or_default() += 1;
        }
    }
    followers.into_values().max().unwrap_or_default()
}

/// Guards against four watchers that send each list of 10,000 upstreams to a quarter of the fleet:
/// with 1,000 instances, 245 copies of it keep a link of 1 Gbit/s busy for seconds.
#[test]
fn followers_of_a_source_do_not_grow_with_the_fleet() {
    let most = [100, 1_000, 2_000].map(most_followers);
    assert!(
        most.iter().all(|most| *most <= FOLLOWERS_AT_ANY_SIZE),
        "{most:?}"
    );
}

#[test]
fn changes_reach_a_thousand_instances_through_relays() {
    let mut fleet = Fleet::new(1_000);
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.watchers().len(), 4);
    assert!(fleet.max_age() <= STEP);
}

/// Returns how many lists of a duration each instance begins in ten times the bound.
fn lists_by_instance(list_time: Duration) -> Vec<usize> {
    let mut fleet = Fleet::new(100);
    fleet.list_time = list_time;
    fleet.run(BOUND);
    let before = fleet.lists_begun.clone();
    fleet.run(BOUND * 10);
    let begun = fleet.lists_begun.iter().zip(before);
    begun.map(|(after, before)| after - before).collect()
}

/// Guards against four watchers that all list 10,000 upstreams after each change, because the list
/// of the first is not complete when the others begin theirs.
#[test]
fn one_watcher_lists_the_store_however_long_that_takes() {
    for upstreams in [100, 1_000, 10_000, 20_000] {
        // 9 ms for each page of 200, at most 13 pages of which are read one after the other.
        let list_time = Duration::from_millis(9) * u32::div_ceil(upstreams, 200).min(13);
        let lists = lists_by_instance(list_time);
        let listing = lists.iter().filter(|lists| **lists > 0).count();
        assert_eq!(listing, 1, "{upstreams} upstreams: {lists:?}");
        let most = lists.into_iter().max().unwrap_or_default();
        // At most one in each quarter of the bound.
        assert!(most <= 40, "{upstreams} upstreams: {most} lists");
    }
}

/// Guards against a fleet of which most instances list the store, page by page, after a whole level
/// of relays has lost power at once.
#[test]
fn after_the_loss_of_all_relays_the_others_are_current_within_the_bound() {
    let lists = [500, 1_000].map(|instances| {
        let all = members(instances);
        let relays = StoreSources::new(&all).relays;
        let mut fleet = Fleet::new(instances);
        fleet.run(Duration::from_secs(3));
        let is_relay = |id: &InstanceId| relays.iter().any(|relay| relay.id == *id);
        let now = fleet.now;
        let sources = fleet.sources.iter_mut();
        let following = sources.filter_map(|source| source.source(now));
        let following = following.filter(is_relay).count();
        assert!(following * 10 >= instances * 9, "{following} follow relays");
        for index in 0..instances {
            if is_relay(&id(index)) {
                fleet.states[index] = State::Silent;
            }
        }
        let mut max_age = Duration::ZERO;
        let mut most_watching = 0;
        for step in 0..200 {
            if step == 70 {
                fleet.remove_lost_members();
            }
            fleet.run(STEP);
            max_age = max_age.max(fleet.max_age());
            most_watching = most_watching.max(fleet.watchers().len());
        }
        assert!(max_age <= BOUND / 2 + STEP * 2, "{max_age:?}");
        most_watching
    });
    assert!(
        lists.iter().all(|most| *most <= 8),
        "instances that read the store: {lists:?}"
    );
}

/// Returns how many of the instances that start together read the store themselves if their sources
/// need this long to confirm anything.
fn starting_watchers(instances: usize, sources_ready_after: Duration) -> usize {
    let now = MonoTime::from_millis(1_000);
    let members = members(instances);
    let watching = (0..instances).filter(|index| {
        let mut source = StoreSource::new(id(*index), SourceTiming::within(BOUND), now);
        source.update_members(&members);
        source.mark_settled();
        source.should_watch(now.after(sources_ready_after))
    });
    watching.count()
}

/// Guards against a start in which every instance lists the store because no source has confirmed
/// anything within half of the bound. A thousand lists of 51 pages each keep the store's link busy
/// for 20 s, and calls beyond its rate are refused and repeated.
#[test]
fn instances_that_start_together_do_not_all_list_the_store() {
    let just_late = BOUND / 2 + Duration::from_millis(500);
    let watching = [100, 1_000].map(|instances| starting_watchers(instances, just_late));
    let more = watching[1].saturating_sub(watching[0]);
    assert!(more <= 20, "reading the store: {watching:?}");
    assert_eq!(
        starting_watchers(1_000, Duration::from_secs(30)),
        1_000,
        "all of them do if no source ever confirms anything"
    );
}
