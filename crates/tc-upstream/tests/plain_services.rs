//! Plain services: what passes through, and faults.

mod common;

use common::{Expected, Fake, SHORT, Seen, Step, answer, check, client, nobody, plain, send};
use http_body_util::BodyExt;
use tc_protocol::{Outcome, RunState};
use tc_upstream::{
    CallError,
    CallErrorKind::{Broken, Connect, Malformed, TimedOut, TooLarge, WrongIdentity},
    PlainResponse,
};

async fn whole(reply: PlainResponse) -> Result<String, CallError> {
    let bytes = reply.body.collect().await?.to_bytes();
    Ok(String::from_utf8(bytes.to_vec()).unwrap())
}

#[tokio::test]
async fn only_end_to_end_headers_pass() {
    let fake = Fake::start(|_, seen| {
        let headers = seen.echo()
            + "connection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\ntanagercroft-run-state: not_run\r\n\
               etag: \"1\"\r\nset-cookie: a\r\nset-cookie: b\r\n";
        vec![send(answer("201 Created", &headers, "lot"))]
    })
    .await;
    let reply = client().forward(plain(fake.address, "r-1")).await.unwrap();
    assert_eq!(
        (reply.status.as_u16(), reply.outcome),
        (201, Outcome::Answered)
    );
    let mut names: Vec<_> = reply
        .headers
        .iter()
        .map(|(name, _)| name.as_str())
        .collect();
    names.sort_unstable();
    assert_eq!(
        names,
        ["content-length", "etag", "set-cookie", "set-cookie"]
    );
    assert_eq!(whole(reply).await.unwrap(), "lot");

    let seen = fake.first_seen();
    assert!(
        seen.head.starts_with("PUT /lots/7?bid=1 HTTP/1.1\r\n"),
        "{}",
        seen.head
    );
    assert_eq!(seen.body, "bid");
    let address = fake.address.to_string();
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
        assert_eq!(seen.header(name), value, "{name}");
    }
}

#[tokio::test]
async fn every_status_passes_and_says_what_to_settle() {
    for (status, outcome) in [
        ("200 OK", Outcome::Answered),
        ("304 Not Modified", Outcome::Answered),
        ("404 Not Found", Outcome::Rejected),
        ("429 Too Many Requests", Outcome::Failed),
        ("500 Oops", Outcome::Failed),
    ] {
        let fake = Fake::start(move |_, seen| vec![send(answer(status, &seen.echo(), ""))]).await;
        let reply = client().forward(plain(fake.address, "r-1")).await.unwrap();
        assert_eq!(reply.outcome, outcome, "{status}");
        assert!(status.starts_with(reply.status.as_str()));
    }
}

