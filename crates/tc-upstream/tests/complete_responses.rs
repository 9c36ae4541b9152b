//! Byte-level faults of engines and pools in responses without streaming.

mod common;

use common::{
    Expected, LONG_TIMEOUT, MAX_BODY_BYTES, ReceivedRequest, SHORT_TIMEOUT, ScriptedServer, Step,
    assert_error, call, client, http_response, run_pool, send, unused_address,
};
use tc_protocol::{Outcome, RunState, ServiceKind};
use tc_upstream::CallErrorKind::{
    Broken, Connect, Failed, Malformed, Rejected, TimedOut, TooLarge, WrongIdentity,
};

type Fault = (&'static str, fn(&ReceivedRequest) -> Vec<Step>, Expected);

const SERVICE_UNAVAILABLE: &str = "503 Service Unavailable";
const NOT_RUN: &str = "tanagercroft-run-state: not_run\r\n";

fn with_header(received: &ReceivedRequest, status: &str, header: &str) -> Vec<Step> {
    vec![send(http_response(
        status,
        &format!("{}{header}", received.echo()),
        "",
    ))]
}

fn echo_replaced(received: &ReceivedRequest, from: &str, to: &str) -> Vec<Step> {
    vec![send(received.pool_response("x").replace(from, to))]
}

#[rustfmt::skip]
const POOL_FAULTS: &[Fault] = &[
    // fault, steps of the pool, (kind, run state, outcome)
    ("closes without response", |_| vec![Step::Close], (Broken, RunState::Unknown, Outcome::Died)),
    ("resets without response", |_| vec![Step::Reset], (Broken, RunState::Unknown, Outcome::Died)),
    ("closes inside header", |_| vec![send("HTTP/1.1 200 OK\r\nx-st"), Step::Close], (Broken, RunState::Unknown, Outcome::Died)),
    ("never responds", |_| vec![Step::Hang], (TimedOut, RunState::Unknown, Outcome::TimedOut)),
    ("garbage", |_| vec![send("\u{1}\u{2}garbage\r\n\r\n")], (Malformed, RunState::Unknown, Outcome::Failed)),
    ("header too large", |s| with_header(s, "200 OK", &format!("x-pad: {}\r\n", "p".repeat(9 << 10))), (TooLarge, RunState::Unknown, Outcome::Failed)),
    ("too many headers", |s| with_header(s, "200 OK", &"x-pad: p\r\n".repeat(200)), (TooLarge, RunState::Unknown, Outcome::Failed)),
    ("header never ends", |_| vec![send("HTTP/1.1 200 OK\r\nx-"), Step::Hang], (TimedOut, RunState::Unknown, Outcome::TimedOut)),
    ("body never ends", |s| vec![send(s.pool_response("x").replace("content-length: ", "content-length: 1")), Step::Hang], (TimedOut, RunState::Ran, Outcome::TimedOut)),
    ("closes inside body", |s| vec![send(s.pool_response("x").replace("content-length: ", "content-length: 1")), Step::Close], (Broken, RunState::Ran, Outcome::Died)),
    ("resets inside body", |s| vec![send(s.pool_response("x").replace("content-length: ", "content-length: 1")), Step::Reset], (Broken, RunState::Ran, Outcome::Died)),
    ("length too short", |s| { let b = s.pool_body("x"); vec![send(s.response("200 OK", &b[..b.len() - 1]) + "}")] }, (Malformed, RunState::Ran, Outcome::Failed)),
    ("announced body too large", |s| vec![send(s.pool_response("x").replace("content-length: ", "content-length: 99999"))], (TooLarge, RunState::Ran, Outcome::Failed)),
    ("chunked body too large", |s| vec![send(chunked(s)), send(format!("{:x}\r\n", MAX_BODY_BYTES + 1)), send("y".repeat(MAX_BODY_BYTES + 1)), send("\r\n0\r\n\r\n")], (TooLarge, RunState::Ran, Outcome::Failed)),
    ("bad chunk length", |s| vec![send(chunked(s)), send("zz\r\nab\r\n0\r\n\r\n")], (Malformed, RunState::Ran, Outcome::Failed)),
    ("closes inside chunk", |s| vec![send(chunked(s)), send("ff\r\nab"), Step::Close], (Broken, RunState::Ran, Outcome::Died)),
    ("other request in header", |s| echo_replaced(s, "x-request-id: r-1", "x-request-id: r-2"), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other stage in header", |s| echo_replaced(s, "x-stage: rerank", "x-stage: encode"), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other attempt in header", |s| echo_replaced(s, "x-attempt: 2", "x-attempt: 1"), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("no identity in header", |s| vec![send(http_response("200 OK", "", &s.pool_body("x")))], (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other request in body", |s| echo_replaced(s, r#""request_id":"r-1""#, r#""request_id":"r-2""#), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other stage in body", |s| echo_replaced(s, r#""stage":"rerank""#, r#""stage":"encode""#), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("other attempt in body", |s| echo_replaced(s, r#""attempt":2"#, r#""attempt":3"#), (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("body not JSON", |s| vec![send(s.response("200 OK", "oops"))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("status 302", |s| vec![send(s.response("302 Found", ""))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("status 400", |s| vec![send(s.response("400 Bad Request", ""))], (Rejected(400), RunState::Ran, Outcome::Rejected)),
    ("status 429", |s| vec![send(s.response("429 Too Many Requests", ""))], (Failed(429), RunState::Ran, Outcome::Failed)),
    ("status 500", |s| vec![send(s.response("500 Oops", "why"))], (Failed(500), RunState::Ran, Outcome::Failed)),
    ("status 503 for another call", |s| vec![send(s.response(SERVICE_UNAVAILABLE, "").replace("r-1", "r-2"))], (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("status 503 without identity", |_| vec![send(http_response(SERVICE_UNAVAILABLE, "", ""))], (Failed(503), RunState::Unknown, Outcome::Failed)),
    ("pool reports not_run", |s| with_header(s, SERVICE_UNAVAILABLE, NOT_RUN), (Failed(503), RunState::Ran, Outcome::Failed)),
];

#[rustfmt::skip]
const ENGINE_FAULTS: &[Fault] = &[
    ("503 reports not_run", |s| with_header(s, SERVICE_UNAVAILABLE, NOT_RUN), (Failed(503), RunState::NotRun, Outcome::Failed)),
    ("429 reports not_run", |s| with_header(s, "429 Too Many Requests", NOT_RUN), (Failed(429), RunState::NotRun, Outcome::Failed)),
    ("503 without run state", |s| with_header(s, SERVICE_UNAVAILABLE, ""), (Failed(503), RunState::Ran, Outcome::Failed)),
    ("503 reports unknown", |s| with_header(s, SERVICE_UNAVAILABLE, "tanagercroft-run-state: unknown\r\n"), (Failed(503), RunState::Ran, Outcome::Failed)),
    ("500 reports not_run", |s| with_header(s, "500 Oops", NOT_RUN), (Failed(500), RunState::Ran, Outcome::Failed)),
    ("400 reports not_run", |s| with_header(s, "400 Bad Request", NOT_RUN), (Rejected(400), RunState::Ran, Outcome::Rejected)),
    ("503 without identity reports not_run", |_| vec![send(http_response(SERVICE_UNAVAILABLE, NOT_RUN, ""))], (Failed(503), RunState::Unknown, Outcome::Failed)),
    ("503 for another call reports not_run", |s| vec![send(http_response(SERVICE_UNAVAILABLE, &(s.echo().replace("r-1", "r-2") + NOT_RUN), ""))], (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    ("no choice", |s| vec![send(s.response("200 OK", &completion("r-1", "")))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("two choices", |s| vec![send(s.response("200 OK", &completion("r-1", r#"{"text":"a","finish_reason":"stop"},{"text":"b","finish_reason":"stop"}"#)))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("other request in body", |s| vec![send(s.response("200 OK", &completion("r-2", r#"{"text":"a","finish_reason":"stop"}"#)))], (WrongIdentity, RunState::Unknown, Outcome::Failed)),
];

fn chunked(received: &ReceivedRequest) -> String {
    let echo = received.echo();
    format!("HTTP/1.1 200 OK\r\n{echo}transfer-encoding: chunked\r\n\r\n")
}

fn completion(id: &str, choices: &str) -> String {
    format!(
        r#"{{"id":"{id}","choices":[{choices}],"usage":{{"prompt_tokens":1,"completion_tokens":1}}}}"#
    )
}

async fn assert_faults(kind: ServiceKind, faults: &'static [Fault]) {
    for (name, steps, expected) in faults {
        let server = ScriptedServer::start(move |_, received| steps(received)).await;
        let mut call = call(kind, server.address, "r-1");
        if expected.0 == TimedOut {
            call.remaining = SHORT_TIMEOUT;
        }
        let error = client().run_stage(call).await.expect_err(name);
        assert_error(name, &error, *expected);
        assert_eq!(server.counts(), (1, 1), "{name}: the call was sent again");
    }
}

/// Guards against misclassified failures of pool calls, such as `NotRun` for a call that may have run, or `Died` for a
/// pool that did not crash. The pool reads the complete request, and then misbehaves as the table says or sends a
/// response for another call.
#[tokio::test]
async fn pool_faults_are_classified() {
    assert_faults(ServiceKind::Pool, POOL_FAULTS).await;
}

/// Guards against reporting `NotRun` for a completion that ran, and the reverse. The engine refuses or responds as the
/// table says. `not_run` is trusted only from an engine without free capacity that names this call.
#[tokio::test]
async fn not_run_is_trusted_only_if_the_engine_has_no_capacity() {
    assert_faults(ServiceKind::Engine, ENGINE_FAULTS).await;
}

/// Guards against reporting an unsent call as possibly run, and against sending a call after its deadline. Either
/// nothing listens at the address, as the upstream's process has ended, or the deadline passed while the request was
/// queued.
#[tokio::test]
async fn unsent_call_is_not_run() {
    let refused = client()
        .run_stage(call(ServiceKind::Pool, unused_address(), "r-1"))
        .await;
    assert_error(
        "refused",
        &refused.unwrap_err(),
        (Connect, RunState::NotRun, Outcome::Died),
    );

    let server = ScriptedServer::start(|_, received| vec![send(received.pool_response("x"))]).await;
    let mut late = call(ServiceKind::Pool, server.address, "r-1");
    late.remaining = std::time::Duration::ZERO;
    let error = client().run_stage(late).await.unwrap_err();
    assert_error(
        "no time",
        &error,
        (TimedOut, RunState::NotRun, Outcome::TimedOut),
    );
    assert_eq!(server.counts(), (0, 0));
}

/// Guards against an upstream that keeps working after the caller has disconnected or another attempt has finished
/// first. The future of the call is dropped before the response.
#[tokio::test]
async fn dropping_a_call_closes_the_connection() {
    let mut server = ScriptedServer::start(|_, _| vec![Step::Hang]).await;
    let client = client();
    assert!(
        tokio::time::timeout(SHORT_TIMEOUT, run_pool(&client, &server, "r-1"))
            .await
            .is_err()
    );
    server.wait_closed(1).await;
}

/// Guards against a large request that hangs or is reported as `NotRun`. The upstream's process is stopped, so its
/// kernel accepts the connection but nothing reads from it, and part of the body fills the socket buffers.
#[tokio::test]
async fn partially_written_request_is_unknown() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut big = call(ServiceKind::Pool, listener.local_addr().unwrap(), "r-1");
    big.input = "x".repeat(16 << 20).into();
    // Long enough to encode the input in a debug build. Otherwise nothing is written, and `NotRun` is correct.
    big.remaining = std::time::Duration::from_secs(3);
    let error = client().run_stage(big).await.unwrap_err();
    assert_error(
        "not read",
        &error,
        (TimedOut, RunState::Unknown, Outcome::TimedOut),
    );
}

#[tokio::test]
async fn call_sends_its_headers() {
    let server = ScriptedServer::start(|_, received| vec![send(received.pool_response("x"))]).await;
    let response = run_pool(&client(), &server, "r-1").await.unwrap();
    assert_eq!(
        (response.output.as_str(), response.cost.busy_ms),
        ("x", 1.5)
    );
    assert!(response.first_byte <= response.took && response.took < LONG_TIMEOUT);
    let received = server.first_request();
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
        assert_eq!(received.header(name), Some(value), "{name}");
    }
    let left: u128 = received
        .header("request-timeout-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left > 0 && left <= LONG_TIMEOUT.as_millis());
}
