//! Streamed completions: order, identity, wholeness, resume.

mod common;

use std::sync::{Arc, Mutex};

use bolero::generator::produce;
use common::{
    Expected, Fake, LARGEST_BODY, SHORT, Seen, Step, call, check, client, nobody, open, send,
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

fn head(seen: &Seen) -> Step {
    let echo = seen.echo();
    send(format!(
        "HTTP/1.1 200 OK\r\n{echo}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    ))
}

fn chunk(text: &str) -> Step {
    send(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn whole(seen: &Seen, events: &str) -> Vec<Step> {
    vec![head(seen), chunk(events), send("0\r\n\r\n")]
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

type Fault = (&'static str, fn(&Seen) -> Vec<Step>, usize, Expected);

#[rustfmt::skip]
const FAULTS: &[Fault] = &[
    // fault, what the engine does, events that are delivered before, (kind, run state, outcome)
    ("gap", |s| whole(s, &(event(1, "a") + &event(3, "b") + DONE)), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("repeat", |s| whole(s, &(event(1, "a") + &event(1, "a") + DONE)), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("starts late", |s| whole(s, &(event(2, "b") + DONE)), 0, (Malformed, RunState::Unknown, Outcome::Failed)),
    ("no id", |s| whole(s, &(event(1, "a") + "data: {\"id\":\"r-1\",\"text\":\"b\"}\n\n")), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("id not a number", |s| whole(s, &event(1, "a").replace("id: 1", "id: one")), 0, (Malformed, RunState::Unknown, Outcome::Failed)),
    ("another call's event", |s| whole(s, &(event(1, "a") + &event(2, "b").replace("r-1", "r-2"))), 1, (WrongIdentity, RunState::Ran, Outcome::Failed)),
    ("data not JSON", |s| whole(s, &(event(1, "a") + "id: 2\ndata: {oops\n\n")), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("unknown event type", |s| whole(s, &format!("event: oops\n{}", event(1, "a"))), 0, (Malformed, RunState::Unknown, Outcome::Failed)),
    ("not UTF-8", |s| vec![head(s), send("9\r\ndata: "), Step::Send(b"\xff\n\n\r\n".to_vec()), send("0\r\n\r\n")], 0, (Malformed, RunState::Unknown, Outcome::Failed)),
    ("event after token counts", |s| whole(s, &(last_event(1) + &event(2, "a") + DONE)), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("done without token counts", |s| whole(s, &(event(1, "a") + DONE)), 1, (Malformed, RunState::Ran, Outcome::Failed)),
    ("ends without done", |s| whole(s, &(event(1, "a") + &last_event(2))), 2, (Broken, RunState::Ran, Outcome::Failed)),
    ("ends at once", |s| whole(s, ": no event\n\n"), 0, (Broken, RunState::Unknown, Outcome::Failed)),
    ("done cut off", |s| whole(s, &(event(1, "a") + &last_event(2) + "data: [DONE]\n")), 2, (Broken, RunState::Ran, Outcome::Failed)),
    ("closes between events", |s| vec![head(s), chunk(&event(1, "a")), Step::Close], 1, (Broken, RunState::Ran, Outcome::Died)),
    ("closes before any event", |s| vec![head(s), Step::Close], 0, (Broken, RunState::Unknown, Outcome::Died)),
    ("closes inside an event", |s| vec![head(s), chunk(&event(1, "a")[..9]), Step::Close], 0, (Broken, RunState::Unknown, Outcome::Died)),
    ("resets", |s| vec![head(s), chunk(&event(1, "a")), Step::Pause(SHORT), Step::Reset], 1, (Broken, RunState::Ran, Outcome::Died)),
    ("stalls", |s| vec![head(s), chunk(&event(1, "a")), Step::Hang], 1, (TimedOut, RunState::Ran, Outcome::TimedOut)),
    ("endless event", |s| vec![head(s), chunk(&event(1, "a")), chunk(&"d".repeat(LARGEST_BODY)), Step::Hang], 1, (TooLarge, RunState::Ran, Outcome::Failed)),
];

/// Symptom: a reader gets text with a hole, a repeat or another call's words, or a cut text as whole.
/// Sequence: the stream starts well and then goes wrong as each row says.
/// Cause: a faulty engine, a dying one, or a connection that breaks.
#[tokio::test]
async fn stream_faults_end_the_stream() {
    for (name, steps, delivered, expected) in FAULTS {
        let fake = Fake::start(move |_, seen| steps(seen)).await;
        let mut call = call(Engine, fake.address, "r-1");
        if expected.0 == TimedOut {
            call.remaining = SHORT * 5;
        }
        let mut stream = client().open_stream(call, 0).await.expect(name);
        let (events, end) = read_all(&mut stream).await;
        assert_eq!(events.len(), *delivered, "{name}");
        check(name, &end.expect_err(name), *expected);
        assert!(
            stream.next().await.is_none(),
            "{name}: something came after the error"
        );
    }
}

#[tokio::test]
async fn a_whole_stream_is_delivered_and_keeps_its_connection() {
    let fake = Fake::start(|_, s| {
        let text = "\u{feff}: comment\n".to_owned()
            + &event(1, "a")
            + &event(2, "b")
            + &last_event(3)
            + DONE;
        whole(s, &text.replace('\n', "\r\n"))
    })
    .await;
    let client = client();
    for _ in 0..3 {
        let mut stream = open(&client, fake.address, 0).await.unwrap();
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
    assert_eq!(fake.counts(), (1, 3));
}

#[tokio::test]
async fn an_answer_that_is_no_event_stream_is_malformed() {
    let fake = Fake::start(|_, s| vec![send(s.answer("200 OK", "{}"))]).await;
    let error = open(&client(), fake.address, 0).await.unwrap_err();
    check("JSON", &error, (Malformed, RunState::Ran, Outcome::Failed));
}

/// Symptom: a resumed stream repeats or skips text, or its failure is told as "not run".
/// Sequence: events up to 2 came before; the stream is resumed after 2, and once more after the last event.
/// Cause: the connection broke in between.
#[tokio::test]
async fn resume_continues_after_the_last_event() {
    let fake = Fake::start(|n, s| match n {
        0 => whole(s, &(event(3, "c") + &last_event(4) + DONE)),
        1 => whole(s, DONE),
        2 => whole(s, &(event(2, "b") + DONE)),
        _ => vec![Step::Close],
    })
    .await;
    let client = client();
    let (events, end) = read_all(&mut open(&client, fake.address, 2).await.unwrap()).await;
    assert_eq!(events, [(3, "c".into()), (4, String::new())]);
    assert!(matches!(end, Ok(StreamItem::Done { usage: Some(_) })));
    assert_eq!(fake.first_seen().header("last-event-id"), Some("2"));

    let (_, end) = read_all(&mut open(&client, fake.address, 4).await.unwrap()).await;
    assert_eq!(end, Ok(StreamItem::Done { usage: None }));
    let (_, end) = read_all(&mut open(&client, fake.address, 2).await.unwrap()).await;
    check(
        "repeat",
        &end.unwrap_err(),
        (Malformed, RunState::Ran, Outcome::Failed),
    );
    let error = open(&client, fake.address, 2).await.unwrap_err();
    check("close", &error, (Broken, RunState::Ran, Outcome::Died));
    let error = open(&client, nobody(), 2).await.unwrap_err();
    check("refused", &error, (Connect, RunState::Ran, Outcome::Died));
}

/// Symptom: an engine goes on generating for a reader that left.
/// Sequence: one event is read; the stream is dropped.
/// Cause: the caller left, or another attempt won.
#[tokio::test]
async fn dropping_a_stream_closes_its_connection() {
    let mut fake = Fake::start(|_, s| vec![head(s), chunk(&event(1, "a")), Step::Hang]).await;
    let mut stream = open(&client(), fake.address, 0).await.unwrap();
    assert!(matches!(
        stream.next().await,
        Some(Ok(StreamItem::Event { id: 1, .. }))
    ));
    drop(stream);
    fake.wait_closed(1).await;
}

const EVENTS: usize = 6;

fn text_of(id: u64) -> String {
    if id == EVENTS as u64 {
        String::new()
    } else {
        format!("t{id}")
    }
}

/// What an engine sends: events in some order, cut into chunks of some sizes.
fn damaged(order: &[u8], cuts: &[u8]) -> (Vec<u64>, Vec<Step>) {
    let order: Vec<u64> = order
        .iter()
        .map(|n| u64::from(*n) % EVENTS as u64 + 1)
        .collect();
    let text = order.iter().map(|id| match *id {
        id if id == EVENTS as u64 => last_event(id),
        id => event(id, &text_of(id)),
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

/// Symptom: some order or cutting of events lets a wrong text through.
/// Sequence: events are dropped, repeated or swapped, and cut into chunks anywhere.
/// Cause: a faulty engine. Oracle: what is delivered is the longest run of events 1, 2, 3 … that the sent order
/// starts with, and the stream is whole only if that is all of it, up to the one with the token counts.
#[test]
fn any_order_of_events_delivers_only_the_right_start() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let steps: Arc<Mutex<Vec<Step>>> = Arc::default();
    let script = Arc::clone(&steps);
    let script = move |_, seen: &Seen| [vec![head(seen)], script.lock().unwrap().clone()].concat();
    let fake = runtime.block_on(Fake::start(script));
    let client = client();
    let read = async || read_all(&mut open(&client, fake.address, 0).await.unwrap()).await;
    tc_fuzz::check(
        400,
        produce::<(bool, Vec<u8>, Vec<u8>)>(),
        |(in_order, order, cuts)| {
            let sorted: Vec<u8> = (0..order.len().min(EVENTS) as u8).collect();
            let (order, sent) = damaged(if *in_order { &sorted } else { order }, cuts);
            *steps.lock().unwrap() = sent;
            let right = order
                .iter()
                .zip(1u64..)
                .take_while(|(id, n)| *id == n)
                .count();
            let (events, end) = runtime.block_on(read());
            let ids: Vec<u64> = events.iter().map(|(id, _)| *id).collect();
            assert_eq!(ids, (1..=right as u64).collect::<Vec<_>>());
            assert!(events.iter().all(|(id, text)| *text == text_of(*id)));
            assert_eq!(end.is_ok(), right == order.len() && right == EVENTS);
        },
    );
}
