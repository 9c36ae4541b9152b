//! How long a call with given pieces takes, learnt from calls.

use std::{collections::HashMap, time::Duration};

use tc_protocol::routing::BatchSpec;

/// Step by which an error changes the estimates; a dozen calls move them by most of a lasting error.
const STEP: f64 = 0.2;
/// Estimates stay within these multiples of the configured time of a piece.
const BOUNDS: (f64, f64) = (0.1, 4.0);

/// Times of pieces by kind. Pieces of one service differ by stage, and results of one stage have one size, so the
/// size tells the kind.
#[derive(Debug, Default)]
pub(super) struct PieceTimes {
    /// Seconds by size of result.
    by_kind: HashMap<u64, f64>,
}

impl PieceTimes {
    /// Expected time of a call with pieces of these kinds, at ordinary speed.
    pub(super) fn expect(&self, spec: &BatchSpec, kinds: &[u64]) -> Duration {
        let pieces: f64 = kinds.iter().map(|kind| self.of(spec, *kind)).sum();
        spec.call_overhead + Duration::from_secs_f64(pieces)
    }

    /// Learns from a call that took so long on an upstream of this speed.
    pub(super) fn learn(&mut self, spec: &BatchSpec, kinds: &[u64], took: Duration, speed: f64) {
        let expected = self.expect(spec, kinds).as_secs_f64();
        let error = took.as_secs_f64() / speed - expected;
        let mut counts: HashMap<u64, f64> = HashMap::new();
        for kind in kinds {
            *counts.entry(*kind).or_default() += 1.0;
        }
        let squares: f64 = counts.values().map(|n| n * n).sum();
        let configured = spec.piece_time.as_secs_f64();
        for (kind, count) in counts {
            let moved = self.of(spec, kind) + STEP * error * count / squares;
            let bounded = moved.clamp(configured * BOUNDS.0, configured * BOUNDS.1);
            self.by_kind.insert(kind, bounded);
        }
    }

    /// Seconds of one piece.
    pub(super) fn of(&self, spec: &BatchSpec, kind: u64) -> f64 {
        let known = self.by_kind.get(&kind).copied();
        known.unwrap_or(spec.piece_time.as_secs_f64())
    }
}
