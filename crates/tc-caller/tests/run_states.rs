//! What callers are told of whether a failed request ran, over all ways to fail.

mod support;

use std::{sync::atomic::Ordering::SeqCst, time::Instant};

use support::{World, eventually};
use tc_protocol::RefusalReason;
use tc_stand_ins::{AnswerFault, CRASH_MARKER};

type Prepare = fn(&World);

fn refuse(world: &World, service: &str, reason: RefusalReason) {
    *world.fakes.refuse.lock().unwrap() = Some((service.into(), reason));
}

fn encoders(world: &World, act: impl Fn(&tc_stand_ins::UpstreamFaults)) {
    for id in ["encode-1", "encode-2"] {
        act(world.up.pool(id).faults());
    }
}

fn spoil(world: &World, fault: AnswerFault) {
    encoders(world, |faults| faults.break_answers(fault, u64::MAX));
}

struct Row {
    name: &'static str,
    prepare: Prepare,
    input: &'static str,
    status: u16,
    kind: &'static str,
    run_state: &'static str,
    retry_after: bool,
}

/// Columns: name; how the failure is made; input => status, kind, run state, whether a time to come back is told.
macro_rules! table {
    ($($name:literal; $prepare:expr; $input:expr => $status:literal, $kind:literal, $state:literal, $retry:literal)*) => {
        vec![$(Row {
            name: $name, prepare: $prepare, input: $input, status: $status, kind: $kind, run_state: $state, retry_after: $retry,
        }),*]
    };
}

fn rows() -> Vec<Row> {
    use RefusalReason as Why;
    table! {
        "over its limit"; |w| w.fakes.over_limit.store(true, SeqCst); "log" => 429, "over-limit", "not_run", true
        "too late"; |w| refuse(w, "encode", Why::TooLate); "log" => 503, "cannot-finish", "not_run", true
        "queue full"; |w| refuse(w, "encode", Why::QueueFull); "log" => 503, "overloaded", "not_run", true
        "no upstream"; |w| refuse(w, "encode", Why::NoUpstream); "log" => 503, "overloaded", "not_run", true
        "home gone"; |w| refuse(w, "encode", Why::HomeUnreachable); "log" => 503, "overloaded", "not_run", true
        "quarantined"; |w| refuse(w, "encode", Why::Quarantined); "log" => 422, "quarantined", "not_run", true
        "limit at home"; |w| refuse(w, "encode", Why::OverLimit); "log" => 429, "over-limit", "not_run", true
        "too late at stage two"; |w| refuse(w, "rerank", Why::TooLate); "log" => 504, "deadline-exceeded", "ran", true
        "queue full at stage two"; |w| refuse(w, "rerank", Why::QueueFull); "log" => 503, "overloaded", "ran", true
        "quarantined at stage two"; |w| refuse(w, "rerank", Why::Quarantined); "log" => 422, "quarantined", "ran", true
        "no home answers"; |w| w.fakes.mute_asks.store(true, SeqCst); "log" => 504, "deadline-exceeded", "not_run", false
        "crashed before"; |w| encoders(w, tc_stand_ins::UpstreamFaults::crash); "log" => 502, "upstream-failed", "not_run", true
        "answers 503"; |w| encoders(w, |f| f.set_down(true)); "log" => 502, "upstream-failed", "unknown", true
        "hangs"; |w| encoders(w, |f| f.set_hang(true)); "log" => 504, "deadline-exceeded", "unknown", false
        "garbage"; |w| spoil(w, AnswerFault::Garbage); "log" => 502, "upstream-failed", "ran", true
        "wrong length"; |w| spoil(w, AnswerFault::WrongLength); "log" => 502, "upstream-failed", "unknown", true
        "closes mid body"; |w| spoil(w, AnswerFault::CloseMidBody); "log" => 502, "upstream-failed", "ran", true
        "another's answer"; |w| spoil(w, AnswerFault::WrongIdentity); "log" => 502, "upstream-failed", "unknown", true
        "answer lost"; |w| spoil(w, AnswerFault::Lost); "log" => 502, "upstream-failed", "unknown", true
        "crashes its upstream"; |_| {}; CRASH_MARKER => 502, "upstream-failed", "unknown", true
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_failure_tells_whether_it_ran() {
    for row in rows() {
        let world = World::start().await;
        (row.prepare)(&world);
        let name = row.name;
        let headers = [("request-timeout-ms", "700")];
        let answer = world.client.pipeline("scores", row.input, &headers).await;
        assert_eq!(
            answer.status.as_u16(),
            row.status,
            "{name}: {}",
            answer.text()
        );
        let kind = format!("urn:tanagercroft:problem:{}", row.kind);
        assert_eq!(answer.json()["type"], kind, "{name}: {}", answer.text());
        let expected = row.run_state;
        assert_eq!(answer.run_state(), expected, "{name}: {}", answer.text());
        assert_eq!(
            !answer.header("retry-after").is_empty(),
            row.retry_after,
            "{name}"
        );
        if answer.run_state() == "not_run" {
            let calls = world.up.recorder.calls();
            assert!(calls.is_empty(), "{name}: an upstream saw it: {calls:?}");
        }
        eventually(&format!("{name}: all is given back"), || {
            world.fakes.permits_out() == 0 && world.fakes.shares.load(SeqCst) == 0
        })
        .await;
    }
}

/// Symptom: a caller whose request was given up waited until near its deadline to hear of it.
/// Sequence: the first stage's ask is refused at once; the deadline is ten seconds away.
/// Cause: a refusal kept back until the deadline, in the hope that something changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_is_told_at_once() {
    let world = World::start().await;
    refuse(&world, "encode", RefusalReason::QueueFull);
    let started = Instant::now();
    let answer = world.client.pipeline("scores", "log", &[]).await;
    assert_eq!(answer.header("retry-after"), "2");
    assert!(started.elapsed().as_secs() < 5, "{:?}", started.elapsed());
}

/// Symptom: one crashing request takes down upstream after upstream.
/// Sequence: it kills the first upstream; the caller is answered and sends it again before the report arrived.
/// Cause: the crash was reported only after the retry or the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_crash_is_reported_before_the_retry_and_the_answer() {
    let world = World::start().await;
    let answer = world.client.pipeline("scores", CRASH_MARKER, &[]).await;
    assert_eq!(answer.status.as_u16(), 502);
    let crashed = world.fakes.crashed.lock().unwrap().clone();
    let upstreams: Vec<_> = crashed.iter().map(|(_, u)| u.as_str().to_owned()).collect();
    assert_eq!(upstreams, ["encode-1", "encode-2"]);
    assert_eq!(crashed[0].0, crashed[1].0);
    assert!(world.fakes.ran_whole.lock().unwrap().is_empty());
}

