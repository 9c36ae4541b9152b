//! Checks an answer's header: whose it is and what its status says.

use http::{StatusCode, response};
use tc_protocol::{Outcome, RunState, ServiceKind, wire::RUN_STATE};

use crate::{
    error::{CallError, CallErrorKind},
    identity::{Echo, Identity},
    site::CallSite,
};

/// Passes a successful answer to this very call; turns anything else into its error.
pub(crate) fn check_head(
    site: &CallSite,
    kind: ServiceKind,
    identity: &Identity,
    head: &response::Parts,
) -> Result<(), CallError> {
    let echo = identity.compare(&head.headers);
    if echo == Echo::Other || (echo == Echo::Absent && head.status.is_success()) {
        log::warn!(upstream = site.upstream.as_str(); "answer dropped: it is for another call");
        return Err(site.error(
            CallErrorKind::WrongIdentity,
            RunState::Unknown,
            Outcome::Failed,
            format!("the answer's identity is {echo:?}"),
        ));
    }
    if head.status.is_success() {
        return Ok(());
    }
    Err(status_error(site, kind, echo, head))
}

fn status_error(
    site: &CallSite,
    kind: ServiceKind,
    echo: Echo,
    head: &response::Parts,
) -> CallError {
    let run_state = match echo {
        Echo::Ours if promises_not_run(kind, head) => RunState::NotRun,
        Echo::Ours => RunState::Ran,
        Echo::Absent | Echo::Other => RunState::Unknown,
    };
    let detail = format!("answered {}", head.status);
    let status = head.status.as_u16();
    match outcome_of(head.status) {
        Outcome::Answered => site.malformed(run_state, detail),
        Outcome::Rejected => site.error(
            CallErrorKind::Rejected(status),
            run_state,
            Outcome::Rejected,
            detail,
        ),
        outcome => site.error(CallErrorKind::Failed(status), run_state, outcome, detail),
    }
}

/// What a status says of the upstream. "Come back later" statuses are not the call's fault.
pub(crate) fn outcome_of(status: StatusCode) -> Outcome {
    match status {
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Failed,
        s if s.is_client_error() => Outcome::Rejected,
        s if s.is_server_error() => Outcome::Failed,
        _ => Outcome::Answered,
    }
}

/// Whether the upstream's word that it did not run the call may be believed.
///
/// Only an engine that says so with "no room" is: it refuses before it starts. A 500 with the same header may come
/// from a run that failed half-way, and a plain service does not know this protocol. Believing them would tell a
/// caller "not run" for a call that did, noticed as a repeat that doubles an effect.
fn promises_not_run(kind: ServiceKind, head: &response::Parts) -> bool {
    let refuses = matches!(
        head.status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    let says_so = head
        .headers
        .get(RUN_STATE)
        .is_some_and(|value| value == RunState::NotRun.as_str());
    kind == ServiceKind::Engine && refuses && says_so
}
