//! Calls to the stand-ins of engines, pools and plain services, which the tests of other crates use as well.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Expected, INPUT, assert_error, call, client, open};
use http_body_util::BodyExt;
use tc_protocol::{Outcome, RunState, ServiceKind, wire::Order};
use tc_stand_ins::{
    AnswerFault, CRASH_MARKER, Engine, EngineConfig, Plain, PlainConfig, Pool, PoolConfig,
    Recorder, engine_output, plain_output, pool_output,
};
use tc_upstream::{
    CallErrorKind::{Broken, Connect, Failed, Malformed, TooLarge, WrongIdentity},
    OrderError, StreamItem,
};

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn engine(id: &str, recorder: &Recorder, checks_orders: bool) -> Engine {
    let mut cfg = EngineConfig::new(id, "drafting");
    cfg.checks_orders = checks_orders;
    cfg.resume_window = Duration::from_secs(5);
    Engine::start(any_port(), cfg, recorder.clone())
        .await
        .unwrap()
}

#[tokio::test]
async fn calls_to_every_kind_of_upstream_succeed() {
    let recorder = Recorder::new();
    let (client, engine) = (client(), engine("gen-1", &recorder, false).await);
    let pool = Pool::start(
        any_port(),
        PoolConfig::new("pool-1", "rerank"),
        recorder.clone(),
    )
    .await
    .unwrap();
    let plain = Plain::start(
        any_port(),
        PlainConfig::new("plain-1", "auction"),
        recorder.clone(),
    )
    .await
    .unwrap();

    let response = client
        .run_stage(call(ServiceKind::Pool, pool.address(), "r-1"))
        .await
        .unwrap();
    assert_eq!(response.output, pool_output("rerank", INPUT));
    let response = client
        .run_stage(call(ServiceKind::Engine, engine.address(), "r-2"))
        .await
        .unwrap();
    assert_eq!(
        (response.output, response.cost.tokens_out),
        (engine_output(INPUT, 8), 8)
    );
    let response = client
        .forward(common::plain_call(plain.address(), "r-3"))
        .await
        .unwrap();
    let body = response.body.collect().await.unwrap().to_bytes();
    assert_eq!(
        serde_json::from_slice::<serde_json::Value>(&body).unwrap(),
        plain_output("/lots/7?bid=1", b"bid")
    );
    for address in [pool.address(), engine.address(), plain.address()] {
        assert_eq!(client.load_report(address).await.unwrap().slots, 8);
    }
    for request in ["r-1", "r-2", "r-3"] {
        assert_eq!(recorder.calls_of(&request.into()).len(), 1);
    }
}

/// Guards against gaps, repeats or different text in a resumed stream. The engine closes the connection after every two
/// events, and the stream is resumed until it is complete.
#[tokio::test]
async fn broken_stream_is_resumed_until_complete() {
    let (client, engine) = (client(), engine("gen-1", &Recorder::new(), false).await);
    engine.faults().break_streams_after(2);
    let (mut text, mut last_id, mut breaks) = (String::new(), 0, 0);
    let usage = 'complete: loop {
        let mut stream = open(&client, engine.address(), last_id).await.unwrap();
        loop {
            match stream.next().await.unwrap() {
                Ok(StreamItem::Event { id, text: more }) => (last_id, text) = (id, text + &more),
                Ok(StreamItem::Done { usage }) => break 'complete usage,
                Err(error) => {
                    assert_error("break", &error, (Broken, RunState::Ran, Outcome::Died));
                    breaks += 1;
                    break;
                }
            }
        }
    };
    assert_eq!(
        (text.trim(), breaks > 2),
        (engine_output(INPUT, 8).as_str(), true)
    );
    assert!(usage.is_none_or(|usage| usage.completion_tokens == 8));
}

#[tokio::test]
async fn stale_orders_are_refused_if_the_engine_checks_them() {
    let client = client();
    for checks in [true, false] {
        let engine = engine("gen-1", &Recorder::new(), checks).await;
        let order = |fence| Order {
            service: "drafting".into(),
            fence,
            models: vec!["drafter@2".into()],
            role: None,
        };
        client
            .send_order(engine.address(), &order(9))
            .await
            .unwrap();
        let late = client.send_order(engine.address(), &order(7)).await;
        let refused = Err(OrderError::Refused { highest_fence: 9 });
        assert_eq!(late, if checks { refused } else { Ok(()) });
    }
}

#[rustfmt::skip]
const FAULTS: &[(AnswerFault, Expected)] = &[
    (AnswerFault::Garbage, (Malformed, RunState::Ran, Outcome::Failed)),
    // The stand-in's server fails before it has sent the header, so no byte of the response arrives.
    (AnswerFault::WrongLength, (Broken, RunState::Unknown, Outcome::Died)),
    (AnswerFault::CloseMidBody, (Broken, RunState::Ran, Outcome::Died)),
    (AnswerFault::HugeHeaders, (TooLarge, RunState::Unknown, Outcome::Failed)),
    (AnswerFault::WrongIdentity, (WrongIdentity, RunState::Unknown, Outcome::Failed)),
    (AnswerFault::Lost, (Broken, RunState::Unknown, Outcome::Died)),
];

/// Guards against a reported run state that differs from what the upstream recorded, and against returning a faulty
/// response as a result. Engine and pool run each call and damage its response, with every fault of the stand-ins. Then
/// they refuse all calls, crash during a call, and are no longer reachable.
#[tokio::test]
async fn run_states_of_stand_in_faults_match_the_records() {
    let (client, recorder) = (client(), Recorder::new());
    let engine = engine("gen-1", &recorder, false).await;
    let pool = Pool::start(
        any_port(),
        PoolConfig::new("pool-1", "rerank"),
        recorder.clone(),
    )
    .await
    .unwrap();
    let both = [
        (ServiceKind::Engine, engine.address(), engine.faults()),
        (ServiceKind::Pool, pool.address(), pool.faults()),
    ];
    for (kind, address, faults) in both {
        for (fault, expected) in FAULTS {
            let request = format!("{kind:?}-{fault:?}");
            faults.break_answers(*fault, 1);
            let error = client
                .run_stage(call(kind, address, &request))
                .await
                .unwrap_err();
            assert_error(&request, &error, *expected);
            assert_eq!(
                recorder.calls_of(&request.as_str().into()).len(),
                1,
                "{request}"
            );
        }
        faults.set_down(true);
        let error = client
            .run_stage(call(kind, address, "down"))
            .await
            .unwrap_err();
        assert_eq!((error.kind, error.outcome), (Failed(503), Outcome::Failed));
        assert_ne!(
            error.run_state,
            RunState::NotRun,
            "the upstream did not report not_run"
        );
        faults.set_down(false);

        let mut crash = call(kind, address, "crash");
        crash.input = CRASH_MARKER.into();
        let error = client.run_stage(crash).await.unwrap_err();
        assert_error("crash", &error, (Broken, RunState::Unknown, Outcome::Died));
        let error = client
            .run_stage(call(kind, address, "gone"))
            .await
            .unwrap_err();
        assert_error("gone", &error, (Connect, RunState::NotRun, Outcome::Died));
        assert!(recorder.calls_of(&"gone".into()).is_empty());
    }
}
