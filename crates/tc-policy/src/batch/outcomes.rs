//! Counts how the jobs of a home end, so that an operator recognises a service that is short.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);
/// A service is short while at least one in this many jobs is late or refused.
const SHORT_DIVISOR: u32 = 4;

/// End of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Its pieces were made while the request could still meet its latency target.
    OnTime,
    /// Its pieces were made later than that.
    Late,
    /// It was refused.
    Refused,
}

impl JobOutcome {
    /// Returns the outcome as a label of a metric.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::Late => "late",
            Self::Refused => "refused",
        }
    }
}

/// Number of jobs that ended, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Jobs that were on time.
    pub on_time: u32,
    /// Jobs that were late.
    pub late: u32,
    /// Jobs that were refused.
    pub refused: u32,
}

/// Counts outcomes in windows of a second.
///
/// ```
/// use tc_policy::{JobOutcome, JobOutcomes};
/// use tc_protocol::MonoTime;
/// let mut outcomes = JobOutcomes::default();
/// for ms in [0, 300, 600] {
///     assert_eq!(outcomes.record(MonoTime::from_millis(ms), JobOutcome::Late), None);
/// }
/// let short = outcomes.record(MonoTime::from_millis(1_100), JobOutcome::OnTime);
/// assert_eq!(short.map(|counts| (counts.on_time, counts.late)), Some((1, 3)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct JobOutcomes {
    since: Option<MonoTime>,
    counts: OutcomeCounts,
}

impl JobOutcomes {
    /// Counts the end of a job. Returns the counts of a window that it completes, if the service was short in it.
    pub fn record(&mut self, now: MonoTime, outcome: JobOutcome) -> Option<OutcomeCounts> {
        let since = *self.since.get_or_insert(now);
        let count = match outcome {
            JobOutcome::OnTime => &mut self.counts.on_time,
            JobOutcome::Late => &mut self.counts.late,
            JobOutcome::Refused => &mut self.counts.refused,
        };
        *count = count.saturating_add(1);
        if now.since(since) < WINDOW {
            return None;
        }
        let counts = std::mem::take(&mut self.counts);
        self.since = Some(now);
        counts.is_short().then_some(counts)
    }
}

impl OutcomeCounts {
    fn is_short(&self) -> bool {
        let missed = self.late.saturating_add(self.refused);
        missed.saturating_mul(SHORT_DIVISOR) >= missed.saturating_add(self.on_time)
    }
}
