//! Streamed responses: completeness, resuming, backpressure and cancellation.

mod support;

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use support::{
    TestEnv,
    client::{Client, events, read_events, text_of},
    eventually,
    fleet::{self, ME, TRINACRIA},
};
use tc_stand_ins::{StageKind, expected_pipeline_output};

const STREAM: (&str, &str) = ("accept", "text/event-stream");
const TOKENS: usize = 16;
/// Number of tokens whose text is far larger than all buffers between a run and an HTTP/2 caller that does not read.
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

fn request_id(response: &http::Response<hyper::body::Incoming>) -> String {
    response.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned()
}

/// Asserts that a stream is complete: event IDs from `first` without gaps or repeats, then `done`, and the expected
/// text after `before`.
fn assert_complete(text: &str, first: u64, input: &str, before: &str) {
    let events = events(text);
    let (last, rest) = events.split_last().expect("no events");
    assert_eq!(last.name.as_deref(), Some("done"), "{last:?}");
    let ids: Vec<u64> = rest
        .iter()
        .map(|e| e.id.expect("event without an ID"))
        .collect();
    let consecutive: Vec<u64> = (first..first + ids.len() as u64).collect();
    assert_eq!(ids, consecutive);
    assert_eq!(format!("{before}{}", text_of(rest)), expected(input));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_delivers_tokens_as_they_are_generated() {
    let env = TestEnv::with_token_time(SLOW_TOKEN).await;
    let response = env
        .client
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    let mut stream = response.into_body();
    let mut text = read_events(&mut stream, 1).await;
    assert!(
        events(&text).len() < TOKENS / 2,
        "the first event must not wait for the complete text: {text}"
    );
    let rest = stream.collect().await.unwrap().to_bytes();
    text.push_str(std::str::from_utf8(&rest).unwrap());
    assert_complete(&text, 1, "log", "");
    eventually("no request is in flight", || {
        env.instance.server.in_flight() == 0
    })
    .await;
    assert_eq!(
        env.instance.server.workspace_stats()[0].answered_in_deadline,
        1
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_last_stage_without_streaming_is_sent_as_one_event() {
    let env = TestEnv::start().await;
    let response = env.client.pipeline("scores", "log", &[STREAM]).await;
    let events = events(&response.text());
    assert_eq!(events.len(), 2, "{events:?}");
    assert_eq!(events[0].id, Some(1));
    assert_eq!(events[1].name.as_deref(), Some("done"));
}

/// Guards against a stream with status 200 for a request that failed before its first event. The first stage is
/// refused, so the response header must not be sent before the first event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failure_before_the_first_event_is_a_problem_response() {
    let env = TestEnv::start().await;
    let refusal = ("encode".to_owned(), tc_protocol::RefusalReason::QueueFull);
    *env.fakes.refuse_service.lock().unwrap() = Some(refusal);
    let response = env.client.pipeline("summary", "log", &[STREAM]).await;
    assert_eq!(response.status.as_u16(), 503);
    assert_eq!(response.run_state(), "not_run");
}

/// Guards against missing or repeated text after the connection to the engine has broken. The connection breaks after
/// every two events, and in total more often than consecutive resumes without a new event are allowed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_engine_connection_is_resumed_without_gap_or_repeat() {
    let env = TestEnv::start().await;
    env.upstreams.engines[0].faults().break_streams_after(2);
    let response = env.client.pipeline("summary", "log", &[STREAM]).await;
    assert_complete(&response.text(), 1, "log", "");
    let decisions = env.decisions(response.header("x-request-id"));
    assert!(decisions.contains(&"resumed".to_owned()), "{decisions:?}");
    let calls = env.upstreams.recorder.calls();
    let generated = calls.iter().filter(|c| c.service.as_str() == "generate");
    assert_eq!(generated.count(), 1, "must be generated once");
}

/// Guards against a mix of the texts of two engines. The engine crashes after a part of the text has been sent, so the
/// generation must not be retried at another engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_crash_ends_the_stream_with_a_problem() {
    let env = TestEnv::with_token_time(SLOW_TOKEN).await;
    let response = env
        .client
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let mut stream = response.into_body();
    let mut text = read_events(&mut stream, 2).await;
    env.upstreams.engines[0].faults().crash();
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
        env.fakes.crashed.lock().unwrap().len() == 1
    })
    .await;
}

/// Guards against a stream that never ends for its caller. The deadline passes after a part of the text has been sent,
/// so the stream must end with a `problem` event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_past_its_deadline_ends_with_a_problem() {
    let env = TestEnv::with_token_time(Duration::from_millis(150)).await;
    let headers = [STREAM, ("request-timeout-ms", "900")];
    let response = env.client.pipeline("summary", "log", &headers).await;
    let events = events(&response.text());
    let last = events.last().unwrap();
    assert_eq!(last.name.as_deref(), Some("problem"), "{events:?}");
    assert!(last.data.contains("deadline-exceeded"), "{last:?}");
    assert!(expected("log").starts_with(&text_of(&events)));
    eventually("the permit is released", || {
        env.fakes.unreleased_permits() == 0
    })
    .await;
}

/// Guards against a failed request that could have been retried. The first engine has crashed before the first token,
/// so the caller has not received anything yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_retried_at_another_engine_before_its_first_token() {
    let env = TestEnv::start().await;
    env.upstreams.engines[0].faults().crash();
    let response = env.client.pipeline("summary", "log", &[STREAM]).await;
    assert_complete(&response.text(), 1, "log", "");
}

