//! The attempts of one request so far, and whether another one may be made.

use std::time::Duration;

use tc_policy::RetryPermit;
use tc_protocol::{MonoTime, UpstreamId};

use super::{
    Refusal, RoutedRequest, RunContext,
    attempt::{Attempt, AttemptFailure, FailedAttempt, SendOptions},
    crashes::{part_refusal, suspect_refusal},
    send_failure::{NO_TIME_LEFT, RETRY_BUDGET_EMPTY, SendFailure},
};

use crate::upstream_stats::CallOutcome;

/// A request with less time left is not sent: no upstream could answer in time.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

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
    /// Upstreams of the attempts without an answer so far, the latest one last.
    pub(super) in_progress: Vec<UpstreamId>,
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
        self.check_limits(req, failure)?;
        if self.is_paid_for() || self.spend(cx, req) {
            return Ok(());
        }
        Err(RETRY_BUDGET_EMPTY)
    }

    /// Like [`check_send_again`](Self::check_send_again), without spending retry budget. Other requests may spend it before
    /// this one is ready to be sent.
    pub(super) fn check_prepare_again(
        &self,
        cx: &RunContext,
        req: &RoutedRequest,
        failure: SendFailure,
    ) -> Result<(), &'static str> {
        self.check_limits(req, failure)?;
        if self.is_paid_for() || cx.retry_budgets.can_spend(&req.service) {
            return Ok(());
        }
        Err(RETRY_BUDGET_EMPTY)
    }

    fn check_limits(&self, req: &RoutedRequest, failure: SendFailure) -> Result<(), &'static str> {
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
        Ok(())
    }

    /// Returns true if the next attempt needs no further retry budget.
    fn is_paid_for(&self) -> bool {
        !self.reached_upstream || self.has_permit()
    }

    /// Returns true if the next attempt may still be sent. Its permit may have expired while stages were made again.
    fn may_still_send(&mut self, cx: &RunContext, req: &RoutedRequest) -> bool {
        self.retry_permit.is_none() || self.has_permit() || self.spend(cx, req)
    }

    /// Returns true if a permit was left by an attempt that was not sent in the end.
    fn has_permit(&self) -> bool {
        let permit = self.retry_permit.as_ref();
        permit.is_some_and(|permit| permit.is_valid(MonoTime::now()))
    }

    fn spend(&mut self, cx: &RunContext, req: &RoutedRequest) -> bool {
        self.retry_permit = cx.retry_budgets.try_spend(&req.head.request, &req.service);
        self.retry_permit.is_some()
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
            SendFailure::NotRun | SendFailure::NoUpstream | SendFailure::BudgetExhausted
                if self.refused > 0 =>
            {
                Refusal::awaiting_room("no upstream took the request")
            }
            SendFailure::NoUpstream => {
                Refusal::not_run_transient("no upstream of the service is known")
            }
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

    /// Chooses the most suitable upstream for the next attempt and counts the attempt as sent.
    pub(super) async fn prepare(
        &mut self,
        cx: &RunContext,
        req: &RoutedRequest,
        options: SendOptions<'_>,
    ) -> Result<Attempt, SendFailure> {
        if req.time_left() < MIN_TIME_LEFT {
            return Err(SendFailure::TimedOut);
        }
        cx.world.wait_until_fresh().await;
        let trial = self.acquire_run(cx, req).await?;
        let time_left = req.time_left();
        if !self.may_still_send(cx, req) {
            return Err(SendFailure::BudgetExhausted);
        }
        let target = self.choose(cx, req, &options).await?;
        self.retry_permit = None;
        self.sent += 1;
        self.in_progress.push(target.upstream.id.clone());
        Ok(Attempt::new(
            cx, req, &options, target, trial, time_left, self.sent,
        ))
    }

    /// Records an attempt that produced no usable answer. Its upstream is not tried again.
    pub(super) fn record(&mut self, failed: FailedAttempt) -> SendFailure {
        self.in_progress.retain(|id| *id != failed.upstream);
        self.tried.push(failed.upstream);
        if failed.failure != AttemptFailure::NotSent {
            self.reached_upstream = true;
        }
        match failed.failure {
            AttemptFailure::NotSent => {
                self.sent -= 1;
                SendFailure::NotRun
            }
            AttemptFailure::Refused => {
                self.sent -= 1;
                self.refused += 1;
                SendFailure::NotRun
            }
            AttemptFailure::InputGone => {
                self.sent -= 1;
                self.refused += 1;
                SendFailure::InputGone
            }
            AttemptFailure::MayHaveRun => {
                self.may_have_run = true;
                SendFailure::MayHaveRun
            }
        }
    }

    /// Returns true if an upstream that is not silent works on the request.
    pub(super) fn awaits_answer(&self) -> bool {
        self.in_progress.iter().any(|id| !self.tried.contains(id))
    }

    /// Records that an upstream has answered, which cancels the other attempts. Those that were silent have failed.
    pub(super) fn record_answer(&mut self, cx: &RunContext, answered: &UpstreamId) {
        for id in self.in_progress.drain(..) {
            if id != *answered && self.tried.contains(&id) {
                cx.upstream_stats.record(&id, CallOutcome::Failed);
            }
        }
    }

    /// Returns the upstreams that the next attempt must not go to.
    pub(super) fn excluded(&self) -> impl Iterator<Item = &UpstreamId> {
        self.tried.iter().chain(&self.in_progress)
    }

    /// Records that an upstream is silent. It may still answer, but is not chosen for another attempt.
    pub(super) fn record_silence(&mut self, id: &UpstreamId) {
        self.reached_upstream = true;
        if !self.tried.contains(id) {
            self.tried.push(id.clone());
        }
    }
}
