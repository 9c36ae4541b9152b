//! Maximum age of an instance's state while the store answers that instance, whatever fails at the
//! others.

use std::time::Duration;

use crate::fleet::{BOUND, Fleet, STEP, State};

/// Four watchers and two followers.
const COUNT: usize = 6;
const STATES: [State; 4] = [
    State::Healthy,
    State::Silent,
    State::Rejected,
    State::WatchHangs,
];
/// Half of the bound, after which an instance lists the store itself, plus two steps. The other
/// half is left for batching changes and for the list call.
const MAX_AGE: Duration = Duration::from_millis(2_000 + 2 * 20);
/// Time of a list of 10,000 upstreams: 50 pages, and 9 ms for each.
const LONG_LIST_TIME: Duration = Duration::from_millis(450);

/// All combinations of states of the four watchers.
fn all_states() -> impl Iterator<Item = [State; 4]> {
    let count = STATES.len();
    (0..count.pow(4))
        .map(move |n| [0, 1, 2, 3].map(|position| STATES[n / count.pow(position) % count]))
}

/// Advances the simulation, checking in every step the age of the instances that the store answers.
fn run_checked(fleet: &mut Fleet, time: Duration, description: &str) {
    let steps = time.as_millis() / STEP.as_millis();
    for _ in 0..steps {
        fleet.run(STEP);
        for index in 0..COUNT {
            assert!(
                fleet.confirmed[index] <= fleet.current_as_of[index],
                "{description}: {index} confirms changes that it does not have"
            );
            if fleet.states[index] == State::Healthy {
                let age = fleet.now.since(fleet.current_as_of[index]);
                assert!(age <= MAX_AGE, "{description}: {index} is {age:?} behind");
            }
        }
    }
}

/// Guards against followers that rely on a source with outdated knowledge of the store. Covers all
/// state combinations of the four watchers at four phases of their periodic checks, each followed
/// by a state change of one watcher.
#[test]
fn no_instance_that_the_store_answers_is_older_than_the_bound() {
    check_all_states(Duration::ZERO);
}

/// Guards against followers that give up their source because a list of 10,000 upstreams takes
/// longer than the time left for it.
#[test]
fn long_lists_keep_all_instances_within_the_bound() {
    check_all_states(LONG_LIST_TIME);
}

fn check_all_states(list_time: Duration) {
    let mut healthy = Fleet::new(COUNT);
    healthy.list_time = list_time;
    healthy.run(BOUND);
    let watchers = healthy.watchers();
    assert_eq!(watchers.len(), 4);
    for phase in 0..4 {
        let mut started = healthy.clone();
        started.run(BOUND.mul_f64(0.08) * phase);
        for states in all_states() {
            let mut fleet = started.clone();
            for (watcher, state) in watchers.iter().zip(states) {
                fleet.states[*watcher] = state;
            }
            run_checked(&mut fleet, BOUND / 3, &format!("{states:?} at {phase}"));
            for (position, then) in [(0, 1), (1, 2), (2, 3), (3, 0), (0, 2), (1, 3)] {
                let mut fleet = fleet.clone();
                // Only failures are simulated. A recovering instance needs time for its first read.
                if fleet.states[watchers[position]] != State::Healthy {
                    continue;
                }
                fleet.states[watchers[position]] = STATES[then];
                let description = format!(
                    "{states:?} at {phase}, then {position} is {:?}",
                    STATES[then]
                );
                run_checked(&mut fleet, BOUND, &description);
            }
        }
    }
}

/// Guards against more than one instance listing the store while nothing fails.
#[test]
fn one_instance_lists_for_all_while_nothing_fails() {
    for count in [8, 80, 300] {
        let mut fleet = Fleet::new(count);
        fleet.run(BOUND * 5);
        let lists: usize = fleet.lists_begun.iter().sum();
        let max_lists = 5.0 / 0.36;
        assert!(lists as f64 <= max_lists + 1.0, "{lists} lists");
    }
}

/// Guards against all followers reading the store when one watcher is lost.
#[test]
fn losing_a_watcher_makes_no_other_instance_read_the_store() {
    for lost in 0..4 {
        for phase in 0..5 {
            let mut fleet = Fleet::new(60);
            fleet.run(BOUND + BOUND.mul_f64(0.06) * phase);
            let watchers = fleet.watchers();
            fleet.states[watchers[lost]] = State::Silent;
            for _ in 0..100 {
                fleet.run(STEP);
                assert_eq!(fleet.watchers().len(), 3, "{lost} lost at {phase}");
            }
        }
    }
}
