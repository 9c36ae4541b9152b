//! Streamed answers: whole, resumed, held back and given up.

mod support;

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use support::{
    World,
    client::{Client, events, read_events, text_of},
    eventually,
    fleet::{self, ME, TRINACRIA},
};
use tc_stand_ins::{StageKind, expected_pipeline_output};

const STREAM: (&str, &str) = ("accept", "text/event-stream");
const TOKENS: usize = 16;
/// Text far larger than what lies between a run and an HTTP/2 caller that does not read.
const MANY_TOKENS: u32 = 16_000;
const SLOW_TOKEN: Duration = Duration::from_millis(30);

fn expected(input: &str) -> String {
    let stages = [
        ("encode", StageKind::Pool),
        ("rerank", StageKind::Pool),
        ("generate", StageKind::Engine { max_tokens: 16 }),
    ];
    expected_pipeline_output(&stages, input)
}

fn body(input: &str) -> String {
    serde_json::json!({ "input": input }).to_string()
}

const SUMMARY: &str = "/v1/pipelines/summary";

fn request_id(answer: &http::Response<hyper::body::Incoming>) -> String {
    answer.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned()
}

/// Checks that a stream is whole: ids from `first` without a gap or a repeat, one last event, the right text.
fn check_whole(text: &str, first: u64, input: &str, before: &str) {
    let events = events(text);
    let (last, rest) = events.split_last().expect("events");
    assert_eq!(last.name.as_deref(), Some("done"), "{last:?}");
    let ids: Vec<u64> = rest.iter().map(|e| e.id.expect("an id")).collect();
    let counted: Vec<u64> = (first..first + ids.len() as u64).collect();
    assert_eq!(ids, counted);
    assert_eq!(format!("{before}{}", text_of(rest)), expected(input));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_brings_the_last_stage_as_it_comes() {
    let world = World::with_token_time(SLOW_TOKEN).await;
    let answer = world
        .client
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.headers()["content-type"], "text/event-stream");
    let mut stream = answer.into_body();
    let mut text = read_events(&mut stream, 1).await;
    assert!(
        events(&text).len() < TOKENS / 2,
        "the first events came early: {text}"
    );
    let rest = stream.collect().await.unwrap().to_bytes();
    text.push_str(std::str::from_utf8(&rest).unwrap());
    check_whole(&text, 1, "log", "");
    eventually("nothing is in flight", || {
        world.instance.server.in_flight() == 0
    })
    .await;
    assert_eq!(
        world.instance.server.workspace_stats()[0].answered_in_deadline,
        1
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_last_stage_that_does_not_stream_comes_as_one_event() {
    let world = World::start().await;
    let answer = world.client.pipeline("scores", "log", &[STREAM]).await;
    let events = events(&answer.text());
    assert_eq!(events.len(), 2, "{events:?}");
    assert_eq!(events[0].id, Some(1));
    assert_eq!(events[1].name.as_deref(), Some("done"));
}

/// Symptom: a failure before the first event came as a stream with status 200.
/// Sequence: the first stage is refused; the caller asked for a stream.
/// Cause: the stream's head was sent before anything was known of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failure_before_the_first_event_is_an_ordinary_problem() {
    let world = World::start().await;
    let refusal = ("encode".to_owned(), tc_protocol::RefusalReason::QueueFull);
    *world.fakes.refuse.lock().unwrap() = Some(refusal);
    let answer = world.client.pipeline("summary", "log", &[STREAM]).await;
    assert_eq!(answer.status.as_u16(), 503);
    assert_eq!(answer.run_state(), "not_run");
}

/// Symptom: text is missing or doubled after a connection to the engine broke.
/// Sequence: the connection breaks after every two events, more often than a resume may fail in a row.
/// Cause: the stream was not resumed, or resumed from the wrong place.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_engine_connection_is_resumed_without_gap_or_repeat() {
    let world = World::start().await;
    world.up.engines[0].faults().break_streams_after(2);
    let answer = world.client.pipeline("summary", "log", &[STREAM]).await;
    check_whole(&answer.text(), 1, "log", "");
    let words = world.explained(answer.header("x-request-id"));
    assert!(words.contains(&"resumed".to_owned()), "{words:?}");
    let runs = world.up.recorder.calls();
    let generated = runs.iter().filter(|c| c.service.as_str() == "generate");
    assert_eq!(generated.count(), 1, "generated once");
}

