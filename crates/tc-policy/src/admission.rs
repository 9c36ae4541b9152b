//! Whether a pipeline still fits its deadline, how long its next stage may wait, and when to hedge.

use std::time::Duration;

use crate::StageEstimate;

/// Shortest hint when to ask again.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest hint when to ask again.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Least spread a stage is given, so that stages with none measured get a part of the slack too.
const LEAST_SPREAD: Duration = Duration::from_millis(1);
/// Shortest time after which a stage is hedged.
const SHORTEST_HEDGE: Duration = Duration::from_millis(2);

/// The estimated time of `stages` if it fits in `remaining`, else when asking again may help.
///
/// A stage of which nothing is known counts as no time: it is tried, and so becomes known.
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
    let missing = estimate.saturating_sub(remaining);
    Err(missing.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER))
}

/// How long the first of the `rest` of the stages may wait for its permit.
///
/// The next stage is given time up to its p95 and the later ones up to their estimate. A call that starts when its
/// slack ends then still ends in time nearly always; with a middling estimate in place of the p95, an overloaded
/// queue would start every call at the last moment and half of them would run for nothing. What is left is shared
/// by spread (p95 less median), so a stage that varies a lot gets most of it. Zero means: only if it can start now.
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
    let spread_of_all: Duration = rest.iter().map(spread).sum();
    spare.mul_f64(spread(first).as_secs_f64() / spread_of_all.as_secs_f64())
}

fn spread(stage: &StageEstimate) -> Duration {
    stage.p95.saturating_sub(stage.median).max(LEAST_SPREAD)
}

/// How long after its start a call of the stage is a straggler worth a hedge, or `None` when a hedge cannot help.
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
    let after = stage.p95.max(SHORTEST_HEDGE);
    (after + stage.median <= remaining).then_some(after)
}
