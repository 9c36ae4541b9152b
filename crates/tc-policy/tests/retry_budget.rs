//! The retry budget of one instance, compared with an exact model.

use std::time::Duration;

use bolero::generator::produce;
use tc_policy::{RetryBudget, RetryLimits};
use tc_protocol::MonoTime;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    extra: 3.0,
    window: Duration::from_secs(10),
};
const WINDOW_MS: u64 = 10_000;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

/// In every window the retries stay within the fixed allowance and the ratio of the requests: the mean of those in the
/// window and in the one that begins half a window earlier. The model stores every timestamp; the budget stores counts
/// per step.
#[test]
fn no_window_has_more_retries_than_allowed() {
    tc_fuzz::check(2_000, produce::<Vec<(bool, u16)>>(), |steps| {
        let mut budget = RetryBudget::new(LIMITS, at(1_000));
        let (mut requests, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut now = 1_000;
        for (is_request, pause) in steps {
            now += u64::from(*pause % 700);
            if *is_request {
                budget.record_request(at(now));
                requests.push(now);
                continue;
            }
            let can_spend = budget.can_spend(at(now));
            let is_spent = budget.try_spend(at(now)).is_some();
            assert_eq!(can_spend, is_spent);
            if is_spent {
                retries.push(now);
            }
        }
        for start in &retries {
            let within = |times: &[u64], from: u64| {
                let window = from..=from + WINDOW_MS;
                times.iter().filter(|t| window.contains(*t)).count() as f64
            };
            let earlier = start.saturating_sub(WINDOW_MS / 2);
            let counted = f64::midpoint(within(&requests, *start), within(&requests, earlier));
            let (spent, allowed) = (within(&retries, *start), 0.2 * counted + 3.0);
            assert!(spent <= allowed, "{spent} retries, {allowed} allowed");
        }
    });
}

/// Guards against a process that refuses each retry until it has run for some seconds, although its requests pay for
/// them.
#[test]
fn first_requests_pay_for_retries() {
    let limits = RetryLimits {
        extra: 0.0,
        ..LIMITS
    };
    let mut budget = RetryBudget::new(limits, at(100_000));
    for n in 0..40 {
        budget.record_request(at(100_000 + n * 100));
    }
    let allowed = (0..20)
        .filter(|_| budget.try_spend(at(104_000)).is_some())
        .count();
    assert_eq!(allowed, 3, "half of the ratio of the last 35 requests");
}

/// Guards against a budget that, under constant load, allows much less than its ratio.
#[test]
fn constant_load_gets_nearly_the_whole_ratio() {
    let limits = RetryLimits {
        extra: 0.0,
        ..LIMITS
    };
    let mut budget = RetryBudget::new(limits, at(100_000));
    let mut allowed = 0;
    for n in 0..4_000 {
        let now = at(100_000 + n * 25);
        budget.record_request(now);
        allowed += usize::from(budget.try_spend(now).is_some());
    }
    assert!(allowed > 600, "{allowed} of 800");
}

/// Guards against a service with few requests that never gets a retry.
#[test]
fn fixed_allowance_accrues_without_requests() {
    let mut budget = RetryBudget::new(LIMITS, at(1_000));
    assert!(budget.try_spend(at(1_000)).is_none());
    assert!(budget.try_spend(at(1_000 + WINDOW_MS)).is_some());
    assert!(budget.try_spend(at(1_000 + WINDOW_MS)).is_none());
}

/// Guards against an allowance that a quiet hour accumulates, or that stays after the limit has been reduced.
#[test]
fn saved_allowance_is_bounded_by_the_current_limit() {
    let mut budget = RetryBudget::new(LIMITS, at(1_000));
    let later = at(3_600_000);
    assert!((budget.usage(later).saved - 1.5).abs() < 1e-9);
    budget.set_limits(
        later,
        RetryLimits {
            extra: 1.0,
            ..LIMITS
        },
    );
    assert!((budget.usage(later).saved - 0.5).abs() < 1e-9);
}
