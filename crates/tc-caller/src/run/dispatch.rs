//! Dispatch of a stage: a first attempt, at most one hedge in parallel, and retries.

use std::{
    future::Future,
    sync::{Arc, OnceLock},
    time::Duration,
};

use futures::{
    FutureExt,
    future::{Either, select},
};
use tc_policy::{StageEstimate, hedge_after, retry_delay, slack_for};
use tc_protocol::{Attempt, Decision, ProblemKind, RefusalReason, RunState, UpstreamId};
use tc_upstream::{CallError, CallErrorKind};

use crate::{
    http::Failure,
    limits::RETRY_AFTER,
    run::{
        attempt::{AttemptFailure, AttemptState, AttemptSuccess, CallTarget, run_attempt},
        context::RequestContext,
        plan::{InputProperties, StagePlan},
    },
};

/// A stage to dispatch, with the estimates that hedging and retries depend on.
pub(crate) struct Dispatch<'a> {
    pub(crate) cx: &'a Arc<RequestContext>,
    pub(crate) plan: &'a StagePlan,
    pub(crate) input_properties: &'a InputProperties,
    /// Estimates of this stage and all later ones.
    pub(crate) rest: &'a [StageEstimate],
    /// Estimated time until a call returns its complete result or, for a stream, its first item.
    pub(crate) until_result: &'a StageEstimate,
}

/// Number of a stage's attempts so far, and the upstreams that they were sent to.
#[derive(Default)]
pub(crate) struct Attempts {
    pub(crate) count: u32,
    excluded: Vec<UpstreamId>,
}

impl Dispatch<'_> {
    /// Runs `call` on one upstream after another until one succeeds, within the service's hedge and retry budgets.
    pub(crate) async fn run<T, F, Fut>(
        &self,
        attempts: &mut Attempts,
        call: F,
    ) -> Result<AttemptSuccess<T>, Failure>
    where
        F: Fn(CallTarget) -> Fut,
        Fut: Future<Output = Result<T, CallError>>,
    {
        let mut failed_call: Option<AttemptFailure> = None;
        loop {
            let failure = match self.attempt_with_hedge(attempts, &call).await {
                Ok(success) => return Ok(success),
                Err(failure) => failure,
            };
            let Some(delay) = self.retry_delay(&failure, attempts) else {
                // If a retry was refused for lack of another upstream, the earlier failed call is the cause to report.
                return Err(self.to_failure(failed_call.as_ref().unwrap_or(&failure)));
            };
            metrics::counter!("tc_retries_total", "service" => self.service()).increment(1);
            self.cx.record(Decision::Retried {
                stage: self.plan.stage.clone(),
                after: failure_text(&failure),
            });
            failed_call = matches!(failure, AttemptFailure::Call(_))
                .then_some(failure)
                .or(failed_call);
            tokio::time::sleep(delay).await;
        }
    }

    /// Runs one attempt, and a hedge in parallel if the attempt is slow.
    async fn attempt_with_hedge<T, F, Fut>(
        &self,
        attempts: &mut Attempts,
        call: &F,
    ) -> Result<AttemptSuccess<T>, AttemptFailure>
    where
        F: Fn(CallTarget) -> Fut,
        Fut: Future<Output = Result<T, CallError>>,
    {
        let first = self.next_attempt(attempts);
        let mut primary = Box::pin(run_attempt(
            self.cx,
            self.plan,
            self.input_properties,
            &first,
            call,
        ));
        let settled = match self.hedge_delay() {
            Some(delay) => self.wait_until_hedge(&mut primary, &first, delay).await,
            None => Some(primary.as_mut().await),
        };
        let result = if let Some(result) = settled {
            result
        } else {
            let hedge = self.next_hedge(attempts, &first);
            let second = Box::pin(run_attempt(
                self.cx,
                self.plan,
                self.input_properties,
                &hedge,
                call,
            ));
            let result = first_success(primary, second).await;
            attempts.excluded.extend(hedge.sent_to.get().cloned());
            result
        };
        attempts.excluded.extend(first.sent_to.get().cloned());
        result
    }

    /// Waits for the first attempt. Returns `None` if a hedge should start in parallel.
    async fn wait_until_hedge<T, P>(
        &self,
        primary: &mut P,
        first: &AttemptState,
        delay: Duration,
    ) -> Option<Result<AttemptSuccess<T>, AttemptFailure>>
    where
        P: Future<Output = Result<AttemptSuccess<T>, AttemptFailure>> + Unpin,
    {
        loop {
            tokio::select! {
                biased;
                result = &mut *primary => return Some(result),
                () = tokio::time::sleep(delay) => {}
            }
            // The first attempt still waits for a permit. A second request would only wait in another queue.
            if first.sent_to.get().is_none() {
                continue;
            }
            if !self.plan.policy.try_spend_hedge() {
                return Some(primary.await);
            }
            metrics::counter!("tc_hedges_total", "service" => self.service()).increment(1);
            self.cx.record(Decision::Hedged {
                stage: self.plan.stage.clone(),
                after_ms: delay.as_secs_f64() * 1e3,
            });
            return None;
        }
    }

    fn hedge_delay(&self) -> Option<Duration> {
        if !self.plan.idempotent || self.cx.shared.settings.baseline {
            return None;
        }
        hedge_after(self.until_result, self.cx.remaining())
    }

    fn next_attempt(&self, attempts: &mut Attempts) -> AttemptState {
        let attempt = Attempt(attempts.count);
        attempts.count += 1;
        AttemptState {
            attempt,
            excluded: attempts.excluded.clone(),
            slack: self.slack(),
            sent_to: OnceLock::new(),
        }
    }

    fn next_hedge(&self, attempts: &mut Attempts, first: &AttemptState) -> AttemptState {
        let mut hedge = self.next_attempt(attempts);
        hedge.excluded.extend(first.sent_to.get().cloned());
        hedge
    }

    /// Returns the maximum wait for a permit. The comparison policy waits until the deadline.
    fn slack(&self) -> Duration {
        let remaining = self.cx.remaining();
        if self.cx.shared.settings.baseline {
            return remaining;
        }
        slack_for(remaining, self.rest)
    }

    /// Returns the delay before the next retry, or `None` if the stage must not or cannot be retried.
    ///
    /// A non-idempotent call is retried only if the previous attempt was provably not sent.
    fn retry_delay(&self, failure: &AttemptFailure, attempts: &Attempts) -> Option<Duration> {
        let may_repeat = self.plan.idempotent || failure.run_state() == RunState::NotRun;
        if !may_repeat || !is_retryable(failure) {
            return None;
        }
        let remaining = self.cx.remaining();
        let delay = retry_delay(
            attempts.count,
            remaining,
            &self.plan.timing,
            &mut rand::rng(),
        )?;
        (delay < remaining && self.plan.policy.try_spend_retry()).then_some(delay)
    }

    fn to_failure(&self, failure: &AttemptFailure) -> Failure {
        let stage = &self.plan.stage;
        match failure {
            AttemptFailure::Refused(refusal) => {
                let kind = self.problem_kind(refusal.reason);
                let detail = format!("stage {stage}: {}", refusal_text(refusal.reason));
                self.cx
                    .failure(kind, detail)
                    .with_retry_after(refusal.retry_after)
            }
            AttemptFailure::Call(error) if error.kind == CallErrorKind::TimedOut => {
                self.cx.deadline_exceeded()
            }
            AttemptFailure::Call(error) => {
                let detail = format!("stage {stage}: {error}");
                let failure = self.cx.failure(ProblemKind::UpstreamFailed, detail);
                match error.kind {
                    // The same call would be rejected again.
                    CallErrorKind::Rejected(_) => failure,
                    _ => failure.with_retry_after(RETRY_AFTER),
                }
            }
        }
    }

    fn problem_kind(&self, reason: RefusalReason) -> ProblemKind {
        match reason {
            RefusalReason::TooLate if self.cx.run_state() == RunState::NotRun => {
                ProblemKind::CannotFinish
            }
            RefusalReason::TooLate => ProblemKind::DeadlineExceeded,
            RefusalReason::QueueFull
            | RefusalReason::NoUpstream
            | RefusalReason::HomeUnreachable => ProblemKind::Overloaded,
            RefusalReason::Quarantined => ProblemKind::Quarantined,
            RefusalReason::OverLimit => ProblemKind::OverLimit,
        }
    }

    fn service(&self) -> String {
        self.plan.service.as_str().to_owned()
    }
}

