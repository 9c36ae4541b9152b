//! Streamed completions: order, identity and completeness of the events, and resuming.

mod common;

use std::sync::{Arc, Mutex};

use bolero::generator::produce;
use common::{
    Expected, MAX_BODY_BYTES, ReceivedRequest, SHORT_TIMEOUT, ScriptedServer, Step, assert_error,
    call, client, open, send, unused_address,
};
use tc_protocol::{Outcome, RunState, ServiceKind::Engine};
use tc_upstream::{
    CallError,
    CallErrorKind::{Broken, Connect, Malformed, TimedOut, TooLarge, WrongIdentity},
    EngineStream, StreamItem,
};

const DONE: &str = "data: [DONE]\n\n";

fn event(id: u64, text: &str) -> String {
    format!("id: {id}\ndata: {{\"id\":\"r-1\",\"text\":\"{text}\"}}\n\n")
}

fn last_event(id: u64) -> String {
    format!(
        "id: {id}\ndata: {{\"id\":\"r-1\",\"text\":\"\",\"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":2}}}}\n\n"
    )
}

fn head(received: &ReceivedRequest) -> Step {
    let echo = received.echo();
    send(format!(
        "HTTP/1.1 200 OK\r\n{echo}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    ))
}

fn chunk(text: &str) -> Step {
    send(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn complete_stream(received: &ReceivedRequest, events: &str) -> Vec<Step> {
    vec![head(received), chunk(events), send("0\r\n\r\n")]
}

async fn read_all(
    stream: &mut EngineStream,
) -> (Vec<(u64, String)>, Result<StreamItem, CallError>) {
    let mut events = Vec::new();
    loop {
        match stream
            .next()
            .await
            .expect("the stream ended without Done or an error")
        {
            Ok(StreamItem::Event { id, text }) => events.push((id, text)),
            end => return (events, end),
        }
    }
}

type Fault = (
    &'static str,
    fn(&ReceivedRequest) -> Vec<Step>,
    usize,
    Expected,
);

#[rustfmt::skip]
const FAULTS: &[Fault] = &[
    // fault, steps of the engine, number of events delivered before the error, (kind, run state, outcome)
    ("gap", |s| complete_stream(s, &(event(1, "a") + &event(3, "b") + DONE)), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("repeat", |s| complete_stream(s, &(event(1, "a") + &event(1, "a") + DONE)), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("starts late", |s| complete_stream(s, &(event(2, "b") + DONE)), 0, (Malformed, RunState::Unknown, Outcome::Failed)),
    ("no id", |s| complete_stream(s, &(event(1, "a") + "data: {\"id\":\"r-1\",\"text\":\"b\"}\n\n")), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("id not a number", |s| complete_stream(s, &event(1, "a").replace("id: 1", "id: one")), 0, (Malformed, RunState::Unknown, Outcome::Failed)),
    ("another call's event", |s| complete_stream(s, &(event(1, "a") + &event(2, "b").replace("r-1", "r-2"))), 1, (WrongIdentity, RunState::Ran, Outcome::Failed)),
    ("data not JSON", |s| complete_stream(s, &(event(1, "a") + "id: 2\ndata: {oops\n\n")), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("unknown event type", |s| complete_stream(s, &format!("event: oops\n{}", event(1, "a"))), 0, (Malformed, RunState::Unknown, Outcome::Failed)),
    ("not UTF-8", |s| vec![head(s), send("9\r\ndata: "), Step::Send(b"\xff\n\n\r\n".to_vec()), send("0\r\n\r\n")], 0, (Malformed, RunState::Unknown, Outcome::Failed)),
    ("event after token counts", |s| complete_stream(s, &(last_event(1) + &event(2, "a") + DONE)), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("done without token counts", |s| complete_stream(s, &(event(1, "a") + DONE)), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("ends without done", |s| complete_stream(s, &(event(1, "a") + &last_event(2))), 2, (Broken, RunState::Ran, Outcome::Failed)),
    ("ends at once", |s| complete_stream(s, ": no event\n\n"), 0, (Broken, RunState::Unknown, Outcome::Failed)),
    ("done cut off", |s| complete_stream(s, &(event(1, "a") + &last_event(2) + "data: [DONE]\n")), 2, (Broken, RunState::Ran, Outcome::Failed)),
    ("closes between events", |s| vec![head(s), chunk(&event(1, "a")), Step::Close], 1, (Broken, RunState::Ran, Outcome::Died)),
    ("closes before any event", |s| vec![head(s), Step::Close], 0, (Broken, RunState::Unknown, Outcome::Died)),
    ("closes inside an event", |s| vec![head(s), chunk(&event(1, "a")[..9]), Step::Close], 0, (Broken, RunState::Unknown, Outcome::Died)),
    ("resets", |s| vec![head(s), chunk(&event(1, "a")), Step::Pause(SHORT_TIMEOUT), Step::Reset], 1, (Broken, RunState::Ran, Outcome::Died)),
    ("stalls", |s| vec![head(s), chunk(&event(1, "a")), Step::Hang], 1, (TimedOut, RunState::Ran, Outcome::TimedOut)),
    ("endless event", |s| vec![head(s), chunk(&event(1, "a")), chunk(&"d".repeat(MAX_BODY_BYTES)), Step::Hang], 1, (TooLarge, RunState::Ran, Outcome::Failed)),
];

/// Guards against text with gaps, repeats or parts of another call, and against truncated text that counts as complete.
/// The stream starts correctly and then fails as the table says, due to a faulty or crashing engine or a broken
/// connection.
#[tokio::test]
async fn stream_faults_end_the_stream_with_an_error() {
    for (name, steps, delivered, expected) in FAULTS {
        let server = ScriptedServer::start(move |_, received| steps(received)).await;
        let mut call = call(Engine, server.address, "r-1");
        if expected.0 == TimedOut {
            call.remaining = SHORT_TIMEOUT * 5;
        }
        let mut stream = client().open_stream(call, 0).await.expect(name);
        let (events, end) = read_all(&mut stream).await;
        assert_eq!(events.len(), *delivered, "{name}");
        assert_error(name, &end.expect_err(name), *expected);
        assert!(
            stream.next().await.is_none(),
            "{name}: the stream continued after the error"
        );
    }
}

#[tokio::test]
async fn complete_stream_is_delivered_and_its_connection_reused() {
    let server = ScriptedServer::start(|_, s| {
        let text = "\u{feff}: comment\n".to_owned()
            + &event(1, "a")
            + &event(2, "b")
            + &last_event(3)
            + DONE;
        complete_stream(s, &text.replace('\n', "\r\n"))
    })
    .await;
    let client = client();
    for _ in 0..3 {
        let mut stream = open(&client, server.address, 0).await.unwrap();
        let (events, end) = read_all(&mut stream).await;
        assert_eq!(
            events,
            [(1, "a".into()), (2, "b".into()), (3, String::new())]
        );
        let Ok(StreamItem::Done { usage: Some(usage) }) = end else {
            panic!("{end:?}");
        };
        assert_eq!((usage.prompt_tokens, usage.completion_tokens), (3, 2));
        assert!(stream.next().await.is_none());
    }
    assert_eq!(server.counts(), (1, 3));
}

#[tokio::test]
async fn response_without_event_stream_is_malformed() {
    let server = ScriptedServer::start(|_, s| vec![send(s.response("200 OK", "{}"))]).await;
    let error = open(&client(), server.address, 0).await.unwrap_err();
    assert_error("JSON", &error, (Malformed, RunState::Ran, Outcome::Failed));
}

/// Guards against a resumed stream that repeats or skips text, and against errors of it with the run state `NotRun`.
/// After a broken connection, the stream is resumed after event 2, and once after the last event.
#[tokio::test]
async fn resume_continues_after_the_last_event() {
    let server = ScriptedServer::start(|n, s| match n {
        0 => complete_stream(s, &(event(3, "c") + &last_event(4) + DONE)),
        1 => complete_stream(s, DONE),
        2 => complete_stream(s, &(event(2, "b") + DONE)),
        _ => vec![Step::Close],
    })
    .await;
    let client = client();
    let (events, end) = read_all(&mut open(&client, server.address, 2).await.unwrap()).await;
    assert_eq!(events, [(3, "c".into()), (4, String::new())]);
    assert!(matches!(end, Ok(StreamItem::Done { usage: Some(_) })));
    assert_eq!(server.first_request().header("last-event-id"), Some("2"));

    let (_, end) = read_all(&mut open(&client, server.address, 4).await.unwrap()).await;
    assert_eq!(end, Ok(StreamItem::Done { usage: None }));
    let (_, end) = read_all(&mut open(&client, server.address, 2).await.unwrap()).await;
    assert_error(
        "repeat",
        &end.unwrap_err(),
        (Malformed, RunState::Ran, Outcome::Failed),
    );
    let error = open(&client, server.address, 2).await.unwrap_err();
    assert_error("close", &error, (Broken, RunState::Ran, Outcome::Died));
    let error = open(&client, unused_address(), 2).await.unwrap_err();
    assert_error("refused", &error, (Connect, RunState::Ran, Outcome::Died));
}

/// Guards against an engine that keeps generating after the caller has disconnected or another attempt has finished
/// first. The stream is dropped after one event.
#[tokio::test]
async fn dropping_a_stream_closes_the_connection() {
    let mut server =
        ScriptedServer::start(|_, s| vec![head(s), chunk(&event(1, "a")), Step::Hang]).await;
    let mut stream = open(&client(), server.address, 0).await.unwrap();
    assert!(matches!(
        stream.next().await,
        Some(Ok(StreamItem::Event { id: 1, .. }))
    ));
    drop(stream);
    server.wait_closed(1).await;
}

const EVENTS: usize = 6;

fn event_text(id: u64) -> String {
    if id == EVENTS as u64 {
        String::new()
    } else {
        format!("t{id}")
    }
}

/// Returns the event numbers and the steps of an engine that sends the events in `order`, split into chunks at `cuts`.
fn event_steps(order: &[u8], cuts: &[u8]) -> (Vec<u64>, Vec<Step>) {
    let order: Vec<u64> = order
        .iter()
        .map(|n| u64::from(*n) % EVENTS as u64 + 1)
        .collect();
    let text = order.iter().map(|id| match *id {
        id if id == EVENTS as u64 => last_event(id),
        id => event(id, &event_text(id)),
    });
    let text: String = text.chain([DONE.to_owned()]).collect();
    let (mut steps, mut rest) = (Vec::new(), text.as_str());
    let sizes = cuts
        .iter()
        .map(|cut| usize::from(*cut) + 1)
        .chain([text.len()]);
    for size in sizes {
        let (now, later) = rest.split_at(size.min(rest.len()));
        steps.extend((!now.is_empty()).then(|| chunk(now)));
        rest = later;
    }
    steps.push(send("0\r\n\r\n"));
    (order, steps)
}

/// Guards against an order or chunking of events that lets wrong text through. A faulty engine drops, repeats or swaps
/// events, and splits them into chunks at any byte. Exactly the longest prefix 1, 2, 3 … of the sent events must be
/// delivered, and the stream is complete only if that prefix is everything that was sent and ends with the event that
/// carries the token counts.
#[test]
fn only_the_correct_prefix_of_events_is_delivered() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let steps: Arc<Mutex<Vec<Step>>> = Arc::default();
    let script = Arc::clone(&steps);
    let script = move |_, received: &ReceivedRequest| {
        [vec![head(received)], script.lock().unwrap().clone()].concat()
    };
    let server = runtime.block_on(ScriptedServer::start(script));
    let client = client();
    let read = async || read_all(&mut open(&client, server.address, 0).await.unwrap()).await;
    tc_fuzz::check(
        400,
        produce::<(bool, Vec<u8>, Vec<u8>)>(),
        |(in_order, order, cuts)| {
            let sorted: Vec<u8> = (0..order.len().min(EVENTS) as u8).collect();
            let (order, sent) = event_steps(if *in_order { &sorted } else { order }, cuts);
            *steps.lock().unwrap() = sent;
            let expected_len = order
                .iter()
                .zip(1u64..)
                .take_while(|(id, n)| *id == n)
                .count();
            let (events, end) = runtime.block_on(read());
            let ids: Vec<u64> = events.iter().map(|(id, _)| *id).collect();
            assert_eq!(ids, (1..=expected_len as u64).collect::<Vec<_>>());
            assert!(events.iter().all(|(id, text)| *text == event_text(*id)));
            assert_eq!(
                end.is_ok(),
                expected_len == order.len() && expected_len == EVENTS
            );
        },
    );
}
