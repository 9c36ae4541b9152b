//! The retry budget, compared with an exact model.

use std::time::Duration;

use bolero::generator::produce;
use tc_policy::{RetryBudget, RetryLimits};
use tc_protocol::MonoTime;

/// In every window the retries stay within the ratio of the requests in that window, or in the step before it, plus the
/// extra allowance. The model stores every timestamp; the budget stores counts per step.
#[test]
fn no_window_has_more_retries_than_allowed() {
    tc_fuzz::check(2_000, produce::<Vec<(bool, u16)>>(), |steps| {
        let limits = RetryLimits {
            ratio: 0.2,
            extra: 3.0,
            window: Duration::from_secs(10),
        };
        let mut budget = RetryBudget::new(limits);
        let (mut requests, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut now = 1_000;
        for (is_request, pause) in steps {
            now += u64::from(*pause % 700);
            if *is_request {
                budget.record_request(MonoTime::from_millis(now));
                requests.push(now);
                continue;
            }
            if !budget.try_spend(MonoTime::from_millis(now)) {
                continue;
            }
            retries.push(now);
            let within =
                |times: &[u64], length: u64| times.iter().filter(|t| now - **t <= length).count();
            let allowed = 0.2 * within(&requests, 11_000) as f64 + 3.0;
            let spent = within(&retries, 10_000) as f64;
            assert!(spent <= allowed, "{spent} retries, {allowed} allowed");
        }
    });
}
