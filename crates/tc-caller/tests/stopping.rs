//! A planned stop cuts nothing off; idle and slow connections don't stay.

mod support;

use std::time::Duration;

use http::Method;
use http_body_util::BodyExt;
use support::{
    World,
    client::{Client, events, read_events},
    eventually,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const STREAM: (&str, &str) = ("accept", "text/event-stream");

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_tell_callers_to_close_once_the_instance_is_leaving() {
    let world = World::start().await;
    let before = world.client.pipeline("scores", "log", &[]).await;
    assert_eq!(before.header("connection"), "");
    world.instance.server.close_connections();
    for _ in 0..2 {
        let after = world.client.pipeline("scores", "log", &[]).await;
        assert_eq!(
            (after.status.as_u16(), after.header("connection")),
            (200, "close")
        );
    }
    let http2 = Client::http2(world.instance.address);
    assert_eq!(
        http2.pipeline("scores", "log", &[]).await.status.as_u16(),
        200
    );
}

/// Symptom: a subscriber's timeline ends in the middle when an instance is replaced.
/// Sequence: the stop comes while a stream, a call and a run without its caller are under way.
/// Cause: connections closed, or the process ended, before the last of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_waits_for_streams_calls_and_runs_without_callers() {
    for client in [Client::new, Client::http2] {
        let world = World::with_token_time(Duration::from_millis(40)).await;
        let client = client(world.instance.address);
        world.up.pool("bill-1").faults().set_hang(true);
        let keyed = {
            let client = client.clone();
            let key = [("idempotency-key", "k-1")];
            tokio::spawn(async move { client.pipeline("appraise", "dossier", &key).await })
        };
        eventually("the keyed run waits", || {
            world.fakes.asks.lock().unwrap().len() == 2
        })
        .await;
        let body = r#"{"input":"log"}"#;
        let path = "/v1/pipelines/summary";
        let answer = client.open(Method::POST, path, &[STREAM], body).await;
        let mut stream = answer.into_body();
        let mut text = read_events(&mut stream, 1).await;
        world.instance.server.close_connections();
        world.instance.stop.cancel();
        let rest = stream.collect().await.expect("a whole stream").to_bytes();
        text.push_str(std::str::from_utf8(&rest).unwrap());
        assert_eq!(events(&text).last().unwrap().name.as_deref(), Some("done"));
        assert!(
            !world.instance.serving.is_finished(),
            "the keyed run is still under way"
        );
        world.up.pool("bill-1").faults().set_hang(false);
        assert_eq!(keyed.await.unwrap().status.as_u16(), 200);
        let serving = tokio::time::timeout(Duration::from_secs(10), world.instance.serving);
        serving.await.expect("it ends").unwrap();
        assert_eq!(world.instance.server.in_flight(), 0);
        let refused = TcpStream::connect(world.instance.address).await;
        assert!(refused.is_err(), "nothing listens any more");
    }
}

/// Symptom: requests in flight pile up from callers that send a byte a minute.
/// Sequence: the head says 100 bytes, five come, then nothing.
/// Cause: no time limit on the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_does_not_come_is_refused_in_time() {
    let world = World::start().await;
    let mut socket = TcpStream::connect(world.instance.address).await.unwrap();
    let head = "POST /v1/pipelines/scores HTTP/1.1\r\nhost: a\r\nauthorization: Bearer lintas-token\r\n\
                request-timeout-ms: 200\r\ncontent-length: 100\r\n\r\n{\"in";
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 1_024];
    let read = tokio::time::timeout(Duration::from_secs(8), socket.read(&mut answer));
    let read = read.await.expect("an answer in time").unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    drop(socket);
    eventually("nothing is in flight", || {
        world.instance.server.in_flight() == 0
    })
    .await;
}

/// Symptom: file descriptors run out although few requests come.
/// Sequence: callers connect and send nothing, part of the first bytes, or part of a head.
/// Cause: connections that wait for a request for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_without_a_whole_request_is_closed() {
    let world = World::start().await;
    for sent in [
        "",
        "P",
        "PRI * HTTP/2",
        "POST /v1/pipelines/scores HTTP/1.1\r\nhost: a\r\n",
    ] {
        let mut socket = TcpStream::connect(world.instance.address).await.unwrap();
        socket.write_all(sent.as_bytes()).await.unwrap();
        let mut rest = Vec::new();
        let closed = socket.read_to_end(&mut rest);
        let closed = tokio::time::timeout(Duration::from_secs(10), closed).await;
        assert!(closed.is_ok(), "still open after {sent:?}");
    }
}

/// Symptom: an instance that was told to stop does not exit.
/// Sequence: a caller reads the first event of a long stream and then no more.
/// Cause: the stop waits for a caller that never reads the rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reader_that_stalls_does_not_hold_up_a_stop() {
    let world = World::start().await;
    world.set_max_tokens(60_000);
    let client = Client::http2(world.instance.address);
    let path = "/v1/pipelines/summary";
    let body = r#"{"input":"log"}"#;
    let answer = client.open(Method::POST, path, &[STREAM], body).await;
    let mut stream = answer.into_body();
    read_events(&mut stream, 1).await;
    world.instance.stop.cancel();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        !world.instance.serving.is_finished(),
        "it is given time to read on"
    );
    let serving = tokio::time::timeout(Duration::from_secs(20), world.instance.serving);
    serving.await.expect("it ends").unwrap();
    assert!(
        stream.collect().await.is_err(),
        "the caller sees that it is cut"
    );
}
