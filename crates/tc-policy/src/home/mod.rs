//! The home of one upstream: who may call it, and in what order.
//!
//! The home grants every permit of its upstream, so it knows exactly what is in flight; the upstream's own load report
//! only corrects it.

mod concurrency;
mod foreign;
mod health;
mod permits;
mod queue;
mod state;
mod updates;
mod view;

use std::time::Duration;

use tc_protocol::{Cost, Fingerprint, InstanceId, PermitId, RefusalReason, WorkspaceName};

pub use queue::QueuedRequestKey;
pub use state::Home;

/// What a home starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeConfig {
    /// Calls the upstream runs at once at most.
    pub slots: u32,
    /// Asks one workspace may have waiting.
    pub queue_per_workspace: u32,
    /// How long after the end of its call's time a permit ends that was not released.
    pub grace: Duration,
    /// First permit identifier; they count up from here, so that homes after each other do not give the same.
    pub first_permit: u64,
}

/// One ask for a permit, as the home needs it.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// The instance that will call the upstream.
    pub entry: InstanceId,
    /// The workspace that is charged.
    pub workspace: WorkspaceName,
    /// The workspace's share relative to others.
    pub weight: u32,
    /// 0 (most urgent) to 7.
    pub priority: u8,
    /// Longest it may wait.
    pub slack: Duration,
    /// How long the call may run.
    pub run_for: Duration,
    /// Estimated cost. `busy_ms` is the service time usual for a call of its size, or 0: a long call that was expected
    /// to be long is no sign of a slow upstream.
    pub estimate: Cost,
    /// Identifies the input.
    pub fingerprint: Fingerprint,
    /// Whether the entry can ask elsewhere when told to.
    pub may_redirect: bool,
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// It may run now.
    Granted {
        /// The permit.
        permit: PermitId,
        /// How long the permit lasts.
        expires_in: Duration,
    },
    /// It waits; [`Home::poll`] tells what becomes of it.
    Queued(QueuedRequestKey),
    /// It cannot start here in time, or clearly later than elsewhere. Nothing of it is kept here.
    Redirect {
        /// Expected wait here.
        wait: Duration,
    },
    /// It is refused. Nothing of it is kept here.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When asking again may help.
        retry_after: Duration,
    },
}

/// What became of a waiting ask or a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeEvent {
    /// A waiting ask may run now.
    Granted {
        /// The ask.
        request: QueuedRequestKey,
        /// The permit.
        permit: PermitId,
        /// How long the permit lasts.
        expires_in: Duration,
        /// How long the ask waited.
        waited: Duration,
    },
    /// A waiting ask is refused.
    Dropped {
        /// The ask.
        request: QueuedRequestKey,
        /// Why.
        reason: RefusalReason,
        /// When asking again may help.
        retry_after: Duration,
    },
    /// A permit ended without a release.
    Expired {
        /// The permit.
        permit: PermitId,
        /// The instance that held it.
        entry: InstanceId,
    },
}

/// A permit that is granted and not released.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldPermit {
    /// The permit.
    pub permit: PermitId,
    /// The instance that holds it.
    pub entry: InstanceId,
    /// The workspace that is charged.
    pub workspace: WorkspaceName,
    /// How long it lasts.
    pub expires_in: Duration,
    /// Estimated cost.
    pub estimate: Cost,
    /// Identifies the input.
    pub fingerprint: Fingerprint,
}
