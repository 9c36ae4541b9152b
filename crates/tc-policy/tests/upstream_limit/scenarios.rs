//! Faults while an upstream is limited.

use std::time::Duration;

use crate::{
    faults::Fault,
    judge::{CONTACT, allowed, most_in_window},
    world::{Way, World},
};

const LIMITS: [f64; 5] = [0.25, 1.0, 1.4, 5.0, 20.0];
const FAULTS: [Fault; 6] = [
    Fault::MoveHome,
    Fault::KillHome,
    Fault::FreezeHome(Duration::from_secs(3)),
    Fault::SplitViews(Duration::from_millis(1_500)),
    Fault::RestartHalf,
    Fault::Burst(3),
];

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Asserts the bound over the whole time, with the fault struck in the steady state.
fn holds(limit: f64, instances: usize, fault: Fault, seed: u64) {
    let mut world = World::new(Way::HomePaced, instances, limit * 4.0 + 20.0, seed);
    world.run(seconds(2));
    world.announce(Some(limit));
    world.run(seconds(6));
    world.strike(fault);
    world.run(seconds(10));
    let first = world.first_announced.expect("it was announced");
    let most = most_in_window(&world.arrivals, first.after(CONTACT), world.now);
    assert!(
        most <= allowed(limit),
        "{most} of {} at {limit} per second, {instances} instances, {fault:?}, seed {seed}",
        allowed(limit)
    );
}

/// Guards against more than the limit while homes are lost, move or differ.
#[test]
fn limit_holds_through_faults() {
    for fault in FAULTS {
        for limit in LIMITS {
            for (instances, seed) in [(2, 1), (4, 2), (8, 3), (60, 4)] {
                holds(limit, instances, fault, seed);
            }
        }
    }
}

/// Guards against a limited upstream that is left idle, or limited for ever.
#[test]
fn limited_upstream_gets_its_limit_and_recovers() {
    for limit in LIMITS {
        let mut world = World::new(Way::HomePaced, 8, 60.0, 7);
        world.announce(Some(limit));
        world.run(seconds(5));
        let before = world.arrivals.len();
        world.run(seconds(20));
        let got = (world.arrivals.len() - before) as f64 / 20.0;
        assert!(got >= limit * 0.8, "{got} per second of {limit}");
        world.announce(None);
        world.run(seconds(6));
        let lifted = world.arrivals.len();
        world.run(seconds(5));
        let got = (world.arrivals.len() - lifted) as f64 / 5.0;
        assert!(
            got >= 50.0,
            "{got} of 60 per second after a limit of {limit}"
        );
    }
}

/// Guards against a lifted limit that instances tell each other again and again.
#[test]
fn lifted_limit_is_gone_after_two_answers() {
    for limit in [1.0, 1.4, 5.0, 20.0] {
        for seed in 0..20 {
            let mut world = World::new(Way::HomePaced, 8, 60.0, seed);
            world.announce(Some(limit));
            world.run(seconds(6));
            world.announce(None);
            // Two answers, as one may be overtaken, and their way.
            world.run(Duration::from_secs_f64(2.0 / limit) + seconds(1));
            let lifted = world.arrivals.len();
            world.run(seconds(2));
            let got = (world.arrivals.len() - lifted) as f64 / 2.0;
            assert!(
                got >= 50.0,
                "{got} of 60 per second, limit {limit}, seed {seed}"
            );
        }
    }
}

/// Guards against grants under the old limit after it was lowered.
#[test]
fn lowered_limit_counts_at_once() {
    let mut world = World::new(Way::HomePaced, 8, 60.0, 11);
    world.announce(Some(20.0));
    world.run(seconds(8));
    world.announce(Some(1.0));
    world.run(seconds(1));
    let lowered = world.now;
    world.run(seconds(10));
    let most = most_in_window(&world.arrivals, lowered, world.now);
    assert!(most <= allowed(1.0), "{most}");
}
