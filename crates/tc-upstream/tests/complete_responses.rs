//! Faults of engines and pools that answer whole, byte by byte.

mod common;

use common::{
    AMPLE, Expected, Fake, LARGEST_BODY, SHORT, Seen, Step, answer, call, check, client, nobody,
    run_pool, send,
};
use tc_protocol::{Outcome, RunState, ServiceKind};
use tc_upstream::CallErrorKind::{
    Broken, Connect, Failed, Malformed, Rejected, TimedOut, TooLarge, WrongIdentity,
};

type Fault = (&'static str, fn(&Seen) -> Vec<Step>, Expected);

const BUSY: &str = "503 Service Unavailable";
const NOT_RUN: &str = "tanagercroft-run-state: not_run\r\n";

fn with_header(seen: &Seen, status: &str, header: &str) -> Vec<Step> {
    vec![send(answer(
        status,
        &format!("{}{header}", seen.echo()),
        "",
    ))]
}

fn echo_replaced(seen: &Seen, from: &str, to: &str) -> Vec<Step> {
    vec![send(seen.pool_answer("x").replace(from, to))]
}

#[rustfmt::skip]
const POOL: &[Fault] = &[
    // fault, what the pool does, (kind, run state, outcome)
    ("closes without answer", |_| vec![Step::Close], (Broken, RunState::Unknown, Outcome::Died)),
    ("resets without answer", |_| vec![Step::Reset], (Broken, RunState::Unknown, Outcome::Died)),
    ("closes inside header", |_| vec![send("HTTP/1.1 200 OK\r\nx-st"), Step::Close], (Broken, RunState::Unknown, Outcome::Died)),
    ("never answers", |_| vec![Step::Hang], (TimedOut, RunState::Unknown, Outcome::TimedOut)),
    ("garbage", |_| vec![send("\u{1}\u{2}garbage\r\n\r\n")], (Malformed, RunState::Unknown, Outcome::Failed)),
    ("header too large", |s| with_header(s, "200 OK", &format!("x-pad: {}\r\n", "p".repeat(9 << 10))), (TooLarge, RunState::Unknown, Outcome::Failed)),
    ("too many headers", |s| with_header(s, "200 OK", &"x-pad: p\r\n".repeat(200)), (TooLarge, RunState::Unknown, Outcome::Failed)),
    ("header never ends", |_| vec![send("HTTP/1.1 200 OK\r\nx-"), Step::Hang], (TimedOut, RunState::Unknown, Outcome::TimedOut)),
    ("body never ends", |s| vec![send(s.pool_answer("x").replace("content-length: ", "content-length: 1")), Step::Hang], (TimedOut, RunState::Ran, Outcome::TimedOut)),
    ("closes inside body", |s| vec![send(s.pool_answer("x").replace("content-length: ", "content-length: 1")), Step::Close], (Broken, RunState::Ran, Outcome::Died)),
    ("resets inside body", |s| vec![send(s.pool_answer("x").replace("content-length: ", "content-length: 1")), Step::Reset], (Broken, RunState::Ran, Outcome::Died)),
    ("length too short", |s| { let b = s.pool_body("x"); vec![send(s.answer("200 OK", &b[..b.len() - 1]) + "}")] }, (Malformed, RunState::Ran, Outcome::Failed)),
    ("announced body too large", |s| vec![send(s.pool_answer("x").replace("content-length: ", "content-length: 99999"))], (TooLarge, RunState::Ran, Outcome::Failed)),
    ("chunked body too large", |s| vec![send(chunked(s)), send(format!("{:x}\r\n", LARGEST_BODY + 1)), send("y".repeat(LARGEST_BODY + 1)), send("\r\n0\r\n\r\n")], (TooLarge, RunState::Ran, Outcome::Failed)),
    ("bad chunk length", |s| vec![send(chunked(s)), send("zz\r\nab\r\n0\r\n\r\n")], (Malformed, RunState::Ran, Outcome::Failed)),
    ("closes inside chunk", |s| vec![send(chunked(s)), send("ff\r\nab"), Step::Close], (Broken, RunState::Ran, Outcome::Died)),
    ("other request in header", |s| echo_replaced(s, "x-request-id: r-1", "x-request-id: r-2"), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other stage in header", |s| echo_replaced(s, "x-stage: rerank", "x-stage: encode"), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other attempt in header", |s| echo_replaced(s, "x-attempt: 2", "x-attempt: 1"), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("no identity in header", |s| vec![send(answer("200 OK", "", &s.pool_body("x")))], (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other request in body", |s| echo_replaced(s, r#""request_id":"r-1""#, r#""request_id":"r-2""#), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other stage in body", |s| echo_replaced(s, r#""stage":"rerank""#, r#""stage":"encode""#), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other attempt in body", |s| echo_replaced(s, r#""attempt":2"#, r#""attempt":3"#), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("body not JSON", |s| vec![send(s.answer("200 OK", "oops"))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("status 302", |s| vec![send(s.answer("302 Found", ""))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("status 400", |s| vec![send(s.answer("400 Bad Request", ""))], (Rejected(400), RunState::Ran, Outcome::Rejected)),
    ("status 429", |s| vec![send(s.answer("429 Too Many Requests", ""))], (Failed(429), RunState::Ran, Outcome::Failed)),
    ("status 500", |s| vec![send(s.answer("500 Oops", "why"))], (Failed(500), RunState::Ran, Outcome::Failed)),
    ("status 503 for another call", |s| vec![send(s.answer(BUSY, "").replace("r-1", "r-2"))], (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("status 503 for nobody", |_| vec![send(answer(BUSY, "", ""))], (Failed(503), RunState::Unknown, Outcome::Failed)),
    ("a pool promises not run", |s| with_header(s, BUSY, NOT_RUN), (Failed(503), RunState::Ran, Outcome::Failed)),
];

#[rustfmt::skip]
const ENGINE: &[Fault] = &[
    ("503 promises not run", |s| with_header(s, BUSY, NOT_RUN), (Failed(503), RunState::NotRun, Outcome::Failed)),
    ("429 promises not run", |s| with_header(s, "429 Too Many Requests", NOT_RUN), (Failed(429), RunState::NotRun, Outcome::Failed)),
    ("503 promises nothing", |s| with_header(s, BUSY, ""), (Failed(503), RunState::Ran, Outcome::Failed)),
    ("503 says unknown", |s| with_header(s, BUSY, "tanagercroft-run-state: unknown\r\n"), (Failed(503), RunState::Ran, Outcome::Failed)),
    ("500 promises not run", |s| with_header(s, "500 Oops", NOT_RUN), (Failed(500), RunState::Ran, Outcome::Failed)),
    ("400 promises not run", |s| with_header(s, "400 Bad Request", NOT_RUN), (Rejected(400), RunState::Ran, Outcome::Rejected)),
    ("nobody's 503 promises not run", |_| vec![send(answer(BUSY, NOT_RUN, ""))], (Failed(503), RunState::Unknown, Outcome::Failed)),
    ("another call's 503 promises not run", |s| vec![send(answer(BUSY, &(s.echo().replace("r-1", "r-2") + NOT_RUN), ""))], (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("no choice", |s| vec![send(s.answer("200 OK", &completion("r-1", "")))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("two choices", |s| vec![send(s.answer("200 OK", &completion("r-1", r#"{"text":"a","finish_reason":"stop"},{"text":"b","finish_reason":"stop"}"#)))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("other request in body", |s| vec![send(s.answer("200 OK", &completion("r-2", r#"{"text":"a","finish_reason":"stop"}"#)))], (WrongIdentity, RunState::Unknown, Outcome::Failed)),
];

fn chunked(seen: &Seen) -> String {
    let echo = seen.echo();
    format!("HTTP/1.1 200 OK\r\n{echo}transfer-encoding: chunked\r\n\r\n")
}

fn completion(id: &str, choices: &str) -> String {
    format!(
        r#"{{"id":"{id}","choices":[{choices}],"usage":{{"prompt_tokens":1,"completion_tokens":1}}}}"#
    )
}

async fn run_table(kind: ServiceKind, faults: &'static [Fault]) {
    for (name, steps, expected) in faults {
        let fake = Fake::start(move |_, seen| steps(seen)).await;
        let mut call = call(kind, fake.address, "r-1");
        if expected.0 == TimedOut {
            call.remaining = SHORT;
        }
        let error = client().run_stage(call).await.expect_err(name);
        check(name, &error, *expected);
        assert_eq!(fake.counts(), (1, 1), "{name}: the call was sent again");
    }
}

/// Symptom: a failed pool call is reported as another failure, as not run, or as the upstream's death.
/// Sequence: the pool reads the whole request, then misbehaves as each row says.
/// Cause: a broken upstream, or an answer meant for another call.
#[tokio::test]
async fn pool_faults_are_reported_as_they_are() {
    run_table(ServiceKind::Pool, POOL).await;
}

/// Symptom: a caller is told "not run" for a completion that ran, or the reverse.
/// Sequence: the engine refuses or answers as each row says.
/// Cause: only an engine that has no room and says "not run" for this very call may be believed.
#[tokio::test]
async fn engine_promises_are_believed_only_where_safe() {
    run_table(ServiceKind::Engine, ENGINE).await;
}

/// Symptom: a call that reached nobody is reported as possibly run, or is sent although nobody waits any more.
/// Sequence: nothing listens at the address; or the deadline passes before the call is made.
/// Cause: the upstream's process is gone; or time went by in queues.
#[tokio::test]
async fn a_call_that_was_never_sent_is_not_run() {
    let refused = client()
        .run_stage(call(ServiceKind::Pool, nobody(), "r-1"))
        .await;
    check(
        "refused",
        &refused.unwrap_err(),
        (Connect, RunState::NotRun, Outcome::Died),
    );

    let fake = Fake::start(|_, seen| vec![send(seen.pool_answer("x"))]).await;
    let mut late = call(ServiceKind::Pool, fake.address, "r-1");
    late.remaining = std::time::Duration::ZERO;
    let error = client().run_stage(late).await.unwrap_err();
    check(
        "no time",
        &error,
        (TimedOut, RunState::NotRun, Outcome::TimedOut),
    );
    assert_eq!(fake.counts(), (0, 0));
}

/// Symptom: an upstream goes on working for a caller that left.
/// Sequence: the call is sent; its future is dropped before the answer.
/// Cause: the caller left, or another attempt won.
#[tokio::test]
async fn dropping_a_call_closes_its_connection() {
    let mut fake = Fake::start(|_, _| vec![Step::Hang]).await;
    let client = client();
    assert!(
        tokio::time::timeout(SHORT, run_pool(&client, &fake, "r-1"))
            .await
            .is_err()
    );
    fake.wait_closed(1).await;
}

/// Symptom: a huge request to an upstream that does not read hangs, or is reported as not run.
/// Sequence: the upstream accepts and never reads; part of the body fills the socket buffers.
/// Cause: a stopped process whose kernel still accepts.
#[tokio::test]
async fn a_half_written_request_is_unknown() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut big = call(ServiceKind::Pool, listener.local_addr().unwrap(), "r-1");
    big.input = "x".repeat(16 << 20).into();
    // Long enough to encode the input in a debug build: without that, nothing is written and "not run" is true.
    big.remaining = std::time::Duration::from_secs(3);
    let error = client().run_stage(big).await.unwrap_err();
    check(
        "not read",
        &error,
        (TimedOut, RunState::Unknown, Outcome::TimedOut),
    );
}

#[tokio::test]
async fn a_call_carries_its_headers() {
    let fake = Fake::start(|_, seen| vec![send(seen.pool_answer("x"))]).await;
    let reply = run_pool(&client(), &fake, "r-1").await.unwrap();
    assert_eq!((reply.output.as_str(), reply.cost.busy_ms), ("x", 1.5));
    assert!(reply.first_byte <= reply.took && reply.took < AMPLE);
    let seen = fake.first_seen();
    for (name, value) in [
        ("x-request-id", "r-1"),
        ("x-stage", "rerank"),
        ("x-attempt", "2"),
        ("priority", "u=1"),
        ("idempotency-key", "k-1"),
        (
            "traceparent",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        ),
        ("content-type", "application/json"),
    ] {
        assert_eq!(seen.header(name), Some(value), "{name}");
    }
    let left: u128 = seen.header("request-timeout-ms").unwrap().parse().unwrap();
    assert!(left > 0 && left <= AMPLE.as_millis());
}