/// Symptom: an upstream works on for a caller that has gone.
/// Sequence: the caller closes its connection while a stage runs.
/// Cause: the call was not tied to the caller's connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_cancels_its_call() {
    let world = World::start().await;
    encoders(&world, |faults| faults.set_hang(true));
    let client = support::client::Client::new(world.instance.address);
    let call = tokio::spawn(async move { client.pipeline("scores", "log", &[]).await });
    eventually("the call is sent", || {
        world.fakes.asks.lock().unwrap().len() == 1 && world.instance.server.in_flight() == 1
    })
    .await;
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    call.abort();
    eventually("the permit is given back as cancelled", || {
        world.fakes.releases_by_outcome().get("Cancelled") == Some(&1)
    })
    .await;
    eventually("the share is given back", || {
        world.fakes.shares.load(SeqCst) == 0
    })
    .await;
    eventually("nothing is in flight", || {
        world.instance.server.in_flight() == 0
    })
    .await;
    let stats = world.instance.server.workspace_stats();
    assert_eq!((stats[0].requests, stats[0].answered_in_deadline), (1, 0));
    assert!(stats[0].cost[0].wasted_ms > 0.0);
}

/// Symptom: under overload upstreams are busy with requests that nobody waits for any more.
/// Sequence: a request has less time than its stages have been taking.
/// Cause: it was started all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_cannot_finish_is_not_started() {
    let world = World::with_token_time(std::time::Duration::from_millis(20)).await;
    for n in 0..8 {
        world
            .client
            .pipeline("summary", &format!("log {n}"), &[])
            .await;
    }
    let before = world.up.recorder.calls().len();
    let headers = [("request-timeout-ms", "150")];
    let answer = world.client.pipeline("summary", "log", &headers).await;
    assert_eq!(
        (answer.status.as_u16(), answer.run_state()),
        (503, "not_run")
    );
    assert_eq!(
        answer.json()["type"],
        "urn:tanagercroft:problem:cannot-finish"
    );
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(world.up.recorder.calls().len(), before);
}
