//! Selection of the instances that watch the store, and failover of the others when watchers are
//! lost.

use std::{collections::BTreeSet, time::Duration};

use tc_membership::{SourceTiming, StoreSource, store_watchers};
use tc_protocol::{Member, MonoTime};

use crate::fleet::{BOUND, Fleet, STEP, State, id, members};

/// Time until all instances of a fleet of hundreds know of a loss.
const LOSS_DETECTION_TIME: Duration = Duration::from_millis(1_400);

#[test]
fn four_strong_instances_in_four_domains_watch_for_hundreds() {
    let members = members(295);
    let watchers = store_watchers(&members);
    let domains: BTreeSet<_> = watchers.iter().map(|w| &w.failure_domain).collect();
    assert_eq!((watchers.len(), domains.len()), (4, 4));
    assert!(watchers.iter().all(|w| w.strength > 5), "{watchers:?}");
}

#[test]
fn strong_instances_watch_even_if_they_are_all_in_one_domain() {
    let mut members = members(60);
    for member in &mut members {
        let strong = member.failure_domain.as_str() == "kl-3";
        member.strength = if strong { 2_000 } else { 5 };
    }
    let watchers = store_watchers(&members);
    assert_eq!(watchers.len(), 4);
    assert!(watchers.iter().all(|w| w.strength > 5), "{watchers:?}");
}

#[test]
fn a_small_fleet_in_two_domains_has_two_watchers_in_each() {
    let members: Vec<Member> = members(48)
        .into_iter()
        .filter(|m| ["kl-0", "kl-1"].contains(&m.failure_domain.as_str()))
        .map(|m| Member { strength: 5, ..m })
        .collect();
    let watchers = store_watchers(&members);
    let first = &watchers[0].failure_domain;
    let of_first = watchers.iter().filter(|w| w.failure_domain == *first);
    assert_eq!((watchers.len(), of_first.count()), (4, 2));
}

/// Guards against store calls dominating the daily cost (67 per instance with 295 instances), which
/// happens if every instance watches the store and every operator write or upstream replacement
/// wakes every watch.
#[test]
fn all_followers_are_current_while_nothing_fails() {
    let mut fleet = Fleet::new(295);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.watchers().len(), 4);
    assert!(fleet.max_age() <= STEP);
}

/// Guards against instances serving an old configuration after all watchers lose power at once,
/// because a missing source is mistaken for a store without changes. The others learn of the loss
/// 1.4 s later.
#[test]
fn when_all_watchers_are_lost_the_others_are_current_again_within_the_bound() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(3));
    for watcher in fleet.watchers() {
        fleet.states[watcher] = State::Silent;
    }
    let mut max_age = Duration::ZERO;
    for step in 0..300 {
        if step == 70 {
            fleet.remove_lost_members();
        }
        fleet.run(STEP);
        max_age = max_age.max(fleet.max_age());
    }
    assert_eq!(LOSS_DETECTION_TIME, STEP * 70);
    // A quarter of the bound is left for the list call that follows, and a quarter for batching
    // changes.
    assert!(max_age <= BOUND / 2 + STEP * 2, "{max_age:?}");
    assert_eq!(
        fleet.watchers().len(),
        4,
        "other instances replaced the lost watchers"
    );
}

/// Guards against every instance of a fleet of hundreds reading the whole list of upstreams, page
/// by page, after a power loss. All start at once and know few others, so each would rank itself
/// among the best.
#[test]
fn an_instance_that_is_not_settled_does_not_watch() {
    let now = MonoTime::from_millis(1_000);
    let mut source = StoreSource::new(id(0), SourceTiming::within(BOUND), now);
    source.update_members(&members(3));
    assert!(!source.should_watch(now));
    source.mark_settled();
    assert!(source.should_watch(now));
}

/// Guards against a third of the fleet learning of a change late: a watcher is partitioned without
/// a connection reset, and its followers keep waiting for its messages.
#[test]
fn a_silent_source_is_replaced_before_any_follower_watches_the_store() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(3));
    let lost_watcher = fleet.watchers()[0];
    fleet.states[lost_watcher] = State::Silent;
    let mut max_watchers = 0;
    for _ in 0..100 {
        fleet.run(STEP);
        max_watchers = max_watchers.max(fleet.watchers().len());
        assert!(
            fleet.max_age() <= BOUND.mul_f64(0.35),
            "{:?}",
            fleet.max_age()
        );
    }
    assert_eq!(max_watchers, 3, "followers switched to another source");
}

/// Guards against instances falling behind although the store would answer them: the store rejects
/// the watchers one after the other, and followers keep a source that reports outdated
/// confirmations.
#[test]
fn a_stale_source_is_replaced_and_all_instances_watch_if_none_is_left() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(3));
    let watchers = fleet.watchers();
    for watcher in &watchers[..3] {
        fleet.states[*watcher] = State::Rejected;
    }
    fleet.run(Duration::from_secs(1));
    let others = (0..60).filter(|i| !watchers.contains(i));
    for other in others.clone() {
        assert!(
            fleet.now.since(fleet.current_as_of[other]) <= STEP * 2,
            "{other}"
        );
        assert!(!fleet.sources[other].should_watch(fleet.now), "{other}");
    }
    fleet.states[watchers[3]] = State::Rejected;
    fleet.run(BOUND / 2 + STEP * 2);
    for other in others.clone() {
        assert!(fleet.sources[other].should_watch(fleet.now), "{other}");
    }
    fleet.states[watchers[0]] = State::Healthy;
    fleet.run(BOUND / 2);
    let still_watching: Vec<usize> = others
        .filter(|i| fleet.sources[*i].should_watch(fleet.now))
        .collect();
    assert_eq!(
        still_watching,
        Vec::<usize>::new(),
        "followers have a source again"
    );
}

/// Guards against a watcher and its followers keeping an old configuration because its watch is
/// never answered while the connection stays open. Watchers must learn of changes from each other.
#[test]
fn a_change_seen_by_one_watcher_reaches_all_watchers() {
    let members = members(60);
    let now = MonoTime::from_millis(1_000);
    let watchers = store_watchers(&members);
    let mut reached = BTreeSet::from([watchers[0].id.clone()]);
    for _ in 0..watchers.len() {
        for watcher in &watchers {
            let mut source = StoreSource::new(watcher.id.clone(), SourceTiming::within(BOUND), now);
            source.update_members(&members);
            source.mark_settled();
            let from = source.source(now).expect("there are other watchers");
            source.record_confirmation(now, &from, MonoTime::default());
            assert_eq!(
                source.source(now),
                Some(from.clone()),
                "a watcher keeps its source, however old its confirmation"
            );
            if reached.contains(&from) {
                reached.insert(watcher.id.clone());
            }
        }
    }
    assert_eq!(reached.len(), watchers.len());
}
