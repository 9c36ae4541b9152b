//! Requests whose answer is a stream, forwarded event by event.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tc_protocol::UpstreamVersion;
use tokio::time::{Instant, timeout};

use super::{
    AnswerBody, IncompleteBody, Refusal, RoutedRequest, RunContext,
    attempt::{Answered, Attempts, SendFailure, SendOptions},
    buffered::{make_stages, make_stages_again, proves_survival, read, stage_results},
    crashes::AnswerProgress,
    open_stream::{OpenStream, push},
    resumption::record_origin,
    stages::StageResults,
    stream_fault::StreamFault,
    version_label,
};
use crate::{events::EventSplitter, upstream_stats::CallOutcome};

/// A resumable stream without an event for this many times the longest allowed gap is resumed on another engine.
const STALL_GAPS: u32 = 4;
/// Lower bound of that time: an engine may preempt a run for some hundred milliseconds.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Fraction of the remaining time that a resumable stream waits for its first event before another engine is tried.
const FIRST_EVENT_FRACTION: f64 = 0.45;

/// Where a stream goes on: after the last event that its caller has, at the version that began it.
#[derive(Clone, Copy)]
struct ResumePoint<'a> {
    after: Option<u64>,
    version: &'a UpstreamVersion,
}

/// Runs a request until its first event; the remaining events follow in the answer's body.
pub(super) async fn run(
    cx: Arc<RunContext>,
    req: Arc<RoutedRequest>,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut attempts = Attempts::default();
    let resume = req.origin.as_ref().map(|origin| ResumePoint {
        after: req.head.resume_after,
        version: &origin.version,
    });
    let version = resume.map(|point| point.version);
    if resume.is_some() && !attempts.has_candidates(1, &cx, &req, version, None) {
        return Err(Refusal::not_run_transient(
            "no upstream has the version that began the stream",
        ));
    }
    let mut results = make_stages(&cx, &req).await?;
    loop {
        let failure = match open(&cx, &req, &mut attempts, &results, resume).await {
            Ok(Opened::Buffered(answer)) => return Ok(answer),
            Ok(Opened::Stream(open)) => {
                // The engine has read its inputs by its first event.
                drop(results);
                if open.first.is_some() {
                    record_origin(&cx, &req, open.answered.upstream.version.as_ref());
                }
                return Ok(stream_answer(
                    Arc::clone(&cx),
                    Arc::clone(&req),
                    attempts,
                    *open,
                ));
            }
            Err(failure) => failure,
        };
        if !attempts.may_send_again(&cx, &req, failure) {
            return Err(attempts.refusal(&req, failure));
        }
        if failure == SendFailure::InputGone {
            results = make_stages_again(&cx, &req, &attempts).await?;
        }
    }
}

/// An answer that has started.
enum Opened {
    /// Not a stream, read completely.
    Buffered(Response<AnswerBody>),
    Stream(Box<OpenStream>),
}

async fn open(
    cx: &RunContext,
    req: &RoutedRequest,
    attempts: &mut Attempts,
    results: &StageResults,
    resume: Option<ResumePoint<'_>>,
) -> Result<Opened, SendFailure> {
    let version = resume.map(|point| point.version);
    let options = SendOptions {
        results: stage_results(req, results),
        resume_after: resume.and_then(|point| point.after),
        version,
        timeout: None,
    };
    let has_other = attempts.has_candidates(2, cx, req, version, None);
    let limit = first_event_timeout(req, attempts, has_other);
    let opened = async {
        let answered = attempts.send(cx, req, options).await?;
        if !answered.head.is_stream || !answered.reply.head.status.is_success() {
            return read(cx, req, attempts, answered)
                .await
                .map(Opened::Buffered);
        }
        first_event(cx, req, attempts, answered).await
    };
    if let Ok(opened) = timeout(limit, opened).await {
        return opened;
    }
    log::info!(request = &*req.head.request; "first event timed out; trying another engine");
    attempts.record_timeout(cx);
    Err(SendFailure::MayHaveRun)
}

