//! An engine's batching, queue and prefix cache, and its orders.

mod common;

use std::time::{Duration, Instant};

use common::{Call, Connection, answer, any, load};
use http::{Method, StatusCode};
use tc_protocol::wire::{CompletionResponse, Order, OrderRefused};
use tc_stand_ins::{Ending, Engine, EngineConfig, Recorder, WeightStore};

/// Lets this many completions of 20 tokens begin together and returns the time until all are answered.
async fn time_of(cfg: EngineConfig, calls: usize) -> Duration {
    let recorder = Recorder::new();
    let engine = Engine::start(any(), cfg, recorder.clone()).await.unwrap();
    let address = engine.address();
    engine.faults().set_hang(true);
    for n in 0..calls {
        let call = Call::completion(&format!("r-{n}"), "prompt", 20, false);
        tokio::spawn(async move { answer(address, &call).await });
    }
    common::until("all came", || recorder.running() == calls).await;
    let began = Instant::now();
    engine.faults().set_hang(false);
    common::until("all are answered", || recorder.running() == 0).await;
    began.elapsed()
}

#[tokio::test]
async fn calls_that_share_the_engine_slow_each_other() {
    let cfg = EngineConfig {
        per_token: Duration::from_millis(5),
        batch_slowdown: 1.0,
        ..EngineConfig::new("engine-1", "generate")
    };
    let token_times = Duration::from_millis(19 * 5);
    let alone = time_of(cfg.clone(), 1).await;
    assert!(alone >= token_times);
    let beside_three = time_of(cfg, 4).await;
    assert!(beside_three >= token_times * 3, "{beside_three:?}");
    assert!(alone < beside_three, "{alone:?} and {beside_three:?}");
}

#[tokio::test]
async fn calls_above_the_slots_wait_by_priority_then_arrival() {
    let recorder = Recorder::new();
    let cfg = EngineConfig {
        slots: 1,
        ..EngineConfig::new("engine-1", "generate")
    };
    let engine = Engine::start(any(), cfg, recorder.clone()).await.unwrap();
    let address = engine.address();
    engine.faults().set_hang(true);
    let calls = [("first", 7), ("late", 7), ("b", 3), ("c", 3), ("urgent", 0)];
    let mut waiting = Vec::new();
    for (came, (request, priority)) in calls.into_iter().enumerate() {
        let call = Call::urgent_completion(request, "prompt", 2, false, priority);
        waiting.push(tokio::spawn(async move { answer(address, &call).await }));
        common::until("it came", || recorder.calls().len() == came + 1).await;
    }
    waiting[2].abort();
    common::until("a waiting caller left", || recorder.running() == 4).await;
    engine.faults().set_hang(false);
    common::until("all are done", || recorder.running() == 0).await;
    let mut started = recorder.calls();
    started.retain(|call| call.started_at.is_some());
    started.sort_by_key(|call| call.started_at);
    let order: Vec<_> = started
        .iter()
        .map(|call| call.request.as_ref().unwrap().as_str())
        .collect();
    assert_eq!(order, ["first", "urgent", "c", "late"]);
}

/// Symptom: an engine works for a caller that has gone.
/// Sequence: a whole completion runs; its connection closes.
/// Cause: a caller that left, or an attempt that lost against another.
#[tokio::test]
async fn closing_the_connection_cancels_a_whole_completion() {
    let recorder = Recorder::new();
    let cfg = EngineConfig {
        per_token: Duration::from_secs(10),
        ..EngineConfig::new("engine-1", "generate")
    };
    let engine = Engine::start(any(), cfg, recorder.clone()).await.unwrap();
    let call = Call::completion("r-1", "prompt", 20, false);
    let mut conn = Connection::open(engine.address()).await.unwrap();
    let left = tokio::time::timeout(Duration::from_millis(50), conn.call(&call)).await;
    assert!(left.is_err());
    drop(conn);
    common::until("it is cancelled", || recorder.running() == 0).await;
    assert_eq!(recorder.calls()[0].ending, Some(Ending::Cancelled));
    let report = load(engine.address()).await;
    assert_eq!((report.running, report.queued), (0, 0));
}

