//! Extra calls stay within the burst and the ratio for any sequence of calls.

use bolero::generator::produce;
use tc_policy::ExtraCallBudget;

#[test]
fn spent_never_exceeds_burst_and_ratio() {
    let input = produce::<(u8, u8, Vec<bool>)>();
    tc_fuzz::check(2_000, input, |(ratio, burst, steps)| {
        let (ratio, burst) = (f64::from(*ratio) / 100.0, f64::from(*burst) / 10.0);
        let mut budget = ExtraCallBudget::new(ratio, burst);
        let mut spent = 0;
        for &is_call in steps.iter().cycle().take(steps.len() * 10) {
            if is_call {
                budget.record_call();
            } else {
                spent += u64::from(budget.try_spend());
            }
            assert_eq!(budget.spent(), spent);
            let allowed = burst + ratio * budget.calls() as f64;
            assert!(spent as f64 <= allowed + 1e-6, "{spent} of {allowed}");
        }
    });
}

#[test]
fn ratio_is_used_in_full() {
    let mut budget = ExtraCallBudget::new(0.03, 0.0);
    for _ in 0..10_000 {
        budget.record_call();
        budget.try_spend();
    }
    assert_eq!(budget.spent(), 300);
}

/// Guards against a retry storm in an outage after a quiet period, because the unused part of the ratio accumulated
/// without bound: a million calls succeed, then every call is retried.
#[test]
fn quiet_period_allows_no_retry_storm() {
    let mut budget = ExtraCallBudget::new(0.1, 5.0);
    for _ in 0..1_000_000 {
        budget.record_call();
    }
    let at_once = (0..1_000).filter(|_| budget.try_spend()).count();
    assert!(at_once <= 6, "{at_once} retries at once");
}
