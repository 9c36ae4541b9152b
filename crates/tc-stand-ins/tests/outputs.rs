//! Upstreams give the outputs that a judge computes, and record what they were asked.

mod common;

use bytes::Bytes;
use common::{Call, answer, any, read_stream, text_of};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tc_protocol::wire::{CompletionResponse, PoolResponse};
use tc_stand_ins::{
    Ending, Engine, EngineConfig, Plain, PlainConfig, Pool, PoolConfig, Recorder, StageKind,
    engine_output, expected_pipeline_output, plain_output, pool_output,
};
use tokio::net::TcpStream;

#[tokio::test]
async fn a_pipeline_gives_its_expected_output() {
    let recorder = Recorder::new();
    let pool = Pool::start(any(), PoolConfig::new("pool-1", "encode"), recorder.clone());
    let pool = pool.await.unwrap();
    let engine = EngineConfig::new("engine-1", "generate");
    let engine = Engine::start(any(), engine, recorder.clone())
        .await
        .unwrap();

    let input = "#job-7 a long probe log";
    let reply = answer(pool.address(), &Call::pool("r-1", "encode", input)).await;
    let encoded: PoolResponse = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(encoded.output, pool_output("encode", input));
    assert_eq!(reply.header("x-request-id"), Some("r-1"));
    assert_eq!(reply.header("x-stage"), Some("encode"));
    assert_eq!(reply.header("x-attempt"), Some("0"));

    let call = Call::completion("r-1", &encoded.output, 9, false);
    let reply = answer(engine.address(), &call).await;
    let drafted: CompletionResponse = serde_json::from_slice(&reply.body).unwrap();
    let stages = [
        ("encode", StageKind::Pool),
        ("generate", StageKind::Engine { max_tokens: 9 }),
    ];
    assert_eq!(
        drafted.choices[0].text,
        expected_pipeline_output(&stages, input)
    );
    assert_eq!(drafted.usage.completion_tokens, 9);

    let calls = recorder.calls_of(&"r-1".into());
    let ended: Vec<_> = calls.iter().map(|call| call.ending).collect();
    assert_eq!(ended, [Some(Ending::Answered); 2]);
    assert_eq!(recorder.by_stage()["generate"].tokens_out, 9);
}

#[tokio::test]
async fn a_stream_carries_the_same_text_as_a_whole_answer() {
    let engine = EngineConfig::new("engine-1", "generate");
    let engine = Engine::start(any(), engine, Recorder::new()).await.unwrap();
    let mut conn = common::Connection::open(engine.address()).await.unwrap();
    let call = Call::completion("r-1", "timeline", 20, true);
    let mut body = conn.begin(&call).await.unwrap().into_body();
    let (events, whole) = read_stream(&mut body).await;
    assert!(whole);
    let ids: Vec<u64> = events.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, (1..=21).collect::<Vec<_>>());
    assert_eq!(events.last().unwrap().1, "[DONE]");
    assert_eq!(text_of(&events), engine_output("timeline", 20));
}

#[tokio::test]
async fn a_plain_service_answers_any_method_and_counts_runs_by_key() {
    let recorder = Recorder::new();
    let plain = PlainConfig::new("plain-1", "records");
    let plain = Plain::start(any(), plain, recorder.clone()).await.unwrap();
    for (method, path) in [
        (Method::GET, "/lots/7?full=1"),
        (Method::PUT, "/lots/7"),
        (Method::DELETE, "/lots/8"),
    ] {
        let call = Call::new(method, path).body("{\"bid\":3}");
        let reply = answer(plain.address(), &call).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert_eq!(reply.json(), plain_output(path, b"{\"bid\":3}"));
    }
    let call = Call::new(Method::POST, "/bids").header("idempotency-key", "k-1");
    answer(plain.address(), &call).await;
    assert_eq!(recorder.runs_of_key("k-1").len(), 1);
    assert!(recorder.doubled_keys().is_empty());
    answer(plain.address(), &call).await;
    assert_eq!(recorder.doubled_keys()["k-1"], 2);
}

/// Symptom: an upstream works for a caller that has gone.
/// Sequence: two calls share an HTTP/2 connection; one is answered; the other is reset by its caller.
/// Cause: an attempt that lost against another, on a connection that stays.
#[tokio::test]
async fn http_2_calls_are_answered_and_cancelled_one_by_one() {
    let recorder = Recorder::new();
    let cfg = PlainConfig::new("plain-1", "records");
    let plain = Plain::start(any(), cfg, recorder.clone()).await.unwrap();
    let stream = TcpStream::connect(plain.address()).await.unwrap();
    let (mut tx, conn) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(conn);
    let call = |path| {
        let uri = format!("http://{}{path}", plain.address());
        Request::get(uri).body(Empty::<Bytes>::new()).unwrap()
    };
    let resp = tx.send_request(call("/lots/7")).await.unwrap();
    let body = resp.into_body().collect().await.unwrap().to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(body, plain_output("/lots/7", b""));

    plain.faults().set_hang(true);
    let reset = tokio::spawn(tx.send_request(call("/lots/8")));
    common::until("the call runs", || recorder.running() == 1).await;
    reset.abort();
    common::until("it is cancelled", || recorder.running() == 0).await;
    assert_eq!(recorder.calls()[1].ending, Some(Ending::Cancelled));
}
