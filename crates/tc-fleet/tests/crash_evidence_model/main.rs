//! Model of requests that crash upstreams while instances are killed: when does the evidence bind every instance?

mod model;

use model::{Losses, Model, Sharing};

/// Late runs that the rules allow.
const LATE_RUNS: usize = 3;

fn most_late_runs(size: usize, sharing: Sharing, losses: Losses, seeds: u64) -> usize {
    let plays = (0..seeds).map(|seed| Model::new(seed, size, sharing).play(losses));
    plays.max().unwrap_or(0)
}

fn assert_bound_holds(size: usize, seeds: u64) {
    for losses in [Losses::Homes, Losses::Most, Losses::Isolation] {
        let late = most_late_runs(size, Sharing::All, losses, seeds);
        assert!(late <= LATE_RUNS, "{size} instances: {late} late runs");
    }
}

/// Guards against evidence that some instances lack when homes are lost, with 8 instances.
#[test]
fn evidence_binds_eight_instances_in_time() {
    assert_bound_holds(8, 20);
}

/// The same with 80 and 300 instances.
#[test]
fn evidence_binds_large_fleets_in_time() {
    assert_bound_holds(80, 4);
    assert_bound_holds(300, 1);
}

/// Guards against a model that passes everything: evidence that stays at the home is lost with it.
#[test]
fn evidence_at_the_home_alone_is_lost() {
    assert!(most_late_runs(8, Sharing::Home, Losses::Homes, 5) > LATE_RUNS);
    assert!(most_late_runs(8, Sharing::Copies, Losses::Most, 20) > 0);
}
