//! One attempt of a stage: ask for a permit, call, settle.

use std::{future::Future, net::SocketAddr, sync::Arc, sync::OnceLock, time::Duration};

use tc_protocol::{
    Attempt, Decision, Outcome, Permit, PermitRefusal, PermitRequest, RefusalReason, RunState,
    UpstreamId,
};
use tc_upstream::{CallError, CallErrorKind};

use crate::run::{
    context::RequestContext,
    hold::{CallEnd, PermitHold},
    plan::{InputFacts, StagePlan},
};

/// The attempt that every stage begins with.
const FIRST_ATTEMPT: Attempt = Attempt(0);

/// Where a granted attempt goes.
#[derive(Clone)]
pub(crate) struct CallTarget {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) attempt: Attempt,
    pub(crate) remaining: Duration,
}

/// An attempt that brought a result; its permit is still held.
pub(crate) struct Won<T> {
    pub(crate) value: T,
    pub(crate) hold: PermitHold,
    pub(crate) target: CallTarget,
}

/// An attempt that brought none.
pub(crate) enum Lost {
    Refused(PermitRefusal),
    Call(CallError),
}

impl Lost {
    pub(crate) fn run_state(&self) -> RunState {
        match self {
            Self::Refused(_) => RunState::NotRun,
            Self::Call(error) => error.run_state,
        }
    }
}

/// One try of a stage, and what the others of the same stage need to know of it.
pub(crate) struct Try {
    pub(crate) attempt: Attempt,
    pub(crate) avoid: Vec<UpstreamId>,
    /// Longest wait for a permit.
    pub(crate) slack: Duration,
    /// Set once a permit was granted and the call is about to be sent.
    pub(crate) sent_to: OnceLock<UpstreamId>,
}

pub(crate) async fn attempt<T, F, Fut>(
    cx: &Arc<RequestContext>,
    plan: &StagePlan,
    facts: &InputFacts,
    this: &Try,
    call: &F,
) -> Result<Won<T>, Lost>
where
    F: Fn(CallTarget) -> Fut,
    Fut: Future<Output = Result<T, CallError>>,
{
    let permit = (cx.shared.ports.request_permit)(ask_for(cx, plan, facts, this))
        .await
        .map_err(|refusal| refused(cx, plan, this, refusal))?;
    let target = granted(cx, plan, this, &permit);
    if target.remaining.is_zero() {
        // The grant came after the deadline: dropping the permit gives it back as unused.
        return Err(Lost::Refused(PermitRefusal {
            reason: RefusalReason::TooLate,
            retry_after: Duration::ZERO,
        }));
    }
    if this.attempt == FIRST_ATTEMPT {
        // Extra calls earn no further ones.
        plan.policy.note_call();
    }
    let hold = PermitHold::new(cx.clone(), plan.stage.clone(), this.attempt, permit);
    let _ = this.sent_to.set(target.upstream.clone());
    match call(target.clone()).await {
        Ok(value) => Ok(Won {
            value,
            hold,
            target,
        }),
        Err(error) => {
            fail(cx, facts, hold, &error).await;
            Err(Lost::Call(error))
        }
    }
}

fn granted(cx: &RequestContext, plan: &StagePlan, this: &Try, permit: &Permit) -> CallTarget {
    let grant = permit.grant();
    cx.note(Decision::Granted {
        stage: plan.stage.clone(),
        attempt: this.attempt,
        upstream: grant.upstream.clone(),
        why: permit.selection_reason().to_owned(),
        waited_ms: grant.waited.as_secs_f64() * 1e3,
    });
    CallTarget {
        upstream: grant.upstream.clone(),
        address: grant.address,
        attempt: this.attempt,
        remaining: cx.remaining(),
    }
}

fn ask_for(cx: &RequestContext, plan: &StagePlan, facts: &InputFacts, this: &Try) -> PermitRequest {
    PermitRequest {
        request: cx.id.clone(),
        attempt: this.attempt,
        workspace: cx.workspace.clone(),
        service: plan.service.clone(),
        priority: cx.priority,
        slack: this.slack,
        run_for: cx.remaining(),
        estimate: facts.estimate,
        prefix: facts.prefix,
        fingerprint: facts.fingerprint,
        excluded: this.avoid.clone(),
    }
}

fn refused(cx: &RequestContext, plan: &StagePlan, this: &Try, refusal: PermitRefusal) -> Lost {
    cx.note(Decision::PermitRefused {
        stage: plan.stage.clone(),
        attempt: this.attempt,
        reason: refusal.reason,
    });
    Lost::Refused(refusal)
}

/// Settles a failed call, and waits until a suspected crash has been reported.
///
/// An input that crashes upstreams is quarantined from these reports. Were the caller answered first, its resend could
/// overtake the report and take down one upstream more, seen as a service that loses upstreams one after the other. A
/// call that was provably not sent can't have been the cause and is not reported.
pub(crate) async fn fail(
    cx: &RequestContext,
    facts: &InputFacts,
    hold: PermitHold,
    error: &CallError,
) {
    if error.kind == CallErrorKind::WrongIdentity {
        metrics::counter!("tc_late_results_total").increment(1);
    }
    let cost = hold.time_cost();
    hold.settle(&CallEnd {
        outcome: error.outcome,
        run_state: error.run_state,
        cost,
        wasted: true,
    });
    if error.outcome == Outcome::Died && error.run_state != RunState::NotRun {
        (cx.shared.ports.report_crash)(facts.fingerprint, error.upstream.clone()).await;
    }
}