/// Symptom: a caller gets a mix of two engines' texts.
/// Sequence: the engine dies after some text was sent.
/// Cause: the text was generated again elsewhere and its rest sent on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_dies_mid_stream_ends_it_with_a_problem() {
    let world = World::with_token_time(SLOW_TOKEN).await;
    let answer = world
        .client
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let mut stream = answer.into_body();
    let mut text = read_events(&mut stream, 2).await;
    world.up.engines[0].faults().crash();
    let rest = stream.collect().await.unwrap().to_bytes();
    text.push_str(std::str::from_utf8(&rest).unwrap());
    let events = events(&text);
    let last = events.last().unwrap();
    assert_eq!(last.name.as_deref(), Some("problem"), "{events:?}");
    let problem: serde_json::Value = serde_json::from_str(&last.data).unwrap();
    assert_eq!(problem["run_state"], "ran");
    assert_eq!(problem["type"], "urn:tanagercroft:problem:upstream-failed");
    assert!(expected("log").starts_with(&text_of(&events)));
    eventually("the crash is reported", || {
        world.fakes.crashed.lock().unwrap().len() == 1
    })
    .await;
}

/// Symptom: a stream that takes too long never ends for its caller.
/// Sequence: the deadline passes after some text was sent.
/// Cause: nothing told the end of a stream that was given up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_past_its_deadline_ends_with_a_problem() {
    let world = World::with_token_time(Duration::from_millis(150)).await;
    let headers = [STREAM, ("request-timeout-ms", "900")];
    let answer = world.client.pipeline("summary", "log", &headers).await;
    let events = events(&answer.text());
    let last = events.last().unwrap();
    assert_eq!(last.name.as_deref(), Some("problem"), "{events:?}");
    assert!(last.data.contains("deadline-exceeded"), "{last:?}");
    assert!(expected("log").starts_with(&text_of(&events)));
    eventually("the permit is given back", || {
        world.fakes.permits_out() == 0
    })
    .await;
}

/// Symptom: a request fails although its caller had seen nothing of it yet.
/// Sequence: the first engine is gone before the first token.
/// Cause: streams were not retried.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_retried_elsewhere_before_its_first_token() {
    let world = World::start().await;
    world.up.engines[0].faults().crash();
    let answer = world.client.pipeline("summary", "log", &[STREAM]).await;
    check_whole(&answer.text(), 1, "log", "");
}

