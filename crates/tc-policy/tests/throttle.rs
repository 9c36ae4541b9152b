//! Adaptive throttling by the outcomes of earlier requests.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tc_policy::Throttle;
use tc_protocol::MonoTime;

/// Requests per second that were admitted and accepted.
struct Outcome {
    admitted: f64,
    accepted: f64,
}

fn offer(throttle: &mut Throttle, from_s: u64, for_s: u64, offered: u64, capacity: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut admitted, mut accepted) = (0, 0);
    for second in from_s..from_s + for_s {
        let mut left = capacity;
        for number in 0..offered {
            let now = MonoTime::from_millis(second * 1_000 + number * 1_000 / offered + 1);
            if !throttle.admit(now, rng.random()) {
                continue;
            }
            admitted += 1;
            // Capacity becomes available evenly over the second.
            let available = (number + 1) * capacity / offered;
            if capacity - left < available.max(1) && left > 0 {
                left -= 1;
                accepted += 1;
                throttle.record_accepted(now);
            } else {
                throttle.record_missed(now);
            }
        }
    }
    let per_s = |count: i32| f64::from(count) / for_s as f64;
    Outcome {
        admitted: per_s(admitted),
        accepted: per_s(accepted),
    }
}

#[test]
fn overload_admits_little_more_than_the_capacity() {
    // Guards against early stages that work for requests which then miss their deadline at an overloaded later stage,
    // because admission by the latency of answered requests sees only fast ones: 2, 4 and 10 times the capacity is
    // offered.
    for factor in [2, 4, 10] {
        let mut throttle = Throttle::default();
        offer(&mut throttle, 0, 10, 100 * factor, 100);
        let steady = offer(&mut throttle, 10, 20, 100 * factor, 100);
        assert!(
            steady.admitted < 125.0,
            "{factor}: {} admitted",
            steady.admitted
        );
        assert!(
            steady.accepted > 90.0,
            "{factor}: {} accepted",
            steady.accepted
        );
    }
}

#[test]
fn everything_is_admitted_again_after_an_overload() {
    // Guards against a workspace that is refused for good after an overload: ten times the capacity is offered for 20
    // s, then as much as the capacity allows. Refusals must not count as misses, and admission must grow as soon as no
    // request misses.
    let mut throttle = Throttle::default();
    offer(&mut throttle, 0, 20, 1_000, 100);
    offer(&mut throttle, 20, 15, 90, 100);
    let after = offer(&mut throttle, 35, 10, 90, 100);
    assert!(after.admitted > 89.0, "{} admitted", after.admitted);
}

#[test]
fn admission_recovers_within_seconds_of_a_total_outage() {
    // Guards against a throttle that admits nothing after an outage without any capacity, as a multiple of zero is
    // zero: there is no capacity for 20 s, then enough. A few requests must be admitted whatever the outcomes.
    let mut throttle = Throttle::default();
    offer(&mut throttle, 0, 20, 100, 0);
    offer(&mut throttle, 20, 10, 100, 120);
    let after = offer(&mut throttle, 30, 5, 100, 120);
    assert!(after.admitted > 95.0, "{} admitted", after.admitted);
}

#[test]
fn few_misses_cause_no_refusals() {
    let mut throttle = Throttle::default();
    for second in 0..30 {
        let now = MonoTime::from_millis(second * 1_000 + 1);
        assert!(throttle.admit(now, 0.0), "second {second}");
        throttle.record_missed(now);
    }
}
