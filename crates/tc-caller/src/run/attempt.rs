//! One attempt of a stage: requests a permit, calls the upstream and settles the permit.

use std::{future::Future, net::SocketAddr, sync::Arc, sync::OnceLock, time::Duration};

use tc_protocol::{
    Attempt, Decision, Outcome, Permit, PermitRefusal, PermitRequest, RefusalReason, RunState,
    UpstreamId,
};
use tc_upstream::{CallError, CallErrorKind};

use crate::run::{
    context::RequestContext,
    permit_guard::{CallEnd, PermitGuard},
    plan::{InputProperties, StagePlan},
};

const FIRST_ATTEMPT: Attempt = Attempt(0);

/// The upstream that an attempt was granted, and the time remaining for the call.
#[derive(Clone)]
pub(crate) struct CallTarget {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) attempt: Attempt,
    pub(crate) remaining: Duration,
}

/// An attempt that returned a result. Its permit is still held.
pub(crate) struct AttemptSuccess<T> {
    pub(crate) value: T,
    pub(crate) permit_guard: PermitGuard,
    pub(crate) target: CallTarget,
}

/// An attempt without a result: its permit was refused or its call failed.
pub(crate) enum AttemptFailure {
    Refused(PermitRefusal),
    Call(CallError),
}

impl AttemptFailure {
    pub(crate) fn run_state(&self) -> RunState {
        match self {
            Self::Refused(_) => RunState::NotRun,
            Self::Call(error) => error.run_state,
        }
    }
}

/// One attempt of a stage, and the upstream it was sent to, which later attempts exclude.
pub(crate) struct AttemptState {
    pub(crate) attempt: Attempt,
    pub(crate) excluded: Vec<UpstreamId>,
    /// Maximum wait for a permit.
    pub(crate) slack: Duration,
    /// Set once the permit is granted and the call is about to be sent.
    pub(crate) sent_to: OnceLock<UpstreamId>,
}

pub(crate) async fn run_attempt<T, F, Fut>(
    cx: &Arc<RequestContext>,
    plan: &StagePlan,
    input_properties: &InputProperties,
    state: &AttemptState,
    call: &F,
) -> Result<AttemptSuccess<T>, AttemptFailure>
where
    F: Fn(CallTarget) -> Fut,
    Fut: Future<Output = Result<T, CallError>>,
{
    let permit =
        (cx.shared.ports.request_permit)(permit_request(cx, plan, input_properties, state))
            .await
            .map_err(|refusal| record_refusal(cx, plan, state, refusal))?;
    let target = record_grant(cx, plan, state, &permit);
    if target.remaining.is_zero() {
        // The permit was granted after the deadline. Dropping it returns it as unused.
        return Err(AttemptFailure::Refused(PermitRefusal {
            reason: RefusalReason::TooLate,
            retry_after: Duration::ZERO,
        }));
    }
    if state.attempt == FIRST_ATTEMPT {
        // Only first attempts add to the budget for hedges and retries.
        plan.policy.record_call();
    }
    let permit_guard = PermitGuard::new(cx.clone(), plan.stage.clone(), state.attempt, permit);
    let _ = state.sent_to.set(target.upstream.clone());
    match call(target.clone()).await {
        Ok(value) => Ok(AttemptSuccess {
            value,
            permit_guard,
            target,
        }),
        Err(error) => {
            settle_failed(cx, input_properties, permit_guard, &error).await;
            Err(AttemptFailure::Call(error))
        }
    }
}

fn record_grant(
    cx: &RequestContext,
    plan: &StagePlan,
    state: &AttemptState,
    permit: &Permit,
) -> CallTarget {
    let grant = permit.grant();
    cx.record(Decision::Granted {
        stage: plan.stage.clone(),
        attempt: state.attempt,
        upstream: grant.upstream.clone(),
        why: permit.selection_reason().to_owned(),
        waited_ms: grant.waited.as_secs_f64() * 1e3,
    });
    CallTarget {
        upstream: grant.upstream.clone(),
        address: grant.address,
        attempt: state.attempt,
        remaining: cx.remaining(),
    }
}

fn permit_request(
    cx: &RequestContext,
    plan: &StagePlan,
    input_properties: &InputProperties,
    state: &AttemptState,
) -> PermitRequest {
    PermitRequest {
        request: cx.id.clone(),
        attempt: state.attempt,
        workspace: cx.workspace.clone(),
        service: plan.service.clone(),
        priority: cx.priority,
        slack: state.slack,
        run_for: cx.remaining(),
        estimate: input_properties.estimate,
        prefix: input_properties.prefix,
        fingerprint: input_properties.fingerprint,
        excluded: state.excluded.clone(),
    }
}

fn record_refusal(
    cx: &RequestContext,
    plan: &StagePlan,
    state: &AttemptState,
    refusal: PermitRefusal,
) -> AttemptFailure {
    cx.record(Decision::PermitRefused {
        stage: plan.stage.clone(),
        attempt: state.attempt,
        reason: refusal.reason,
    });
    AttemptFailure::Refused(refusal)
}

/// Settles a failed call, and waits until a suspected crash has been reported.
///
/// Inputs that crash upstreams are quarantined based on these reports. If the caller got its response first, its resend
/// could overtake the report and crash one more upstream, so that a service would lose its upstreams one after the
/// other. A call that was provably not sent cannot have caused a crash and is not reported.
pub(crate) async fn settle_failed(
    cx: &RequestContext,
    input_properties: &InputProperties,
    permit_guard: PermitGuard,
    error: &CallError,
) {
    if error.kind == CallErrorKind::WrongIdentity {
        metrics::counter!("tc_late_results_total").increment(1);
    }
    let cost = permit_guard.time_cost();
    permit_guard.settle(&CallEnd {
        outcome: error.outcome,
        run_state: error.run_state,
        cost,
        wasted: true,
    });
    if error.outcome == Outcome::Died && error.run_state != RunState::NotRun {
        (cx.shared.ports.report_crash)(input_properties.fingerprint, error.upstream.clone()).await;
    }
}
