//! Calls to plain services: forwarded headers and statuses, and faults.

mod common;

use common::{
    Expected, ReceivedRequest, SHORT_TIMEOUT, ScriptedServer, Step, assert_error, client,
    http_response, plain_call, send, unused_address,
};
use http_body_util::BodyExt;
use tc_protocol::{Outcome, RunState};
use tc_upstream::{
    CallError,
    CallErrorKind::{Broken, Connect, Malformed, TimedOut, TooLarge, WrongIdentity},
    PlainResponse,
};

async fn read_body(response: PlainResponse) -> Result<String, CallError> {
    let bytes = response.body.collect().await?.to_bytes();
    Ok(String::from_utf8(bytes.to_vec()).unwrap())
}

#[tokio::test]
async fn only_end_to_end_headers_are_forwarded() {
    let server = ScriptedServer::start(|_, received| {
        let headers = received.echo()
            + "connection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\ntanagercroft-run-state: not_run\r\n\
               etag: \"1\"\r\nset-cookie: a\r\nset-cookie: b\r\n";
        vec![send(http_response("201 Created", &headers, "lot"))]
    })
    .await;
    let response = client()
        .forward(plain_call(server.address, "r-1"))
        .await
        .unwrap();
    assert_eq!(
        (response.status.as_u16(), response.outcome),
        (201, Outcome::Answered)
    );
    let mut names: Vec<_> = response
        .headers
        .iter()
        .map(|(name, _)| name.as_str())
        .collect();
    names.sort_unstable();
    assert_eq!(
        names,
        ["content-length", "etag", "set-cookie", "set-cookie"]
    );
    assert_eq!(read_body(response).await.unwrap(), "lot");

    let received = server.first_request();
    assert!(
        received.head.starts_with("PUT /lots/7?bid=1 HTTP/1.1\r\n"),
        "{}",
        received.head
    );
    assert_eq!(received.body, "bid");
    let address = server.address.to_string();
    for (name, value) in [
        ("host", Some(address.as_str())),
        ("x-request-id", Some("r-1")),
        ("idempotency-key", Some("k-1")),
        ("accept-language", Some("ms")),
        ("content-length", Some("3")),
        ("authorization", None),
        ("x-private", None),
        ("te", None),
        ("expect", None),
        ("tanagercroft-binding", None),
    ] {
        assert_eq!(received.header(name), value, "{name}");
    }
}

#[tokio::test]
async fn every_status_is_returned_with_its_outcome() {
    for (status, outcome) in [
        ("200 OK", Outcome::Answered),
        ("304 Not Modified", Outcome::Answered),
        ("404 Not Found", Outcome::Rejected),
        ("429 Too Many Requests", Outcome::Failed),
        ("500 Oops", Outcome::Failed),
    ] {
        let server = ScriptedServer::start(move |_, received| {
            vec![send(http_response(status, &received.echo(), ""))]
        })
        .await;
        let response = client()
            .forward(plain_call(server.address, "r-1"))
            .await
            .unwrap();
        assert_eq!(response.outcome, outcome, "{status}");
        assert!(status.starts_with(response.status.as_str()));
    }
}

