//! Pieces counted by when they are due.

use std::time::Duration;

/// Width of a bucket: what two ranks of requests are apart by, and about half a call.
const STEP: Duration = Duration::from_millis(250);
/// Buckets; what is due later than four seconds counts in the last one.
const BUCKETS: usize = 16;

/// Pieces by the time until they are due, coarse enough to ride on every answer of a home.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::DueHistogram;
/// let mut pieces = DueHistogram::default();
/// pieces.add(Duration::from_millis(100), 10);
/// pieces.add(Duration::from_millis(600), 20);
/// assert_eq!(pieces.due_before(Duration::from_millis(500)), 10.0);
/// assert_eq!(pieces.due_before(Duration::from_millis(625)), 20.0);
/// assert_eq!(pieces.total(), 30);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueHistogram {
    counts: [u32; BUCKETS],
}

impl DueHistogram {
    /// Adds pieces that are due after `due`.
    pub fn add(&mut self, due: Duration, pieces: u32) {
        let count = &mut self.counts[bucket(due)];
        *count = count.saturating_add(pieces);
    }

    /// Pieces due before `due`; within a bucket they count as spread evenly.
    #[must_use]
    pub fn due_before(&self, due: Duration) -> f64 {
        let last = bucket(due);
        let whole: f64 = self.counts[..last].iter().copied().map(f64::from).sum();
        let into = due.as_secs_f64() / STEP.as_secs_f64() - last as f64;
        whole + f64::from(self.counts[last]) * into.min(1.0)
    }

    /// All of them.
    #[must_use]
    pub fn total(&self) -> u32 {
        let add = |sum: u32, count: &u32| sum.saturating_add(*count);
        self.counts.iter().fold(0, add)
    }

    /// The buckets, earliest first, without empty ones at the end; for a message.
    #[must_use]
    pub fn counts(&self) -> &[u32] {
        let used = self.counts.iter().rposition(|count| *count > 0);
        &self.counts[..used.map_or(0, |last| last + 1)]
    }

    /// The inverse of [`DueHistogram::counts`]; buckets beyond the last count in it.
    #[must_use]
    pub fn from_counts(counts: &[u32]) -> Self {
        let mut pieces = Self::default();
        for (number, count) in counts.iter().enumerate() {
            let kept = &mut pieces.counts[number.min(BUCKETS - 1)];
            *kept = kept.saturating_add(*count);
        }
        pieces
    }
}

fn bucket(due: Duration) -> usize {
    let number = due.as_millis() / STEP.as_millis();
    (number as usize).min(BUCKETS - 1)
}