/// Returns the first successful result of two attempts, and cancels the other one by dropping it.
async fn first_success<T, A, B>(primary: A, hedge: B) -> Result<AttemptSuccess<T>, AttemptFailure>
where
    A: Future<Output = Result<AttemptSuccess<T>, AttemptFailure>> + Unpin,
    B: Future<Output = Result<AttemptSuccess<T>, AttemptFailure>> + Unpin,
{
    match select(primary, hedge).await {
        Either::Left((Ok(success), other)) => {
            drop_loser(other);
            Ok(success)
        }
        Either::Right((Ok(success), other)) => {
            drop_loser(other);
            Ok(success)
        }
        Either::Left((Err(failure), other)) => other
            .await
            .map_err(|second| more_informative(failure, second)),
        Either::Right((Err(failure), other)) => other
            .await
            .map_err(|first| more_informative(first, failure)),
    }
}

/// Drops the losing attempt, and counts it as a late result if it had completed as well.
fn drop_loser<T>(loser: impl Future<Output = Result<AttemptSuccess<T>, AttemptFailure>>) {
    if let Some(Ok(_late)) = loser.now_or_never() {
        metrics::counter!("tc_late_results_total").increment(1);
    }
}

/// Returns true if a retry may succeed. Refusals are final, so that the caller learns of them immediately. The exception
/// is an unreachable home, which may be replaced a moment later.
fn is_retryable(failure: &AttemptFailure) -> bool {
    match failure {
        AttemptFailure::Refused(refusal) => refusal.reason == RefusalReason::HomeUnreachable,
        AttemptFailure::Call(error) => !matches!(
            error.kind,
            CallErrorKind::Rejected(_) | CallErrorKind::TooLarge | CallErrorKind::TimedOut
        ),
    }
}

/// Returns the more informative of two failures: a call that may have run takes precedence over one that did not.
fn more_informative(first: AttemptFailure, second: AttemptFailure) -> AttemptFailure {
    match (&first, &second) {
        (AttemptFailure::Refused(_), AttemptFailure::Call(_)) => second,
        _ if second.run_state() > first.run_state() => second,
        _ => first,
    }
}

fn failure_text(failure: &AttemptFailure) -> String {
    match failure {
        AttemptFailure::Refused(refusal) => refusal_text(refusal.reason).to_owned(),
        AttemptFailure::Call(error) => error.to_string(),
    }
}

const fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TooLate => "it could not have started in time",
        RefusalReason::QueueFull => "the workspace's queue is full",
        RefusalReason::NoUpstream => "no upstream may be used now",
        RefusalReason::HomeUnreachable => "the instance that grants its permits cannot be reached",
        RefusalReason::Quarantined => "this input crashed upstreams before and is quarantined",
        RefusalReason::OverLimit => "the workspace's limit is used up",
    }
}
