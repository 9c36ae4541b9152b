//! Retry delays of failed calls.

use std::time::Duration;

use rand::RngExt;

use crate::StageEstimate;

/// Upper bound of the delay before the first retry.
const BASE_DELAY: Duration = Duration::from_millis(10);
/// Upper bound of the delay before any retry.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Returns the jittered exponential backoff before retry `attempt` (1 is the first), or `None` if the call could not
/// finish before its deadline.
///
/// The delay is at least half of its upper bound, so that a retry does not follow the failure immediately, and random
/// above that, so that calls that failed together are not retried together.
///
/// ```
/// use std::time::Duration;
/// use rand::SeedableRng;
/// use tc_policy::{StageEstimate, retry_delay};
/// let mut random = rand::rngs::StdRng::seed_from_u64(1);
/// let stage = StageEstimate { median: Duration::from_millis(50), known: true, ..StageEstimate::default() };
/// assert!(retry_delay(1, Duration::from_millis(100), &stage, &mut random).is_some());
/// assert!(retry_delay(1, Duration::from_millis(40), &stage, &mut random).is_none());
/// ```
pub fn retry_delay(
    attempt: u32,
    remaining: Duration,
    stage: &StageEstimate,
    random: &mut impl rand::Rng,
) -> Option<Duration> {
    let spare = remaining.checked_sub(stage.median)?;
    if spare.is_zero() {
        return None;
    }
    let doublings = attempt.saturating_sub(1).min(16);
    let max_delay = BASE_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
    let delay = max_delay.mul_f64(random.random_range(0.5..=1.0));
    Some(delay.min(spare))
}
