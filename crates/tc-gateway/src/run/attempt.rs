//! Sends a request to an upstream and checks its answer.

use std::{sync::Arc, time::Duration};

use http::{Request, Uri, uri::PathAndQuery};
use http_body_util::Full;
use tc_fleet::SuspectTrial;
use tc_policy::{RetryPermit, Senders};
use tc_protocol::{MonoTime, RunState, UpstreamId, UpstreamVersion, routing::RegisteredUpstream};
use tc_upstream::{CallErrorKind, RawCall, RawResponse};
use tokio::time::Instant;

use super::{
    Refusal, RoutedRequest, RunContext,
    crashes::{AnswerProgress, part_refusal, report_crash, suspect_refusal},
    stages::StageResults,
    target::Target,
};
use crate::{
    call::{Acceptance, AnswerHead, UpstreamRequestHead},
    engines::EngineRun,
    upstream_stats::{CallOutcome, InFlight},
};

pub(super) use super::send_failure::{AnswerFault, SendFailure};
use super::send_failure::{NO_TIME_LEFT, RETRY_BUDGET_EMPTY};

/// A request with less time left is not sent: no upstream could answer in time.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Number of times that upstreams may refuse a request before the gateway gives up. A refused request has not run, so
/// it does not count towards the attempts that its route allows. Each retry still uses retry budget that other
/// requests may need, and when one upstream is full its peers are likely to be full soon.
const MAX_REFUSED_SENDS: u32 = 3;

/// State of the attempts of one request so far.
#[derive(Default)]
pub(super) struct Attempts {
    /// Attempts that were sent and may have run.
    pub(super) sent: u32,
    /// Attempts that an upstream refused without running the request.
    refused: u32,
    /// Whether any attempt may have run.
    pub(super) may_have_run: bool,
    /// Upstreams that are not tried again.
    pub(super) tried: Vec<UpstreamId>,
    /// Whether an earlier attempt reached an upstream, so that the next one uses retry budget.
    reached_upstream: bool,
    /// Permission for the next attempt if it uses retry budget.
    retry_permit: Option<RetryPermit>,
    /// The upstream of the attempt in progress.
    current_upstream: Option<UpstreamId>,
    /// Permission held during an attempt of a request that may crash upstreams.
    pub(super) trial: Option<SuspectTrial>,
}

/// An answer whose headers were checked and whose body is still to be read.
pub(super) struct Answered {
    pub(super) reply: RawResponse,
    pub(super) head: AnswerHead,
    pub(super) upstream: Arc<RegisteredUpstream>,
    pub(super) sent_at: Instant,
    /// Counts the call as in progress while the body is read.
    pub(super) in_flight: InFlight,
    /// The run on an engine that a home chose.
    pub(super) run: Option<EngineRun>,
}

/// Parameters that an attempt adds to the request itself.
#[derive(Clone, Copy, Default)]
pub(super) struct SendOptions<'a> {
    /// Results of the request's stages; `None` for routes without stages.
    pub(super) results: Option<&'a StageResults>,
    pub(super) resume_after: Option<u64>,
    /// Version that the upstream must have; `None` if any will do.
    pub(super) version: Option<&'a UpstreamVersion>,
    /// Limits the attempt to less than the request's remaining time.
    pub(super) timeout: Option<Duration>,
}

impl Attempts {
    /// Returns whether the request may be sent again after a failure, and spends retry budget if that is needed.
    pub(super) fn may_send_again(
        &mut self,
        cx: &RunContext,
        req: &RoutedRequest,
        failure: SendFailure,
    ) -> bool {
        self.check_send_again(cx, req, failure).is_ok()
    }

