//! One attempt: sends a request to an upstream and checks the headers of its answer.

use std::{sync::Arc, time::Duration};

use http::{Request, Response, Uri, uri::PathAndQuery};
use http_body_util::Full;
use tc_fleet::SuspectTrial;
use tc_policy::Senders;
use tc_protocol::{RunState, UpstreamId, UpstreamVersion, routing::RegisteredUpstream};
use tc_upstream::{CallError, CallErrorKind, RawCall, RawResponse};
use tokio::time::Instant;

use super::{
    AnswerBody, RoutedRequest, RunContext,
    crashes::{AnswerProgress, report_crash},
    send_failure::AnswerFault,
    stages::StageResults,
    target::Target,
    urgency::urgency,
};
use crate::{
    call::{Acceptance, AnswerHead, UpstreamRequestHead},
    engines::EngineRun,
    upstream_stats::{CallOutcome, InFlight},
};

/// Result of an attempt that produced no usable answer. What it means for further attempts is a [`SendFailure`].
///
/// [`SendFailure`]: super::send_failure::SendFailure
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptFailure {
    /// No byte of the request was written.
    NotSent,
    /// The upstream refused the request without running it.
    Refused,
    /// The upstream did not run the request because results that it reads are gone.
    InputGone,
    /// The upstream may have run the request.
    MayHaveRun,
}

/// An attempt that produced no usable answer.
pub(super) struct FailedAttempt {
    pub(super) upstream: UpstreamId,
    pub(super) failure: AttemptFailure,
    /// The upstream's own error response, for the caller if no other attempt succeeds.
    pub(super) error_answer: Option<Box<Response<AnswerBody>>>,
    /// Held until the failure is recorded.
    trial: Option<SuspectTrial>,
}

impl FailedAttempt {
    /// Lets another attempt run a request that may crash upstreams.
    pub(super) fn release_trial(&mut self) {
        self.trial = None;
    }
}

/// Parameters that an attempt adds to the request itself.
#[derive(Clone, Copy, Default)]
pub(super) struct SendOptions<'a> {
    /// Results of the request's stages; `None` for routes without stages.
    pub(super) results: Option<&'a StageResults>,
    pub(super) resume_after: Option<u64>,
    /// Version that the upstream must have; `None` if any will do.
    pub(super) version: Option<&'a UpstreamVersion>,
}

/// A request to one upstream that is ready to be sent.
pub(super) struct Attempt {
    call: RawCall,
    target: Target,
    trial: Option<SuspectTrial>,
    number: u32,
    urgency: Option<u8>,
}

/// An answer whose headers were checked and whose body is still to be read.
pub(super) struct Answered {
    pub(super) reply: RawResponse,
    pub(super) head: AnswerHead,
    pub(super) upstream: Arc<RegisteredUpstream>,
    pub(super) sent_at: Instant,
    /// Number of attempts that had been sent with this one.
    pub(super) number: u32,
    urgency: Option<u8>,
    /// Counts the call as in progress while the body is read.
    _in_flight: InFlight,
    /// The run on an engine that a home chose.
    pub(super) run: Option<EngineRun>,
    /// Permission to run a request that may crash upstreams.
    trial: Option<SuspectTrial>,
}

impl Attempt {
    pub(super) fn new(
        cx: &RunContext,
        req: &RoutedRequest,
        options: &SendOptions<'_>,
        target: Target,
        trial: Option<SuspectTrial>,
        remaining: Duration,
        number: u32,
    ) -> Self {
        let upstream = &target.upstream;
        let urgency = urgency(cx, req, options);
        let call = RawCall {
            upstream: upstream.id.clone(),
            address: upstream.address,
            request: request_to(cx, req, &target, options, urgency),
            remaining,
            reuse: false,
            is_wanted: cx.world.still_takes_work(upstream.id.clone()),
        };
        Self {
            call,
            target,
            trial,
            number,
            urgency,
        }
    }

    pub(super) fn upstream(&self) -> &UpstreamId {
        &self.target.upstream.id
    }

    /// Sends the request and waits for the headers of its answer.
    pub(super) async fn send(
        self,
        cx: &RunContext,
        req: &RoutedRequest,
    ) -> Result<Answered, FailedAttempt> {
        req.runs.record_send();
        let answered = self.exchange(cx, req).await;
        if let Err(failed) = &answered
            && failed.failure != AttemptFailure::MayHaveRun
        {
            req.runs.record_not_run();
        }
        answered
    }

    async fn exchange(
        self,
        cx: &RunContext,
        req: &RoutedRequest,
    ) -> Result<Answered, FailedAttempt> {
        let Self {
            call,
            target,
            trial,
            number,
            urgency,
        } = self;
        let sent_at = Instant::now();
        match cx.client.exchange_raw(call).await {
            Ok(reply) => {
                let answered = Answered {
                    head: (cx.codec.read_answer)(&reply.head),
                    reply,
                    upstream: target.upstream,
                    sent_at,
                    number,
                    urgency,
                    _in_flight: target.in_flight,
                    run: target.run,
                    trial,
                };
                check_answer(cx, req, answered)
            }
            Err(error) => Err(send_failed(cx, req, target, trial, &error, sent_at)),
        }
    }
}