type Fault = (&'static str, fn() -> Vec<Step>, Expected);

#[rustfmt::skip]
const FAULTS: &[Fault] = &[
    ("closes without response", || vec![Step::Close], (Broken, RunState::Unknown, Outcome::Died)),
    ("never responds", || vec![Step::Hang], (TimedOut, RunState::Unknown, Outcome::TimedOut)),
    ("garbage", || vec![send("garbage\r\n\r\n")], (Malformed, RunState::Unknown, Outcome::Failed)),
    ("header too large", || vec![send(http_response("200 OK", &format!("x: {}\r\n", "p".repeat(9 << 10)), ""))], (TooLarge, RunState::Unknown, Outcome::Failed)),
    ("switches protocols", || vec![send("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n")], (Malformed, RunState::Unknown, Outcome::Failed)),
    ("closes inside body", || vec![send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"), Step::Close], (Broken, RunState::Ran, Outcome::Died)),
    ("stalls inside body", || vec![send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"), Step::Hang], (TimedOut, RunState::Ran, Outcome::TimedOut)),
    ("body too large", || vec![send("HTTP/1.1 200 OK\r\ncontent-length: 999999\r\n\r\nab"), Step::Hang], (TooLarge, RunState::Ran, Outcome::Failed)),
];

/// Guards against returning a truncated or late response as complete, and against errors that claim more than is known.
/// The service reads the request and then misbehaves as the table says.
#[tokio::test]
async fn plain_service_faults_are_classified() {
    for (name, steps, expected) in FAULTS {
        let server = ScriptedServer::start(move |_, _| steps()).await;
        let mut call = plain_call(server.address, "r-1");
        if expected.0 == TimedOut {
            call.remaining = SHORT_TIMEOUT;
        }
        let result = match client().forward(call).await {
            Ok(response) => read_body(response).await,
            Err(e) => Err(e),
        };
        assert_error(name, &result.expect_err(name), *expected);
        assert_eq!(server.counts(), (1, 1), "{name}: the call was sent again");
    }
    let error = client()
        .forward(plain_call(unused_address(), "r-1"))
        .await
        .unwrap_err();
    assert_error(
        "refused",
        &error,
        (Connect, RunState::NotRun, Outcome::Died),
    );
}

/// Guards against returning the response to one workspace's call to another workspace. A faulty service or a middlebox
/// sends a response twice, and then a second call is made. The first service does not echo the identity. The second one
/// does, and its second copy arrives as the response to the second call.
#[tokio::test]
async fn duplicate_response_is_never_returned() {
    // The connection must not be kept, whether or not the second copy has already arrived.
    let script = |n: usize, _: &ReceivedRequest| {
        vec![send(
            http_response("200 OK", "", &n.to_string()).repeat(1 + n % 2),
        )]
    };
    let non_echoing = ScriptedServer::start(script).await;
    let client = client();
    for n in 0..3 {
        let response = client
            .forward(plain_call(non_echoing.address, "r-1"))
            .await
            .unwrap();
        assert_eq!(read_body(response).await.unwrap(), n.to_string());
    }
    assert_eq!(non_echoing.counts(), (3, 3));

    let late = |_, received: &ReceivedRequest| {
        vec![send(
            received.response("200 OK", "first").replace("r-2", "r-1"),
        )]
    };
    let echoing = ScriptedServer::start(late).await;
    let response = client
        .forward(plain_call(echoing.address, "r-1"))
        .await
        .unwrap();
    assert_eq!(read_body(response).await.unwrap(), "first");
    let error = client
        .forward(plain_call(echoing.address, "r-2"))
        .await
        .unwrap_err();
    assert_error(
        "late copy",
        &error,
        (WrongIdentity, RunState::Unknown, Outcome::Failed),
    );
}

/// Guards against a service that keeps sending after the caller has disconnected. The call is dropped while it reads a
/// short response ahead; then a body is dropped after its first part has arrived.
#[tokio::test]
async fn dropping_a_call_or_body_closes_the_connection() {
    let short = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab";
    let mut server = ScriptedServer::start(move |_, _| vec![send(short), Step::Hang]).await;
    let client = client();
    let stalled = client.forward(plain_call(server.address, "r-1"));
    assert!(tokio::time::timeout(SHORT_TIMEOUT, stalled).await.is_err());
    server.wait_closed(1).await;

    let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n";
    let mut server = ScriptedServer::start(move |_, _| vec![send(start), Step::Hang]).await;
    let mut response = client
        .forward(plain_call(server.address, "r-1"))
        .await
        .unwrap();
    assert!(response.body.frame().await.unwrap().is_ok());
    drop(response);
    server.wait_closed(1).await;
}

/// Guards against returning the response to another workspace's call on a new connection. A faulty service that echoes
/// identities mixes up its responses, so that its first one names another call. A service that only sets a request
/// identifier of its own is not faulty, and its response is returned.
#[tokio::test]
async fn response_that_names_another_call_is_rejected() {
    let mixed = |_, received: &ReceivedRequest| {
        vec![send(
            received.response("200 OK", "other").replace("r-1", "r-9"),
        )]
    };
    let server = ScriptedServer::start(mixed).await;
    let error = client()
        .forward(plain_call(server.address, "r-1"))
        .await
        .unwrap_err();
    assert_error(
        "names another call",
        &error,
        (WrongIdentity, RunState::Unknown, Outcome::Failed),
    );
    let own = |_, _: &ReceivedRequest| {
        vec![send(http_response(
            "200 OK",
            "x-request-id: mine\r\n",
            "lot",
        ))]
    };
    let server = ScriptedServer::start(own).await;
    let response = client()
        .forward(plain_call(server.address, "r-1"))
        .await
        .unwrap();
    assert_eq!(read_body(response).await.unwrap(), "lot");
}

/// Guards against forwarding the header of a short response before its body has arrived. If the service then closes the
/// connection within the body, the caller only gets a broken connection and no error.
#[tokio::test]
async fn truncated_short_response_fails_before_its_header_is_forwarded() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab";
    let server = ScriptedServer::start(move |_, _| vec![send(cut), Step::Close]).await;
    let result = client().forward(plain_call(server.address, "r-1")).await;
    let error = result.expect_err("the call must fail before a header is returned");
    assert_error("cut", &error, (Broken, RunState::Ran, Outcome::Died));
}