/// Symptom: a subscriber whose connection broke misses part of the timeline.
/// Sequence: the caller's connection breaks after three events; it comes back with the last id it saw.
/// Cause: the run was cancelled, or its events were not kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_resumes_its_stream_without_gap_or_repeat() {
    let world = World::with_token_time(SLOW_TOKEN).await;
    let first = Client::new(world.instance.address);
    let answer = first
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let id = request_id(&answer);
    let mut stream = answer.into_body();
    let seen = read_events(&mut stream, 3).await;
    drop((stream, first));
    let last = events(&seen).last().unwrap().id.unwrap();
    let last = last.to_string();
    let headers = [
        STREAM,
        ("last-event-id", last.as_str()),
        ("x-request-id", &id),
    ];
    let rest = world.client.call(Method::POST, SUMMARY, &headers, "").await;
    assert_eq!(rest.status, StatusCode::OK, "{}", rest.text());
    assert_eq!(rest.header("x-request-id"), id);
    let before = text_of(&events(&seen));
    check_whole(
        &rest.text(),
        last.parse::<u64>().unwrap() + 1,
        "log",
        &before,
    );
    // Ended a moment ago, it can still be resumed.
    let again = world.client.call(Method::POST, SUMMARY, &headers, "").await;
    assert_eq!(again.text(), rest.text());
    let generated = world.up.recorder.calls();
    let generated = generated
        .iter()
        .filter(|c| c.service.as_str() == "generate");
    assert_eq!(generated.count(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_can_be_resumed_through_another_instance() {
    let world = World::with_token_time(SLOW_TOKEN).await;
    let other = support::second_instance(&world, "kl-b-1").await;
    let answer = world
        .client
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let id = request_id(&answer);
    let mut stream = answer.into_body();
    let seen = read_events(&mut stream, 3).await;
    drop(stream);
    let last = events(&seen).last().unwrap().id.unwrap();
    let header = last.to_string();
    let headers = [
        STREAM,
        ("last-event-id", header.as_str()),
        ("x-request-id", &id),
    ];
    let rest = Client::new(other.address)
        .call(Method::POST, SUMMARY, &headers, "")
        .await;
    assert_eq!(rest.status, StatusCode::OK, "{}", rest.text());
    assert_eq!(rest.header("tanagercroft-instance"), ME);
    check_whole(&rest.text(), last + 1, "log", &text_of(&events(&seen)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_is_not_kept_is_answered_as_unknown() {
    let world = World::start().await;
    let answer = world.client.pipeline("summary", "log", &[STREAM]).await;
    let id = answer.header("x-request-id").to_owned();
    let theirs = format!("Bearer {TRINACRIA}");
    let mine = format!("Bearer {}", fleet::LINTAS);
    let rows = [
        ("another workspace's", id.as_str(), "1", theirs.as_str()),
        (
            "a later event than was sent",
            id.as_str(),
            "99",
            mine.as_str(),
        ),
        (
            "a request of this instance that never was",
            "kl-a-1-7-ffff",
            "1",
            mine.as_str(),
        ),
        (
            "a request of an unknown instance",
            "gone-7-1",
            "1",
            mine.as_str(),
        ),
    ];
    for (name, id, last, token) in rows {
        let headers = [
            STREAM,
            ("last-event-id", last),
            ("x-request-id", id),
            ("authorization", token),
        ];
        let answer = world.client.call(Method::POST, SUMMARY, &headers, "").await;
        assert_eq!(answer.status.as_u16(), 502, "{name}");
        assert_eq!(answer.run_state(), "unknown", "{name}");
    }
}

/// Symptom: memory grows with each subscriber that stops reading.
/// Sequence: a caller reads the first event and no more; the engine has far more text than the bound.
/// Cause: events were kept for it without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_reader_holds_the_engine_back_and_gets_everything() {
    let world = World::start().await;
    world.set_max_tokens(MANY_TOKENS);
    let started = Instant::now();
    world.client.pipeline("summary", "log", &[STREAM]).await;
    let unhindered = started.elapsed();
    let answer = Client::http2(world.instance.address)
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let id = request_id(&answer);
    let mut stream = answer.into_body();
    let mut text = read_events(&mut stream, 1).await;
    // Long enough to run ahead, and short of the time after which a stalled reader is cut.
    tokio::time::sleep((unhindered * 2).min(Duration::from_millis(2_500))).await;
    let words = world.explained(&id);
    assert!(
        !words.contains(&"answered".to_owned()),
        "it ran ahead of its reader"
    );
    let rest = stream.collect().await.unwrap().to_bytes();
    text.push_str(std::str::from_utf8(&rest).unwrap());
    let events = events(&text);
    assert_eq!(events.last().unwrap().name.as_deref(), Some("done"));
    let ids = events.iter().filter_map(|e| e.id);
    assert!(ids.eq(1..events.len() as u64), "no gap and no repeat");
    let words = text_of(&events).split(' ').count();
    assert_eq!(words, MANY_TOKENS as usize);
}

/// Symptom: an engine generates on for nobody.
/// Sequence: the caller leaves for good in the middle of its stream.
/// Cause: the run had no end but its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_abandoned_stream_is_cancelled_after_the_resume_window() {
    let world = World::with_token_time(Duration::from_secs(1)).await;
    let client = Client::new(world.instance.address);
    let answer = client
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let mut stream = answer.into_body();
    read_events(&mut stream, 1).await;
    drop((stream, client));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        world.instance.server.in_flight(),
        1,
        "still there to be resumed"
    );
    eventually("it is cancelled", || {
        world.fakes.releases_by_outcome().get("Cancelled") == Some(&1)
    })
    .await;
    eventually("nothing is in flight", || {
        world.instance.server.in_flight() == 0
    })
    .await;
}
