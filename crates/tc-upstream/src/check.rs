//! Checks the identity and the status of a response header.

use http::{StatusCode, response};
use tc_protocol::{Outcome, RunState, ServiceKind, wire::RUN_STATE};

use crate::{
    call_context::CallContext,
    error::{CallError, CallErrorKind},
    identity::{Echo, Identity},
};

/// Returns `Ok` for a successful response to this call, and the matching error for any other response.
pub(crate) fn check_head(
    context: &CallContext,
    kind: ServiceKind,
    identity: &Identity,
    head: &response::Parts,
) -> Result<(), CallError> {
    let echo = identity.compare(&head.headers);
    if echo == Echo::Other || (echo == Echo::Absent && head.status.is_success()) {
        log::warn!(upstream = context.upstream.as_str(); "response dropped: it does not name this call");
        return Err(context.error(
            CallErrorKind::WrongIdentity,
            RunState::Unknown,
            Outcome::Failed,
            format!("the answer's identity is {echo:?}"),
        ));
    }
    if head.status.is_success() {
        return Ok(());
    }
    Err(status_error(context, kind, echo, head))
}

fn status_error(
    context: &CallContext,
    kind: ServiceKind,
    echo: Echo,
    head: &response::Parts,
) -> CallError {
    let run_state = match echo {
        Echo::Match if confirms_not_run(kind, head) => RunState::NotRun,
        Echo::Match => RunState::Ran,
        Echo::Absent | Echo::Other => RunState::Unknown,
    };
    let detail = format!("answered {}", head.status);
    let status = head.status.as_u16();
    match outcome_of(head.status) {
        Outcome::Answered => context.malformed(run_state, detail),
        Outcome::Rejected => context.error(
            CallErrorKind::Rejected(status),
            run_state,
            Outcome::Rejected,
            detail,
        ),
        outcome => context.error(CallErrorKind::Failed(status), run_state, outcome, detail),
    }
}

/// Returns the outcome for a status. 408 and 429 ask for a retry, so they do not count as `Rejected`.
pub(crate) fn outcome_of(status: StatusCode) -> Outcome {
    match status {
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Failed,
        s if s.is_client_error() => Outcome::Rejected,
        s if s.is_server_error() => Outcome::Failed,
        _ => Outcome::Answered,
    }
}

/// Returns whether the response proves that the upstream did not run the call.
///
/// Only the `not_run` header of an engine without free capacity (429 or 503) is trusted, as the engine refuses such a
/// call before it starts. A 500 with this header may come from a run that failed halfway, and a plain service does not
/// know this protocol. Trusting them would report "not run" for a call that ran, and a retry would repeat its side
/// effect.
fn confirms_not_run(kind: ServiceKind, head: &response::Parts) -> bool {
    let has_no_capacity = matches!(
        head.status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    let reports_not_run = head
        .headers
        .get(RUN_STATE)
        .is_some_and(|value| value == RunState::NotRun.as_str());
    kind == ServiceKind::Engine && has_no_capacity && reports_not_run
}
