//! Histogram of pieces by due time.

use std::time::Duration;

use super::queue_order::{PRIORITY_LEVELS, level_of};

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

/// Pieces of the priorities below the most urgent, by due time.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::PiecesByPriority;
/// let mut pieces = PiecesByPriority::default();
/// pieces.add(0, Duration::ZERO, 10);
/// pieces.add(2, Duration::ZERO, 20);
/// let of_levels: Vec<u32> = pieces.levels().map(|level| level.total()).collect();
/// assert_eq!(of_levels, [0, 20, 0], "the most urgent priority is not counted here");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PiecesByPriority {
    levels: [DueHistogram; PRIORITY_LEVELS - 1],
}

impl PiecesByPriority {
    /// Adds pieces that are due after `due`, unless their priority is the most urgent.
    pub fn add(&mut self, priority: u8, due: Duration, pieces: u32) {
        if let Some(level) = level_of(priority).checked_sub(1) {
            self.levels[level].add(due, pieces);
        }
    }

    /// Pieces of each level, from the second most urgent on.
    pub fn levels(&self) -> impl Iterator<Item = &DueHistogram> {
        self.levels.iter()
    }

    /// Pieces of a level other than the most urgent.
    pub(super) fn level(&self, level: usize) -> Option<&DueHistogram> {
        self.levels.get(level.checked_sub(1)?)
    }

    /// Pieces of the levels that are less urgent than `level`.
    pub(super) fn below(&self, level: usize) -> impl Iterator<Item = &DueHistogram> {
        self.levels.iter().skip(level)
    }

    /// Inverse of [`PiecesByPriority::levels`]; surplus levels are ignored.
    #[must_use]
    pub fn from_levels(levels: impl IntoIterator<Item = DueHistogram>) -> Self {
        let mut pieces = Self::default();
        for (known, level) in pieces.levels.iter_mut().zip(levels) {
            *known = level;
        }
        pieces
    }
}

fn bucket(due: Duration) -> usize {
    let index = due.as_millis() / BUCKET_WIDTH.as_millis();
    usize::try_from(index).map_or(BUCKETS - 1, |index| index.min(BUCKETS - 1))
}
