//! When to retry a failed call.

use std::time::Duration;

use rand::RngExt;

use crate::StageEstimate;

/// Longest delay before the first retry.
const FIRST_DELAY: Duration = Duration::from_millis(10);
/// Longest delay before any retry.
const LONGEST_DELAY: Duration = Duration::from_millis(500);

/// Jittered, doubling delay before retry `attempt` (1 is the first), or `None` when the deadline cannot be met.
///
/// The delay is at least half of its longest value, so that a retry never hits at the instant of the failure, and
/// is random above that, so that the calls that failed together do not come back together.
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
    let longest = FIRST_DELAY
        .saturating_mul(1 << doublings)
        .min(LONGEST_DELAY);
    let delay = longest.mul_f64(random.random_range(0.5..=1.0));
    Some(delay.min(spare))
}
