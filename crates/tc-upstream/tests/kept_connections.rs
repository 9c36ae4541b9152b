//! Reuse of connections must never mix answers up or run a call twice.

mod common;

use common::{Fake, Step, call, check, client, send};
use tc_protocol::{Outcome, RunState, ServiceKind::Pool};
use tc_upstream::CallErrorKind::{Broken, Failed, WrongIdentity};

#[tokio::test]
async fn calls_one_after_another_share_a_connection() {
    let fake = Fake::start(|_, seen| vec![send(seen.pool_answer("x"))]).await;
    let client = client();
    for n in 0..5 {
        let request = format!("r-{n}");
        client
            .run_stage(call(Pool, fake.address, &request))
            .await
            .unwrap();
    }
    assert_eq!((fake.connections(), fake.requests()), (1, 5));
}

#[tokio::test]
async fn an_error_answer_keeps_its_connection() {
    let fake = Fake::start(|_, seen| vec![send(seen.answer("503 Busy", "no room"))]).await;
    let client = client();
    for _ in 0..3 {
        let error = client
            .run_stage(call(Pool, fake.address, "r-1"))
            .await
            .unwrap_err();
        check("503", &error, (Failed(503), RunState::Ran, Outcome::Failed));
    }
    assert_eq!(fake.connections(), 1);
}

/// Symptom: a call fails as `unknown` although the upstream is well.
/// Sequence: a call is answered; the upstream closes the idle connection; the next call is made.
/// Cause: servers close idle connections, and restart.
#[tokio::test]
async fn a_connection_closed_while_idle_is_replaced() {
    for fault in [Step::Close, Step::Reset] {
        let mut fake =
            Fake::start(move |_, seen| vec![send(seen.pool_answer("x")), fault.clone()]).await;
        let client = client();
        for n in 1..=3 {
            client
                .run_stage(call(Pool, fake.address, "r-1"))
                .await
                .unwrap();
            fake.wait_closed(n).await;
        }
        assert_eq!((fake.connections(), fake.requests()), (3, 3));
    }
}

/// Symptom: a request gets the answer of the request before it.
/// Sequence: the upstream sends an answer twice; the second copy arrives while the connection is idle, or (second
/// row) in place of the answer to the next call.
/// Cause: a faulty upstream or a middlebox that repeats.
#[tokio::test]
async fn a_doubled_answer_reaches_nobody() {
    let fake = Fake::start(|_, seen| {
        let text = seen.pool_answer(seen.header("x-request-id").unwrap());
        vec![send(text.repeat(2))]
    })
    .await;
    let client = client();
    for request in ["r-1", "r-2", "r-3"] {
        let reply = client
            .run_stage(call(Pool, fake.address, request))
            .await
            .unwrap();
        assert_eq!(reply.output, request);
    }

    let first = std::sync::Mutex::new(String::new());
    let fake = Fake::start(move |n, seen| {
        let mut first = first.lock().unwrap();
        if n == 0 {
            *first = seen.pool_answer("x");
        }
        vec![send(first.clone())]
    })
    .await;
    client
        .run_stage(call(Pool, fake.address, "r-1"))
        .await
        .unwrap();
    let error = client
        .run_stage(call(Pool, fake.address, "r-2"))
        .await
        .unwrap_err();
    check(
        "late copy",
        &error,
        (WrongIdentity, RunState::Unknown, Outcome::Failed),
    );
    let mut fake = fake;
    fake.wait_closed(1).await;
}

/// Symptom: a call runs twice.
/// Sequence: a kept connection takes the second request whole and breaks without an answer.
/// Cause: the upstream died under the call; sending it again on a new connection is not ours to decide.
#[tokio::test]
async fn a_kept_connection_that_took_the_request_is_not_retried() {
    let fake = Fake::start(|n, seen| {
        if n == 0 {
            vec![send(seen.pool_answer("x"))]
        } else {
            vec![Step::Close]
        }
    })
    .await;
    let client = client();
    client
        .run_stage(call(Pool, fake.address, "r-1"))
        .await
        .unwrap();
    let error = client
        .run_stage(call(Pool, fake.address, "r-2"))
        .await
        .unwrap_err();
    check("broke", &error, (Broken, RunState::Unknown, Outcome::Died));
    assert_eq!((fake.connections(), fake.requests()), (1, 2));
}

#[tokio::test]
async fn idle_connections_are_bounded() {
    let mut fake =
        Fake::start(|_, seen| vec![Step::Pause(common::SHORT), send(seen.pool_answer("x"))]).await;
    let client = tc_upstream::UpstreamClient::new(tc_upstream::ClientSettings {
        pool_idle_per_host: 2,
        ..Default::default()
    });
    let calls = (0..6).map(|_| client.run_stage(call(Pool, fake.address, "r-1")));
    for reply in futures::future::join_all(calls).await {
        reply.unwrap();
    }
    fake.wait_closed(4).await;
    assert_eq!(fake.connections(), 6);
}
