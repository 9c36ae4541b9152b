//! Workload: kinds of requests whose chains of stages share services, and their arrival rates.

use std::time::Duration;

use rand_xoshiro::{Xoroshiro128PlusPlus, rand_core::RngCore};
use tc_protocol::routing::{BatchSpec, RouteStage};

/// Service names, in the order of a chain.
pub(crate) const SERVICES: [&str; 3] = ["first", "second", "third"];
/// Number of upstreams of each service.
pub(crate) const UPSTREAMS: [usize; 3] = [19, 15, 18];
/// Results of at least this size take the full piece time; smaller ones of the first service take a fraction of it.
const LARGE: u64 = 1_000_000;
const SMALL_RESULT_WORK: f64 = 0.3;

/// Full calls take a third of a second. The second service is the bottleneck: 2,100 pieces a second in full calls.
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

/// Time that an upstream needs for one piece.
pub(crate) fn piece_time(service: usize, result_bytes: u64) -> Duration {
    let full = spec(service).piece_time;
    if service == 0 && result_bytes < LARGE {
        full.mul_f64(SMALL_RESULT_WORK)
    } else {
        full
    }
}

/// A kind of request.
pub(crate) struct RequestKind {
    pub(crate) per_s: f64,
    pub(crate) latency_target: Duration,
    pub(crate) timeout: Duration,
    pub(crate) priority: u8,
    pub(crate) stages: Vec<RouteStage>,
    /// Mean number of pieces of each stage, and the fraction of requests that have the stage.
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
pub(crate) fn kinds() -> Vec<RequestKind> {
    let chain = |first: usize| {
        [
            stage(0, &[], 8_000),
            stage(1, &[first], 60_000),
            stage(2, &[first + 1], 6_000),
        ]
    };
    let mut stages_of_third = vec![stage(0, &[], 1_500_000)];
    stages_of_third.extend(chain(1));
    vec![
        RequestKind {
            per_s: 165.0,
            latency_target: Duration::from_millis(1_800),
            timeout: Duration::from_secs(6),
            priority: 0,
            stages: chain(0).to_vec(),
            pieces: vec![(1.0, 1.0), (6.0, 1.0), (10.0, 1.0)],
        },
        RequestKind {
            per_s: 145.0,
            latency_target: Duration::from_millis(910),
            timeout: Duration::from_millis(3_640),
            priority: 1,
            stages: vec![stage(0, &[], 1_500_000)],
            pieces: vec![(2.5, 0.7)],
        },
        RequestKind {
            per_s: 41.0,
            latency_target: Duration::from_millis(1_700),
            timeout: Duration::from_millis(6_800),
            priority: 2,
            stages: stages_of_third,
            pieces: vec![(1.5, 0.4), (1.0, 1.0), (6.0, 1.0), (10.0, 1.0)],
        },
    ]
}

/// Deterministic random number generator.
pub(crate) struct Random(pub(crate) Xoroshiro128PlusPlus);

impl Random {
    /// Uniformly distributed in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32() >> 8) / f64::from(1 << 24)
    }

    pub(crate) fn below(&mut self, end: usize) -> usize {
        (self.unit() * end as f64) as usize
    }

    /// Number of pieces of a stage: the mean ± 40%.
    pub(crate) fn pieces(&mut self, (mean, fraction): (f64, f64)) -> u32 {
        if self.unit() >= fraction {
            return 0;
        }
        (mean * (0.6 + 0.8 * self.unit())).round().max(1.0) as u32
    }
}
