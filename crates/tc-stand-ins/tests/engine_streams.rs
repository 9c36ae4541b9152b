//! Streams of an engine: resumed without gap or repeat, cancelled when nobody comes back.

mod common;

use std::time::Duration;

use common::{Call, Connection, Event, answer, any, read_stream, text_of};
use http::StatusCode;
use tc_stand_ins::{
    AnswerFault, CRASH_MARKER, Ending, Engine, EngineConfig, Recorder, engine_output,
};

const PROMPT: &str = "timeline of an outage";
const TOKENS: u32 = 30;

async fn start(recorder: &Recorder, per_token: Duration, resume_window: Duration) -> Engine {
    let cfg = EngineConfig {
        per_token,
        resume_window,
        ..EngineConfig::new("engine-1", "generate")
    };
    Engine::start(any(), cfg, recorder.clone()).await.unwrap()
}

fn call() -> Call {
    Call::completion("r-1", PROMPT, TOKENS, true)
}

fn resumed(after: u64) -> Call {
    call().header("last-event-id", &after.to_string())
}

fn assert_whole(events: &[Event]) {
    let ids: Vec<u64> = events.iter().map(|(id, _)| *id).collect();
    let all: Vec<u64> = (1..=u64::from(TOKENS) + 1).collect();
    assert_eq!(ids, all);
    assert_eq!(text_of(events), engine_output(PROMPT, TOKENS));
}

/// Symptom: a timeline has a gap, or shows an update twice.
/// Sequence: a stream's connection breaks after some events; it is resumed after the last one that came, again and
/// again until it is whole.
/// Cause: connections that break at any event, while generation goes on.
#[tokio::test]
async fn a_broken_stream_resumes_without_gap_or_repeat() {
    for (break_after, per_token) in [(1, 0), (7, 0), (7, 1), (30, 0), (31, 0), (40, 1)] {
        let recorder = Recorder::new();
        let per_token = Duration::from_millis(per_token);
        let engine = start(&recorder, per_token, Duration::from_secs(10)).await;
        engine.faults().break_streams_after(break_after);
        let mut events = Vec::new();
        let mut resumes = 0;
        loop {
            let mut conn = Connection::open(engine.address()).await.unwrap();
            let last = events.last().map_or(0, |(id, _)| *id);
            let call = if last == 0 { call() } else { resumed(last) };
            let resp = conn.begin(&call).await.unwrap();
            assert_eq!(resp.status(), StatusCode::OK);
            let (more, whole) = read_stream(&mut resp.into_body()).await;
            assert!(
                whole || more.len() as u64 == break_after,
                "broken by {}",
                more.len()
            );
            events.extend(more);
            if whole {
                break;
            }
            resumes += 1;
        }
        assert_whole(&events);
        common::until("the call ended", || recorder.running() == 0).await;
        let calls = recorder.calls();
        assert_eq!(calls.len(), 1, "a resumption is no new run");
        assert_eq!(
            (calls[0].ending, calls[0].resumes),
            (Some(Ending::Answered), resumes)
        );
    }
}

/// Symptom: a caller that sent its call twice gets two runs, or half an answer.
/// Sequence: the same streamed call is sent on two connections.
/// Cause: a duplicated delivery.
#[tokio::test]
async fn a_repeated_call_joins_the_stream_from_its_start() {
    let recorder = Recorder::new();
    let engine = start(&recorder, Duration::from_millis(1), Duration::from_secs(10)).await;
    let mut first = Connection::open(engine.address()).await.unwrap();
    let mut second = Connection::open(engine.address()).await.unwrap();
    let mut first = first.begin(&call()).await.unwrap().into_body();
    let mut second = second.begin(&call()).await.unwrap().into_body();
    assert_whole(&read_stream(&mut first).await.0);
    assert_whole(&read_stream(&mut second).await.0);
    assert_eq!(recorder.calls().len(), 1);
}

