//! Time until a configuration is in force at each instance that the bound concerns.

use std::{ops::Range, time::Duration};

use crate::{
    faults::{Faults, Injector},
    fleet::{CONTACT_TIME, Fleet, STEP, Shape},
};

const BOUND: Duration = Duration::from_secs(2);
/// Time with faults.
const LENGTH: Duration = Duration::from_secs(30);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Versions as in a series of changes, and as an operator writes them.
const VERSION_INTERVALS: [Range<Duration>; 2] = [
    Duration::from_millis(300)..Duration::from_millis(900),
    Duration::from_secs(3)..Duration::from_secs(6),
];
/// Time of 2,000 routes, 0.5 MB, over 10 Mbit/s.
const LONG_TRANSFER: Duration = Duration::from_millis(400);
/// Part of the size of a configuration that is left of it when it is compressed.
const COMPRESSED: f64 = 0.125;

/// Number of instances, and the seeds that are played with them.
const FLEETS: [(usize, Range<u64>); 3] = [(7, 0..20), (78, 0..5), (300, 0..1)];

fn shapes(instances: usize, transfer_time: Duration) -> impl Iterator<Item = Shape> {
    VERSION_INTERVALS
        .into_iter()
        .map(move |version_interval| Shape {
            instances,
            transfer_time,
            relay_time: transfer_time.mul_f64(COMPRESSED),
            gossip_interval: GOSSIP_INTERVAL,
            version_interval,
        })
}

/// Plays one seed. Returns the longest time for which an instance that the bound concerns lacked a version that the store had
/// accepted; one without any version refuses all requests as not run, and is left out.
///
/// Checks at all instances, whatever their faults, that a state lacks nothing that the store had accepted before the time as
/// of which it is confirmed: a final refusal rests on that.
fn longest_delay(shape: &Shape, seed: u64, faults: Faults) -> Duration {
    let mut fleet = Fleet::new(shape.clone(), BOUND, seed);
    for _ in 0..CONTACT_TIME.as_millis() / STEP.as_millis() {
        fleet.step();
    }
    let mut injector = Injector::new(fleet.now, faults);
    let mut longest = Duration::ZERO;
    for _ in 0..LENGTH.as_millis() / STEP.as_millis() {
        injector.inject(&mut fleet);
        fleet.step();
        for (index, node) in fleet.nodes.iter().enumerate() {
            let lacks_since = fleet.lacks_since(index);
            // A version may be accepted just after a read of the same step.
            assert!(
                lacks_since.is_none_or(|accepted| node.confirmed <= accepted),
                "seed {seed}: {index} confirms a state that lacks a version"
            );
            if let Some(accepted) = lacks_since
                && node.version > 0
                && fleet.is_bound(index)
            {
                longest = longest.max(fleet.now.since(accepted));
            }
        }
    }
    longest
}

fn assert_within_bound(
    transfer_time: Duration,
    instances: usize,
    seeds: Range<u64>,
    faults: Faults,
) {
    for shape in shapes(instances, transfer_time) {
        let delays = seeds
            .clone()
            .map(|seed| (longest_delay(&shape, seed, faults), seed));
        let (delay, seed) = delays.max().unwrap_or_default();
        println!("{shape:?}, {faults:?}: {delay:?} with seed {seed}");
        assert!(delay <= BOUND, "{shape:?}, seed {seed}: {delay:?}");
    }
}

/// Guards against an instance that refuses requests by an older version past the bound, although the store answers it: the
/// store answers none of its sources, or they are paused, lost or cut off one after the other.
#[test]
fn configuration_is_in_force_within_the_bound() {
    for (instances, seeds) in FLEETS {
        assert_within_bound(Duration::ZERO, instances, seeds, Faults::All);
    }
}

/// The same for configurations that a slow link transfers for a fifth of the bound. They do not fit if one transfer after the
/// other is begun and lost, or if several share the link.
#[test]
fn configuration_of_thousands_of_routes_is_in_force_within_the_bound() {
    for (instances, seeds) in FLEETS {
        assert_within_bound(LONG_TRANSFER, instances, seeds, Faults::All);
    }
}

/// The same for the largest configurations that the users' store accepts, 1 MB, as long as no instance is lost. All instances
/// of a small fleet are strong.
#[test]
fn largest_configuration_is_in_force_within_the_bound_while_the_store_fails() {
    for (instances, seeds) in FLEETS.into_iter().skip(1) {
        assert_within_bound(2 * LONG_TRANSFER, instances, seeds, Faults::OfStore);
    }
}
