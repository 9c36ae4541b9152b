//! Reuse of connections must never mix answers up or run a call twice.

mod common;

use std::io::{Read, Write};

use common::{Fake, SHORT, Step, call, check, client, run_pool, send};
use tc_protocol::{Outcome, RunState, ServiceKind};
use tc_upstream::CallErrorKind::{Broken, Failed, WrongIdentity};

#[tokio::test]
async fn calls_and_error_answers_share_a_connection() {
    let fake = Fake::start(|n, seen| match n {
        0..5 => vec![send(seen.pool_answer("x"))],
        _ => vec![send(seen.answer("503 Busy", "no room"))],
    })
    .await;
    let client = client();
    for _ in 0..5 {
        run_pool(&client, &fake, "r-1").await.unwrap();
    }
    for _ in 0..3 {
        let error = run_pool(&client, &fake, "r-1").await.unwrap_err();
        check("503", &error, (Failed(503), RunState::Ran, Outcome::Failed));
    }
    assert_eq!(fake.counts(), (1, 8));
}

/// Symptom: a call fails as `unknown` although the upstream is well.
/// Sequence: a call is answered; the upstream closes the idle connection; the next call is made.
/// Cause: servers close idle connections, and restart.
#[tokio::test]
async fn a_connection_closed_while_idle_is_replaced() {
    for fault in [Step::Close, Step::Reset] {
        let script = move |_, seen: &common::Seen| vec![send(seen.pool_answer("x")), fault.clone()];
        let mut fake = Fake::start(script).await;
        let client = client();
        for n in 1..=3 {
            run_pool(&client, &fake, "r-1").await.unwrap();
            fake.wait_closed(n).await;
        }
        assert_eq!(fake.counts(), (3, 3));
    }
}

/// Symptom: a call is written to a connection that is closed already, and fails as `unknown`.
/// Sequence: a call is answered; the upstream closes; the next call is made before the event loop has run again.
/// Cause: the close is known to the kernel but not yet to the event loop.
#[tokio::test]
async fn a_close_the_event_loop_has_not_seen_is_noticed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (close, may_close) = std::sync::mpsc::channel();
    let (closed_tx, closed) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().unwrap();
            let mut bytes = Vec::new();
            while !bytes.ends_with(b"}") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                bytes.extend(byte);
            }
            let head = String::from_utf8(bytes).unwrap();
            let seen = common::Seen {
                head,
                body: String::new(),
            };
            stream.write_all(seen.pool_answer("x").as_bytes()).unwrap();
            may_close.recv().unwrap();
            drop(stream);
            closed_tx.send(()).unwrap();
        }
    });
    let client = client();
    for _ in 0..2 {
        client
            .run_stage(call(ServiceKind::Pool, address, "r-1"))
            .await
            .unwrap();
        // Blocks the only thread of the runtime, so that the event loop cannot run.
        close.send(()).unwrap();
        closed.recv().unwrap();
    }
}

/// Symptom: a request gets the answer of the request before it.
/// Sequence: the upstream sends an answer twice; the second copy arrives while the connection is idle, or (second
/// part) in place of the answer to the next call.
/// Cause: a faulty upstream or a middlebox that repeats.
#[tokio::test]
async fn a_doubled_answer_reaches_nobody() {
    let output = |seen: &common::Seen| seen.header("x-request-id").unwrap().to_owned();
    let script =
        move |_, seen: &common::Seen| vec![send(seen.pool_answer(&output(seen)).repeat(2))];
    let fake = Fake::start(script).await;
    let client = client();
    for request in ["r-1", "r-2", "r-3"] {
        assert_eq!(
            run_pool(&client, &fake, request).await.unwrap().output,
            request
        );
    }

    let late = |_, seen: &common::Seen| vec![send(seen.pool_answer("x").replace("r-2", "r-1"))];
    let mut fake = Fake::start(late).await;
    run_pool(&client, &fake, "r-1").await.unwrap();
    let error = run_pool(&client, &fake, "r-2").await.unwrap_err();
    check(
        "late copy",
        &error,
        (WrongIdentity, RunState::Unknown, Outcome::Failed),
    );
    fake.wait_closed(1).await;
}

/// Symptom: a call runs twice.
/// Sequence: a kept connection takes the second request whole and breaks without an answer.
/// Cause: the upstream died under the call; sending it again on a new connection is not ours to decide.
#[tokio::test]
async fn a_kept_connection_that_took_the_request_is_not_retried() {
    let fake = Fake::start(|n, seen| match n {
        0 => vec![send(seen.pool_answer("x"))],
        _ => vec![Step::Close],
    })
    .await;
    let client = client();
    run_pool(&client, &fake, "r-1").await.unwrap();
    let error = run_pool(&client, &fake, "r-2").await.unwrap_err();
    check("broke", &error, (Broken, RunState::Unknown, Outcome::Died));
    assert_eq!(fake.counts(), (1, 2));
}

#[tokio::test]
async fn idle_connections_are_bounded() {
    let script = |_, seen: &common::Seen| vec![Step::Pause(SHORT), send(seen.pool_answer("x"))];
    let mut fake = Fake::start(script).await;
    let client = tc_upstream::UpstreamClient::new(tc_upstream::ClientSettings {
        pool_idle_per_host: 2,
        ..Default::default()
    });
    let calls = (0..6).map(|_| run_pool(&client, &fake, "r-1"));
    futures::future::try_join_all(calls).await.unwrap();
    fake.wait_closed(4).await;
    assert_eq!(fake.counts(), (6, 6));
}