type Fault = (&'static str, fn() -> Vec<Step>, Expected);

#[rustfmt::skip]
const FAULTS: &[Fault] = &[
    ("closes without answer", || vec![Step::Close], (Broken, RunState::Unknown, Outcome::Died)),
    ("never answers", || vec![Step::Hang], (TimedOut, RunState::Unknown, Outcome::TimedOut)),
    ("garbage", || vec![send("garbage\r\n\r\n")], (Malformed, RunState::Unknown, Outcome::Failed)),
    ("header too large", || vec![send(answer("200 OK", &format!("x: {}\r\n", "p".repeat(9 << 10)), ""))], (TooLarge, RunState::Unknown, Outcome::Failed)),
    ("switches protocols", || vec![send("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n")], (Malformed, RunState::Unknown, Outcome::Failed)),
    ("closes inside body", || vec![send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"), Step::Close], (Broken, RunState::Ran, Outcome::Died)),
    ("stalls inside body", || vec![send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"), Step::Hang], (TimedOut, RunState::Ran, Outcome::TimedOut)),
    ("body too large", || vec![send("HTTP/1.1 200 OK\r\ncontent-length: 999999\r\n\r\nab"), Step::Hang], (TooLarge, RunState::Ran, Outcome::Failed)),
];

/// Symptom: a cut or late answer of a plain service passes as whole, or its failure claims too much.
/// Sequence: the service reads the request, then misbehaves as each row says.
/// Cause: a broken service.
#[tokio::test]
async fn plain_faults_are_reported_as_they_are() {
    for (name, steps, expected) in FAULTS {
        let fake = Fake::start(move |_, _| steps()).await;
        let mut call = plain(fake.address, "r-1");
        if expected.0 == TimedOut {
            call.remaining = SHORT;
        }
        let result = match client().forward(call).await {
            Ok(reply) => whole(reply).await,
            Err(e) => Err(e),
        };
        check(name, &result.expect_err(name), *expected);
        assert_eq!(fake.counts(), (1, 1), "{name}: the call was sent again");
    }
    let error = client().forward(plain(nobody(), "r-1")).await.unwrap_err();
    check(
        "refused",
        &error,
        (Connect, RunState::NotRun, Outcome::Died),
    );
}

/// Symptom: one workspace gets the answer to another's call.
/// Sequence: a service that does not echo the identity answers the first call twice; then a second call is made. A
/// service that echoes does the same, its second copy coming as the answer to the second call.
/// Cause: a faulty service or a middlebox that repeats.
#[tokio::test]
async fn a_doubled_answer_reaches_nobody() {
    // The connection must not be kept, whether the second copy has come already or may still come.
    let script =
        |n: usize, _: &Seen| vec![send(answer("200 OK", "", &n.to_string()).repeat(1 + n % 2))];
    let silent = Fake::start(script).await;
    let client = client();
    for n in 0..3 {
        let reply = client.forward(plain(silent.address, "r-1")).await.unwrap();
        assert_eq!(whole(reply).await.unwrap(), n.to_string());
    }
    assert_eq!(silent.counts(), (3, 3));

    let late = |_, seen: &Seen| vec![send(seen.answer("200 OK", "first").replace("r-2", "r-1"))];
    let echoing = Fake::start(late).await;
    let reply = client.forward(plain(echoing.address, "r-1")).await.unwrap();
    assert_eq!(whole(reply).await.unwrap(), "first");
    let error = client
        .forward(plain(echoing.address, "r-2"))
        .await
        .unwrap_err();
    check(
        "late copy",
        &error,
        (WrongIdentity, RunState::Unknown, Outcome::Failed),
    );
}

/// Symptom: a service goes on sending to a caller that left.
/// Sequence: the header and a part of the body came; the body is dropped. Of a short answer, which is read whole first,
/// a part came; the call is dropped.
/// Cause: the caller left.
#[tokio::test]
async fn dropping_the_body_closes_its_connection() {
    let short = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab";
    let mut fake = Fake::start(move |_, _| vec![send(short), Step::Hang]).await;
    let client = client();
    let stalled = client.forward(plain(fake.address, "r-1"));
    assert!(tokio::time::timeout(SHORT, stalled).await.is_err());
    fake.wait_closed(1).await;

    let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n";
    let mut fake = Fake::start(move |_, _| vec![send(start), Step::Hang]).await;
    let mut reply = client.forward(plain(fake.address, "r-1")).await.unwrap();
    assert!(reply.body.frame().await.unwrap().is_ok());
    drop(reply);
    fake.wait_closed(1).await;
}

/// Symptom: one workspace gets the answer to another's call, on a connection that carried no other call.
/// Sequence: a service that echoes identities names another call in its first answer; one that puts a request identifier
/// of its own into its answers does so.
/// Cause: a faulty service that mixes up its answers. The second is no fault.
#[tokio::test]
async fn an_answer_that_names_another_call_reaches_nobody() {
    let mixed = |_, seen: &Seen| vec![send(seen.answer("200 OK", "other").replace("r-1", "r-9"))];
    let fake = Fake::start(mixed).await;
    let error = client()
        .forward(plain(fake.address, "r-1"))
        .await
        .unwrap_err();
    check(
        "names another call",
        &error,
        (WrongIdentity, RunState::Unknown, Outcome::Failed),
    );
    let own = |_, _: &Seen| vec![send(answer("200 OK", "x-request-id: mine\r\n", "lot"))];
    let fake = Fake::start(own).await;
    let reply = client().forward(plain(fake.address, "r-1")).await.unwrap();
    assert_eq!(whole(reply).await.unwrap(), "lot");
}

/// Symptom: a caller of a plain service gets a header and then a broken connection, and cannot tell what happened.
/// Sequence: the service breaks off inside a short answer.
/// Cause: the header was passed on before the rest of the answer was there.
#[tokio::test]
async fn a_short_answer_that_breaks_off_fails_before_its_header_is_passed_on() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab";
    let fake = Fake::start(move |_, _| vec![send(cut), Step::Close]).await;
    let replied = client().forward(plain(fake.address, "r-1")).await;
    let error = replied.expect_err("no header is passed on");
    check("cut", &error, (Broken, RunState::Ran, Outcome::Died));
}
