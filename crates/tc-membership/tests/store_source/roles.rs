//! Which instances watch the store, and how the others find a source when watchers are lost.

use std::{collections::BTreeSet, time::Duration};

use tc_membership::{SourceTiming, StoreSource, store_watchers};
use tc_protocol::{Member, MonoTime};

use crate::fleet::{BOUND, Fleet, STEP, State, id, members};

/// Time until all instances know of a loss, among hundreds.
const LOSS_KNOWN: Duration = Duration::from_millis(1_400);

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

/// Symptom: calls to the store are the largest price of a day: 67 an instance on 295 of them. Sequence: operators write,
/// upstreams are replaced. Cause: each instance watches, and each change wakes every watch.
#[test]
fn on_a_quiet_day_all_others_hear_from_those_that_watch() {
    let mut fleet = Fleet::new(295);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.watchers().len(), 4);
    assert!(fleet.oldest() <= STEP);
}

/// Symptom: instances serve an old configuration. Sequence: all that watch lose power at once, and the others know of it 1.4 s
/// later. Cause: what is heard from nobody looks like a quiet store.
#[test]
fn when_all_watchers_are_lost_the_others_are_current_again_within_the_bound() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(3));
    for watcher in fleet.watchers() {
        fleet.states[watcher] = State::Silent;
    }
    let mut oldest = Duration::ZERO;
    for step in 0..300 {
        if step == 70 {
            fleet.learn_losses();
        }
        fleet.run(STEP);
        oldest = oldest.max(fleet.oldest());
    }
    assert_eq!(LOSS_KNOWN, STEP * 70);
    // A quarter of the bound is left for the list that they read then, and a quarter for gathered changes.
    assert!(oldest <= BOUND / 2 + STEP * 2, "{oldest:?}");
    assert_eq!(fleet.watchers().len(), 4, "others watch in their place");
}

/// Symptom: after a power loss each of hundreds of instances reads the whole list of upstreams, page by page. Sequence: all start
/// at once and know few others in their first moments. Cause: among few, each is one of the best.
#[test]
fn an_instance_that_does_not_know_the_others_yet_does_not_watch() {
    let now = MonoTime::from_millis(1_000);
    let mut source = StoreSource::new(id(0), SourceTiming::within(BOUND), now);
    source.update_members(&members(3));
    assert!(!source.should_watch(now));
    source.mark_settled();
    assert!(source.should_watch(now));
}

/// Symptom: a third of the fleet learns of a change late. Sequence: one of those that watch is cut off without a reset.
/// Cause: who followed it waits for a word that does not come.
#[test]
fn a_silent_source_is_given_up_for_another_before_anyone_watches_itself() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(3));
    let lost = fleet.watchers()[0];
    fleet.states[lost] = State::Silent;
    let mut most = 0;
    for _ in 0..100 {
        fleet.run(STEP);
        most = most.max(fleet.watchers().len());
        assert!(
            fleet.oldest() <= BOUND.mul_f64(0.35),
            "{:?}",
            fleet.oldest()
        );
    }
    assert_eq!(most, 3, "the others had one to hear from");
}

/// Symptom: instances that the store would answer stay behind. Sequence: the store turns away those that watch, one after the
/// other. Cause: a source that hears nothing itself has nothing to tell, and says so.
#[test]
fn a_source_out_of_touch_is_left_at_once_and_without_any_all_watch() {
    let mut fleet = Fleet::new(60);
    fleet.run(Duration::from_secs(3));
    let watchers = fleet.watchers();
    for watcher in &watchers[..3] {
        fleet.states[*watcher] = State::TurnedAway;
    }
    fleet.run(Duration::from_secs(1));
    let others = (0..60).filter(|i| !watchers.contains(i));
    for other in others.clone() {
        assert!(fleet.now.since(fleet.current[other]) <= STEP * 2, "{other}");
        assert!(!fleet.sources[other].should_watch(fleet.now), "{other}");
    }
    fleet.states[watchers[3]] = State::TurnedAway;
    fleet.run(BOUND / 2 + STEP * 2);
    for other in others.clone() {
        assert!(fleet.sources[other].should_watch(fleet.now), "{other}");
    }
    fleet.states[watchers[0]] = State::Well;
    fleet.run(BOUND / 2);
    let still: Vec<usize> = others
        .filter(|i| fleet.sources[*i].should_watch(fleet.now))
        .collect();
    assert_eq!(still, Vec::<usize>::new(), "they have a source again");
}

/// Symptom: an instance whose own watch is never answered keeps an old configuration, and so do those that follow it. Sequence:
/// one watch is lost on the way, the connection lives. Cause: nobody compares what the watching instances know.
#[test]
fn what_one_watcher_sees_reaches_all_of_them() {
    let members = members(60);
    let now = MonoTime::from_millis(1_000);
    let watchers = store_watchers(&members);
    let mut reached = BTreeSet::from([watchers[0].id.clone()]);
    for _ in 0..watchers.len() {
        for watcher in &watchers {
            let mut source = StoreSource::new(watcher.id.clone(), SourceTiming::within(BOUND), now);
            source.update_members(&members);
            source.mark_settled();
            let from = source.source(now).expect("there are others that watch");
            source.note_confirmation(now, &from, MonoTime::default());
            assert_eq!(
                source.source(now),
                Some(from.clone()),
                "a watcher keeps its source, however old the confirmation"
            );
            if reached.contains(&from) {
                reached.insert(watcher.id.clone());
            }
        }
    }
    assert_eq!(reached.len(), watchers.len());
}
