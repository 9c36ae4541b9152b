//! What this crate needs from the rest of the fleet, as closures, so that tests can give small fakes.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tc_protocol::{
    ClaimKey, ClaimVerdict, Fingerprint, FleetView, Incarnation, InstanceId, Permit, PermitRefusal,
    PermitRequest, RecordedOutcome, UpstreamId, WorkspaceLimitGuard, WorkspaceName,
    wire::AddressAnswer,
};

/// Reads the current snapshot of the fleet; must not lock.
pub type ViewPort = Arc<dyn Fn() -> Arc<FleetView> + Send + Sync>;
/// Picks an upstream and asks its home for a permit; dropping the future cancels the ask.
pub type AskPort =
    Arc<dyn Fn(PermitRequest) -> BoxFuture<'static, Result<Permit, PermitRefusal>> + Send + Sync>;
/// Starts a request under its workspace's limits, or says after how long to ask again.
pub type SharePort =
    Arc<dyn Fn(&WorkspaceName) -> Result<WorkspaceLimitGuard, Duration> + Send + Sync>;
/// Claims a key for a body hash; gives up after the duration.
pub type ClaimPort =
    Arc<dyn Fn(ClaimKey, u64, Duration) -> BoxFuture<'static, ClaimVerdict> + Send + Sync>;
/// Records the outcome of a claim named by its identifier; says whether that took effect.
pub type RecordPort =
    Arc<dyn Fn(ClaimKey, String, RecordedOutcome) -> BoxFuture<'static, bool> + Send + Sync>;
/// Waits up to the duration for the outcome of a claim held by another run.
pub type JoinClaimPort =
    Arc<dyn Fn(ClaimKey, Duration) -> BoxFuture<'static, ClaimVerdict> + Send + Sync>;
/// Reports that an upstream died while it ran a call; done once the report has been taken.
pub type CrashedPort = Arc<dyn Fn(Fingerprint, UpstreamId) -> BoxFuture<'static, ()> + Send + Sync>;
/// Reports that a call ran to its end.
pub type RanWholePort = Arc<dyn Fn(Fingerprint) + Send + Sync>;
/// Addresses that a workspace's callers should use.
pub type AddressesPort = Arc<dyn Fn(&WorkspaceName) -> AddressAnswer + Send + Sync>;

/// Everything that comes in from the rest of the fleet.
#[derive(Clone)]
pub struct Ports {
    /// Snapshot of the fleet.
    pub view: ViewPort,
    /// Permits.
    pub ask: AskPort,
    /// Workspace limits.
    pub share: SharePort,
    /// Claims in the platform's store.
    pub claim: ClaimPort,
    /// Outcomes of claims.
    pub record: RecordPort,
    /// Claims held by others.
    pub join_claim: JoinClaimPort,
    /// Upstreams that died under a call; waited for before the caller is answered or the call retried, since a
    /// resend that overtakes the report would reach one upstream more.
    pub crashed: CrashedPort,
    /// Calls that ran to their end.
    pub ran_whole: RanWholePort,
    /// Address answers.
    pub addresses: AddressesPort,
}

/// Settings of the caller side.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// This instance.
    pub me: InstanceId,
    /// This life of its process.
    pub incarnation: Incarnation,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest sum of header names and values, in bytes.
    pub max_header_bytes: usize,
    /// Comparison policy: no admission and no hedges.
    pub baseline: bool,
}

/// How long callers may keep a connection or a request waiting. Each bounds what a caller that stops sending or reading
/// can hold of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerTimeouts {
    /// From the connection to the first whole request head.
    pub first_request: Duration,
    /// For any request head, and for the next one on an idle HTTP/1.1 connection.
    pub header_read: Duration,
    /// For a request body; the request's own deadline counts too.
    pub body_read: Duration,
    /// For a caller to take the next part of an answer that is ready for it.
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