fn send_failed(
    cx: &RunContext,
    req: &RoutedRequest,
    target: Target,
    trial: Option<SuspectTrial>,
    error: &CallError,
    sent_at: Instant,
) -> FailedAttempt {
    let Target {
        upstream, mut run, ..
    } = target;
    let not_run = error.run_state == RunState::NotRun;
    log::info!(request = &*req.head.request, upstream = upstream.id.as_str(), not_run = not_run, error = error.to_string().as_str(), after_ms = sent_at.elapsed().as_millis() as u64; "no answer from upstream");
    if error.kind == CallErrorKind::Broken {
        report_crash(cx, req, &upstream, AnswerProgress::NotBegun, trial.as_ref());
    }
    if error.kind != CallErrorKind::Withdrawn {
        cx.upstream_stats.record(&upstream.id, CallOutcome::Failed);
    }
    if let Some(run) = &mut run {
        run.failed();
    }
    let failure = if not_run {
        AttemptFailure::NotSent
    } else {
        AttemptFailure::MayHaveRun
    };
    FailedAttempt {
        upstream: upstream.id.clone(),
        failure,
        error_answer: None,
        trial,
    }
}

/// Records what the headers of an answer announce, and accepts the answer only if it is genuine and belongs to this
/// request.
fn check_answer(
    cx: &RunContext,
    req: &RoutedRequest,
    mut answered: Answered,
) -> Result<Answered, FailedAttempt> {
    let head = &answered.head;
    let id = &answered.upstream.id;
    cx.upstream_stats.record_load(id, head.load);
    cx.unknown_headers.record(id, &head.unknown_headers);
    if head.announces_leaving() {
        cx.world.mark_leaving(id);
    }
    if let Some(announced) = head.announced_limit(answered.reply.head.status) {
        cx.limits.limits().observe(id, announced);
    }
    let senders = Senders {
        count: cx.instances(),
        is_windowed: answered.run.is_none(),
    };
    cx.backoffs.observe(id, head, senders);
    if head.acceptance != Acceptance::Yes {
        let status = answered.reply.head.status.as_u16();
        log::info!(request = &*req.head.request, upstream = id.as_str(), status = status, urgency = answered.urgency, taken = format!("{:?}", head.acceptance).as_str(); "request refused by upstream");
        cx.upstream_stats.record(id, CallOutcome::Full);
        let failure = if head.acceptance == Acceptance::InputGone {
            AttemptFailure::InputGone
        } else {
            AttemptFailure::Refused
        };
        if failure == AttemptFailure::Refused
            && let Some(run) = &mut answered.run
        {
            run.refused();
        }
        return Err(answered.into_failed(failure));
    }
    let is_ours = head
        .request
        .as_ref()
        .is_none_or(|named| *named == req.head.request);
    let is_genuine = head.sealed && !head.encoded;
    let is_success = answered.reply.head.status.is_success();
    if !is_ours || (is_success && !is_genuine) {
        log::warn!(request = &*req.head.request, upstream = id.as_str(), ours = is_ours, sealed = head.sealed, encoded = head.encoded; "answer rejected: it belongs to another request or is not genuine");
        return Err(answered.into_faulty(cx, req, AnswerFault::Invalid, AnswerProgress::NotBegun));
    }
    Ok(answered)
}

impl Answered {
    /// Returns true if events follow; an error has a plain body.
    pub(super) fn is_stream(&self) -> bool {
        self.head.is_stream && self.reply.head.status.is_success()
    }

    /// Gives up an answer that cannot be used, and records the fault of its upstream, which may have run the request.
    pub(super) fn into_faulty(
        self,
        cx: &RunContext,
        req: &RoutedRequest,
        fault: AnswerFault,
        progress: AnswerProgress,
    ) -> FailedAttempt {
        if fault == AnswerFault::Broken {
            report_crash(cx, req, &self.upstream, progress, self.trial.as_ref());
        }
        cx.upstream_stats
            .record(&self.upstream.id, CallOutcome::Failed);
        self.into_failed(AttemptFailure::MayHaveRun)
    }

    /// The upstream answered with an error of its own.
    pub(super) fn into_error_answer(self, answer: Response<AnswerBody>) -> FailedAttempt {
        FailedAttempt {
            error_answer: Some(Box::new(answer)),
            ..self.into_failed(AttemptFailure::MayHaveRun)
        }
    }

    /// Gives up an answer. Its connection is closed.
    pub(super) fn into_failed(self, failure: AttemptFailure) -> FailedAttempt {
        FailedAttempt {
            upstream: self.upstream.id.clone(),
            failure,
            error_answer: None,
            trial: self.trial,
        }
    }
}

fn request_to(
    cx: &RunContext,
    req: &RoutedRequest,
    target: &Target,
    options: &SendOptions<'_>,
    urgency: Option<u8>,
) -> Request<Full<bytes::Bytes>> {
    let own = UpstreamRequestHead {
        remaining: req.time_left(),
        upstream: &target.upstream.id,
        workspace: req.workspace.as_ref().map(|w| &w.name),
        inputs: options.results.map(|results| &*results.inputs),
        resume_after: options.resume_after.or(req.head.resume_after),
        fetch_from: target.fetch_from,
        urgency,
    };
    let path = req.parts.uri.path_and_query();
    let path = path.cloned().unwrap_or(PathAndQuery::from_static("/"));
    let mut request = Request::new(Full::new(req.body.clone()));
    *request.method_mut() = req.parts.method.clone();
    *request.uri_mut() = Uri::from(path);
    *request.headers_mut() = (cx.codec.upstream_headers)(&req.parts.headers, &own);
    request
}
