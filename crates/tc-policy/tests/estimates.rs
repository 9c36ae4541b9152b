//! Estimates follow the measurements and recover after a slowdown.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use tc_policy::{Estimators, SizeClass, StageEstimate, admit, hedge_after, retry_delay, slack_for};
use tc_protocol::{MonoTime, ServiceName};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn known(median: u64, p95: u64) -> StageEstimate {
    StageEstimate {
        at_quantile: ms(median),
        median: ms(median),
        p95: ms(p95),
        known: true,
    }
}

#[test]
fn quantiles_are_within_two_percent_and_decay() {
    let (mut estimators, service) = (Estimators::new(), ServiceName::from("encode"));
    let class = SizeClass::of(1_000, 0);
    assert_eq!(estimators.quantile(&service, class, 0.5), None);
    for i in 1..=1_000 {
        estimators.record(MonoTime::from_millis(i), &service, class, ms(i));
    }
    for q in [0.1, 0.5, 0.6, 0.95] {
        let measured = estimators
            .quantile(&service, class, q)
            .expect("it is known");
        let relative_error = measured.as_secs_f64() / q - 1.0;
        assert!(relative_error.abs() < 0.02, "quantile {q} is {measured:?}");
    }
    assert!(estimators.stage(&service, class, 0.6).known);
    // Two generations later none of these records is left.
    for i in 0..30 {
        estimators.record(
            MonoTime::from_millis(2_000 + i * 1_000),
            &service,
            class,
            ms(5),
        );
    }
    let p95 = estimators.stage(&service, class, 0.6).p95;
    assert!(p95 < ms(6), "{p95:?}");
    let other = SizeClass::of(1_000_000, 0);
    assert_eq!(
        estimators.stage(&service, other, 0.6),
        StageEstimate::default()
    );
}

/// Guards against a fleet that is idle and refuses every request after a slowdown. Calls take longer than their
/// deadline for a while, so admission refuses new ones. When the upstreams are fast again, no call runs that could
/// update the estimate: estimates are fed only by calls that run, and calls run only if the estimate admits them.
#[test]
fn admission_recovers_after_a_slowdown() {
    let deadline = ms(500);
    let class = SizeClass::of(1_000, 0);
    // Whether the caller advances the time before each lookup, requests per second, and the maximum recovery time in
    // seconds.
    for (advances_time, per_s, max_s) in [(true, 1, 30), (true, 100, 15), (false, 100, 30)] {
        let mut estimators = Estimators::new();
        let service = ServiceName::from("generate");
        let mut now = MonoTime::from_millis(1);
        for _ in 0..200 {
            now = now.after(ms(100));
            estimators.record(now, &service, class, ms(5_000));
        }
        let recovered_at = now;
        let (mut admitted_in_a_row, mut refused) = (0, 0);
        while admitted_in_a_row < 20 {
            now = now.after(Duration::from_secs(1) / per_s);
            if advances_time {
                estimators.advance(now);
            }
            let stage = estimators.stage(&service, class, 0.6);
            if admit(deadline, &[stage]).is_ok() {
                estimators.record(now, &service, class, ms(50));
                admitted_in_a_row += 1;
            } else {
                admitted_in_a_row = 0;
                refused += 1;
            }
            let took = now.since(recovered_at);
            assert!(
                took < Duration::from_secs(max_s + 20),
                "{refused} refused in {took:?}"
            );
        }
        assert!(refused > 0, "the slowdown was not noticed");
    }
}

#[test]
fn estimates_with_new_records_do_not_decay() {
    let (mut estimators, service) = (Estimators::new(), ServiceName::from("generate"));
    let class = SizeClass::of(1_000, 0);
    let mut now = MonoTime::from_millis(1);
    for _ in 0..1_000 {
        now = now.after(ms(10));
        estimators.record(now, &service, class, ms(200));
        for _ in 0..10 {
            let stage = estimators.stage(&service, class, 0.6);
            assert!(stage.at_quantile >= ms(200), "{stage:?}");
        }
    }
}

#[test]
fn memory_is_bounded_whatever_is_recorded() {
    let mut estimators = Estimators::new();
    for i in 0..3_000_u64 {
        let service = ServiceName::from(format!("service-{i}"));
        estimators.record(
            MonoTime::from_millis(i),
            &service,
            SizeClass::of(1, 0),
            ms(1),
        );
        assert!(estimators.len() <= 1_024);
    }
    estimators.advance(MonoTime::from_millis(10_000_000));
    assert!(estimators.is_empty());
}

#[test]
fn admission_slack_and_hedges() {
    let (steady, varied) = (known(20, 21), known(100, 200));
    assert_eq!(admit(ms(120), &[steady, varied]), Ok(ms(120)));
    assert_eq!(admit(ms(0), &[]), Err(ms(100)));
    assert!(admit(ms(119), &[steady, varied]).is_err_and(|after| after >= ms(100)));
    // The stage with the higher variance gets most of the slack, and no stage gets more than is available.
    let first = slack_for(ms(500), &[varied, steady]);
    assert!(first > ms(270) && first < ms(280), "{first:?}");
    let first = slack_for(ms(500), &[steady, varied]);
    assert!(first < ms(5), "{first:?}");
    assert_eq!(slack_for(ms(100), &[StageEstimate::default(); 4]), ms(25));
    assert_eq!(slack_for(ms(100), &[varied]), ms(0));
    // Only known stages are hedged, and only while a second call still fits.
    assert_eq!(hedge_after(&varied, ms(300)), Some(ms(200)));
    assert_eq!(hedge_after(&varied, ms(299)), None);
    let unknown = StageEstimate {
        known: false,
        ..varied
    };
    assert_eq!(hedge_after(&unknown, ms(10_000)), None);
}

#[test]
fn retries_wait_longer_each_time_and_never_past_the_deadline() {
    let mut random = StdRng::seed_from_u64(1);
    let stage = known(50, 80);
    for attempt in 1..=100 {
        let longest = ms(10)
            .saturating_mul(1 << (attempt - 1).min(16))
            .min(ms(500));
        for remaining in [60, 100, 1_000, 10_000] {
            let remaining = ms(remaining);
            let delay = retry_delay(attempt, remaining, &stage, &mut random).expect("it fits");
            assert!(delay <= longest && delay + stage.median <= remaining);
            assert!(delay >= (longest / 2).min(remaining.saturating_sub(stage.median)));
        }
        assert_eq!(retry_delay(attempt, ms(50), &stage, &mut random), None);
    }
}
