//! Permits to call an upstream.
//!
//! The instance that accepted a request (the entry) obtains a permit from the upstream's home, the instance that
//! grants permits for it, and releases the permit when the call ends.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Attempt, Fingerprint, PermitId, RequestId, RunState, ServiceName, UpstreamId, WorkspaceName,
};

/// Estimated or actual cost of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Input tokens.
    pub tokens_in: u32,
    /// Generated tokens.
    pub tokens_out: u32,
    /// Time the upstream was busy with the call, in milliseconds.
    pub busy_ms: f64,
}

/// Cost units per input token; input is processed in batches and is much cheaper than generation.
const UNITS_PER_TOKEN_IN: f64 = 0.1;
/// Cost units per generated token.
const UNITS_PER_TOKEN_OUT: f64 = 1.0;

impl Cost {
    /// Returns a single number to compare calls by: weighted tokens for a model, busy milliseconds for anything else.
    ///
    /// ```
    /// use tc_protocol::Cost;
    /// assert_eq!(Cost { tokens_in: 100, tokens_out: 5, busy_ms: 40.0 }.units(), 15.0);
    /// assert_eq!(Cost { busy_ms: 40.0, ..Cost::default() }.units(), 40.0);
    /// ```
    #[must_use]
    pub fn units(&self) -> f64 {
        if self.tokens_in == 0 && self.tokens_out == 0 {
            return self.busy_ms;
        }
        f64::from(self.tokens_in) * UNITS_PER_TOKEN_IN
            + f64::from(self.tokens_out) * UNITS_PER_TOKEN_OUT
    }
}

/// A request for a permit to call an upstream of a service.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// Request the call belongs to.
    pub request: RequestId,
    /// Attempt of the stage.
    pub attempt: Attempt,
    /// Workspace that is charged.
    pub workspace: WorkspaceName,
    /// Service that runs the stage.
    pub service: ServiceName,
    /// Priority: 0 (most urgent) to 7.
    pub priority: u8,
    /// Maximum queueing time; a call that starts later cannot meet its deadline.
    pub slack: Duration,
    /// Maximum duration of the granted call; the permit expires a grace period later.
    pub run_for: Duration,
    /// Estimated cost, replaced by the actual cost on release.
    pub estimate: Cost,
    /// Hash of workspace and prompt prefix, for services with a prefix cache.
    pub prefix: Option<u64>,
    /// Identifies the input, so that one that crashes upstreams does not reach many of them.
    pub fingerprint: Fingerprint,
    /// Upstreams already tried or in use for this stage, which must not be selected again.
    pub excluded: Vec<UpstreamId>,
}

/// Permission from a home to make one call to one upstream.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Identifies the permit on release.
    pub permit: PermitId,
    /// Upstream to call.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: std::net::SocketAddr,
    /// Time until the permit expires.
    pub expires_in: Duration,
    /// Time the permit request spent in the home's queue.
    pub waited: Duration,
}

/// Reason for the refusal of a permit request. The call of a refused request has not been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The call could not start within its slack.
    TooLate,
    /// The queue of the workspace at the home is full.
    QueueFull,
    /// The service has no eligible upstream.
    NoUpstream,
    /// The home is unreachable.
    HomeUnreachable,
    /// The input is quarantined because it has crashed upstreams.
    Quarantined,
    /// The limit of the workspace is exhausted.
    OverLimit,
}

/// Refusal of a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Suggested delay before the next request.
    pub retry_after: Duration,
}

/// Outcome of a granted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete result was received.
    Answered,
    /// The upstream rejected the call as invalid; this does not reflect on the upstream's health.
    Rejected,
    /// The upstream returned an error or closed the connection.
    Failed,
    /// The connection broke in a way that suggests that the upstream's process crashed.
    Died,
    /// No result was received in time.
    TimedOut,
    /// Cancelled on this side: the caller disconnected or another attempt finished first.
    Cancelled,
    /// The permit was never used.
    Unused,
}

/// Report to the home that a permit is no longer in use.
#[derive(Clone, Debug)]
pub struct Release {
    /// Permit to release.
    pub permit: PermitId,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Whether the call ran, as far as known.
    pub run_state: RunState,
    /// Actual cost.
    pub cost: Cost,
    /// Time from sending the call to the complete result.
    pub took: Duration,
    /// Time from sending the call to the first byte of the result, if any arrived.
    pub first_byte: Option<Duration>,
}
