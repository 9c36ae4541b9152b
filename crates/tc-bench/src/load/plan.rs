//! When each request is due: a Poisson process per flow, the same for the same seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::flow::Flow;

/// One request that will be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// When it is due, from the start of the load.
    pub(super) due: Duration,
    /// Index of its flow.
    pub(super) flow: usize,
    /// Its number within the run.
    pub(super) number: u64,
}

/// All arrivals of all flows in order of time.
pub(super) fn arrivals(flows: &[Flow], seed: u64) -> Vec<Arrival> {
    let mut all: Vec<(Duration, usize)> = flows
        .iter()
        .enumerate()
        .flat_map(|(at, flow)| {
            flow_arrivals(flow, seed, at)
                .into_iter()
                .map(move |d| (d, at))
        })
        .collect();
    all.sort_unstable();
    all.into_iter()
        .zip(0..)
        .map(|((due, flow), number)| Arrival { due, flow, number })
        .collect()
}

fn flow_arrivals(flow: &Flow, seed: u64, at: usize) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(at as u64));
    let mut dues = Vec::new();
    for span in &flow.rates {
        if span.per_s <= 0.0 {
            continue;
        }
        let mut due = span.from;
        loop {
            let uniform: f64 = rng.random();
            due += Duration::from_secs_f64(-(1.0 - uniform).ln() / span.per_s);
            if due >= span.to {
                break;
            }
            dues.push(due);
        }
    }
    dues
}
