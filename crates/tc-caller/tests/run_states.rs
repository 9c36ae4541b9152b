//! Run states of failed requests, for every kind of failure.

mod support;

use std::{sync::atomic::Ordering::SeqCst, time::Instant};

use support::{TestEnv, eventually};
use tc_protocol::RefusalReason;
use tc_stand_ins::{AnswerFault, CRASH_MARKER};

type Prepare = fn(&TestEnv);

fn refuse(env: &TestEnv, service: &str, reason: RefusalReason) {
    *env.fakes.refuse_service.lock().unwrap() = Some((service.into(), reason));
}

fn for_each_encoder(env: &TestEnv, inject: impl Fn(&tc_stand_ins::UpstreamFaults)) {
    for id in ["encode-1", "encode-2"] {
        inject(env.upstreams.pool(id).faults());
    }
}

fn break_responses(env: &TestEnv, fault: AnswerFault) {
    for_each_encoder(env, |faults| faults.break_answers(fault, u64::MAX));
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

/// Columns: name; how the failure is caused; input => status, kind, run state, whether `Retry-After` is set.
macro_rules! table {
    ($($name:literal; $prepare:expr; $input:expr => $status:literal, $kind:literal, $state:literal, $retry:literal)*) => {
        vec![$(Row {
            name: $name, prepare: $prepare, input: $input, status: $status, kind: $kind, run_state: $state, retry_after: $retry,
        }),*]
    };
}

fn rows() -> Vec<Row> {
    use RefusalReason as Reason;
    table! {
        "over its limit"; |w| w.fakes.over_limit.store(true, SeqCst); "log" => 429, "over-limit", "not_run", true
        "too late"; |w| refuse(w, "encode", Reason::TooLate); "log" => 503, "cannot-finish", "not_run", true
        "queue full"; |w| refuse(w, "encode", Reason::QueueFull); "log" => 503, "overloaded", "not_run", true
        "no upstream"; |w| refuse(w, "encode", Reason::NoUpstream); "log" => 503, "overloaded", "not_run", true
        "home unreachable"; |w| refuse(w, "encode", Reason::HomeUnreachable); "log" => 503, "overloaded", "not_run", true
        "quarantined"; |w| refuse(w, "encode", Reason::Quarantined); "log" => 422, "quarantined", "not_run", true
        "over its limit at the home"; |w| refuse(w, "encode", Reason::OverLimit); "log" => 429, "over-limit", "not_run", true
        "too late at stage two"; |w| refuse(w, "rerank", Reason::TooLate); "log" => 504, "deadline-exceeded", "ran", true
        "queue full at stage two"; |w| refuse(w, "rerank", Reason::QueueFull); "log" => 503, "overloaded", "ran", true
        "quarantined at stage two"; |w| refuse(w, "rerank", Reason::Quarantined); "log" => 422, "quarantined", "ran", true
        "no reply from the home"; |w| w.fakes.ignore_permit_requests.store(true, SeqCst); "log" => 504, "deadline-exceeded", "not_run", false
        "crashed before"; |w| for_each_encoder(w, tc_stand_ins::UpstreamFaults::crash); "log" => 502, "upstream-failed", "not_run", true
        "answers 503"; |w| for_each_encoder(w, |f| f.set_down(true)); "log" => 502, "upstream-failed", "unknown", true
        "hangs"; |w| for_each_encoder(w, |f| f.set_hang(true)); "log" => 504, "deadline-exceeded", "unknown", false
        "garbage"; |w| break_responses(w, AnswerFault::Garbage); "log" => 502, "upstream-failed", "ran", true
        "wrong length"; |w| break_responses(w, AnswerFault::WrongLength); "log" => 502, "upstream-failed", "unknown", true
        "closes mid body"; |w| break_responses(w, AnswerFault::CloseMidBody); "log" => 502, "upstream-failed", "ran", true
        "response of another call"; |w| break_responses(w, AnswerFault::WrongIdentity); "log" => 502, "upstream-failed", "unknown", true
        "response lost"; |w| break_responses(w, AnswerFault::Lost); "log" => 502, "upstream-failed", "unknown", true
        "crashes its upstream"; |_| {}; CRASH_MARKER => 502, "upstream-failed", "unknown", true
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_failure_reports_its_run_state() {
    for row in rows() {
        let env = TestEnv::start().await;
        (row.prepare)(&env);
        let name = row.name;
        let headers = [("request-timeout-ms", "700")];
        let response = env.client.pipeline("scores", row.input, &headers).await;
        assert_eq!(
            response.status.as_u16(),
            row.status,
            "{name}: {}",
            response.text()
        );
        let kind = format!("urn:tanagercroft:problem:{}", row.kind);
        assert_eq!(response.json()["type"], kind, "{name}: {}", response.text());
        let expected = row.run_state;
        assert_eq!(
            response.run_state(),
            expected,
            "{name}: {}",
            response.text()
        );
        assert_eq!(
            !response.header("retry-after").is_empty(),
            row.retry_after,
            "{name}"
        );
        if response.run_state() == "not_run" {
            let calls = env.upstreams.recorder.calls();
            assert!(
                calls.is_empty(),
                "{name}: an upstream received the request: {calls:?}"
            );
        }
        eventually(
            &format!("{name}: the permit and the workspace limit are released"),
            || env.fakes.unreleased_permits() == 0 && env.fakes.limit_guards.load(SeqCst) == 0,
        )
        .await;
    }
}

/// Guards against holding back a refusal until shortly before the deadline. The permit request of the first stage is
/// refused immediately, and the deadline is ten seconds away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_is_returned_immediately() {
    let env = TestEnv::start().await;
    refuse(&env, "encode", RefusalReason::QueueFull);
    let started = Instant::now();
    let response = env.client.pipeline("scores", "log", &[]).await;
    assert_eq!(response.header("retry-after"), "2");
    assert!(started.elapsed().as_secs() < 5, "{:?}", started.elapsed());
}

/// Guards against one request that crashes one upstream after another. If a crash is reported only after the retry or
/// the response, the caller can resend the request before the report arrives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_crash_is_reported_before_the_retry_and_the_response() {
    let env = TestEnv::start().await;
    let response = env.client.pipeline("scores", CRASH_MARKER, &[]).await;
    assert_eq!(response.status.as_u16(), 502);
    let crashed = env.fakes.crashed.lock().unwrap().clone();
    let upstreams: Vec<_> = crashed.iter().map(|(_, u)| u.as_str().to_owned()).collect();
    assert_eq!(upstreams, ["encode-1", "encode-2"]);
    assert_eq!(crashed[0].0, crashed[1].0);
    assert!(env.fakes.ran_whole.lock().unwrap().is_empty());
}

/// Guards against an upstream that keeps working for a disconnected caller. The caller closes its connection while a
/// stage is running, so the call must be cancelled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disconnecting_cancels_the_call() {
    let env = TestEnv::start().await;
    for_each_encoder(&env, |faults| faults.set_hang(true));
    let client = support::client::Client::new(env.instance.address);
    let call = tokio::spawn(async move { client.pipeline("scores", "log", &[]).await });
    eventually("the call is sent", || {
        env.fakes.permit_requests.lock().unwrap().len() == 1 && env.instance.server.in_flight() == 1
    })
    .await;
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    call.abort();
    eventually("the permit is released as cancelled", || {
        env.fakes.releases_by_outcome().get("Cancelled") == Some(&1)
    })
    .await;
    eventually("the workspace limit is released", || {
        env.fakes.limit_guards.load(SeqCst) == 0
    })
    .await;
    eventually("no request is in flight", || {
        env.instance.server.in_flight() == 0
    })
    .await;
    let stats = env.instance.server.workspace_stats();
    assert_eq!((stats[0].requests, stats[0].answered_in_deadline), (1, 0));
    assert!(stats[0].cost[0].wasted_ms > 0.0);
}

/// Guards against upstreams that are busy with requests past their deadlines under overload. The time until the
/// deadline is shorter than the recent duration of the stages, so the request must be refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_cannot_meet_its_deadline_is_not_started() {
    let env = TestEnv::with_token_time(std::time::Duration::from_millis(20)).await;
    for n in 0..8 {
        env.client
            .pipeline("summary", &format!("log {n}"), &[])
            .await;
    }
    let before = env.upstreams.recorder.calls().len();
    let headers = [("request-timeout-ms", "150")];
    let response = env.client.pipeline("summary", "log", &headers).await;
    assert_eq!(
        (response.status.as_u16(), response.run_state()),
        (503, "not_run")
    );
    assert_eq!(
        response.json()["type"],
        "urn:tanagercroft:problem:cannot-finish"
    );
    assert!(!response.header("retry-after").is_empty());
    assert_eq!(env.upstreams.recorder.calls().len(), before);
}
