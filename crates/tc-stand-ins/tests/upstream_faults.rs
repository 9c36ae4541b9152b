//! Fault switches that all upstreams share, shown at a pool.

mod common;

use std::time::{Duration, Instant};

use common::{Call, Connection, Failure, Reply, answer, any, incarnation, load, send};
use tc_stand_ins::{
    AnswerFault, CRASH_MARKER, Ending, Pool, PoolConfig, Recorder, UpstreamFaults, pool_output,
};

const INPUT: &str = "probe log";

async fn start(recorder: &Recorder) -> Pool {
    let cfg = PoolConfig::new("pool-1", "encode");
    Pool::start(any(), cfg, recorder.clone()).await.unwrap()
}

fn call(request: &str) -> Call {
    Call::pool(request, "encode", INPUT)
}

/// Outcome of a call as its caller sees it.
#[derive(Debug, PartialEq)]
enum Seen {
    Right,
    Wrong,
    OtherRequest(String),
    Status(u16),
    Broken,
}

fn judge(request: &str, reply: Result<Reply, Failure>) -> Seen {
    let Ok(reply) = reply else {
        return Seen::Broken;
    };
    if reply.status != 200 {
        return Seen::Status(reply.status.as_u16());
    }
    let named = reply.header("x-request-id").unwrap_or_default();
    if named != request {
        return Seen::OtherRequest(named.to_owned());
    }
    match serde_json::from_slice::<serde_json::Value>(&reply.body) {
        Ok(body) if body["output"] == pool_output("encode", INPUT) => Seen::Right,
        _ => Seen::Wrong,
    }
}

