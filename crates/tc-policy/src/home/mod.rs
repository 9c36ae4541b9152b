//! The home of one upstream, which decides who may call the upstream and in what order.
//!
//! The home grants all permits for its upstream, so it knows exactly which calls are in flight. The upstream's own load
//! reports only correct that view.

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

/// Initial configuration of a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeConfig {
    /// Maximum number of concurrent calls to the upstream.
    pub slots: u32,
    /// Maximum number of waiting requests per workspace.
    pub queue_per_workspace: u32,
    /// Time after the end of a call's allowed run time at which an unreleased permit expires.
    pub grace: Duration,
    /// First permit identifier. Identifiers count up from here, so that successive homes do not reuse them.
    pub first_permit: u64,
}

/// A request to the home of an upstream for a permit to call it.
#[derive(Clone, Debug)]
pub struct HomePermitRequest {
    /// The instance that will call the upstream.
    pub entry: InstanceId,
    /// The workspace that is charged.
    pub workspace: WorkspaceName,
    /// The workspace's weight relative to others.
    pub weight: u32,
    /// From 0 (most urgent) to 7.
    pub priority: u8,
    /// Maximum time for which the request may wait.
    pub slack: Duration,
    /// Maximum duration of the call.
    pub run_for: Duration,
    /// Estimated cost. `busy_ms` is the typical service time of a call of this size, or 0 if unknown. A call that was
    /// expected to take long does not indicate a slow upstream.
    pub estimate: Cost,
    /// Identifies the input.
    pub fingerprint: Fingerprint,
    /// Whether the entry can try another upstream.
    pub may_redirect: bool,
}

/// The answer to a permit request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The call may start now.
    Granted {
        /// The permit.
        permit: PermitId,
        /// Time until the permit expires.
        expires_in: Duration,
    },
    /// The request waits; [`Home::poll`] returns its outcome.
    Queued(QueuedRequestKey),
    /// The call cannot start here in time, or can start clearly earlier elsewhere. The home keeps no state for it.
    Redirect {
        /// Expected wait here.
        wait: Duration,
    },
    /// The request is refused. The home keeps no state for it.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// When a retry may succeed.
        retry_after: Duration,
    },
}

/// A change to a waiting request or a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeEvent {
    /// A waiting request is granted; its call may start now.
    Granted {
        /// The request.
        request: QueuedRequestKey,
        /// The permit.
        permit: PermitId,
        /// Time until the permit expires.
        expires_in: Duration,
        /// Time for which the request waited.
        waited: Duration,
    },
    /// A waiting request is refused.
    Dropped {
        /// The request.
        request: QueuedRequestKey,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// When a retry may succeed.
        retry_after: Duration,
    },
    /// A permit expired without a release.
    Expired {
        /// The permit.
        permit: PermitId,
        /// The instance that held it.
        entry: InstanceId,
    },
}

/// A permit that was granted and not yet released.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldPermit {
    /// The permit.
    pub permit: PermitId,
    /// The instance that holds it.
    pub entry: InstanceId,
    /// The workspace that is charged.
    pub workspace: WorkspaceName,
    /// Time until it expires.
    pub expires_in: Duration,
    /// Estimated cost.
    pub estimate: Cost,
    /// Identifies the input.
    pub fingerprint: Fingerprint,
}
