//! Forwards the events of a stream to its caller. A stream goes on at another engine if its route allows it.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{FutureExt, future::BoxFuture};
use tc_protocol::UpstreamVersion;
use tokio::time::{Instant, timeout};

use super::{
    IncompleteBody, RoutedRequest, RunContext,
    attempt::FailedAttempt,
    attempts::Attempts,
    buffered::proves_survival,
    crashes::AnswerProgress,
    hedge::Unanswered,
    open_stream::{OpenStream, Received},
    send_failure::SendFailure,
    stream::resume,
    stream_fault::StreamFault,
    version_label,
};

/// Another engine is sought for a resumable stream without an event for this many times the longest allowed gap.
const STALL_GAPS: u32 = 4;
/// Lower bound of that time: an engine may preempt a run for some hundred milliseconds.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A stream being forwarded to the caller. Dropping it cancels the runs on its engines.
pub(super) struct Relay {
    cx: Arc<RunContext>,
    req: Arc<RoutedRequest>,
    attempts: Attempts,
    /// The engine that the events come from; `None` once its connection has broken.
    source: Option<Box<OpenStream>>,
    /// When the source last sent something.
    received_at: Instant,
    /// The last event that was forwarded.
    last_id: Option<u64>,
    /// Events received from the source.
    events: u64,
    /// Version of the engine that began the stream.
    version: Option<UpstreamVersion>,
    ended: bool,
}

/// Result of the search for another engine.
type Resumed = Result<Box<OpenStream>, Unanswered>;

/// Outcome of the wait for a silent engine, or for another one in its place.
enum SilenceEnd {
    /// The silent engine went on first.
    WentOn(Box<OpenStream>, Received),
    /// Another engine sent an event first.
    Replaced {
        silent: Box<OpenStream>,
        by: Box<OpenStream>,
    },
    /// No other engine took the stream, and the silent one may still go on.
    NotReplaced(Box<OpenStream>, Unanswered),
    /// The connection to the silent engine broke.
    Broke(StreamFault, FailedAttempt, Resumed),
}

impl SilenceEnd {
    const fn label(&self) -> &'static str {
        match self {
            Self::WentOn(..) => "went_on",
            Self::Replaced { .. } => "replaced",
            Self::NotReplaced(..) => "not_replaced",
            Self::Broke(..) => "broke",
        }
    }
}

impl Relay {
    pub(super) fn new(
        cx: Arc<RunContext>,
        req: Arc<RoutedRequest>,
        attempts: Attempts,
        open: Box<OpenStream>,
    ) -> Self {
        Self {
            last_id: req.head.resume_after,
            version: open.answered.upstream.version.clone(),
            cx,
            req,
            attempts,
            source: Some(open),
            received_at: Instant::now(),
            events: 0,
            ended: false,
        }
    }