fn first_event_timeout(req: &RoutedRequest, attempts: &Attempts, has_other: bool) -> Duration {
    let may_retry = req.route.kind.allows_retry() && attempts.sent + 1 < req.route.max_attempts;
    if may_retry && has_other {
        req.time_left()
            .mul_f64(FIRST_EVENT_FRACTION)
            .max(req.route.latency_target)
    } else {
        // The call itself times out at the end of the request's time.
        req.time_left() + MIN_STALL_TIMEOUT
    }
}

async fn first_event(
    cx: &RunContext,
    req: &RoutedRequest,
    attempts: &mut Attempts,
    mut answered: Answered,
) -> Result<Opened, SendFailure> {
    let mut events = EventSplitter::default();
    let mut held = cx.held_bytes.guard();
    loop {
        if let Some(first) = events.take_event() {
            let first_byte = answered.sent_at.elapsed();
            cx.prompt_times.record(req, first_byte);
            if let Some(run) = &answered.run {
                run.first_event(first_byte);
            }
            cx.upstream_stats
                .record(&answered.upstream.id, CallOutcome::Answered(first_byte));
            let status = answered.reply.head.status;
            req.record_answer(&answered.upstream, status, attempts.sent);
            return Ok(Opened::Stream(Box::new(OpenStream {
                answered,
                events,
                held,
                first: Some(first),
            })));
        }
        let received = match answered.reply.body.chunk().await {
            Some(Ok(bytes)) => push(&mut events, &mut held, &bytes),
            None if !events.has_partial_event() => {
                return Ok(Opened::Stream(Box::new(OpenStream {
                    answered,
                    events,
                    held,
                    first: None,
                })));
            }
            end => Err(StreamFault::from_end(end.and_then(Result::err))),
        };
        if let Err(fault) = received {
            if let Some(run) = &mut answered.run {
                run.failed();
            }
            let upstream = &answered.upstream;
            log::info!(request = &*req.head.request, upstream = upstream.id.as_str(), error = fault.problem(); "stream broke before its first event");
            let progress = AnswerProgress::NotBegun;
            return Err(attempts.record_faulty_answer(cx, req, upstream, fault.kind, progress));
        }
    }
}

/// A stream being forwarded to the caller. Dropping it cancels the run on the engine.
struct Relay {
    cx: Arc<RunContext>,
    req: Arc<RoutedRequest>,
    attempts: Attempts,
    open: OpenStream,
    /// The last event that was forwarded.
    last_id: Option<u64>,
    /// Events received from the engine that the stream comes from at present.
    events: u64,
    /// Version of the engine that began the stream.
    version: Option<UpstreamVersion>,
    ended: bool,
}

