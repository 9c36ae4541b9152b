//! Deadline-based admission of pipelines, queueing slack of stages, and hedging.

use std::time::Duration;

use crate::StageEstimate;

/// Lower bound of the retry hint.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of the retry hint.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Minimum spread of a stage, so that a stage without measurements gets a part of the slack too.
const MIN_SPREAD: Duration = Duration::from_millis(1);
/// Minimum time before a stage is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Returns the estimated time of `stages` if it fits in `remaining`; otherwise returns a hint for when to retry.
///
/// A stage without measurements counts as zero, so that it runs and gets measured.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{StageEstimate, admit};
/// let ms = Duration::from_millis;
/// let stage = StageEstimate { at_quantile: ms(40), known: true, ..StageEstimate::default() };
/// assert_eq!(admit(ms(100), &[stage, stage]), Ok(ms(80)));
/// assert!(admit(ms(79), &[stage, stage]).is_err());
/// ```
pub fn admit(remaining: Duration, stages: &[StageEstimate]) -> Result<Duration, Duration> {
    let estimate: Duration = stages.iter().map(|s| s.at_quantile).sum();
    if !remaining.is_zero() && estimate <= remaining {
        return Ok(estimate);
    }
    let shortfall = estimate.saturating_sub(remaining);
    Err(shortfall.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}

/// Returns how long the first stage of `rest` may wait for its permit. Zero means that it may run only if it can start
/// now.
///
/// The first stage reserves its p95 and each later one its `at_quantile` estimate, so that a call that starts at the
/// end of its slack still nearly always finishes in time. With a median in place of the p95, an overloaded queue would
/// start every call at the last moment and half of them would run for nothing. The remaining time is divided in
/// proportion to the spread (p95 minus median), so a stage with high variance gets most of it.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{StageEstimate, slack_for};
/// let ms = Duration::from_millis;
/// let stage = StageEstimate { at_quantile: ms(20), median: ms(20), p95: ms(30), known: true };
/// assert_eq!(slack_for(ms(100), &[stage]), ms(70));
/// assert_eq!(slack_for(ms(100), &[stage, stage]), ms(25));
/// assert_eq!(slack_for(ms(20), &[stage]), ms(0));
/// ```
#[must_use]
pub fn slack_for(remaining: Duration, rest: &[StageEstimate]) -> Duration {
    let Some((first, later)) = rest.split_first() else {
        return remaining;
    };
    let needed_later: Duration = later.iter().map(|s| s.at_quantile).sum();
    let needed = first.p95.max(first.at_quantile) + needed_later;
    let spare = remaining.saturating_sub(needed);
    let total_spread: Duration = rest.iter().map(spread).sum();
    spare.mul_f64(spread(first).as_secs_f64() / total_spread.as_secs_f64())
}

fn spread(stage: &StageEstimate) -> Duration {
    stage.p95.saturating_sub(stage.median).max(MIN_SPREAD)
}

/// Returns how long after its start a call of the stage should be hedged, or `None` if a hedge could not finish in
/// time.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{StageEstimate, hedge_after};
/// let ms = Duration::from_millis;
/// let stage = StageEstimate { at_quantile: ms(20), median: ms(20), p95: ms(50), known: true };
/// assert_eq!(hedge_after(&stage, ms(100)), Some(ms(50)));
/// assert_eq!(hedge_after(&stage, ms(60)), None);
/// ```
#[must_use]
pub fn hedge_after(stage: &StageEstimate, remaining: Duration) -> Option<Duration> {
    if !stage.known {
        return None;
    }
    let after = stage.p95.max(MIN_HEDGE_DELAY);
    (after + stage.median <= remaining).then_some(after)
}
