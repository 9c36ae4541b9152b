//! Fixed scenarios: faults and changes of the limit.

use std::time::Duration;

use crate::{
    arrivals::{SETTLE_TIME, max_per_window, peak_in_window},
    faults::Fault,
    simulation::{Simulation, Strategy},
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

/// Asserts that the limit holds over the whole run, with the fault injected in the steady state.
fn assert_limit_holds(limit: f64, instances: usize, fault: Fault, seed: u64) {
    let mut simulation = Simulation::new(Strategy::HomePaced, instances, limit * 4.0 + 20.0, seed);
    simulation.run(seconds(2));
    simulation.announce(Some(limit));
    simulation.run(seconds(6));
    simulation.inject(fault);
    simulation.run(seconds(10));
    let first = simulation.first_announced.expect("it was announced");
    let peak = peak_in_window(
        &simulation.arrivals,
        first.after(SETTLE_TIME),
        simulation.now,
    );
    assert!(
        peak <= max_per_window(limit),
        "{peak} of {} at {limit} per second, {instances} instances, {fault:?}, seed {seed}",
        max_per_window(limit)
    );
}

/// Guards against exceeding the limit while homes are lost, move, or differ between instances.
#[test]
fn limit_holds_through_faults() {
    for fault in FAULTS {
        for limit in LIMITS {
            for (instances, seed) in [(2, 1), (4, 2), (8, 3), (60, 4)] {
                assert_limit_holds(limit, instances, fault, seed);
            }
        }
    }
}

/// Guards against a limited upstream that stays idle, or stays limited after the limit was lifted.
#[test]
fn limited_upstream_gets_its_limit_and_recovers() {
    for limit in LIMITS {
        let mut simulation = Simulation::new(Strategy::HomePaced, 8, 60.0, 7);
        simulation.announce(Some(limit));
        simulation.run(seconds(5));
        let before = simulation.arrivals.len();
        simulation.run(seconds(20));
        let got = (simulation.arrivals.len() - before) as f64 / 20.0;
        assert!(got >= limit * 0.8, "{got} per second of {limit}");
        simulation.announce(None);
        simulation.run(seconds(6));
        let lifted = simulation.arrivals.len();
        simulation.run(seconds(5));
        let got = (simulation.arrivals.len() - lifted) as f64 / 5.0;
        assert!(
            got >= 50.0,
            "{got} of 60 per second after a limit of {limit}"
        );
    }
}

/// Guards against a lifted limit that survives because instances keep gossiping it to each other.
#[test]
fn lifted_limit_is_forgotten_after_two_answers() {
    for limit in [1.0, 1.4, 5.0, 20.0] {
        for seed in 0..20 {
            let mut simulation = Simulation::new(Strategy::HomePaced, 8, 60.0, seed);
            simulation.announce(Some(limit));
            simulation.run(seconds(6));
            simulation.announce(None);
            // Two answers, because one may be overtaken, plus their delay.
            simulation.run(Duration::from_secs_f64(2.0 / limit) + seconds(1));
            let lifted = simulation.arrivals.len();
            simulation.run(seconds(2));
            let got = (simulation.arrivals.len() - lifted) as f64 / 2.0;
            assert!(
                got >= 50.0,
                "{got} of 60 per second, limit {limit}, seed {seed}"
            );
        }
    }
}

/// Guards against grants at the old limit after it was lowered.
#[test]
fn lowered_limit_applies_immediately() {
    let mut simulation = Simulation::new(Strategy::HomePaced, 8, 60.0, 11);
    simulation.announce(Some(20.0));
    simulation.run(seconds(8));
    simulation.announce(Some(1.0));
    simulation.run(seconds(1));
    let lowered = simulation.now;
    simulation.run(seconds(10));
    let peak = peak_in_window(&simulation.arrivals, lowered, simulation.now);
    assert!(peak <= max_per_window(1.0), "{peak}");
}
