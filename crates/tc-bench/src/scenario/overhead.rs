//! Time added by the system to a pipeline of four stages that take no time, one request at a time.

use std::time::{Duration, Instant};

use super::{Scenario, settings::Settings};
use crate::{
    error::BenchError,
    judge::{CallRecord, Evidence, judge},
    load::{
        Binding, Caller, DIRECT_PREFIX, Expected, Request, direct_pipeline, expected_pipeline,
        http_client, token,
    },
    measure::{Latencies, RunReport},
    world::{Shape, Timing, World, standard_spec},
};

/// Pause between two requests, so that they never meet.
const PAUSE: Duration = Duration::from_millis(4);
/// Pairs of requests before the measured ones, which open connections and fill estimators.
const WARM_UP: u64 = 50;
/// Measured pairs a second of the run's length.
const PAIRS_PER_S: f64 = 60.0;
/// Most time the system may add at the median, in milliseconds.
const MAX_ADDED_MS: f64 = 1.0;
const WORKSPACE: &str = "small-a";
const PIPELINE: &str = "answer";
const TIMEOUT: Duration = Duration::from_secs(2);

pub(super) const SCENARIO: Scenario = Scenario {
    name: "overhead",
    about: "four stages without work, one request at a time, beside calling the stand-ins directly",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let no_work = Timing::micros(0, 0);
    let shape = Shape {
        engine: no_work,
        pools: [no_work; 3],
        ..settings.shape()
    };
    let world = World::start(standard_spec(&shape)?).await?;
    let pairs = (settings.length(8.0).as_secs_f64() * PAIRS_PER_S) as u64;
    let start = Instant::now();
    let measured = measure_pairs(&world, pairs, start).await?;
    let mut calls = world.seen_calls(start);
    // Direct calls are the measure, not part of what the system did.
    calls.retain(|c| !c.request_id.starts_with(DIRECT_PREFIX));
    let evidence = Evidence {
        calls: calls.clone(),
        ..Evidence::default()
    };
    let verdict = judge(&measured.records, &evidence);
    let through = Latencies::of(measured.records.iter().map(|r| r.took_ms)).quantile_ms(0.5);
    let direct = Latencies::of(measured.direct_ms).quantile_ms(0.5);
    let mut report = RunReport::of(&measured.records, &calls, verdict, "");
    report.added_latency_p50_ms = through - direct;
    report.claim_clean();
    report.claim(
        "the system adds at most 1 ms at the median",
        format!(
            "{:.3} ms ({through:.3} through, {direct:.3} direct)",
            through - direct
        ),
        through - direct <= MAX_ADDED_MS,
    );
    report.claim(
        "every answer came whole",
        format!(
            "{} of {pairs}",
            measured.records.iter().filter(|r| r.met()).count()
        ),
        measured.records.iter().all(CallRecord::met),
    );
    Ok(report)
}

struct Measured {
    records: Vec<CallRecord>,
    direct_ms: Vec<f64>,
}

/// Calls the stand-ins directly and through the system in turn, so that both meet the same noise of the machine.
async fn measure_pairs(world: &World, pairs: u64, start: Instant) -> Result<Measured, BenchError> {
    let http = http_client();
    let caller = Caller::new(WORKSPACE, &token(&WORKSPACE.into()), world.entries());
    let mut measured = Measured {
        records: Vec::new(),
        direct_ms: Vec::new(),
    };
    for number in 0..WARM_UP + pairs {
        let input = format!("overhead {number}");
        let direct = direct_pipeline(&http, &world.config, &PIPELINE.into(), &input, number)
            .await
            .ok_or_else(|| BenchError::World("a direct call failed".to_owned()))?;
        tokio::time::sleep(PAUSE).await;
        let record = through(world, &caller, &input, start).await;
        tokio::time::sleep(PAUSE).await;
        if number >= WARM_UP {
            measured.direct_ms.push(direct.1.as_secs_f64() * 1_000.0);
            measured.records.push(record);
        }
    }
    Ok(measured)
}

async fn through(world: &World, caller: &Caller, input: &str, start: Instant) -> CallRecord {
    let request = Request {
        path: format!("/v1/pipelines/{PIPELINE}"),
        method: http::Method::POST,
        body: serde_json::json!({ "input": input }).to_string().into(),
        stream: false,
        key: None,
        binding: Binding::None,
        priority: None,
        timeout: TIMEOUT,
        expected: Expected::Output(expected_pipeline(&world.config, &PIPELINE.into(), input)),
    };
    // Asking for addresses is not part of the request; the answer is kept for its max-age.
    let addresses = caller.current_addresses().await;
    let sent = Instant::now();
    let reply = caller.send_to(&request, &addresses, sent).await;
    CallRecord {
        workspace: WORKSPACE.into(),
        target: format!("pipeline/{PIPELINE}"),
        key: None,
        request_id: reply.request_id,
        bound: false,
        first_instance: None,
        instance: reply.instance,
        due_ms: sent.duration_since(start).as_secs_f64() * 1_000.0,
        took_ms: reply.ended_at.duration_since(sent).as_secs_f64() * 1_000.0,
        deadline_ms: TIMEOUT.as_secs_f64() * 1_000.0,
        told: reply.told,
        event_ids: Vec::new(),
        first_token_ms: None,
        between_tokens_ms: Vec::new(),
    }
}
