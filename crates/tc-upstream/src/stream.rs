//! Streamed completions of an engine, checked event by event.

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
    client::Shared,
    connection::{Answer, Failure},
    error::{CallError, CallErrorKind},
    meter::CallMeter,
    site::CallSite,
    stage::{AnswerForm, exchange_checked, identity_of, stage_request},
};

const EVENT_STREAM: &str = "text/event-stream";
/// Type of events that name none.
const MESSAGE: &str = "message";

/// One item of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// Generated text.
    Event {
        /// Counts from 1 without a gap or a repeat.
        id: u64,
        /// Text since the last event; may be empty.
        text: String,
    },
    /// The stream is whole.
    Done {
        /// Token counts; absent when the stream was resumed after the event that carries them.
        usage: Option<Usage>,
    },
}

/// A streamed completion; dropping it before [`StreamItem::Done`] closes the connection, which cancels the call.
#[derive(Debug)]
pub struct EngineStream {
    events: EventStream<Chunks>,
    site: CallSite,
    meter: CallMeter,
    request: RequestId,
    last_id: u64,
    usage: Option<Usage>,
    state: StreamState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamState {
    Running,
    Whole,
    Failed,
}

/// Starts or resumes a stream.
pub(crate) async fn open_stream(
    shared: &Shared,
    call: StageCall,
    resume_after: u64,
    mut meter: CallMeter,
) -> Result<EngineStream, CallError> {
    let mut site = CallSite::new(call.upstream.clone(), call.address, call.remaining);
    if resume_after > 0 {
        site.known = RunState::Ran;
    }
    let answer = open(shared, &site, &call, resume_after)
        .await
        .inspect_err(|e| meter.end(e.outcome))?;
    Ok(EngineStream {
        events: EventStream::new(Chunks(answer)),
        site,
        meter,
        request: call.request,
        last_id: resume_after,
        usage: None,
        state: StreamState::Running,
    })
}

async fn open(
    shared: &Shared,
    site: &CallSite,
    call: &StageCall,
    resume_after: u64,
) -> Result<Answer, CallError> {
    let identity = identity_of(site, call)?;
    let request = stage_request(site, &identity, call, AnswerForm::Stream { resume_after })?;
    let exchanged = exchange_checked(shared, site, call, &identity, request).await?;
    let streams = exchanged
        .head
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with(EVENT_STREAM));
    if !streams {
        return Err(site.malformed(RunState::Ran, "the answer is not an event stream"));
    }
    Ok(exchanged.answer)
}

impl EngineStream {
    /// The next item; `None` after `Done` or an error. Dropping the future loses nothing.
    pub async fn next(&mut self) -> Option<Result<StreamItem, CallError>> {
        if self.state != StreamState::Running {
            return None;
        }
        let item = match timeout_at(self.site.deadline, self.events.next()).await {
            Err(_) => Err(self.failed(&Failure::TimedOut)),
            Ok(None) => Err(self.cut_short()),
            Ok(Some(Err(EventStreamError::Transport(failure)))) => Err(self.failed(&failure)),
            Ok(Some(Err(e))) => Err(self.malformed(e.to_string())),
            Ok(Some(Ok(event))) => self.accept(&event),
        };
        self.note(&item);
        Some(item)
    }

    /// Identifier of the last event delivered; what to resume after.
    #[must_use]
    pub fn last_event_id(&self) -> u64 {
        self.last_id
    }

    fn accept(&mut self, event: &Event) -> Result<StreamItem, CallError> {
        if &*event.event != MESSAGE {
            return Err(self.malformed(format!("event of unknown type {:?}", event.event)));
        }
        if &*event.data == STREAM_DONE {
            return self.done();
        }
        let data: StreamEvent =
            serde_json::from_str(&event.data).map_err(|e| self.malformed(e.to_string()))?;
        if data.id != self.request {
            return Err(self.foreign());
        }
        let expected = self.last_id + 1;
        if event.id.parse() != Ok(expected) {
            return Err(self.malformed(format!("event {:?} came for {expected}", event.id)));
        }
        if self.usage.is_some() {
            return Err(self.malformed("an event came after the last one"));
        }
        self.last_id = expected;
        self.usage = data.usage;
        Ok(StreamItem::Event {
            id: expected,
            text: data.text,
        })
    }

    /// A stream that was followed from its start must have told its token counts.
    fn done(&mut self) -> Result<StreamItem, CallError> {
        if self.usage.is_none() && self.site.known != RunState::Ran {
            return Err(self.malformed("the stream ended without token counts"));
        }
        Ok(StreamItem::Done { usage: self.usage })
    }

    fn note(&mut self, item: &Result<StreamItem, CallError>) {
        match item {
            Ok(StreamItem::Event { .. }) => {}
            Ok(StreamItem::Done { .. }) => {
                self.state = StreamState::Whole;
                self.meter.end(Outcome::Answered);
            }
            Err(e) => {
                self.state = StreamState::Failed;
                self.meter.end(e.outcome);
            }
        }
    }

    /// An engine may answer the header when it queues the call; only an event proves that it runs.
    fn run_state(&self) -> RunState {
        if self.last_id > 0 {
            RunState::Ran
        } else {
            RunState::Unknown
        }
    }

    fn failed(&self, failure: &Failure) -> CallError {
        self.site.failed(failure, self.run_state())
    }

    fn malformed(&self, detail: impl Into<String>) -> CallError {
        self.site.malformed(self.run_state(), detail)
    }

    /// The engine ended the answer properly, so its process lives, but the text is not whole.
    fn cut_short(&self) -> CallError {
        self.site.error(
            CallErrorKind::Broken,
            self.run_state(),
            Outcome::Failed,
            format!("the stream ended after event {}", self.last_id),
        )
    }

    fn foreign(&self) -> CallError {
        log::warn!(upstream = self.site.upstream.as_str(); "event dropped: it is for another call");
        self.site.error(
            CallErrorKind::WrongIdentity,
            self.run_state(),
            Outcome::Failed,
            "an event names another call",
        )
    }
}

impl Drop for EngineStream {
    /// Reads the end of a whole answer's body, which usually is there by now, so that its connection is kept.
    fn drop(&mut self) {
        if self.state == StreamState::Whole {
            let _ = self.events.next().now_or_never();
        }
    }
}

/// The answer's body as the event parser wants it.
#[derive(Debug)]
struct Chunks(Answer);

impl Stream for Chunks {
    type Item = Result<Bytes, Failure>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_chunk(cx)
    }
}
