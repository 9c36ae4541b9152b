//! Measures the calls per second that the stand-ins of one process sustain.
//!
//! `cargo run --release -p tc-stand-ins --example call_rate` calls each kind over 32 connections for two seconds and
//! prints one JSON line a kind. Client and stand-ins share the process, so the figures are a lower bound.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tc_protocol::{
    Attempt,
    wire::{CompletionRequest, PoolRequest},
};
use tc_stand_ins::{Engine, EngineConfig, Plain, PlainConfig, Pool, PoolConfig, Recorder};
use tokio::{net::TcpStream, task::JoinSet};

const CONNECTIONS: usize = 32;
const FOR: Duration = Duration::from_secs(2);
const TOKENS: u32 = 16;

type Failure = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let recorder = Recorder::new();
    let pool = PoolConfig {
        slots: 64,
        ..PoolConfig::new("pool-1", "encode")
    };
    let pool = Pool::start(any, pool, recorder.clone()).await?;
    let engine = EngineConfig {
        slots: 64,
        ..EngineConfig::new("engine-1", "generate")
    };
    let engine = Engine::start(any, engine, recorder.clone()).await?;
    let plain = Plain::start(
        any,
        PlainConfig::new("plain-1", "records"),
        recorder.clone(),
    )
    .await?;

    measure("pool", pool.address(), "/run", &pool_call()).await?;
    let whole = completion(false);
    measure("engine", engine.address(), "/v1/completions", &whole).await?;
    let streamed = completion(true);
    measure(
        "engine stream",
        engine.address(),
        "/v1/completions",
        &streamed,
    )
    .await?;
    measure("plain", plain.address(), "/lots/7", &"{}").await
}

fn pool_call() -> PoolRequest {
    PoolRequest {
        request_id: "r-1".into(),
        stage: "encode".into(),
        attempt: Attempt(0),
        input: "a probe log of some length".repeat(8),
    }
}

fn completion(stream: bool) -> CompletionRequest {
    CompletionRequest {
        model: "drafter".to_owned(),
        prompt: "a probe log of some length".repeat(8),
        max_tokens: TOKENS,
        stream,
        priority: 3,
    }
}

async fn measure(
    kind: &str,
    address: SocketAddr,
    path: &'static str,
    call: &impl Serialize,
) -> Result<(), Failure> {
    let body = Bytes::from(serde_json::to_vec(call)?);
    let numbers = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let mut connections = JoinSet::new();
    for _ in 0..CONNECTIONS {
        connections.spawn(drive(address, path, body.clone(), Arc::clone(&numbers)));
    }
    while let Some(driven) = connections.join_next().await {
        driven??;
    }
    let rate = numbers.load(Ordering::Relaxed) as f64 / started.elapsed().as_secs_f64();
    let line = serde_json::json!({ "kind": kind, "calls_per_s": rate.round() });
    println!("{line}");
    Ok(())
}

async fn drive(
    address: SocketAddr,
    path: &str,
    body: Bytes,
    numbers: Arc<AtomicU64>,
) -> Result<(), Failure> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut tx, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    let started = Instant::now();
    while started.elapsed() < FOR {
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        let req = Request::post(path)
            .header("host", "stand-in")
            .header("x-request-id", number)
            .header("x-stage", "stage")
            .header("x-attempt", "0")
            .body(Full::new(body.clone()))?;
        let resp = tx.send_request(req).await?;
        if resp.status() != StatusCode::OK {
            return Err(format!("status {}", resp.status()).into());
        }
        resp.into_body().collect().await?;
    }
    Ok(())
}
