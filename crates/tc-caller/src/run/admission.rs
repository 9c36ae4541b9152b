//! Admission of requests: workspace limits, throttling and deadlines.

use std::time::Duration;

use tc_policy::StageEstimate;
use tc_protocol::{Decision, ProblemKind};

use crate::{
    http::Failure,
    run::{context::RequestContext, plan::StagePlan},
};

/// Starts the request within its workspace's limits, or refuses it if they are used up.
pub(crate) fn start_request(cx: &RequestContext) -> Result<(), Failure> {
    match (cx.shared.ports.start_request)(&cx.workspace) {
        Ok(guard) => {
            cx.set_limit_guard(guard);
            Ok(())
        }
        Err(after) => Err(cx
            .failure(ProblemKind::OverLimit, "the workspace's limit is used up")
            .with_retry_after(after)),
    }
}

/// Refuses a request whose stages are not expected to finish before its deadline: it would take capacity from others
/// without producing a usable result.
pub(crate) fn admit(cx: &RequestContext, plans: &[StagePlan]) -> Result<(), Failure> {
    let remaining = cx.remaining();
    let estimates: Vec<StageEstimate> = plans.iter().map(|p| p.timing).collect();
    let estimate = if cx.shared.settings.baseline {
        Duration::ZERO
    } else {
        cx.shared.throttles.admit(cx)?;
        tc_policy::admit(remaining, &estimates).map_err(|after| {
            cx.failure(
                ProblemKind::CannotFinish,
                "the stages are not expected to finish before the deadline",
            )
            .with_retry_after(after)
        })?
    };
    cx.record(Decision::Admitted {
        budget_ms: remaining.as_millis() as u64,
        estimate_ms: estimate.as_secs_f64() * 1e3,
    });
    Ok(())
}
