//! Connection reuse must never mix up responses or run a call twice.

mod common;

use std::io::{Read, Write};

use common::{SHORT_TIMEOUT, ScriptedServer, Step, assert_error, call, client, run_pool, send};
use tc_protocol::{Outcome, RunState, ServiceKind};
use tc_upstream::CallErrorKind::{Broken, Failed, WrongIdentity};

#[tokio::test]
async fn connection_is_reused_after_success_and_error_responses() {
    let server = ScriptedServer::start(|n, received| match n {
        0..5 => vec![send(received.pool_response("x"))],
        _ => vec![send(received.response("503 Busy", "no room"))],
    })
    .await;
    let client = client();
    for _ in 0..5 {
        run_pool(&client, &server, "r-1").await.unwrap();
    }
    for _ in 0..3 {
        let error = run_pool(&client, &server, "r-1").await.unwrap_err();
        assert_error("503", &error, (Failed(503), RunState::Ran, Outcome::Failed));
    }
    assert_eq!(server.counts(), (1, 8));
}

/// Guards against a call that fails with the run state `unknown` although the upstream is healthy. The upstream closes
/// the idle connection between two calls, as servers do on a timeout or a restart.
#[tokio::test]
async fn closed_idle_connection_is_replaced() {
    for fault in [Step::Close, Step::Reset] {
        let script = move |_, received: &common::ReceivedRequest| {
            vec![send(received.pool_response("x")), fault.clone()]
        };
        let mut server = ScriptedServer::start(script).await;
        let client = client();
        for n in 1..=3 {
            run_pool(&client, &server, "r-1").await.unwrap();
            server.wait_closed(n).await;
        }
        assert_eq!(server.counts(), (3, 3));
    }
}

/// Guards against writing a call to a closed connection, which fails with the run state `unknown`. The upstream closes
/// the connection after a response, and the next call is made before the event loop has run again. At that time only
/// the kernel knows of the close.
#[tokio::test]
async fn close_is_detected_before_the_event_loop_reports_it() {
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
            let received = common::ReceivedRequest {
                head,
                body: String::new(),
            };
            stream
                .write_all(received.pool_response("x").as_bytes())
                .unwrap();
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
        // Blocks the only thread of the runtime so that the event loop cannot run.
        close.send(()).unwrap();
        closed.recv().unwrap();
    }
}

/// Guards against returning the response of the previous request. A faulty upstream or a middlebox sends a response
/// twice. The second copy arrives while the connection is idle, or (second part) in place of the response to the next
/// call.
#[tokio::test]
async fn duplicate_response_is_never_returned() {
    let output =
        |received: &common::ReceivedRequest| received.header("x-request-id").unwrap().to_owned();
    let script = move |_, received: &common::ReceivedRequest| {
        vec![send(received.pool_response(&output(received)).repeat(2))]
    };
    let server = ScriptedServer::start(script).await;
    let client = client();
    for request in ["r-1", "r-2", "r-3"] {
        assert_eq!(
            run_pool(&client, &server, request).await.unwrap().output,
            request
        );
    }

    let late = |_, received: &common::ReceivedRequest| {
        vec![send(received.pool_response("x").replace("r-2", "r-1"))]
    };
    let mut server = ScriptedServer::start(late).await;
    run_pool(&client, &server, "r-1").await.unwrap();
    let error = run_pool(&client, &server, "r-2").await.unwrap_err();
    assert_error(
        "late copy",
        &error,
        (WrongIdentity, RunState::Unknown, Outcome::Failed),
    );
    server.wait_closed(1).await;
}

/// Guards against running a call twice. On a reused connection, the upstream crashes after it has read the complete
/// request. The client must not send it again; the caller decides about a retry.
#[tokio::test]
async fn request_read_on_a_reused_connection_is_not_retried() {
    let server = ScriptedServer::start(|n, received| match n {
        0 => vec![send(received.pool_response("x"))],
        _ => vec![Step::Close],
    })
    .await;
    let client = client();
    run_pool(&client, &server, "r-1").await.unwrap();
    let error = run_pool(&client, &server, "r-2").await.unwrap_err();
    assert_error("broke", &error, (Broken, RunState::Unknown, Outcome::Died));
    assert_eq!(server.counts(), (1, 2));
}

#[tokio::test]
async fn idle_connections_are_bounded() {
    let script = |_, received: &common::ReceivedRequest| {
        vec![
            Step::Pause(SHORT_TIMEOUT),
            send(received.pool_response("x")),
        ]
    };
    let mut server = ScriptedServer::start(script).await;
    let client = tc_upstream::UpstreamClient::new(tc_upstream::ClientSettings {
        pool_idle_per_host: 2,
        ..Default::default()
    });
    let calls = (0..6).map(|_| run_pool(&client, &server, "r-1"));
    futures::future::try_join_all(calls).await.unwrap();
    server.wait_closed(4).await;
    assert_eq!(server.counts(), (6, 6));
}
