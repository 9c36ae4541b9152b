//! Finds the instance that may run a request with an idempotency key.

use std::net::SocketAddr;

use tc_protocol::{FleetView, InstanceId, MemberState, ProblemKind, RunState};

use crate::http::{Binding, Failure};

/// The instance that must handle a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyOwner {
    /// This instance.
    Local,
    /// The instance at this caller address.
    Remote(SocketAddr),
}

/// Returns the instance that owns a key bound to `binding`.
///
/// Only the process with that incarnation knows whether it has run the key. If it has ended, running the key here could
/// run it a second time, so the request fails with the run state `unknown`. With `not_run` the caller would resend the
/// request, and it could take effect twice, such as billing a mechanic twice.
///
/// A request that was already forwarded is not forwarded again.
pub(crate) fn key_owner(
    view: &FleetView,
    binding: &Binding,
    forwarded: bool,
) -> Result<KeyOwner, Failure> {
    if binding.instance == view.me.id && binding.incarnation == view.me.incarnation {
        return Ok(KeyOwner::Local);
    }
    let member = view.member(&binding.instance);
    let owner = member
        .filter(|m| m.incarnation == binding.incarnation && m.state != MemberState::Dead)
        .filter(|m| m.id != view.me.id);
    match owner {
        Some(member) if !forwarded => Ok(KeyOwner::Remote(member.caller_address)),
        _ => Err(owner_unreachable(&binding.instance)),
    }
}

/// Returns the failure for a key that is bound to an unreachable instance.
pub(crate) fn owner_unreachable(instance: &InstanceId) -> Failure {
    Failure::new(
        ProblemKind::OutcomeUnknown,
        RunState::Unknown,
        format!("the key is bound to {instance}, which cannot be asked whether it ran it"),
    )
}