#[tokio::test]
async fn a_known_prefix_saves_prefill_until_it_is_forgotten() {
    let cfg = EngineConfig {
        prefix_cache_entries: 2,
        ..EngineConfig::new("engine-1", "generate")
    };
    let engine = Engine::start(any(), cfg, Recorder::new()).await.unwrap();
    let prompt = |prefix: &str, rest: &str| format!("{}{rest}", prefix.repeat(64));
    #[rustfmt::skip]
    let cases = [
        ("a", "one", false), ("a", "two", true), ("b", "one", false), ("a", "one", true),
        ("c", "one", false), ("a", "two", true), ("b", "one", false),
    ];
    for (prefix, rest, cached) in cases {
        let call = Call::completion("r-1", &prompt(prefix, rest), 1, false);
        let reply = answer(engine.address(), &call).await;
        let resp: CompletionResponse = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(resp.usage.cached_tokens > 0, cached, "{prefix} {rest}");
    }
}

fn order(fence: u64, models: &[&str]) -> Call {
    let order = Order {
        service: "generate".into(),
        fence,
        models: models.iter().map(|model| (*model).to_owned()).collect(),
        role: None,
    };
    Call::new(Method::POST, "/orders").body(serde_json::to_vec(&order).unwrap())
}

/// Symptom: an engine goes back to what an earlier holder of the lease wanted.
/// Sequence: orders with fencing numbers 5, 5, 7 and then 6 arrive.
/// Cause: the holder of fencing number 6 was paused and lost its lease meanwhile.
#[tokio::test]
async fn only_a_checking_engine_refuses_an_old_fencing_number() {
    for (checks_orders, models) in [(true, ["m@7"]), (false, ["m@6"])] {
        let recorder = Recorder::new();
        let cfg = EngineConfig {
            checks_orders,
            ..EngineConfig::new("engine-1", "generate")
        };
        let engine = Engine::start(any(), cfg, recorder.clone()).await.unwrap();
        for (fence, model) in [(5, "m@5"), (5, "m@5"), (7, "m@7")] {
            let reply = answer(engine.address(), &order(fence, &[model])).await;
            assert_eq!(reply.status, StatusCode::OK);
        }
        let reply = answer(engine.address(), &order(6, &["m@6"])).await;
        if checks_orders {
            assert_eq!(reply.status, StatusCode::CONFLICT);
            let refused: OrderRefused = serde_json::from_slice(&reply.body).unwrap();
            assert_eq!(refused.highest_fence, 7);
        } else {
            assert_eq!(reply.status, StatusCode::OK);
        }
        assert_eq!(engine.models(), models);
        assert_eq!(load(engine.address()).await.models, models);
        let accepted: Vec<_> = recorder
            .orders()
            .iter()
            .map(|order| order.accepted)
            .collect();
        assert_eq!(accepted, [true, true, true, !checks_orders]);
    }
}

#[tokio::test]
async fn models_load_at_the_rate_of_the_weight_store() {
    let store = WeightStore::start(any(), 10.0).await.unwrap();
    let cfg = EngineConfig {
        weight_store: Some(store.address()),
        models: vec!["old@1".to_owned()],
        ..EngineConfig::new("engine-1", "generate")
    };
    let engine = Engine::start(any(), cfg, Recorder::new()).await.unwrap();
    let call = Call::completion("r-1", "prompt", 1, false);
    let reply = answer(engine.address(), &call).await;
    assert_eq!(reply.status, StatusCode::NOT_FOUND);
    assert_eq!(reply.header("tanagercroft-run-state"), Some("not_run"));

    answer(engine.address(), &order(1, &["drafter@2", "b@1", "c@1"])).await;
    common::until("all are loaded", || engine.models().len() == 3).await;
    let served = store.served();
    assert_eq!(served.len(), 3);
    assert!(served[2].0 - served[0].0 >= Duration::from_millis(150));
    assert_eq!(answer(engine.address(), &call).await.status, StatusCode::OK);
}
