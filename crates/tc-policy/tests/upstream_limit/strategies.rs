//! Compares strategies for enforcing a limit across all instances.

use std::time::Duration;

use crate::{
    arrivals::{SETTLE_TIME, max_per_window, peak_in_window},
    simulation::{Simulation, Strategy},
};

struct Measured {
    peak: usize,
    per_s: f64,
}

fn measure(strategy: Strategy, instances: usize, limit: f64) -> Measured {
    let mut simulation = Simulation::new(strategy, instances, limit * 4.0 + 20.0, 5);
    simulation.announce(Some(limit));
    simulation.run(Duration::from_secs(10));
    let before = simulation.arrivals.len();
    simulation.run(Duration::from_secs(20));
    let first = simulation.first_announced.expect("it was announced");
    Measured {
        peak: peak_in_window(
            &simulation.arrivals,
            first.after(SETTLE_TIME),
            simulation.now,
        ),
        per_s: (simulation.arrivals.len() - before) as f64 / 20.0,
    }
}

/// Guards against a strategy that keeps the limit only with few instances. Prints the results of all strategies.
#[test]
fn paced_home_holds_at_every_size() {
    for instances in [8, 80, 300] {
        for limit in [1.0, 5.0, 20.0] {
            for strategy in [
                Strategy::HomePaced,
                Strategy::FewSenders,
                Strategy::EqualPart,
                Strategy::WholeLimit,
            ] {
                let measured = measure(strategy, instances, limit);
                println!(
                    "{instances} instances, {limit} per second, {strategy:?}: {} of {} in a window, {:.2} per second",
                    measured.peak,
                    max_per_window(limit),
                    measured.per_s
                );
                if strategy == Strategy::HomePaced {
                    assert!(measured.peak <= max_per_window(limit));
                    assert!(measured.per_s >= 0.8 * limit);
                }
            }
        }
    }
}
