//! Share of the resumed streams that go on, by number of instances and of those that fail.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};

use crate::simulation::{DOMAINS, Fleet, Lookup, Stream, TakenUp};

const SIZES: [usize; 3] = [8, 80, 300];
const STREAMS: usize = 400;
const SEEDS: u64 = 5;
/// A larger share means that all streams went on.
const ALL: f64 = 1.0 - 0.5 / STREAMS as f64;
/// Most instances that are killed in turn.
const MAX_KILLS: usize = 10;
/// Least share of the streams that must go on while engines of their version serve.
const MIN_SHARE: f64 = 0.5;

/// Begins streams at all instances, lets `fail` do harm, and returns the share of the streams whose instance was lost that
/// go on elsewhere.
fn share(instances: usize, seed: u64, fail: impl Fn(&mut Fleet, &mut SmallRng)) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(Lookup::Origins, instances);
    fleet.release(&["v1", "v1.1"]);
    for number in 0..instances {
        fleet.refresh(number);
    }
    let streams: Vec<Stream> = (0..STREAMS)
        .filter_map(|number| fleet.begin(number % instances, number / instances))
        .collect();
    assert_eq!(streams.len(), STREAMS);
    fail(&mut fleet, &mut rng);
    let (mut taken_up, mut went_on) = (0, 0);
    for (number, stream) in streams.iter().enumerate() {
        let others = (1..instances).map(|step| (stream.began_by + number + step) % instances);
        let is_lost = fleet.begin(stream.began_by, 0).is_none();
        let outcome = is_lost
            .then(|| {
                others
                    .into_iter()
                    .find_map(|other| fleet.take_up(other, stream))
            })
            .flatten();
        if let Some(outcome) = outcome {
            taken_up += 1;
            if let TakenUp::WentOn(version) = outcome {
                assert_eq!(version, stream.version);
                went_on += 1;
            }
        }
    }
    assert!(taken_up > 0, "no instance was lost");
    f64::from(went_on) / f64::from(taken_up)
}

fn mean_share(instances: usize, fail: impl Fn(&mut Fleet, &mut SmallRng)) -> f64 {
    let shares = (0..SEEDS).map(|seed| share(instances, seed, &fail));
    shares.sum::<f64>() / SEEDS as f64
}

fn kill_at_once(fleet: &mut Fleet, rng: &mut SmallRng, part: f64) {
    let mut numbers: Vec<usize> = (0..fleet.len()).collect();
    numbers.shuffle(rng);
    let count = (fleet.len() as f64 * part).round() as usize;
    for number in &numbers[..count] {
        fleet.kill(*number);
    }
}

/// Guards against streams that cannot be taken up because the instance that began them was killed, alone or with six in
/// ten of the others at the same moment.
#[test]
fn streams_go_on_after_many_instances_were_killed_at_once() {
    for instances in SIZES {
        for part in [0.125, 0.3, 0.6] {
            let share = mean_share(instances, |fleet, rng| kill_at_once(fleet, rng, part));
            println!("{instances} instances, {part} killed at once: {share:.3}");
            assert!(share > MIN_SHARE, "{instances} instances, {part}: {share}");
        }
    }
}

/// Guards against copies that are all in the failure domain that is lost.
#[test]
fn streams_go_on_after_a_failure_domain_was_lost() {
    for instances in SIZES {
        let lose_domain = |fleet: &mut Fleet, _: &mut SmallRng| {
            for number in (0..fleet.len()).step_by(DOMAINS) {
                fleet.kill(number);
            }
        };
        let share = mean_share(instances, lose_domain);
        assert!(share > ALL, "{instances} instances: {share}");
    }
}

/// Guards against copies that vanish one after the other, as instances are killed or replaced in turn.
#[test]
fn streams_go_on_after_a_series_of_kills() {
    for instances in [8, 40] {
        let kill_in_turn = |fleet: &mut Fleet, rng: &mut SmallRng| {
            let mut numbers: Vec<usize> = (0..fleet.len()).collect();
            numbers.shuffle(rng);
            for number in numbers.iter().take(fleet.len() * 3 / 4).take(MAX_KILLS) {
                fleet.kill(*number);
                fleet.wait(Duration::from_millis(10));
                for other in 0..fleet.len() {
                    fleet.refresh(other);
                }
            }
        };
        let share = mean_share(instances, kill_in_turn);
        assert!(share > ALL, "{instances} instances: {share}");
    }
}

/// Guards against members that joined after the stream began and are asked in place of those that keep its origin.
#[test]
fn streams_go_on_after_instances_joined() {
    for instances in SIZES {
        let replace = |fleet: &mut Fleet, rng: &mut SmallRng| {
            kill_at_once(fleet, rng, 0.25);
            for number in 0..fleet.len() {
                fleet.restart(number);
            }
            // Views of the instances that stayed are refreshed later.
            for number in (0..fleet.len()).step_by(2) {
                fleet.refresh(number);
            }
            // Some instances of the streams must be lost, as seen by their callers.
            kill_at_once(fleet, rng, 0.125);
        };
        let share = mean_share(instances, replace);
        println!("{instances} instances, a quarter replaced, an eighth killed: {share:.3}");
        assert!(share > MIN_SHARE, "{instances}: {share}");
    }
}

/// Guards against a cost that grows with the number of instances.
#[test]
fn messages_for_a_stream_do_not_grow_with_the_number_of_instances() {
    for instances in SIZES {
        let mut fleet = Fleet::new(Lookup::Origins, instances);
        let streams: Vec<Stream> = (0..100)
            .filter_map(|n| fleet.begin(n % instances, n))
            .collect();
        assert!(fleet.messages <= 3 * 100, "{}", fleet.messages);
        fleet.messages = 0;
        for stream in &streams {
            fleet.take_up((stream.began_by + 1) % instances, stream);
        }
        // Six calls to find the origin, three to keep it.
        assert!(fleet.messages <= 9 * 100, "{}", fleet.messages);
    }
}
