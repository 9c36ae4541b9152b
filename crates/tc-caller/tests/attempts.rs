//! Hedges and retries.

mod support;

use std::time::{Duration, Instant};

use support::TestEnv;
use tc_stand_ins::AnswerFault;

/// Number of calls after which the latency of a service is known well enough to hedge.
const WARM_UP: usize = 30;

async fn warm_up(env: &TestEnv) {
    for n in 0..WARM_UP {
        let response = env
            .client
            .pipeline("scores", &format!("log {n}"), &[])
            .await;
        assert_eq!(response.status.as_u16(), 200);
    }
    // A changed ratio resets the budgets, so the calls above have no effect on them.
    env.reconfigure(|config| config.policy.hedge_ratio = 0.031);
}

fn hedges(env: &TestEnv, id: &str) -> usize {
    let steps = env.steps(id);
    let hedged = steps
        .iter()
        .filter(|s| s["what"] == "hedged" && s["stage"] == "encode");
    hedged.count()
}

fn cancelled(env: &TestEnv) -> usize {
    let counts = env.fakes.releases_by_outcome();
    counts.get("Cancelled").copied().unwrap_or_default()
}

/// Guards against missed deadlines because of one slow upstream while others are idle. A call goes to an upstream that
/// hangs, so it must be hedged before the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_call_is_hedged_at_another_upstream_and_cancelled() {
    let env = TestEnv::start().await;
    warm_up(&env).await;
    env.upstreams.pool("encode-1").faults().set_hang(true);
    let before = cancelled(&env);
    let started = Instant::now();
    let response = env.client.pipeline("scores", "slow log", &[]).await;
    assert_eq!(response.status.as_u16(), 200, "{}", response.text());
    assert!(started.elapsed() < Duration::from_secs(5));
    assert_eq!(hedges(&env, response.header("x-request-id")), 1);
    assert_eq!(response.json()["stages"][0]["attempts"], 2);
    support::eventually("the slower attempt is cancelled", || {
        cancelled(&env) > before
    })
    .await;
    let permit_requests = env.fakes.permit_requests.lock().unwrap();
    let mut latest = permit_requests.iter().rev();
    let hedge = latest.find(|a| a.service.as_str() == "encode").unwrap();
    assert_eq!(hedge.attempt.0, 1);
    assert_eq!(hedge.excluded, ["encode-1".into()]);
}

/// Guards against a stream that starts late while another engine is idle. A generation goes to an engine that hangs. It
/// must be hedged after the usual time to the first token, not after the duration of a complete generation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_generation_is_hedged_by_the_time_to_first_token() {
    let token = Duration::from_millis(20);
    let env = TestEnv::with_token_time(token).await;
    let stream = [("accept", "text/event-stream")];
    for round in 0..2 {
        let inputs: Vec<_> = (0..8).map(|n| format!("log {round} {n}")).collect();
        let calls = inputs
            .iter()
            .map(|i| env.client.pipeline("summary", i, &stream));
        futures::future::join_all(calls).await;
    }
    env.upstreams.engines[0].faults().set_hang(true);
    let response = env.client.pipeline("summary", "slow log", &stream).await;
    assert!(
        response.text().contains("event: done"),
        "{}",
        response.text()
    );
    let steps = env.steps(response.header("x-request-id"));
    let mut hedges = steps
        .iter()
        .filter(|s| s["what"] == "hedged" && s["stage"] == "generate");
    let after = hedges.next().expect("no hedge")["after_ms"]
        .as_f64()
        .unwrap();
    let generation_ms = token.as_secs_f64() * 1e3 * 15.0;
    assert!(after < generation_ms, "hedged after {after} ms");
}

/// Guards against hedges without a budget, which double the load of a slow service and make it slower. Every call to
/// the service is slow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hedges_stay_within_their_budget() {
    let env = TestEnv::start().await;
    warm_up(&env).await;
    env.upstreams.pool("encode-1").faults().set_hang(true);
    let mut count = 0;
    for n in 0..12 {
        let input = format!("slow log {n}");
        let headers = [("request-timeout-ms", "300")];
        let response = env.client.pipeline("scores", &input, &headers).await;
        count += hedges(&env, response.header("x-request-id"));
    }
    // The burst allows three hedges. 12 calls and their hedges add less than one to the budget.
    assert!((1..=3).contains(&count), "{count} hedges");
}

/// Guards against a failed request while another upstream is healthy. The response of the first upstream is damaged in
/// one of several ways, so the call must be retried.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_idempotent_call_is_retried_at_another_upstream() {
    let faults = [
        AnswerFault::Garbage,
        AnswerFault::WrongIdentity,
        AnswerFault::Lost,
        AnswerFault::CloseMidBody,
    ];
    for fault in faults {
        let env = TestEnv::start().await;
        env.upstreams
            .pool("encode-1")
            .faults()
            .break_answers(fault, 1);
        let response = env.client.pipeline("scores", "log", &[]).await;
        assert_eq!(
            response.status.as_u16(),
            200,
            "{fault:?}: {}",
            response.text()
        );
        assert_eq!(response.json()["stages"][0]["attempts"], 2, "{fault:?}");
        let decisions = env.decisions(response.header("x-request-id"));
        assert!(
            decisions.contains(&"retried".to_owned()),
            "{fault:?}: {decisions:?}"
        );
    }
}

/// Guards against retries without a budget, which multiply the load during an outage. Every call to the first upstream
/// fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_stay_within_their_budget() {
    let env = TestEnv::start().await;
    env.upstreams.pool("encode-1").faults().set_down(true);
    let mut answered = 0;
    for n in 0..20 {
        let response = env
            .client
            .pipeline("scores", &format!("log {n}"), &[])
            .await;
        answered += usize::from(response.status.is_success());
    }
    // The burst allows three retries, and about 25 calls add a tenth of their number to the budget.
    assert!(
        (3..=7).contains(&answered),
        "{answered} answered by a retry"
    );
}

/// Guards against returning the result of another request. An upstream sends the response of an earlier call a second
/// time, and the identity in a response must be checked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_duplicate_of_another_response_is_never_returned() {
    let env = TestEnv::start().await;
    let faults = env.upstreams.pool("encode-1").faults();
    faults.break_answers(AnswerFault::DuplicateLate, 2);
    let first = env.client.pipeline("scores", "first", &[]).await;
    let second = env.client.pipeline("scores", "second", &[]).await;
    assert_eq!(second.status.as_u16(), 200, "{}", second.text());
    assert_ne!(first.json()["output"], second.json()["output"]);
    assert_eq!(second.json()["stages"][0]["attempts"], 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_baseline_policy_has_neither_admission_nor_hedges() {
    let env = TestEnv::start().await;
    let baseline = support::Instance::start("kl-b-1", env.fakes.ports(), true).await;
    let client = support::client::Client::new(baseline.address);
    for n in 0..WARM_UP {
        client.pipeline("scores", &format!("log {n}"), &[]).await;
    }
    env.upstreams.pool("encode-1").faults().set_hang(true);
    let headers = [("request-timeout-ms", "300")];
    let response = client.pipeline("scores", "slow log", &headers).await;
    assert_eq!(
        (response.status.as_u16(), response.run_state()),
        (504, "unknown")
    );
    let permit_requests = env.fakes.permit_requests.lock().unwrap();
    assert_eq!(
        permit_requests.last().unwrap().attempt.0,
        0,
        "more than one attempt"
    );
    assert!(
        permit_requests
            .iter()
            .all(|request| request.slack > request.run_for / 2),
        "permit requests must be allowed to wait until the deadline"
    );
}
