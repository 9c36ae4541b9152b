//! Which instance may run a key.

use std::net::SocketAddr;

use tc_protocol::{FleetView, InstanceId, MemberState, ProblemKind, RunState};

use crate::http::{Binding, Failure};

/// Where a request must be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyOwner {
    /// Here.
    Local,
    /// At another instance.
    Remote(SocketAddr),
}

/// Where a key bound to `binding` may run.
///
/// Only that life of that process knows whether it has run the key. When it is gone, nobody does, and running it here
/// could double it; the caller is told so. Told `not run`, it would send it again, seen as a mechanic billed twice.
pub(crate) fn key_owner(
    view: &FleetView,
    binding: &Binding,
    forwarded: bool,
) -> Result<KeyOwner, Failure> {
    if binding.instance == view.me.id && binding.incarnation == view.me.incarnation {
        return Ok(KeyOwner::Local);
    }
    let member = view.member(&binding.instance);
    let alive = member
        .filter(|m| m.incarnation == binding.incarnation && m.state != MemberState::Dead)
        .filter(|m| m.id != view.me.id);
    match alive {
        Some(member) if !forwarded => Ok(KeyOwner::Remote(member.caller_address)),
        _ => Err(owner_unreachable(&binding.instance)),
    }
}

/// What a caller is told whose key is bound to an instance that cannot be asked.
pub(crate) fn owner_unreachable(instance: &InstanceId) -> Failure {
    Failure::new(
        ProblemKind::OutcomeUnknown,
        RunState::Unknown,
        format!("the key is bound to {instance}, which cannot be asked whether it ran it"),
    )
}
