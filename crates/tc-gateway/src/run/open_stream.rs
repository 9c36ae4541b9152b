//! A stream from one engine, whose bytes are split into events.

use tc_policy::AnnouncedSlowdown;
use tc_protocol::routing::EngineLoad;
use tokio::time::Instant;

use super::{
    RoutedRequest, RunContext,
    attempt::{Answered, FailedAttempt},
    crashes::AnswerProgress,
    stream_fault::StreamFault,
};
use crate::{
    events::{Event, EventSplitter},
    held_bytes::HeldGuard,
    upstream_stats::CallOutcome,
};

/// A stream from one engine.
pub(super) struct OpenStream {
    pub(super) answered: Answered,
    pub(super) events: EventSplitter,
    /// Counts the bytes of incomplete events as held.
    held: HeldGuard,
    pub(super) first: Option<Event>,
    /// When the headers of the answer had been received.
    opened_at: Instant,
}

/// Part of a stream that an engine has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Received {
    Bytes,
    /// The end of a complete stream.
    End,
}

impl OpenStream {
    /// Reads a stream to its first event, or to its end if it has none.
    pub(super) async fn open(
        cx: &RunContext,
        req: &RoutedRequest,
        answered: Answered,
    ) -> Result<Box<Self>, FailedAttempt> {
        let mut open = Box::new(Self {
            answered,
            events: EventSplitter::default(),
            held: cx.held_bytes.guard(),
            first: None,
            opened_at: Instant::now(),
        });
        loop {
            open.first = open.events.take_event();
            if open.first.is_some() {
                open.record_first_event(cx, req);
                return Ok(open);
            }
            match open.receive().await {
                Ok(Received::Bytes) => {}
                Ok(Received::End) => return Ok(open),
                Err(fault) => {
                    let upstream = &open.answered.upstream.id;
                    log::info!(request = &*req.head.request, upstream = upstream.as_str(), error = fault.problem(); "stream broke before its first event");
                    return Err(open.into_failed(cx, req, &fault, AnswerProgress::NotBegun));
                }
            }
        }
    }

    /// Reads more of the stream. This method is cancel safe.
    pub(super) async fn receive(&mut self) -> Result<Received, StreamFault> {
        match self.answered.reply.body.chunk().await {
            Some(Ok(bytes)) => self.push(&bytes).map(|()| Received::Bytes),
            None if !self.events.has_partial_event() => Ok(Received::End),
            end => Err(StreamFault::from_end(end.and_then(Result::err))),
        }
    }

    /// Appends received bytes. Returns an error if an event is too large or this process holds too
    /// many bytes.
    fn push(&mut self, bytes: &[u8]) -> Result<(), StreamFault> {
        if !self.events.push(bytes) {
            return Err(StreamFault::invalid("an event is too large"));
        }
        if !self.held.try_grow(self.events.buffered_bytes()) {
            return Err(StreamFault::invalid("this instance holds too many bytes"));
        }
        Ok(())
    }

    fn record_first_event(&self, cx: &RunContext, req: &RoutedRequest) {
        let answered = &self.answered;
        let first_byte = answered.sent_at.elapsed();
        cx.prompt_times.record(req, first_byte);
        if let Some(run) = &answered.run {
            run.first_event(first_byte, self.engine_load());
        }
        cx.upstream_stats
            .record(&answered.upstream.id, CallOutcome::Answered(first_byte));
        let status = answered.reply.head.status;
        req.record_answer(&answered.upstream, status, answered.number);
    }

    /// Returns the load that the engine announced, for services whose upstreams announce their momentary slowdown too.
    fn engine_load(&self) -> Option<EngineLoad> {
        let load = self.answered.head.load;
        let load = load.filter(|load| load.slowdown != AnnouncedSlowdown::None)?;
        Some(EngineLoad {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            age: self.opened_at.elapsed(),
        })
    }

    /// Gives up the stream because of a fault of its engine, which cancels the run.
    pub(super) fn into_failed(
        self,
        cx: &RunContext,
        req: &RoutedRequest,
        fault: &StreamFault,
        progress: AnswerProgress,
    ) -> FailedAttempt {
        let mut answered = self.answered;
        if let Some(run) = &mut answered.run {
            run.failed();
        }
        answered.into_faulty(cx, req, fault.kind, progress)
    }
}