/// Guards against lost events when a caller reconnects. The caller's connection breaks after three events, and the
/// caller resumes the stream from the last ID received. The run must continue and its events must be retained.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_resumes_its_stream_without_gap_or_repeat() {
    let env = TestEnv::with_token_time(SLOW_TOKEN).await;
    let first = Client::new(env.instance.address);
    let response = first
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let id = request_id(&response);
    let mut stream = response.into_body();
    let seen = read_events(&mut stream, 3).await;
    drop((stream, first));
    let last = events(&seen).last().unwrap().id.unwrap();
    let last = last.to_string();
    let headers = [
        STREAM,
        ("last-event-id", last.as_str()),
        ("x-request-id", &id),
    ];
    let rest = env.client.call(Method::POST, SUMMARY, &headers, "").await;
    assert_eq!(rest.status, StatusCode::OK, "{}", rest.text());
    assert_eq!(rest.header("x-request-id"), id);
    let before = text_of(&events(&seen));
    assert_complete(
        &rest.text(),
        last.parse::<u64>().unwrap() + 1,
        "log",
        &before,
    );
    // The stream has just ended and can still be resumed.
    let again = env.client.call(Method::POST, SUMMARY, &headers, "").await;
    assert_eq!(again.text(), rest.text());
    let generated = env.upstreams.recorder.calls();
    let generated = generated
        .iter()
        .filter(|c| c.service.as_str() == "generate");
    assert_eq!(generated.count(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_can_be_resumed_through_another_instance() {
    let env = TestEnv::with_token_time(SLOW_TOKEN).await;
    let other = support::second_instance(&env, "kl-b-1").await;
    let response = env
        .client
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let id = request_id(&response);
    let mut stream = response.into_body();
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
    assert_complete(&rest.text(), last + 1, "log", &text_of(&events(&seen)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_is_not_retained_has_an_unknown_outcome() {
    let env = TestEnv::start().await;
    let response = env.client.pipeline("summary", "log", &[STREAM]).await;
    let id = response.header("x-request-id").to_owned();
    let other_token = format!("Bearer {TRINACRIA}");
    let own_token = format!("Bearer {}", fleet::LINTAS);
    let rows = [
        (
            "a stream of another workspace",
            id.as_str(),
            "1",
            other_token.as_str(),
        ),
        (
            "an event that does not exist yet",
            id.as_str(),
            "99",
            own_token.as_str(),
        ),
        (
            "a request that this instance has not received",
            "kl-a-1-7-ffff",
            "1",
            own_token.as_str(),
        ),
        (
            "a request of an unknown instance",
            "gone-7-1",
            "1",
            own_token.as_str(),
        ),
    ];
    for (name, id, last, token) in rows {
        let headers = [
            STREAM,
            ("last-event-id", last),
            ("x-request-id", id),
            ("authorization", token),
        ];
        let response = env.client.call(Method::POST, SUMMARY, &headers, "").await;
        assert_eq!(response.status.as_u16(), 502, "{name}");
        assert_eq!(response.run_state(), "unknown", "{name}");
    }
}

/// Guards against memory use that grows with each caller that stops reading. A caller reads only the first event, and
/// the engine has far more text than may be buffered, so the run must be blocked until the caller continues.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_reader_slows_the_engine_and_gets_the_complete_text() {
    let env = TestEnv::start().await;
    env.set_max_tokens(MANY_TOKENS);
    let started = Instant::now();
    env.client.pipeline("summary", "log", &[STREAM]).await;
    let unblocked = started.elapsed();
    let response = Client::http2(env.instance.address)
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let id = request_id(&response);
    let mut stream = response.into_body();
    let mut text = read_events(&mut stream, 1).await;
    // Long enough for an unblocked run to complete, and shorter than the timeout of a stalled reader.
    tokio::time::sleep((unblocked * 2).min(Duration::from_millis(2_500))).await;
    let decisions = env.decisions(&id);
    assert!(
        !decisions.contains(&"answered".to_owned()),
        "the run completed without its reader"
    );
    let rest = stream.collect().await.unwrap().to_bytes();
    text.push_str(std::str::from_utf8(&rest).unwrap());
    let events = events(&text);
    assert_eq!(events.last().unwrap().name.as_deref(), Some("done"));
    let ids = events.iter().filter_map(|e| e.id);
    assert!(
        ids.eq(1..events.len() as u64),
        "gap or repeat in the event IDs"
    );
    let words = text_of(&events).split(' ').count();
    assert_eq!(words, MANY_TOKENS as usize);
}

/// Guards against an engine that keeps generating after its caller has disconnected for good, in the middle of a
/// stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_abandoned_stream_is_cancelled_after_the_resume_window() {
    let env = TestEnv::with_token_time(Duration::from_secs(1)).await;
    let client = Client::new(env.instance.address);
    let response = client
        .open(Method::POST, SUMMARY, &[STREAM], body("log"))
        .await;
    let mut stream = response.into_body();
    read_events(&mut stream, 1).await;
    drop((stream, client));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        env.instance.server.in_flight(),
        1,
        "cancelled within the resume window"
    );
    eventually("the call is cancelled", || {
        env.fakes.releases_by_outcome().get("Cancelled") == Some(&1)
    })
    .await;
    eventually("no request is in flight", || {
        env.instance.server.in_flight() == 0
    })
    .await;
}