    /// Like [`may_send_again`](Self::may_send_again), with the reason if the request may not be sent again.
    pub(super) fn check_send_again(
        &mut self,
        cx: &RunContext,
        req: &RoutedRequest,
        failure: SendFailure,
    ) -> Result<(), &'static str> {
        if let Some(reason) = failure.final_reason() {
            return Err(reason);
        }
        if failure == SendFailure::MayHaveRun && !req.route.kind.allows_retry() {
            return Err("requests of the route must not run twice");
        }
        if self.sent >= req.route.max_attempts {
            return Err("all attempts that the route allows were made");
        }
        if self.refused >= MAX_REFUSED_SENDS {
            return Err("upstreams refused the request too often");
        }
        if req.time_left() < MIN_TIME_LEFT {
            return Err(NO_TIME_LEFT);
        }
        if !self.reached_upstream {
            return Ok(());
        }
        self.retry_permit = cx.retry_budgets.try_spend(&req.head.request, &req.service);
        let permit = self.retry_permit.as_ref();
        permit.map(|_| ()).ok_or(RETRY_BUDGET_EMPTY)
    }

    /// Returns true if the next attempt may still be sent. Its permit may have expired while stages were made again.
    fn may_still_send(&mut self, cx: &RunContext, req: &RoutedRequest) -> bool {
        let Some(permit) = self.retry_permit.take() else {
            return true;
        };
        let spend = || cx.retry_budgets.try_spend(&req.head.request, &req.service);
        permit.is_valid(MonoTime::now()) || spend().is_some()
    }

    /// Returns the refusal for the caller when no further attempt is made.
    pub(super) fn refusal(&self, req: &RoutedRequest, failure: SendFailure) -> Refusal {
        if self.may_have_run {
            return if req.time_left() < MIN_TIME_LEFT {
                Refusal::timed_out()
            } else {
                Refusal::outcome_unknown("an upstream broke off and may have run the request")
            };
        }
        match failure {
            SendFailure::NoUpstream => {
                Refusal::not_run_transient("no upstream of the service is known")
            }
            SendFailure::StageRefused(reason) => Refusal::not_run_transient(reason),
            SendFailure::RateLimited(wait) => {
                Refusal::not_run("upstreams of the service are at their rate limit", wait)
            }
            SendFailure::BackingOff(wait) => {
                Refusal::not_run("upstreams of the service have asked for a rest", wait)
            }
            SendFailure::Suspect(refused) => suspect_refusal(&refused),
            SendFailure::SuspectPart(refused) => part_refusal(&refused),
            SendFailure::TimedOut => Refusal::timed_out(),
            SendFailure::InputGone => Refusal::not_run_transient("results of a stage were lost"),
            SendFailure::NotRun | SendFailure::MayHaveRun | SendFailure::BudgetExhausted => {
                Refusal::not_run_transient("no upstream took the request")
            }
        }
    }

    /// Sends the request to the most suitable upstream and waits for the headers of its answer.
    pub(super) async fn send(
        &mut self,
        cx: &RunContext,
        req: &RoutedRequest,
        options: SendOptions<'_>,
    ) -> Result<Answered, SendFailure> {
        if req.time_left() < MIN_TIME_LEFT {
            return Err(SendFailure::TimedOut);
        }
        cx.world.wait_until_fresh().await;
        self.acquire_run(cx, req).await?;
        let time_left = req.time_left();
        if !self.may_still_send(cx, req) {
            return Err(SendFailure::BudgetExhausted);
        }
        let mut target = self.choose(cx, req, &options).await?;
        let upstream = Arc::clone(&target.upstream);
        let remaining = options
            .timeout
            .map_or(time_left, |timeout| timeout.min(time_left));
        let call = RawCall {
            upstream: upstream.id.clone(),
            address: upstream.address,
            request: request_to(cx, req, &target, &options),
            remaining,
            reuse: false,
            is_wanted: cx.world.still_takes_work(upstream.id.clone()),
        };
        let sent_at = Instant::now();
        self.sent += 1;
        self.current_upstream = Some(upstream.id.clone());
        let exchanged = cx.client.exchange_raw(call).await;
        let reply = match exchanged {
            Ok(reply) => reply,
            Err(error) => {
                let not_run = error.run_state == RunState::NotRun;
                log::info!(request = &*req.head.request, upstream = upstream.id.as_str(), not_run = not_run, error = error.to_string().as_str(), after_ms = sent_at.elapsed().as_millis() as u64; "no answer from upstream");
                if error.kind == CallErrorKind::Broken {
                    report_crash(cx, req, &upstream, AnswerProgress::NotBegun);
                }
                if error.kind != CallErrorKind::Withdrawn {
                    cx.upstream_stats.record(&upstream.id, CallOutcome::Failed);
                }
                if let Some(run) = &mut target.run {
                    run.failed();
                }
                self.tried.push(upstream.id.clone());
                return Err(self.record_send_error(not_run));
            }
        };
        self.reached_upstream = true;
        let answered = Answered {
            head: (cx.codec.read_answer)(&reply.head),
            reply,
            upstream,
            sent_at,
            in_flight: target.in_flight,
            run: target.run,
        };
        self.check_answer(cx, req, answered)
    }

    fn record_send_error(&mut self, not_run: bool) -> SendFailure {
        if not_run {
            self.sent -= 1;
            return SendFailure::NotRun;
        }
        self.reached_upstream = true;
        self.may_have_run = true;
        SendFailure::MayHaveRun
    }

    /// Records what the headers of an answer announce, and accepts the answer only if it is genuine and belongs to
    /// this request.
    fn check_answer(
        &mut self,
        cx: &RunContext,
        req: &RoutedRequest,
        mut answered: Answered,
    ) -> Result<Answered, SendFailure> {
        let head = &answered.head;
        let id = &answered.upstream.id;
        if let Some(load) = head.load {
            cx.upstream_stats.record_load(id, load);
        }
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
            log::info!(request = &*req.head.request, upstream = id.as_str(), status = status, taken = format!("{:?}", head.acceptance).as_str(); "request refused by upstream");
            cx.upstream_stats.record(id, CallOutcome::Full);
            self.tried.push(id.clone());
            self.sent -= 1;
            self.refused += 1;
            if head.acceptance != Acceptance::InputGone
                && let Some(run) = &mut answered.run
            {
                run.failed();
            }
            return Err(if head.acceptance == Acceptance::InputGone {
                SendFailure::InputGone
            } else {
                SendFailure::NotRun
            });
        }
        let is_ours = head
            .request
            .as_ref()
            .is_none_or(|named| *named == req.head.request);
        let is_genuine = head.sealed && !head.encoded;
        let is_success = answered.reply.head.status.is_success();
        if !is_ours || (is_success && !is_genuine) {
            log::warn!(request = &*req.head.request, upstream = id.as_str(), ours = is_ours, sealed = head.sealed, encoded = head.encoded; "answer rejected: it belongs to another request or is not genuine");
            let upstream = Arc::clone(&answered.upstream);
            let progress = AnswerProgress::NotBegun;
            return Err(self.record_faulty_answer(
                cx,
                req,
                &upstream,
                AnswerFault::Invalid,
                progress,
            ));
        }
        Ok(answered)
    }

    /// Excludes the upstream of the current attempt from later ones.
    pub(super) fn exclude_current(&mut self) {
        self.tried.extend(self.current_upstream.take());
    }

    /// Records that an attempt timed out while its answer was awaited.
    pub(super) fn record_timeout(&mut self, cx: &RunContext) {
        self.reached_upstream = true;
        self.may_have_run = true;
        if let Some(id) = self.current_upstream.take() {
            cx.upstream_stats.record(&id, CallOutcome::Failed);
            self.tried.push(id);
        }
    }

    /// Records an answer that this instance has no room for. The upstream is not at fault.
    pub(super) fn record_dropped_answer(&mut self, id: &UpstreamId) -> SendFailure {
        self.tried.push(id.clone());
        self.may_have_run = true;
        SendFailure::MayHaveRun
    }

    /// Records an answer that cannot be used; the upstream may have run the request.
    pub(super) fn record_faulty_answer(
        &mut self,
        cx: &RunContext,
        req: &RoutedRequest,
        upstream: &RegisteredUpstream,
        fault: AnswerFault,
        progress: AnswerProgress,
    ) -> SendFailure {
        if fault == AnswerFault::Broken {
            report_crash(cx, req, upstream, progress);
        }
        cx.upstream_stats.record(&upstream.id, CallOutcome::Failed);
        self.tried.push(upstream.id.clone());
        self.may_have_run = true;
        SendFailure::MayHaveRun
    }
}

fn request_to(
    cx: &RunContext,
    req: &RoutedRequest,
    target: &Target,
    options: &SendOptions<'_>,
) -> Request<Full<bytes::Bytes>> {
    let own = UpstreamRequestHead {
        remaining: req.time_left(),
        upstream: &target.upstream.id,
        workspace: req.workspace.as_ref().map(|w| &w.name),
        inputs: options.results.map(|results| &*results.inputs),
        resume_after: options.resume_after.or(req.head.resume_after),
        fetch_from: target.fetch_from,
    };
    let path = req.parts.uri.path_and_query();
    let path = path.cloned().unwrap_or(PathAndQuery::from_static("/"));
    let mut request = Request::new(Full::new(req.body.clone()));
    *request.method_mut() = req.parts.method.clone();
    *request.uri_mut() = Uri::from(path);
    *request.headers_mut() = (cx.codec.upstream_headers)(&req.parts.headers, &own);
    request
}
