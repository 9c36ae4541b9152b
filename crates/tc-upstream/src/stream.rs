//! Streamed completions of an engine. Each event is validated before it is delivered.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::{FutureExt, Stream, StreamExt};
use http::header;
use sseer::{EventStream, errors::EventStreamError, event::Event};
use tc_protocol::{
    Outcome, RequestId, RunState,
    wire::{STREAM_DONE, StreamEvent, Usage},
};
use tokio::time::timeout_at;

use crate::{
    call::StageCall,
    call_context::CallContext,
    client::Shared,
    connection::{Failure, ResponseBody},
    error::{CallError, CallErrorKind},
    meter::CallMeter,
    stage::{ResponseMode, exchange_checked, identity_of, stage_request},
};

const EVENT_STREAM_TYPE: &str = "text/event-stream";
/// Type of an event without an `event` field.
const DEFAULT_EVENT_TYPE: &str = "message";

/// An item of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// Generated text.
    Event {
        /// Event number, counted from 1 without gaps or repeats.
        id: u64,
        /// Text since the previous event; may be empty.
        text: String,
    },
    /// The stream is complete.
    Done {
        /// Token counts; absent if the stream was resumed after the event that carries them.
        usage: Option<Usage>,
    },
}

/// A streamed completion. Dropping it before [`StreamItem::Done`] closes the connection, which cancels the call.
#[derive(Debug)]
pub struct EngineStream {
    events: EventStream<BodyChunks>,
    context: CallContext,
    meter: CallMeter,
    request: RequestId,
    last_id: u64,
    usage: Option<Usage>,
    state: StreamState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamState {
    Running,
    Complete,
    Failed,
}

/// Starts or resumes a stream.
pub(crate) async fn open_stream(
    shared: &Shared,
    call: StageCall,
    resume_after: u64,
    mut meter: CallMeter,
) -> Result<EngineStream, CallError> {
    let mut context = CallContext::new(call.upstream.clone(), call.address, call.remaining);
    if resume_after > 0 {
        context.known_run_state = RunState::Ran;
    }
    let body = open(shared, &context, &call, resume_after)
        .await
        .inspect_err(|e| meter.end(e.outcome))?;
    Ok(EngineStream {
        events: EventStream::new(BodyChunks(body)),
        context,
        meter,
        request: call.request,
        last_id: resume_after,
        usage: None,
        state: StreamState::Running,
    })
}

async fn open(
    shared: &Shared,
    context: &CallContext,
    call: &StageCall,
    resume_after: u64,
) -> Result<ResponseBody, CallError> {
    let identity = identity_of(context, call)?;
    let request = stage_request(
        context,
        &identity,
        call,
        ResponseMode::Stream { resume_after },
    )?;
    let received = exchange_checked(shared, context, call, &identity, request).await?;
    let is_event_stream = received
        .head
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with(EVENT_STREAM_TYPE));
    if !is_event_stream {
        return Err(context.malformed(RunState::Ran, "the answer is not an event stream"));
    }
    Ok(received.body)
}

impl EngineStream {
    /// Returns the next item, or `None` after `Done` or an error. This method is cancel safe.
    pub async fn next(&mut self) -> Option<Result<StreamItem, CallError>> {
        if self.state != StreamState::Running {
            return None;
        }
        let item = match timeout_at(self.context.deadline, self.events.next()).await {
            Err(_) => Err(self.failed(&Failure::TimedOut)),
            Ok(None) => Err(self.truncated()),
            Ok(Some(Err(EventStreamError::Transport(failure)))) => Err(self.failed(&failure)),
            Ok(Some(Err(e))) => Err(self.malformed(e.to_string())),
            Ok(Some(Ok(event))) => self.accept(&event),
        };
        self.record(&item);
        Some(item)
    }

    /// Returns the number of the last delivered event, after which the stream can be resumed.
    #[must_use]
    pub fn last_event_id(&self) -> u64 {
        self.last_id
    }

    fn accept(&mut self, event: &Event) -> Result<StreamItem, CallError> {
        if &*event.event != DEFAULT_EVENT_TYPE {
            return Err(self.malformed(format!("event of unknown type {:?}", event.event)));
        }
        if &*event.data == STREAM_DONE {
            return self.finish();
        }
        let stream_event: StreamEvent =
            serde_json::from_str(&event.data).map_err(|e| self.malformed(e.to_string()))?;
        if stream_event.id != self.request {
            return Err(self.identity_mismatch());
        }
        let expected = self.last_id + 1;
        if event.id.parse() != Ok(expected) {
            return Err(self.malformed(format!("event {:?} came for {expected}", event.id)));
        }
        if self.usage.is_some() {
            return Err(self.malformed("an event came after the last one"));
        }
        self.last_id = expected;
        self.usage = stream_event.usage;
        Ok(StreamItem::Event {
            id: expected,
            text: stream_event.text,
        })
    }

    /// Handles the end marker. A stream that was read from its start must have delivered the token counts.
    fn finish(&mut self) -> Result<StreamItem, CallError> {
        if self.usage.is_none() && self.context.known_run_state != RunState::Ran {
            return Err(self.malformed("the stream ended without token counts"));
        }
        Ok(StreamItem::Done { usage: self.usage })
    }

    fn record(&mut self, item: &Result<StreamItem, CallError>) {
        match item {
            Ok(StreamItem::Event { .. }) => {}
            Ok(StreamItem::Done { .. }) => {
                self.state = StreamState::Complete;
                self.meter.end(Outcome::Answered);
            }
            Err(e) => {
                self.state = StreamState::Failed;
                self.meter.end(e.outcome);
            }
        }
    }

    /// An engine may send the response header when it queues the call. Only an event proves that the call runs.
    fn run_state(&self) -> RunState {
        if self.last_id > 0 {
            RunState::Ran
        } else {
            RunState::Unknown
        }
    }

    fn failed(&self, failure: &Failure) -> CallError {
        self.context.failed(failure, self.run_state())
    }

    fn malformed(&self, detail: impl Into<String>) -> CallError {
        self.context.malformed(self.run_state(), detail)
    }

    /// Returns the error for a response that ended properly before the stream was complete. The engine's process is
    /// alive, so the outcome is not `Died`.
    fn truncated(&self) -> CallError {
        self.context.error(
            CallErrorKind::Broken,
            self.run_state(),
            Outcome::Failed,
            format!("the stream ended after event {}", self.last_id),
        )
    }

    fn identity_mismatch(&self) -> CallError {
        log::warn!(upstream = self.context.upstream.as_str(); "event dropped: it names another call");
        self.context.error(
            CallErrorKind::WrongIdentity,
            self.run_state(),
            Outcome::Failed,
            "an event names another call",
        )
    }
}

impl Drop for EngineStream {
    /// Reads the end of a complete response, which has usually arrived by now, so that its connection is kept.
    fn drop(&mut self) {
        if self.state == StreamState::Complete {
            let _ = self.events.next().now_or_never();
        }
    }
}

/// Adapts a response body to the stream that the event parser reads.
#[derive(Debug)]
struct BodyChunks(ResponseBody);

impl Stream for BodyChunks {
    type Item = Result<Bytes, Failure>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_chunk(cx)
    }
}
