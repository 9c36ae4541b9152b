//! Compares the latency of a pool call with that of an exchange of the same bytes on a bare `hyper` connection.
//!
//! `cargo run --release -p tc-upstream --example call_overhead -- [CALLS]` prints the p50 and p99 of both in
//! microseconds. Both call the same stand-in, which does no work, in alternation, so that other load on the machine
//! affects them equally.

use std::{
    env,
    error::Error,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tc_protocol::{
    Attempt, ServiceKind,
    wire::{ATTEMPT, PoolRequest, REQUEST_ID, STAGE},
};
use tc_stand_ins::{Pool, PoolConfig, Recorder};
use tc_upstream::{ClientSettings, StageCall, UpstreamClient};
use tokio::net::TcpStream;

const DEFAULT_CALLS: u64 = 20_000;
const WARM_UP: u64 = 500;
const INPUT_BYTES: usize = 2_000;

type BoxError = Box<dyn Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let calls = match env::args().nth(1) {
        Some(text) => text.parse()?,
        None => DEFAULT_CALLS,
    };
    let pool = Pool::start(
        SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        PoolConfig::new("pool-1", "rerank"),
        Recorder::new(),
    )
    .await?;
    // Runs in a spawned task, as in the server: the runtime schedules its main task differently.
    tokio::spawn(measure(pool.address(), calls)).await?
}

async fn measure(address: SocketAddr, calls: u64) -> Result<(), BoxError> {
    let client = UpstreamClient::new(ClientSettings::default());
    let mut bare = connect(address).await?;
    let mut bare_times = Histogram::<u64>::new(3)?;
    let mut call_times = Histogram::<u64>::new(3)?;
    for n in 0..calls + WARM_UP {
        let call = stage_call(address, n);
        let bare_time = bare_exchange(&mut bare, &call).await?;
        let started = Instant::now();
        client.run_stage(call).await?;
        let call_time = started.elapsed();
        if n >= WARM_UP {
            bare_times.record(bare_time.as_nanos() as u64)?;
            call_times.record(call_time.as_nanos() as u64)?;
        }
    }
    report("bare hyper", &bare_times);
    report("tc-upstream", &call_times);
    Ok(())
}

fn report(name: &str, times: &Histogram<u64>) {
    let micros = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{name:<12} p50 {:>7.1} us  p99 {:>7.1} us  ({} calls)",
        micros(0.5),
        micros(0.99),
        times.len()
    );
}

fn stage_call(address: SocketAddr, n: u64) -> StageCall {
    StageCall {
        upstream: "pool-1".into(),
        address,
        kind: ServiceKind::Pool,
        request: format!("r-{n:x}").as_str().into(),
        stage: "rerank".into(),
        attempt: Attempt(0),
        model: None,
        input: "i".repeat(INPUT_BYTES).into(),
        max_tokens: 0,
        priority: 3,
        remaining: Duration::from_secs(5),
        idempotency_key: None,
        traceparent: None,
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, BoxError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends the same request. The time excludes the encoding of the request body, and the response is not decoded.
async fn bare_exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    call: &StageCall,
) -> Result<Duration, BoxError> {
    let body = serde_json::to_vec(&PoolRequest {
        request_id: call.request.clone(),
        stage: call.stage.clone(),
        attempt: call.attempt,
        input: call.input.as_ref().to_owned(),
    })?;
    let request = Request::post("/run")
        .header(header::HOST, call.address.to_string())
        .header(REQUEST_ID, call.request.as_str())
        .header(STAGE, call.stage.as_str())
        .header(ATTEMPT, call.attempt.0)
        .body(Full::from(body))?;
    let started = Instant::now();
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    response.into_body().collect().await?;
    Ok(started.elapsed())
}