    /// Returns the next complete events; `None` at the end of a complete stream.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, IncompleteBody>> {
        loop {
            if let Some(events) = self.ready_events() {
                self.req.record_events();
                return Some(Ok(events));
            }
            if self.ended {
                return None;
            }
            if let Err(error) = self.read_more().await {
                self.ended = true;
                return Some(Err(error));
            }
        }
    }

    /// Returns the complete events that were read and not yet forwarded, as one chunk.
    fn ready_events(&mut self) -> Option<Bytes> {
        let source = self.source.as_mut()?;
        let mut ready: Option<BytesMut> = None;
        while let Some(event) = source.first.take().or_else(|| source.events.take_event()) {
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

    async fn read_more(&mut self) -> Result<(), IncompleteBody> {
        let stall_timeout = self.stall_timeout();
        let Some(mut source) = self.source.take() else {
            return Err(IncompleteBody);
        };
        let received = match stall_timeout {
            Some(limit) => timeout(limit, source.receive()).await,
            None => Ok(source.receive().await),
        };
        match received {
            Ok(Ok(received)) => {
                self.accept(source, received);
                Ok(())
            }
            Ok(Err(fault)) => {
                let failed = give_up(&self.cx, &self.req, source, &fault, self.last_id);
                self.resume_broken(&fault, failed).await
            }
            Err(_) => self.wait_for_silent(source).await,
        }
    }

    fn accept(&mut self, source: Box<OpenStream>, received: Received) {
        self.received_at = Instant::now();
        if received == Received::End {
            self.ended = true;
            let is_whole = proves_survival(&source.answered.reply.head);
            if is_whole || self.events > 1 {
                self.req.report_completed(&self.cx, is_whole);
            }
        }
        self.source = Some(source);
    }

    /// Returns how long the source may be silent before another engine is sought; `None` if the stream must not run
    /// on another one. An engine that can take the stream may be registered later.
    fn stall_timeout(&self) -> Option<Duration> {
        let may_retry = self.attempts.may_hedge(&self.req) && self.version.is_some();
        let pause = self.req.route.max_event_gap.unwrap_or(MIN_STALL_TIMEOUT);
        may_retry.then(|| (pause * STALL_GAPS).max(MIN_STALL_TIMEOUT))
    }

    /// Returns true if another engine than the source has the version that began the stream.
    fn may_resume(&self) -> bool {
        let version = self.version.as_ref();
        let source = self.source.as_ref().map(|s| &s.answered.upstream.id);
        version.is_some()
            && self
                .attempts
                .has_candidates(1, &self.cx, &self.req, version, source)
    }

    /// Seeks another engine for the stream of a silent one, and goes on with the one that first sends something.
    ///
    /// The silent engine is kept until then: it may be the only one that can complete the stream.
    async fn wait_for_silent(&mut self, source: Box<OpenStream>) -> Result<(), IncompleteBody> {
        let (cx, req) = (Arc::clone(&self.cx), Arc::clone(&self.req));
        let silent = source.answered.upstream.id.clone();
        let attempts = &mut self.attempts;
        attempts.record_silence(&silent);
        let version = self.version.as_ref();
        let is_allowed = attempts.has_candidates(1, &cx, &req, version, Some(&silent))
            && attempts
                .check_prepare_again(&cx, &req, SendFailure::MayHaveRun)
                .is_ok();
        log::info!(request = &*req.head.request, upstream = silent.as_str(), last_event = self.last_id.unwrap_or(0), seeks_other = is_allowed, silent_ms = self.received_at.elapsed().as_millis() as u64, after_ms = req.arrived.elapsed().as_millis() as u64; "a stream is silent");
        let Some(version) = self.version.as_ref().filter(|_| is_allowed) else {
            self.source = Some(source);
            return Ok(());
        };
        let failure = SendFailure::MayHaveRun;
        let resumed = resume(&cx, &req, attempts, failure, self.last_id, version).boxed();
        let end = end_of_silence(&cx, &req, source, self.last_id, resumed).await;
        let result = end.label();
        metrics::counter!("tc_stream_silences_total", "result" => result).increment(1);
        log::info!(request = &*req.head.request, upstream = silent.as_str(), result = result, silent_ms = self.received_at.elapsed().as_millis() as u64; "silence of a stream ended");
        match end {
            SilenceEnd::WentOn(source, received) => self.accept(source, received),
            SilenceEnd::Replaced { silent, by } => {
                let fault = StreamFault::invalid("another engine has overtaken it");
                let failed = silent.into_failed(&cx, &req, &fault, AnswerProgress::Begun);
                self.attempts.record(failed);
                self.go_on_with(by);
            }
            SilenceEnd::NotReplaced(source, unanswered) => {
                log::info!(request = &*req.head.request, reason = unanswered.reason(); "no other engine for a silent stream");
                self.source = Some(source);
            }
            SilenceEnd::Broke(_, failed, Ok(open)) => {
                self.attempts.record(failed);
                self.go_on_with(open);
            }
            SilenceEnd::Broke(fault, failed, Err(_)) => {
                return self.resume_broken(&fault, failed).await;
            }
        }
        Ok(())
    }

    /// Resumes a broken stream on another engine of its version, if its route and the retry budget allow it.
    async fn resume_broken(
        &mut self,
        fault: &StreamFault,
        failed: FailedAttempt,
    ) -> Result<(), IncompleteBody> {
        let failure = self.attempts.record(failed);
        let resumed = self.resume(failure).await;
        let cut = |reason| fault.record_cut(&self.cx, &self.req, self.last_id, reason);
        let open = resumed.map_err(|reason| {
            cut(reason);
            IncompleteBody
        })?;
        self.go_on_with(open);
        Ok(())
    }

    /// Opens the stream on another engine. Returns the reason if that fails.
    async fn resume(&mut self, failure: SendFailure) -> Result<Box<OpenStream>, &'static str> {
        let (cx, req) = (Arc::clone(&self.cx), Arc::clone(&self.req));
        let may_resume = self.may_resume();
        let Some(version) = self.version.as_ref().filter(|_| may_resume) else {
            return Err("no untried engine has the version that began the stream");
        };
        self.attempts.check_prepare_again(&cx, &req, failure)?;
        let attempts = &mut self.attempts;
        let resumed = resume(&cx, &req, attempts, failure, self.last_id, version).boxed();
        resumed.await.map_err(|unanswered| unanswered.reason())
    }

    fn go_on_with(&mut self, open: Box<OpenStream>) {
        let upstream = &open.answered.upstream;
        log::info!(
            request = &*self.req.head.request,
            upstream = upstream.id.as_str(),
            version = version_label(upstream.version.as_ref()),
            began_with = version_label(self.version.as_ref()),
            after_event = self.last_id.unwrap_or(0);
            "stream resumed on another engine"
        );
        self.source = Some(open);
        self.received_at = Instant::now();
        self.events = 0;
    }
}

/// Waits until a silent engine goes on or another one has the stream, whichever is first.
async fn end_of_silence(
    cx: &RunContext,
    req: &RoutedRequest,
    mut source: Box<OpenStream>,
    last_id: Option<u64>,
    mut resumed: BoxFuture<'_, Resumed>,
) -> SilenceEnd {
    let fault = tokio::select! {
        biased;
        received = source.receive() => match received {
            Ok(received) => return SilenceEnd::WentOn(source, received),
            Err(fault) => fault,
        },
        resumed = &mut resumed => return match resumed {
            Ok(by) => SilenceEnd::Replaced { silent: source, by },
            Err(unanswered) => SilenceEnd::NotReplaced(source, unanswered),
        },
    };
    let mut failed = give_up(cx, req, source, &fault, last_id);
    // The other engine may be waiting for the permission to run.
    failed.release_trial();
    SilenceEnd::Broke(fault, failed, resumed.await)
}

/// Gives up a stream whose connection broke.
fn give_up(
    cx: &RunContext,
    req: &RoutedRequest,
    source: Box<OpenStream>,
    fault: &StreamFault,
    last_id: Option<u64>,
) -> FailedAttempt {
    fault.log(req, source.answered.upstream.id.as_str(), last_id);
    source.into_failed(cx, req, fault, AnswerProgress::Begun)
}