/// Symptom: an engine generates for nobody, or runs again what was given up.
/// Sequence: a stream's connection closes; the resume window passes; the caller asks to resume.
/// Cause: a caller that left.
#[tokio::test]
async fn an_abandoned_stream_is_cancelled_after_its_window() {
    let recorder = Recorder::new();
    let engine = start(
        &recorder,
        Duration::from_secs(10),
        Duration::from_millis(20),
    )
    .await;
    let mut conn = Connection::open(engine.address()).await.unwrap();
    conn.begin(&call()).await.unwrap();
    common::until("it runs", || {
        recorder
            .calls()
            .iter()
            .any(|call| call.started_at.is_some())
    })
    .await;
    drop(conn);
    common::until("it is cancelled", || recorder.running() == 0).await;
    assert_eq!(recorder.calls()[0].ending, Some(Ending::Cancelled));
    let late = answer(engine.address(), &resumed(1)).await;
    assert_eq!(late.status, StatusCode::GONE);
    assert!(recorder.by_stage()["generate"].wasted_ms > 0.0);
}

/// Symptom: a stream breaks and cannot be resumed.
/// Sequence: a stream runs; the engine crashes and restarts; the caller asks to resume.
/// Cause: the engine lost its state.
#[tokio::test]
async fn a_crash_ends_streams_for_good() {
    let recorder = Recorder::new();
    let engine = start(&recorder, Duration::from_secs(10), Duration::from_secs(10)).await;
    let mut conn = Connection::open(engine.address()).await.unwrap();
    let mut body = conn.begin(&call()).await.unwrap().into_body();
    common::until("it runs", || {
        recorder
            .calls()
            .iter()
            .any(|call| call.started_at.is_some())
    })
    .await;
    engine.faults().crash();
    assert!(!read_stream(&mut body).await.1);
    engine.faults().restart().await.unwrap();
    common::until("its end is recorded", || recorder.running() == 0).await;
    assert_eq!(recorder.calls()[0].ending, Some(Ending::Crashed));
    let late = answer(engine.address(), &resumed(1)).await;
    assert_eq!(late.status, StatusCode::GONE);
}

/// Symptom: an engine dies of a prompt, whole or streamed.
/// Sequence: a completion with the crash marker is dispatched.
/// Cause: an input that crashes whoever runs it.
#[tokio::test]
async fn a_marked_prompt_crashes_the_engine() {
    for stream in [false, true] {
        let recorder = Recorder::new();
        let engine = start(&recorder, Duration::ZERO, Duration::from_secs(10)).await;
        let call = Call::completion("r-1", CRASH_MARKER, TOKENS, stream);
        assert!(common::send(engine.address(), &call).await.is_err());
        common::until("its end is recorded", || recorder.running() == 0).await;
        assert_eq!(recorder.calls()[0].ending, Some(Ending::Crashed));
        assert!(engine.faults().has_crashed());
    }
}

/// Symptom: a stream is broken or wrong, although generation is right.
/// Sequence: the next stream is spoiled; it is read; it is resumed.
/// Cause: faults between engine and caller.
#[tokio::test]
async fn spoiled_streams_can_be_resumed() {
    use AnswerFault::{CloseMidBody, HugeHeaders, Lost, WrongLength};
    for fault in [CloseMidBody, WrongLength, HugeHeaders, Lost] {
        let recorder = Recorder::new();
        let engine = start(&recorder, Duration::from_millis(1), Duration::from_secs(10)).await;
        engine.faults().break_answers(fault, 1);
        let mut conn = Connection::open(engine.address()).await.unwrap();
        let mut events = match conn.begin(&call()).await {
            Ok(resp) => {
                let (events, whole) = read_stream(&mut resp.into_body()).await;
                assert!(!whole, "{fault:?}");
                events
            }
            Err(_) => Vec::new(),
        };
        let mut conn = Connection::open(engine.address()).await.unwrap();
        let last = events.last().map_or(0, |(id, _)| *id);
        let mut body = conn.begin(&resumed(last)).await.unwrap().into_body();
        events.extend(read_stream(&mut body).await.0);
        assert_whole(&events);
    }
}
