//! A stage's attempts: the first, at most one hedge beside it, and retries after them.

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
        attempt::{CallTarget, Lost, Try, Won, attempt},
        context::RequestContext,
        plan::{InputFacts, StagePlan},
    },
};

/// A stage and what follows it, as far as dispatching it is concerned.
pub(crate) struct Dispatch<'a> {
    pub(crate) cx: &'a Arc<RequestContext>,
    pub(crate) plan: &'a StagePlan,
    pub(crate) facts: &'a InputFacts,
    /// Estimates of this stage and those after it.
    pub(crate) rest: &'a [StageEstimate],
    /// Time until a call brings what is waited for here: the whole result or a stream's first item.
    pub(crate) until_result: &'a StageEstimate,
}

/// What the stage's attempts came to so far.
#[derive(Default)]
pub(crate) struct Tries {
    pub(crate) count: u32,
    avoid: Vec<UpstreamId>,
}

impl Dispatch<'_> {
    /// Runs `call` on one upstream after the other until one brings a result, within the service's budgets.
    pub(crate) async fn run<T, F, Fut>(&self, tries: &mut Tries, call: F) -> Result<Won<T>, Failure>
    where
        F: Fn(CallTarget) -> Fut,
        Fut: Future<Output = Result<T, CallError>>,
    {
        let mut failed: Option<Lost> = None;
        loop {
            let lost = match self.race(tries, &call).await {
                Ok(won) => return Ok(won),
                Err(lost) => lost,
            };
            let Some(delay) = self.retry_after(&lost, tries) else {
                // A refusal for want of another upstream is no news beside the call that failed before it.
                return Err(self.give_up(failed.as_ref().unwrap_or(&lost)));
            };
            metrics::counter!("tc_retries_total", "service" => self.service()).increment(1);
            self.cx.note(Decision::Retried {
                stage: self.plan.stage.clone(),
                after: describe(&lost),
            });
            failed = matches!(lost, Lost::Call(_)).then_some(lost).or(failed);
            tokio::time::sleep(delay).await;
        }
    }

    /// One attempt, and a hedge beside it once it is slow.
    async fn race<T, F, Fut>(&self, tries: &mut Tries, call: &F) -> Result<Won<T>, Lost>
    where
        F: Fn(CallTarget) -> Fut,
        Fut: Future<Output = Result<T, CallError>>,
    {
        let first = self.next_try(tries);
        let mut primary = Box::pin(attempt(self.cx, self.plan, self.facts, &first, call));
        let settled = match self.hedge_delay() {
            Some(delay) => self.until_slow(&mut primary, &first, delay).await,
            None => Some(primary.as_mut().await),
        };
        let result = if let Some(result) = settled {
            result
        } else {
            let hedge = self.next_try_beside(tries, &first);
            let second = Box::pin(attempt(self.cx, self.plan, self.facts, &hedge, call));
            let result = first_whole(primary, second).await;
            tries.avoid.extend(hedge.sent_to.get().cloned());
            result
        };
        tries.avoid.extend(first.sent_to.get().cloned());
        result
    }

    /// Waits for the first attempt; `None` once a hedge should start beside it.
    async fn until_slow<T, P>(
        &self,
        primary: &mut P,
        first: &Try,
        delay: Duration,
    ) -> Option<Result<Won<T>, Lost>>
    where
        P: Future<Output = Result<Won<T>, Lost>> + Unpin,
    {
        loop {
            tokio::select! {
                biased;
                result = &mut *primary => return Some(result),
                () = tokio::time::sleep(delay) => {}
            }
            // Still waiting for a permit: a second ask would only wait in another queue.
            if first.sent_to.get().is_none() {
                continue;
            }
            if !self.plan.policy.spend_hedge() {
                return Some(primary.await);
            }
            metrics::counter!("tc_hedges_total", "service" => self.service()).increment(1);
            self.cx.note(Decision::Hedged {
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

    fn next_try(&self, tries: &mut Tries) -> Try {
        let attempt = Attempt(tries.count);
        tries.count += 1;
        Try {
            attempt,
            avoid: tries.avoid.clone(),
            slack: self.slack(),
            sent_to: OnceLock::new(),
        }
    }

    fn next_try_beside(&self, tries: &mut Tries, first: &Try) -> Try {
        let mut hedge = self.next_try(tries);
        hedge.avoid.extend(first.sent_to.get().cloned());
        hedge
    }

    /// Longest wait for a permit; the comparison policy waits until the deadline.
    fn slack(&self) -> Duration {
        let remaining = self.cx.remaining();
        if self.cx.shared.settings.baseline {
            return remaining;
        }
        slack_for(remaining, self.rest)
    }

    /// When to try again, or `None` when the stage must not or cannot be tried again.
    ///
    /// A call that is not idempotent is dispatched again only if the one before was provably not sent.
    fn retry_after(&self, lost: &Lost, tries: &Tries) -> Option<Duration> {
        let may_repeat = self.plan.idempotent || lost.run_state() == RunState::NotRun;
        if !may_repeat || !may_help(lost) {
            return None;
        }
        let remaining = self.cx.remaining();
        let delay = retry_delay(tries.count, remaining, &self.plan.timing, &mut rand::rng())?;
        (delay < remaining && self.plan.policy.spend_retry()).then_some(delay)
    }

    fn give_up(&self, lost: &Lost) -> Failure {
        let stage = &self.plan.stage;
        match lost {
            Lost::Refused(refusal) => {
                let kind = self.kind_of(refusal.reason);
                let detail = format!("stage {stage}: {}", words(refusal.reason));
                self.cx
                    .failure(kind, detail)
                    .with_retry_after(refusal.retry_after)
            }
            Lost::Call(error) if error.kind == CallErrorKind::TimedOut => self.cx.past_deadline(),
            Lost::Call(error) => {
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

    fn kind_of(&self, reason: RefusalReason) -> ProblemKind {
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

/// The first whole result of two attempts; the other is cancelled by dropping it.
async fn first_whole<T, A, B>(primary: A, hedge: B) -> Result<Won<T>, Lost>
where
    A: Future<Output = Result<Won<T>, Lost>> + Unpin,
    B: Future<Output = Result<Won<T>, Lost>> + Unpin,
{
    match select(primary, hedge).await {
        Either::Left((Ok(won), other)) => {
            drop_late(other);
            Ok(won)
        }
        Either::Right((Ok(won), other)) => {
            drop_late(other);
            Ok(won)
        }
        Either::Left((Err(lost), other)) => other.await.map_err(|second| worse(lost, second)),
        Either::Right((Err(lost), other)) => other.await.map_err(|first| worse(first, lost)),
    }
}

/// Drops the losing attempt; one that had its result ready as well is counted.
fn drop_late<T>(loser: impl Future<Output = Result<Won<T>, Lost>>) {
    if let Some(Ok(_late)) = loser.now_or_never() {
        metrics::counter!("tc_late_results_total").increment(1);
    }
}

/// Whether another try could end better. Refusals are final, so that the caller hears of them at once; only a home
/// that could not be reached may have been replaced a moment later.
fn may_help(lost: &Lost) -> bool {
    match lost {
        Lost::Refused(refusal) => refusal.reason == RefusalReason::HomeUnreachable,
        Lost::Call(error) => !matches!(
            error.kind,
            CallErrorKind::Rejected(_) | CallErrorKind::TooLarge | CallErrorKind::TimedOut
        ),
    }
}

/// Of two failures the one that says more: a call that may have run goes before one that did not.
fn worse(first: Lost, second: Lost) -> Lost {
    match (&first, &second) {
        (Lost::Refused(_), Lost::Call(_)) => second,
        _ if second.run_state() > first.run_state() => second,
        _ => first,
    }
}

fn describe(lost: &Lost) -> String {
    match lost {
        Lost::Refused(refusal) => words(refusal.reason).to_owned(),
        Lost::Call(error) => error.to_string(),
    }
}

const fn words(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TooLate => "it could not have started in time",
        RefusalReason::QueueFull => "the workspace's queue is full",
        RefusalReason::NoUpstream => "no upstream may be used now",
        RefusalReason::HomeUnreachable => "the instance that grants its permits cannot be reached",
        RefusalReason::Quarantined => "this input crashed upstreams before and is quarantined",
        RefusalReason::OverLimit => "the workspace's limit is used up",
    }
}