fn stream_answer(
    cx: Arc<RunContext>,
    req: Arc<RoutedRequest>,
    attempts: Attempts,
    open: OpenStream,
) -> Response<AnswerBody> {
    let head = &open.answered.reply.head;
    let (status, headers) = (head.status, (cx.codec.caller_headers)(&head.headers));
    let relay = Relay {
        last_id: req.head.resume_after,
        version: open.answered.upstream.version.clone(),
        cx,
        req,
        attempts,
        open,
        events: 0,
        ended: false,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

impl Relay {
    /// Returns the next complete events; `None` at the end of a complete stream.
    async fn next(&mut self) -> Option<Result<Bytes, IncompleteBody>> {
        loop {
            if let Some(events) = self.ready_events() {
                return Some(Ok(events));
            }
            if self.ended {
                return None;
            }
            match self.read_more().await {
                Ok(()) => {}
                Err(fault) => {
                    if let Err(error) = self.resume_elsewhere(&fault).await {
                        self.ended = true;
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// Returns the complete events that were read and not yet forwarded, as one chunk.
    fn ready_events(&mut self) -> Option<Bytes> {
        let mut ready: Option<BytesMut> = None;
        while let Some(event) = self
            .open
            .first
            .take()
            .or_else(|| self.open.events.take_event())
        {
            self.events += 1;
            // A resumed stream may repeat events that the caller already has.
            if event.id.is_some() && event.id <= self.last_id {
                continue;
            }
            self.last_id = event.id.or(self.last_id);
            ready
                .get_or_insert_default()
                .extend_from_slice(&event.bytes);
        }
        ready.map(BytesMut::freeze)
    }

    async fn read_more(&mut self) -> Result<(), StreamFault> {
        let stall_timeout = self.stall_timeout();
        let next = self.open.answered.reply.body.chunk();
        let next = match stall_timeout {
            Some(limit) => {
                let silent_since = Instant::now();
                let next = timeout(limit, next).await;
                next.map_err(|_| StreamFault::silent(silent_since.elapsed()))?
            }
            None => next.await,
        };
        match next {
            Some(Ok(bytes)) => self.open.push(&bytes),
            Some(Err(error)) => Err(StreamFault::from_end(Some(error))),
            None if self.open.events.has_partial_event() => Err(StreamFault::from_end(None)),
            None => {
                self.ended = true;
                let is_whole = proves_survival(&self.open.answered.reply.head);
                if is_whole || self.events > 1 {
                    self.req.report_completed(&self.cx, is_whole);
                }
                Ok(())
            }
        }
    }

    /// Returns how long the stream may be silent before it is resumed elsewhere; `None` if it cannot be resumed.
    fn stall_timeout(&self) -> Option<Duration> {
        let may_retry = self.req.route.kind.allows_retry()
            && self.attempts.sent < self.req.route.max_attempts
            && self.may_resume();
        let pause = self.req.route.max_event_gap.unwrap_or(MIN_STALL_TIMEOUT);
        may_retry.then(|| (pause * STALL_GAPS).max(MIN_STALL_TIMEOUT))
    }

    /// Returns true if another engine has the version that began the stream.
    fn may_resume(&self) -> bool {
        let version = self.version.as_ref();
        let in_use = Some(&self.open.answered.upstream.id);
        version.is_some()
            && self
                .attempts
                .has_candidates(1, &self.cx, &self.req, version, in_use)
    }

    /// Resumes a broken stream on another engine of its version, if its route and the retry budget allow it.
    async fn resume_elsewhere(&mut self, fault: &StreamFault) -> Result<(), IncompleteBody> {
        let upstream = Arc::clone(&self.open.answered.upstream);
        fault.log(&self.req, upstream.id.as_str(), self.last_id);
        if let Some(run) = &mut self.open.answered.run {
            run.failed();
        }
        let mut failure = self.attempts.record_faulty_answer(
            &self.cx,
            &self.req,
            &upstream,
            fault.kind,
            AnswerProgress::Begun,
        );
        let reason = loop {
            if !self.may_resume() {
                let no_engine = "no other engine has the version that began the stream";
                break failure.final_reason().unwrap_or(no_engine);
            }
            let checked = self.attempts.check_send_again(&self.cx, &self.req, failure);
            if let Err(reason) = checked {
                break reason;
            }
            failure = match self.resume().await {
                Ok(()) => return Ok(()),
                Err(failure) => failure,
            };
        };
        fault.record_cut(&self.cx, &self.req, self.last_id, reason);
        Err(IncompleteBody)
    }

    async fn resume(&mut self) -> Result<(), SendFailure> {
        let (cx, req) = (&self.cx, &self.req);
        let version = self.version.as_ref().ok_or(SendFailure::NoUpstream)?;
        let results = make_stages(cx, req)
            .await
            .map_err(|refusal| SendFailure::StageRefused(refusal.reason))?;
        let point = ResumePoint {
            after: self.last_id,
            version,
        };
        let opened = open(cx, req, &mut self.attempts, &results, Some(point)).await?;
        match opened {
            Opened::Stream(open) => {
                let upstream = &open.answered.upstream;
                log::info!(
                    request = &*req.head.request,
                    upstream = upstream.id.as_str(),
                    version = version_label(upstream.version.as_ref()),
                    began_with = version_label(self.version.as_ref()),
                    after_event = self.last_id.unwrap_or(0);
                    "stream resumed on another engine"
                );
                self.open = *open;
                self.events = 0;
                Ok(())
            }
            Opened::Buffered(_) => Err(SendFailure::MayHaveRun),
        }
    }
}
