//! Histogram of pieces by due time.

use std::time::Duration;

/// Bucket width: the offset between two priorities, and about half a call.
const BUCKET_WIDTH: Duration = Duration::from_millis(250);
/// Number of buckets; everything due in four seconds or later is counted in the last one.
const BUCKETS: usize = 16;

/// Number of pieces by the time until they are due, small enough to send with every answer of a home.
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

    /// Estimated number of pieces due before `due`, assuming an even distribution within a bucket.
    #[must_use]
    pub fn due_before(&self, due: Duration) -> f64 {
        let last = bucket(due);
        let whole: f64 = self.counts[..last].iter().copied().map(f64::from).sum();
        let fraction = due.as_secs_f64() / BUCKET_WIDTH.as_secs_f64() - last as f64;
        whole + f64::from(self.counts[last]) * fraction.min(1.0)
    }

    /// Total number of pieces.
    #[must_use]
    pub fn total(&self) -> u32 {
        let add = |sum: u32, count: &u32| sum.saturating_add(*count);
        self.counts.iter().fold(0, add)
    }

    /// Bucket counts for a message, earliest first, without trailing empty buckets.
    #[must_use]
    pub fn counts(&self) -> &[u32] {
        let used = self.counts.iter().rposition(|count| *count > 0);
        &self.counts[..used.map_or(0, |last| last + 1)]
    }

    /// Inverse of [`DueHistogram::counts`]; surplus buckets are added to the last one.
    #[must_use]
    pub fn from_counts(counts: &[u32]) -> Self {
        let mut pieces = Self::default();
        for (index, count) in counts.iter().enumerate() {
            let entry = &mut pieces.counts[index.min(BUCKETS - 1)];
            *entry = entry.saturating_add(*count);
        }
        pieces
    }
}

fn bucket(due: Duration) -> usize {
    let index = due.as_millis() / BUCKET_WIDTH.as_millis();
    (index as usize).min(BUCKETS - 1)
}
