//! The dependencies of this crate on the rest of the fleet, as closures that tests replace with fakes.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tc_protocol::{
    ClaimKey, ClaimVerdict, Fingerprint, FleetView, Incarnation, InstanceId, Permit, PermitRefusal,
    PermitRequest, RecordedOutcome, UpstreamId, WorkspaceLimitGuard, WorkspaceName,
    wire::AddressAnswer,
};

/// Returns the current snapshot of the fleet. Must not lock.
pub type ViewPort = Arc<dyn Fn() -> Arc<FleetView> + Send + Sync>;
/// Picks an upstream and requests a permit from its home. Dropping the future cancels the request.
pub type RequestPermitPort =
    Arc<dyn Fn(PermitRequest) -> BoxFuture<'static, Result<Permit, PermitRefusal>> + Send + Sync>;
/// Starts a request within its workspace's limits, or returns the time after which to retry.
pub type StartRequestPort =
    Arc<dyn Fn(&WorkspaceName) -> Result<WorkspaceLimitGuard, Duration> + Send + Sync>;
/// Claims a key for a body hash, with a timeout.
pub type ClaimPort =
    Arc<dyn Fn(ClaimKey, u64, Duration) -> BoxFuture<'static, ClaimVerdict> + Send + Sync>;
/// Records the outcome of the claim with the given identifier. Returns true if it was recorded.
pub type RecordOutcomePort =
    Arc<dyn Fn(ClaimKey, String, RecordedOutcome) -> BoxFuture<'static, bool> + Send + Sync>;
/// Waits, with a timeout, for the outcome of a claim held by another run.
pub type WaitForOutcomePort =
    Arc<dyn Fn(ClaimKey, Duration) -> BoxFuture<'static, ClaimVerdict> + Send + Sync>;
/// Reports that an upstream died during a call. Completes once the report has been accepted.
pub type ReportCrashPort =
    Arc<dyn Fn(Fingerprint, UpstreamId) -> BoxFuture<'static, ()> + Send + Sync>;
/// Reports that a call ran to completion.
pub type ReportCompletedPort = Arc<dyn Fn(Fingerprint) + Send + Sync>;
/// Returns the addresses that a workspace's callers should use.
pub type AddressesPort = Arc<dyn Fn(&WorkspaceName) -> AddressAnswer + Send + Sync>;

/// All dependencies on the rest of the fleet.
#[derive(Clone)]
pub struct Ports {
    /// Reads the snapshot of the fleet.
    pub view: ViewPort,
    /// Requests permits.
    pub request_permit: RequestPermitPort,
    /// Enforces workspace limits.
    pub start_request: StartRequestPort,
    /// Claims idempotency keys in the platform's store.
    pub claim: ClaimPort,
    /// Records outcomes of claims.
    pub record_outcome: RecordOutcomePort,
    /// Waits for claims held by other runs.
    pub wait_for_outcome: WaitForOutcomePort,
    /// Reports upstreams that died during a call. Awaited before the caller gets its response or the call is retried:
    /// a resend that overtakes the report would reach one more upstream.
    pub report_crash: ReportCrashPort,
    /// Reports calls that ran to completion.
    pub report_completed: ReportCompletedPort,
    /// Looks up caller addresses.
    pub addresses: AddressesPort,
}

/// Settings of the server for callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// This instance.
    pub me: InstanceId,
    /// Incarnation of this instance's process.
    pub incarnation: Incarnation,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum total size of header names and values, in bytes.
    pub max_header_bytes: usize,
    /// Whether to use the comparison policy, which has no admission control and no hedges.
    pub baseline: bool,
}

/// Timeouts for callers. Each limits the resources of this instance that a caller can hold after it stops sending or
/// reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerTimeouts {
    /// From accepting the connection to the first complete request head.
    pub first_request: Duration,
    /// For reading a request head, including the wait for the next one on an idle HTTP/1.1 connection.
    pub header_read: Duration,
    /// For reading a request body. The request's own deadline applies as well.
    pub body_read: Duration,
    /// For a caller to read the next part of a response that is ready to send.
    pub reader_stall: Duration,
}

impl Default for CallerTimeouts {
    fn default() -> Self {
        Self {
            first_request: Duration::from_secs(15),
            header_read: Duration::from_secs(30),
            body_read: Duration::from_secs(10),
            reader_stall: Duration::from_secs(30),
        }
    }
}
