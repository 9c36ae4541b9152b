//! The load: kinds of requests whose chains of stages share services, and how often each comes.

use std::time::Duration;

use rand_xoshiro::{Xoroshiro128PlusPlus, rand_core::RngCore};
use tc_protocol::routing::{BatchSpec, RouteStage};

/// Names of the services, in the order of a chain.
pub(crate) const SERVICES: [&str; 3] = ["first", "second", "third"];
/// Upstreams of each.
pub(crate) const MAKERS: [usize; 3] = [19, 15, 18];
/// Results from this size on are work of the full time; smaller ones of the first service take a part of it.
const LARGE: u64 = 1_000_000;
const SMALL_WORK: f64 = 0.3;

/// Calls of a third of a second when full. The second service is the narrowest: 2,100 pieces a second in full calls.
pub(crate) fn spec(service: usize) -> BatchSpec {
    let (max_pieces, piece_us, result_capacity_bytes) = [
        (20, 8_600, 47_000_000),
        (52, 3_300, 7_000_000),
        (74, 2_300, 970_000),
    ][service];
    BatchSpec {
        slots: 1,
        queue_capacity: 2,
        max_pieces,
        call_overhead: Duration::from_millis(200),
        piece_time: Duration::from_micros(piece_us),
        result_capacity_bytes,
        result_ttl: Duration::from_secs(4),
        link_bytes_per_s: 1.25e9,
    }
}

/// Time that an upstream takes for one piece.
pub(crate) fn piece_time(service: usize, result_bytes: u64) -> Duration {
    let full = spec(service).piece_time;
    if service == 0 && result_bytes < LARGE {
        full.mul_f64(SMALL_WORK)
    } else {
        full
    }
}

/// A kind of request.
pub(crate) struct Kind {
    pub(crate) per_s: f64,
    pub(crate) aim: Duration,
    pub(crate) patience: Duration,
    pub(crate) rank: u8,
    pub(crate) stages: Vec<RouteStage>,
    /// Mean pieces of each stage, and the part of requests that have it.
    pub(crate) pieces: Vec<(f64, f64)>,
}

fn stage(service: usize, after: &[usize], result_bytes: u64) -> RouteStage {
    RouteStage {
        service: SERVICES[service].into(),
        depends_on: after.to_vec(),
        result_bytes,
    }
}

/// Half of the requests have a chain of three stages; the others share its first service.
pub(crate) fn kinds() -> Vec<Kind> {
    let chain = |first: usize| {
        [
            stage(0, &[], 8_000),
            stage(1, &[first], 60_000),
            stage(2, &[first + 1], 6_000),
        ]
    };
    let mut beside = vec![stage(0, &[], 1_500_000)];
    beside.extend(chain(1));
    vec![
        Kind {
            per_s: 165.0,
            aim: Duration::from_millis(1_800),
            patience: Duration::from_secs(6),
            rank: 0,
            stages: chain(0).to_vec(),
            pieces: vec![(1.0, 1.0), (6.0, 1.0), (10.0, 1.0)],
        },
        Kind {
            per_s: 145.0,
            aim: Duration::from_millis(910),
            patience: Duration::from_millis(3_640),
            rank: 1,
            stages: vec![stage(0, &[], 1_500_000)],
            pieces: vec![(2.5, 0.7)],
        },
        Kind {
            per_s: 41.0,
            aim: Duration::from_millis(1_700),
            patience: Duration::from_millis(6_800),
            rank: 2,
            stages: beside,
            pieces: vec![(1.5, 0.4), (1.0, 1.0), (6.0, 1.0), (10.0, 1.0)],
        },
    ]
}

/// Chance that is the same in every run.
pub(crate) struct Chance(pub(crate) Xoroshiro128PlusPlus);

impl Chance {
    /// Evenly within 0 to 1.
    pub(crate) fn part(&mut self) -> f64 {
        f64::from(self.0.next_u32() >> 8) / f64::from(1 << 24)
    }

    pub(crate) fn below(&mut self, end: usize) -> usize {
        (self.part() * end as f64) as usize
    }

    /// Pieces of a stage: the mean give or take four tenths.
    pub(crate) fn pieces(&mut self, (mean, share): (f64, f64)) -> u32 {
        if self.part() >= share {
            return 0;
        }
        (mean * (0.6 + 0.8 * self.part())).round().max(1.0) as u32
    }
}
