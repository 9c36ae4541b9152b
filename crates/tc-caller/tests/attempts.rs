//! Hedges and retries.

mod support;

use std::time::{Duration, Instant};

use support::World;
use tc_stand_ins::AnswerFault;

/// Calls after which a service's times are known well enough to hedge by.
const WARM_UP: usize = 30;

async fn warm_up(world: &World) {
    for n in 0..WARM_UP {
        let answer = world
            .client
            .pipeline("scores", &format!("log {n}"), &[])
            .await;
        assert_eq!(answer.status.as_u16(), 200);
    }
    // Budgets start afresh with another ratio, whatever the calls above spent.
    world.reconfigure(|config| config.policy.hedge_ratio = 0.031);
}

fn hedges(world: &World, id: &str) -> usize {
    let steps = world.steps(id);
    let hedged = steps
        .iter()
        .filter(|s| s["what"] == "hedged" && s["stage"] == "encode");
    hedged.count()
}

fn cancelled(world: &World) -> usize {
    let counts = world.fakes.releases_by_outcome();
    counts.get("Cancelled").copied().unwrap_or_default()
}

/// Symptom: one slow upstream makes requests miss their deadlines although others are idle.
/// Sequence: a call goes to an upstream that hangs.
/// Cause: nothing but the deadline ended the wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_straggler_is_hedged_on_another_upstream_and_cancelled() {
    let world = World::start().await;
    warm_up(&world).await;
    world.up.pool("encode-1").faults().set_hang(true);
    let before = cancelled(&world);
    let started = Instant::now();
    let answer = world.client.pipeline("scores", "slow log", &[]).await;
    assert_eq!(answer.status.as_u16(), 200, "{}", answer.text());
    assert!(started.elapsed() < Duration::from_secs(5));
    assert_eq!(hedges(&world, answer.header("x-request-id")), 1);
    assert_eq!(answer.json()["stages"][0]["attempts"], 2);
    support::eventually("the loser is cancelled", || cancelled(&world) > before).await;
    let asks = world.fakes.asks.lock().unwrap();
    let mut latest = asks.iter().rev();
    let hedge = latest.find(|a| a.service.as_str() == "encode").unwrap();
    assert_eq!(hedge.attempt.0, 1);
    assert_eq!(hedge.excluded, ["encode-1".into()]);
}

/// Symptom: a stream begins late although another engine is idle.
/// Sequence: a generation goes to an engine that hangs.
/// Cause: no hedge, or one only after the time of a whole generation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_generation_is_hedged_by_the_time_to_its_first_token() {
    let token = Duration::from_millis(20);
    let world = World::with_token_time(token).await;
    let stream = [("accept", "text/event-stream")];
    for round in 0..2 {
        let inputs: Vec<_> = (0..8).map(|n| format!("log {round} {n}")).collect();
        let calls = inputs
            .iter()
            .map(|i| world.client.pipeline("summary", i, &stream));
        futures::future::join_all(calls).await;
    }
    world.up.engines[0].faults().set_hang(true);
    let answer = world.client.pipeline("summary", "slow log", &stream).await;
    assert!(answer.text().contains("event: done"), "{}", answer.text());
    let steps = world.steps(answer.header("x-request-id"));
    let mut hedges = steps
        .iter()
        .filter(|s| s["what"] == "hedged" && s["stage"] == "generate");
    let after = hedges.next().expect("a hedge")["after_ms"]
        .as_f64()
        .unwrap();
    let whole = token.as_secs_f64() * 1e3 * 15.0;
    assert!(after < whole, "hedged after {after} ms");
}

/// Symptom: a slow service gets twice its load and becomes slower still.
/// Sequence: every call to it is a straggler.
/// Cause: hedges without a budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hedges_keep_to_their_budget() {
    let world = World::start().await;
    warm_up(&world).await;
    world.up.pool("encode-1").faults().set_hang(true);
    let mut count = 0;
    for n in 0..12 {
        let input = format!("slow log {n}");
        let headers = [("request-timeout-ms", "300")];
        let answer = world.client.pipeline("scores", &input, &headers).await;
        count += hedges(&world, answer.header("x-request-id"));
    }
    // The burst of three; 12 calls and their hedges earn less than one more.
    assert!((1..=3).contains(&count), "{count} hedges");
}

/// Symptom: an answer is lost although another upstream could have given it.
/// Sequence: the first upstream's answer is broken in one of several ways.
/// Cause: no retry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_idempotent_call_is_retried_elsewhere() {
    let faults = [
        AnswerFault::Garbage,
        AnswerFault::WrongIdentity,
        AnswerFault::Lost,
        AnswerFault::CloseMidBody,
    ];
    for fault in faults {
        let world = World::start().await;
        world.up.pool("encode-1").faults().break_answers(fault, 1);
        let answer = world.client.pipeline("scores", "log", &[]).await;
        assert_eq!(answer.status.as_u16(), 200, "{fault:?}: {}", answer.text());
        assert_eq!(answer.json()["stages"][0]["attempts"], 2, "{fault:?}");
        let words = world.explained(answer.header("x-request-id"));
        assert!(
            words.contains(&"retried".to_owned()),
            "{fault:?}: {words:?}"
        );
    }
}

/// Symptom: an outage is multiplied by retries.
/// Sequence: every call to the first upstream fails.
/// Cause: retries without a budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_keep_to_their_budget() {
    let world = World::start().await;
    world.up.pool("encode-1").faults().set_down(true);
    let mut answered = 0;
    for n in 0..20 {
        let answer = world
            .client
            .pipeline("scores", &format!("log {n}"), &[])
            .await;
        answered += usize::from(answer.status.is_success());
    }
    // The burst of three, and a tenth of about 25 calls.
    assert!(
        (3..=7).contains(&answered),
        "{answered} answered by a retry"
    );
}

/// Symptom: a result of one request is in another's answer.
/// Sequence: an upstream sends the answer of an earlier call again, late.
/// Cause: results taken without a look at whose they are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_copy_of_another_answer_is_never_delivered() {
    let world = World::start().await;
    let faults = world.up.pool("encode-1").faults();
    faults.break_answers(AnswerFault::DuplicateLate, 2);
    let first = world.client.pipeline("scores", "first", &[]).await;
    let second = world.client.pipeline("scores", "second", &[]).await;
    assert_eq!(second.status.as_u16(), 200, "{}", second.text());
    assert_ne!(first.json()["output"], second.json()["output"]);
    assert_eq!(second.json()["stages"][0]["attempts"], 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_comparison_policy_neither_admits_nor_hedges() {
    let world = World::start().await;
    let baseline = support::Instance::start("kl-b-1", world.fakes.ports(), true).await;
    let client = support::client::Client::new(baseline.address);
    for n in 0..WARM_UP {
        client.pipeline("scores", &format!("log {n}"), &[]).await;
    }
    world.up.pool("encode-1").faults().set_hang(true);
    let headers = [("request-timeout-ms", "300")];
    let answer = client.pipeline("scores", "slow log", &headers).await;
    assert_eq!(
        (answer.status.as_u16(), answer.run_state()),
        (504, "unknown")
    );
    let asks = world.fakes.asks.lock().unwrap();
    assert_eq!(asks.last().unwrap().attempt.0, 0, "one attempt only");
    assert!(
        asks.iter().all(|ask| ask.slack > ask.run_for / 2),
        "asks wait until the deadline"
    );
}