/// Symptom: a call fails, or its answer cannot be used.
/// Sequence: the fault is switched on; two calls are sent, each on its own connection.
/// Cause: an upstream that is down or closed, or whose answers are spoiled on their way.
#[tokio::test]
async fn what_a_caller_sees_and_what_was_recorded() {
    use AnswerFault::{
        CloseMidBody, DuplicateLate, Garbage, HugeHeaders, Lost, WrongIdentity, WrongLength,
    };
    type Switch = Box<dyn Fn(&UpstreamFaults)>;
    type Case = (&'static str, Switch, [Seen; 2], Vec<Option<Ending>>);
    let spoil = |fault| Box::new(move |f: &UpstreamFaults| f.break_answers(fault, 1)) as Switch;
    let right = || Seen::Right;
    let answered = Some(Ending::Answered);
    #[rustfmt::skip]
    let cases: Vec<Case> = vec![
        ("down",           Box::new(|f| f.set_down(true)),
            [Seen::Status(503), Seen::Status(503)], vec![Some(Ending::Refused); 2]),
        ("refusing",       Box::new(|f| f.set_refusing(true)), [Seen::Broken, Seen::Broken], vec![]),
        ("crash",          Box::new(UpstreamFaults::crash),    [Seen::Broken, Seen::Broken], vec![]),
        ("garbage",        spoil(Garbage),      [Seen::Wrong, right()],  vec![answered; 2]),
        ("wrong length",   spoil(WrongLength),  [Seen::Broken, right()], vec![answered; 2]),
        ("close mid body", spoil(CloseMidBody), [Seen::Broken, right()], vec![answered; 2]),
        ("huge headers",   spoil(HugeHeaders),  [Seen::Broken, right()], vec![answered; 2]),
        ("lost answer",    spoil(Lost),         [Seen::Broken, right()], vec![answered; 2]),
        ("wrong identity", spoil(WrongIdentity),
            [Seen::OtherRequest("another-request".into()), right()], vec![answered; 2]),
        ("late duplicate", spoil(DuplicateLate),
            [right(), Seen::OtherRequest("r-1".into())], vec![answered; 2]),
    ];
    for (name, switch, seen, endings) in cases {
        let recorder = Recorder::new();
        let pool = start(&recorder).await;
        switch(pool.faults());
        let first = judge("r-1", send(pool.address(), &call("r-1")).await);
        let second = judge("r-2", send(pool.address(), &call("r-2")).await);
        assert_eq!([first, second], seen, "{name}");
        let ended: Vec<_> = recorder.calls().iter().map(|call| call.ending).collect();
        assert_eq!(ended, endings, "{name}");
    }
}

/// Symptom: the head of an answer comes at once, its end much later.
/// Sequence: the next answer is made slow; a call is sent.
/// Cause: a connection that carries a byte at a time.
#[tokio::test]
async fn slow_bytes_come_late_but_whole() {
    let pool = start(&Recorder::new()).await;
    let pause = Duration::from_millis(2);
    pool.faults()
        .break_answers(AnswerFault::SlowBytes(pause), 1);
    let asked = Instant::now();
    let reply = answer(pool.address(), &call("r-1")).await;
    assert!(asked.elapsed() >= pause * reply.body.len() as u32);
    assert_eq!(judge("r-1", Ok(reply)), Seen::Right);
}

/// Symptom: calls and load reports get no answer; later they do, or the caller leaves.
/// Sequence: the upstream hangs; two calls are sent; one caller leaves; the upstream goes on.
/// Cause: a process that is stuck but keeps its connections.
#[tokio::test]
async fn a_hanging_upstream_answers_when_it_goes_on() {
    let recorder = Recorder::new();
    let pool = start(&recorder).await;
    let address = pool.address();
    pool.faults().set_hang(true);
    let mut leaver = Connection::open(address).await.unwrap();
    let left = tokio::time::timeout(Duration::from_millis(50), leaver.call(&call("r-1"))).await;
    assert!(left.is_err());
    drop(leaver);
    let waiting = tokio::spawn(async move { answer(address, &call("r-2")).await });
    common::until("the caller that left was noticed", || {
        recorder.calls_of(&"r-1".into())[0].ending == Some(Ending::Cancelled)
    })
    .await;
    let report = tokio::time::timeout(Duration::from_millis(50), load(address)).await;
    assert!(report.is_err());
    pool.faults().set_hang(false);
    assert_eq!(judge("r-2", Ok(waiting.await.unwrap())), Seen::Right);
}

/// Symptom: an upstream is slower than before.
/// Sequence: its slow factor is set; a call is sent.
/// Cause: a straggler.
#[tokio::test]
async fn a_slow_upstream_takes_its_factor_longer() {
    let cfg = PoolConfig {
        base: Duration::from_millis(5),
        per_kb: Duration::from_millis(5),
        ..PoolConfig::new("pool-1", "encode")
    };
    let recorder = Recorder::new();
    let pool = Pool::start(any(), cfg, recorder.clone()).await.unwrap();
    pool.faults().set_slow(10.0);
    let call = Call::pool("r-1", "encode", &"x".repeat(1024));
    answer(pool.address(), &call).await;
    assert!(recorder.calls()[0].busy >= Duration::from_millis(100));
    assert!(recorder.by_stage()["encode"].busy_ms >= 100.0);
}

/// Symptom: every upstream that gets a request dies, and calls beside it break.
/// Sequence: a call runs; a call with the crash marker is sent; the upstream restarts; a call is sent.
/// Cause: an input that crashes whoever runs it.
#[tokio::test]
async fn a_marked_input_crashes_the_upstream_and_its_neighbours() {
    let recorder = Recorder::new();
    let pool = start(&recorder).await;
    let address = pool.address();
    let before = incarnation(address).await;
    pool.faults().set_hang(true);
    let neighbour = tokio::spawn(async move { send(address, &call("r-1")).await });
    common::until("the neighbour runs", || recorder.running() == 1).await;
    let marked = Call::pool("r-2", "encode", &format!("{INPUT} {CRASH_MARKER}"));
    assert!(send(address, &marked).await.is_err());
    assert!(neighbour.await.unwrap().is_err());
    common::until("the neighbour's end is recorded", || {
        recorder.running() == 0
    })
    .await;
    let endings: Vec<_> = recorder.calls().iter().map(|call| call.ending).collect();
    assert_eq!(endings, [Some(Ending::Crashed); 2]);
    assert!(pool.faults().has_crashed());
    assert!(send(address, &call("r-3")).await.is_err());

    pool.faults().set_hang(false);
    pool.faults().restart().await.unwrap();
    assert!(incarnation(address).await > before);
    assert_eq!(judge("r-3", send(address, &call("r-3")).await), Seen::Right);
}

/// Symptom: an upstream is gone for a while and comes back by itself, once.
/// Sequence: a restart delay is set; the upstream crashes, and is told to crash again while it is gone.
/// Cause: its supervisor starts it again.
#[tokio::test]
async fn a_crashed_upstream_restarts_once_after_its_delay() {
    let pool = start(&Recorder::new()).await;
    let before = incarnation(pool.address()).await;
    let delay = Duration::from_millis(20);
    pool.faults().set_restart_after(Some(delay));
    pool.faults().crash();
    tokio::time::sleep(delay / 2).await;
    pool.faults().crash();
    let back = loop {
        match send(pool.address(), &Call::get("/load")).await {
            Ok(reply) => break reply.json()["incarnation"].as_u64().unwrap(),
            Err(_) => tokio::time::sleep(delay / 4).await,
        }
    };
    assert!(back > before.0);
    tokio::time::sleep(delay * 5).await;
    assert_eq!(incarnation(pool.address()).await.0, back);
}

/// Symptom: only one stage's upstreams die of a request.
/// Sequence: a marked input passes a stage it does not name, then reaches the one it names.
/// Cause: the marker names its stage, and pools carry it on.
#[tokio::test]
async fn a_marker_can_name_the_stage_it_crashes() {
    let pool = start(&Recorder::new()).await;
    let input = format!("#{CRASH_MARKER}@rerank a dossier");
    let reply = answer(pool.address(), &Call::pool("r-1", "encode", &input)).await;
    let encoded = reply.json()["output"].as_str().unwrap().to_owned();
    let next = Call::pool("r-1", "rerank", &encoded);
    assert!(send(pool.address(), &next).await.is_err());
}

#[tokio::test]
async fn the_load_report_lags_and_tells_of_leaving() {
    let recorder = Recorder::new();
    let lag = Duration::from_secs(1);
    let cfg = PoolConfig {
        base: Duration::from_mins(1),
        slots: 1,
        load_lag: lag,
        ..PoolConfig::new("pool-1", "encode")
    };
    let pool = Pool::start(any(), cfg, recorder.clone()).await.unwrap();
    let address = pool.address();
    let mut calls = Vec::new();
    for n in 0..4 {
        let call = call(&format!("r-{n}"));
        calls.push(tokio::spawn(async move { send(address, &call).await }));
        common::until("it came", || recorder.calls().len() == n + 1).await;
    }
    calls[3].abort();
    common::until("a waiting caller left", || recorder.running() == 3).await;
    let early = load(address).await;
    assert_eq!((early.running, early.queued), (0, 0));
    assert_eq!((early.slots, early.age_ms), (1, 1_000));
    assert!(!early.leaving);
    pool.faults().set_leaving(true);
    tokio::time::sleep(lag + lag / 10).await;
    let late = load(address).await;
    assert_eq!((late.running, late.queued), (1, 2));
    assert!(late.leaving);
}

/// Symptom: a test's upstream answers although the test is over.
/// Sequence: a stand-in is dropped while a connection to it is open.
/// Cause: a server that outlives its handle.
#[tokio::test]
async fn dropping_a_stand_in_stops_it() {
    let pool = start(&Recorder::new()).await;
    let address = pool.address();
    let mut kept = Connection::open(address).await.unwrap();
    kept.call(&call("r-1")).await.unwrap();
    drop(pool);
    assert!(kept.call(&call("r-2")).await.is_err());
    assert!(send(address, &call("r-3")).await.is_err());
}
