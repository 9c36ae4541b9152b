//! Measures the latency that the caller server adds to a pipeline of four stages, compared with calling the same
//! upstreams directly.
//!
//! `cargo run --release -p tc-caller --example overhead`

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use support::TestEnv;
use tc_protocol::{Attempt, ServiceKind, Stage};
use tc_upstream::{ClientSettings, StageCall, UpstreamClient};

const ROUNDS: usize = 3_000;
const WARM_UP: usize = 300;
const STAGES: [(&str, &str); 4] = [
    ("one", "encode"),
    ("two", "rerank"),
    ("three", "encode"),
    ("four", "rerank"),
];

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let env = TestEnv::start().await;
    env.reconfigure(|config| {
        let scores = config.pipelines.get_mut("scores").unwrap();
        scores.stages = STAGES
            .iter()
            .map(|(name, service)| Stage {
                name: (*name).into(),
                service: (*service).into(),
                max_tokens: 0,
            })
            .collect();
    });
    let upstream = UpstreamClient::new(ClientSettings::default());
    let (mut direct, mut through_server) = (Vec::new(), Vec::new());
    // The calls alternate, so that other load on the machine affects both in the same way.
    for round in 0..ROUNDS + WARM_UP {
        let input = format!("probe log {round}");
        let started = Instant::now();
        call_directly(&env, &upstream, &input).await;
        direct.push(started.elapsed());
        let started = Instant::now();
        let response = env.client.pipeline("scores", &input, &[]).await;
        through_server.push(started.elapsed());
        assert!(response.status.is_success(), "{}", response.text());
    }
    for (name, times) in [("direct", &mut direct), ("through", &mut through_server)] {
        times.drain(..WARM_UP);
        times.sort_unstable();
        println!(
            "{name}: p50 {:?}, p99 {:?}",
            quantile_of(times, 0.5),
            quantile_of(times, 0.99)
        );
    }
    let added = quantile_of(&through_server, 0.5).saturating_sub(quantile_of(&direct, 0.5));
    println!("added at p50: {added:?}");
}

fn quantile_of(sorted: &[Duration], quantile: f64) -> Duration {
    sorted[((sorted.len() - 1) as f64 * quantile) as usize]
}

async fn call_directly(env: &TestEnv, upstream: &UpstreamClient, input: &str) {
    let mut input: Arc<str> = input.into();
    for (stage, service) in STAGES {
        let pool = env.upstreams.pool(&format!("{service}-1"));
        let reply = upstream.run_stage(StageCall {
            upstream: pool.id().clone(),
            address: pool.address(),
            kind: ServiceKind::Pool,
            request: "direct-0-0".into(),
            stage: stage.into(),
            attempt: Attempt(0),
            model: None,
            input,
            max_tokens: 0,
            priority: 3,
            remaining: Duration::from_secs(5),
            idempotency_key: None,
            traceparent: None,
        });
        input = reply.await.expect("stage call failed").output.into();
    }
}
