//! Reading a streamed answer.

use std::time::Instant;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http_body_util::BodyStream;
use hyper::body::Incoming;
use serde::Deserialize;
use tc_protocol::Problem;

/// Result of a stream.
#[derive(Default)]
pub(super) struct StreamRead {
    /// All text in order of arrival.
    pub(super) text: String,
    /// Identifiers of the events in order of arrival.
    pub(super) event_ids: Vec<u64>,
    /// From `start` to the first event, in milliseconds.
    pub(super) first_ms: Option<f64>,
    /// Between events, in milliseconds.
    pub(super) between_ms: Vec<f64>,
    /// Its outcome.
    pub(super) end: StreamEnd,
}

/// Outcome of a stream.
#[derive(Default)]
pub(super) enum StreamEnd {
    /// With the event `done`.
    Done,
    /// With the event `problem`; `None` when its data is no problem.
    Problem(Option<Box<Problem>>),
    /// With neither.
    #[default]
    Broken,
}

#[derive(Deserialize)]
struct TextEvent {
    text: String,
}

/// Reads a stream to its end; times count from `start`.
pub(super) async fn read_stream(body: Incoming, start: Instant) -> StreamRead {
    let chunks = BodyStream::new(body).filter_map(|frame| async {
        match frame {
            Ok(frame) => frame.into_data().ok().map(Ok::<Bytes, hyper::Error>),
            Err(e) => Some(Err(e)),
        }
    });
    let mut events = Box::pin(chunks.eventsource());
    let mut read = StreamRead::default();
    let mut last: Option<Instant> = None;
    while let Some(Ok(event)) = events.next().await {
        match event.event.as_str() {
            "done" => {
                read.end = StreamEnd::Done;
                break;
            }
            "problem" => {
                read.end = StreamEnd::Problem(serde_json::from_str(&event.data).ok());
                break;
            }
            _ => take_text(&mut read, &event, start, &mut last),
        }
    }
    read
}

fn take_text(
    read: &mut StreamRead,
    event: &eventsource_stream::Event,
    start: Instant,
    last: &mut Option<Instant>,
) {
    let now = Instant::now();
    match *last {
        None => read.first_ms = Some(start.elapsed().as_secs_f64() * 1_000.0),
        Some(before) => read
            .between_ms
            .push(now.duration_since(before).as_secs_f64() * 1_000.0),
    }
    *last = Some(now);
    // An event without a number counts as number 0, which the judge takes as a repeat.
    read.event_ids.push(event.id.parse().unwrap_or(0));
    if let Ok(text) = serde_json::from_str::<TextEvent>(&event.data) {
        read.text.push_str(&text.text);
    }
}
