//! Graceful shutdown, and timeouts of idle and slow connections.

mod support;

use std::time::Duration;

use http::Method;
use http_body_util::BodyExt;
use support::{
    TestEnv,
    client::{Client, events, read_events},
    eventually,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const STREAM: (&str, &str) = ("accept", "text/event-stream");

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_ask_callers_to_close_connections_of_a_leaving_instance() {
    let env = TestEnv::start().await;
    let before = env.client.pipeline("scores", "log", &[]).await;
    assert_eq!(before.header("connection"), "");
    env.instance.server.close_connections();
    for _ in 0..2 {
        let after = env.client.pipeline("scores", "log", &[]).await;
        assert_eq!(
            (after.status.as_u16(), after.header("connection")),
            (200, "close")
        );
    }
    let http2 = Client::http2(env.instance.address);
    assert_eq!(
        http2.pipeline("scores", "log", &[]).await.status.as_u16(),
        200
    );
}

/// Guards against truncated responses when an instance is replaced. The shutdown starts while a stream and a call with
/// an idempotency key are in progress, and must not close their connections or return before both have completed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_waits_for_streams_and_calls() {
    for client in [Client::new, Client::http2] {
        let env = TestEnv::with_token_time(Duration::from_millis(40)).await;
        let client = client(env.instance.address);
        env.upstreams.pool("bill-1").faults().set_hang(true);
        let keyed_call = {
            let client = client.clone();
            let key = [("idempotency-key", "k-1")];
            tokio::spawn(async move { client.pipeline("appraise", "dossier", &key).await })
        };
        eventually("the call with a key is running", || {
            env.fakes.permit_requests.lock().unwrap().len() == 2
        })
        .await;
        let body = r#"{"input":"log"}"#;
        let path = "/v1/pipelines/summary";
        let response = client.open(Method::POST, path, &[STREAM], body).await;
        let mut stream = response.into_body();
        let mut text = read_events(&mut stream, 1).await;
        env.instance.server.close_connections();
        env.instance.stop.cancel();
        let rest = stream
            .collect()
            .await
            .expect("incomplete stream")
            .to_bytes();
        text.push_str(std::str::from_utf8(&rest).unwrap());
        assert_eq!(events(&text).last().unwrap().name.as_deref(), Some("done"));
        assert!(
            !env.instance.serving.is_finished(),
            "stopped while the call with a key was running"
        );
        env.upstreams.pool("bill-1").faults().set_hang(false);
        assert_eq!(keyed_call.await.unwrap().status.as_u16(), 200);
        let serving = tokio::time::timeout(Duration::from_secs(10), env.instance.serving);
        serving.await.expect("server did not stop").unwrap();
        assert_eq!(env.instance.server.in_flight(), 0);
        let refused = TcpStream::connect(env.instance.address).await;
        assert!(refused.is_err(), "still listening");
    }
}

/// Guards against requests that accumulate because callers send their bodies very slowly. The header announces a body
/// of 100 bytes and only four arrive, so the request must be refused within the time limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_does_not_arrive_times_out() {
    let env = TestEnv::start().await;
    let mut socket = TcpStream::connect(env.instance.address).await.unwrap();
    let head = "POST /v1/pipelines/scores HTTP/1.1\r\nhost: a\r\nauthorization: Bearer lintas-token\r\n\
                request-timeout-ms: 200\r\ncontent-length: 100\r\n\r\n{\"in";
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut response = vec![0; 1_024];
    let read = tokio::time::timeout(Duration::from_secs(8), socket.read(&mut response));
    let read = read.await.expect("response timed out").unwrap();
    let response = String::from_utf8_lossy(&response[..read]).into_owned();
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    drop(socket);
    eventually("no request is in flight", || {
        env.instance.server.in_flight() == 0
    })
    .await;
}

/// Guards against running out of file descriptors because of connections without requests. Callers connect and send
/// nothing, a part of the first bytes or a part of a request head. The server must close such connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_without_a_complete_request_is_closed() {
    let env = TestEnv::start().await;
    for sent in [
        "",
        "P",
        "PRI * HTTP/2",
        "POST /v1/pipelines/scores HTTP/1.1\r\nhost: a\r\n",
    ] {
        let mut socket = TcpStream::connect(env.instance.address).await.unwrap();
        socket.write_all(sent.as_bytes()).await.unwrap();
        let mut rest = Vec::new();
        let closed = socket.read_to_end(&mut rest);
        let closed = tokio::time::timeout(Duration::from_secs(10), closed).await;
        assert!(closed.is_ok(), "still open after {sent:?}");
    }
}

/// Guards against an instance that never exits after a stop request. A caller reads the first event of a long stream
/// and then stops reading, so the shutdown must close its connection after the reader timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_reader_does_not_block_shutdown() {
    let env = TestEnv::start().await;
    env.set_max_tokens(60_000);
    let client = Client::http2(env.instance.address);
    let path = "/v1/pipelines/summary";
    let body = r#"{"input":"log"}"#;
    let response = client.open(Method::POST, path, &[STREAM], body).await;
    let mut stream = response.into_body();
    read_events(&mut stream, 1).await;
    env.instance.stop.cancel();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        !env.instance.serving.is_finished(),
        "did not wait for the reader timeout"
    );
    let serving = tokio::time::timeout(Duration::from_secs(20), env.instance.serving);
    serving.await.expect("server did not stop").unwrap();
    assert!(
        stream.collect().await.is_err(),
        "the caller must not get a complete stream"
    );
}
