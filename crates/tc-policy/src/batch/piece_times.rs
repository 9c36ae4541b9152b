//! Estimates call durations from the calls observed so far.

use std::{collections::BTreeMap, time::Duration};

use tc_protocol::routing::BatchSpec;

/// Fraction of an error by which the estimates are corrected; a dozen calls correct most of a persistent error.
const LEARNING_RATE: f64 = 0.2;
/// Bounds of the estimates, as multiples of the configured time of a piece.
const BOUNDS: (f64, f64) = (0.1, 4.0);

/// Estimated time of a piece by the size of its result. Piece times within a service differ by stage, and the results
/// of a stage have the same size, so the size identifies the stage.
#[derive(Debug, Default)]
pub(super) struct PieceTimes {
    /// Seconds by result size in bytes. Few sizes, looked up for each waiting job on each event.
    by_result_size: BTreeMap<u64, f64>,
}

impl PieceTimes {
    /// Expected duration of a call with pieces of these result sizes, at nominal speed.
    pub(super) fn expected_call(&self, spec: &BatchSpec, result_sizes: &[u64]) -> Duration {
        let pieces: f64 = result_sizes
            .iter()
            .map(|result_size| self.piece_seconds(spec, *result_size))
            .sum();
        spec.call_overhead + Duration::from_secs_f64(pieces)
    }

    /// Updates the estimates from a call that took `took` on an upstream with this slowdown.
    pub(super) fn record(
        &mut self,
        spec: &BatchSpec,
        result_sizes: &[u64],
        took: Duration,
        slowdown: f64,
    ) {
        let expected = self.expected_call(spec, result_sizes).as_secs_f64();
        let error = took.as_secs_f64() / slowdown - expected;
        let mut counts: BTreeMap<u64, f64> = BTreeMap::new();
        for result_size in result_sizes {
            *counts.entry(*result_size).or_default() += 1.0;
        }
        let squares: f64 = counts.values().map(|n| n * n).sum();
        let configured = spec.piece_time.as_secs_f64();
        for (result_size, count) in counts {
            let updated =
                self.piece_seconds(spec, result_size) + LEARNING_RATE * error * count / squares;
            let bounded = updated.clamp(configured * BOUNDS.0, configured * BOUNDS.1);
            self.by_result_size.insert(result_size, bounded);
        }
    }

    /// Estimated time of one piece, in seconds.
    pub(super) fn piece_seconds(&self, spec: &BatchSpec, result_size: u64) -> f64 {
        let known = self.by_result_size.get(&result_size).copied();
        known.unwrap_or(spec.piece_time.as_secs_f64())
    }
}
