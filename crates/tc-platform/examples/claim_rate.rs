//! Measures claims against the platform stand-in and prints one JSON line per number of writers.
//!
//! `cargo run --release -p tc-platform --example claim_rate -- [shards] [commit interval in ms]
//! [claims per second] [seconds] [round trip in ms] [store calls per second of each writer]`.
//! Claims are evenly spaced and their outcomes recorded immediately. The rate is the total of all
//! writers.

use std::{env, time::Duration};

use futures::future::join_all;
use serde_json::json;
use tc_platform::{Claims, ClaimsSettings, Store, StoreSettings};
use tc_protocol::{ClaimKey, ClaimVerdict, Incarnation, RecordedOutcome, RunState};
use tc_stand_ins::{Platform, RateLimits};
use tokio::time::{Instant, MissedTickBehavior, interval};

const WRITERS: [u32; 4] = [1, 2, 4, 8];
const WAIT: Duration = Duration::from_secs(2);

struct Load {
    shards: u32,
    commit_interval: Duration,
    claims_per_s: f64,
    run_for: Duration,
    round_trip: Duration,
    calls_per_s: f64,
}

impl Load {
    fn from_args() -> Self {
        let args: Vec<f64> = env::args().skip(1).flat_map(|a| a.parse()).collect();
        let arg = |at: usize, default: f64| args.get(at).copied().unwrap_or(default);
        Self {
            shards: arg(0, 16.0) as u32,
            commit_interval: Duration::from_secs_f64(arg(1, 20.0) / 1e3),
            claims_per_s: arg(2, 100.0),
            run_for: Duration::from_secs_f64(arg(3, 5.0)),
            round_trip: Duration::from_secs_f64(arg(4, 2.0) / 1e3),
            calls_per_s: arg(5, 50.0),
        }
    }
}

#[tokio::main]
async fn main() {
    let load = Load::from_args();
    for writers in WRITERS {
        let result = measure(&load, writers).await;
        #[expect(clippy::print_stdout, reason = "the measurement's output")]
        {
            println!("{result}");
        }
    }
}

async fn measure(load: &Load, writers: u32) -> serde_json::Value {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).await;
    let platform = platform.expect("a loopback address is free");
    platform
        .faults()
        .set_rate_limits(Some(RateLimits::default()));
    platform.faults().set_slow(load.round_trip);
    let started = Instant::now();
    let runs = (0..writers).map(|writer| run_writer(load, &platform, writer, writers));
    let mut waits: Vec<Option<f64>> = join_all(runs).await.concat();
    let seconds = started.elapsed().as_secs_f64();
    let asked = waits.len();
    waits.retain(Option::is_some);
    let mut waits: Vec<f64> = waits.into_iter().flatten().collect();
    waits.sort_by(f64::total_cmp);
    let calls = platform.calls();
    let rate = |verb: &str| calls.get(verb).copied().unwrap_or(0) as f64 / seconds;
    json!({
        "writers": writers,
        "shards": load.shards,
        "commit_interval_ms": load.commit_interval.as_secs_f64() * 1e3,
        "round_trip_ms": load.round_trip.as_secs_f64() * 1e3,
        "asked_per_s": asked as f64 / seconds,
        "claimed_per_s": waits.len() as f64 / seconds,
        "unavailable": asked - waits.len(),
        "store_writes_per_s": rate("put tanagercroft-claims"),
        "store_reads_per_s": rate("get tanagercroft-claims"),
        "claim_p50_ms": quantile(&waits, 0.5),
        "claim_p99_ms": quantile(&waits, 0.99),
    })
}

/// Returns the milliseconds until each claim of one writer was acquired, or `None` for claims that
/// were not.
async fn run_writer(
    load: &Load,
    platform: &Platform,
    writer: u32,
    writers: u32,
) -> Vec<Option<f64>> {
    let store = Store::new(StoreSettings {
        address: platform.address(),
        calls_per_s: load.calls_per_s,
        timeout: Duration::from_secs(1),
    });
    let holder = format!("writer-{writer}");
    let settings = ClaimsSettings {
        shards: load.shards,
        commit_interval: load.commit_interval,
        max_batch: 256,
        retention: Duration::from_mins(10),
        holder: holder.as_str().into(),
        incarnation: Incarnation(1),
    };
    let claims = Claims::start(store, settings);
    let mut ticks = interval(Duration::from_secs_f64(
        f64::from(writers) / load.claims_per_s,
    ));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let count = (load.run_for.as_secs_f64() * load.claims_per_s / f64::from(writers)) as u32;
    let mut tasks = Vec::new();
    for number in 0..count {
        ticks.tick().await;
        let key = ClaimKey {
            workspace: "bench".into(),
            target: "pipeline/claims".into(),
            key: format!("{holder}-{number}"),
        };
        tasks.push(tokio::spawn(claim_and_record(claims.clone(), key)));
    }
    join_all(tasks).await.into_iter().flatten().collect()
}

async fn claim_and_record(claims: Claims, key: ClaimKey) -> Option<f64> {
    let started = Instant::now();
    let verdict = claims.claim(key.clone(), 1, WAIT).await;
    let took = started.elapsed().as_secs_f64() * 1e3;
    let ClaimVerdict::Acquired { claim_id } = verdict else {
        return None;
    };
    let outcome = RecordedOutcome {
        status: 200,
        content_type: "application/json".into(),
        body: Some("{\"notice\":\"sent\"}".into()),
        run_state: RunState::Ran,
    };
    // How long recording takes does not count towards the duration of the claim.
    let _ = claims.record(&key, &claim_id, outcome).await;
    Some(took)
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let at = (sorted.len() as f64 * q) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}
