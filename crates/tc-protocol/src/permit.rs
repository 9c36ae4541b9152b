//! Permits: what an entry asks an upstream's home for, and what it tells the home afterwards.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Attempt, Fingerprint, PermitId, RequestId, RunState, ServiceName, UpstreamId, WorkspaceName,
};

/// What a call is expected to cost, or did cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Tokens read.
    pub tokens_in: u32,
    /// Tokens generated.
    pub tokens_out: u32,
    /// Time the upstream was busy with it, in milliseconds.
    pub busy_ms: f64,
}

/// Cost units of one token read; reading is batched and cheap beside generating.
const UNITS_PER_TOKEN_IN: f64 = 0.1;
/// Cost units of one token generated.
const UNITS_PER_TOKEN_OUT: f64 = 1.0;

impl Cost {
    /// One number to compare calls by: weighted tokens for a model, milliseconds for anything else.
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

/// An entry's request to use an upstream of a service.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// Whose request it is.
    pub request: RequestId,
    /// Which try of the stage.
    pub attempt: Attempt,
    /// The workspace that is charged.
    pub workspace: WorkspaceName,
    /// The service that runs the stage.
    pub service: ServiceName,
    /// 0 (most urgent) to 7.
    pub priority: u8,
    /// Longest the ask may wait for its grant; after that starting is pointless.
    pub slack: Duration,
    /// How long the call may run once granted; the permit ends a grace after it.
    pub run_for: Duration,
    /// Estimated cost, settled on release.
    pub estimate: Cost,
    /// Hash of workspace and prompt prefix, for services that cache prefixes.
    pub prefix: Option<u64>,
    /// Identifies the input, to keep one that crashes upstreams from reaching many.
    pub fingerprint: Fingerprint,
    /// Upstreams already tried or in use for this stage, not to be chosen again.
    pub excluded: Vec<UpstreamId>,
}

/// A home's leave to call one upstream once.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Names the permit on release.
    pub permit: PermitId,
    /// The upstream to call.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// How long the permit lasts.
    pub expires_in: Duration,
    /// Time the ask spent in the home's queue.
    pub waited: Duration,
}

/// Why an ask was refused. Every refusal means the call was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It could not have started before its slack was gone.
    TooLate,
    /// The workspace's queue at the home is full.
    QueueFull,
    /// The service has no upstream that may be used.
    NoUpstream,
    /// The home could not be reached.
    HomeUnreachable,
    /// The input crashed upstreams before and is quarantined.
    Quarantined,
    /// The workspace's limit is used up.
    OverLimit,
}

/// A refused ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When asking again may help.
    pub retry_after: Duration,
}

/// How a granted call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A whole result came back.
    Answered,
    /// The upstream answered that the call itself is wrong; says nothing about its health.
    Rejected,
    /// The upstream answered with a failure, or broke the connection.
    Failed,
    /// The connection broke in a way that suggests the upstream's process died.
    Died,
    /// No result in time.
    TimedOut,
    /// Given up by us: the caller left or another attempt won.
    Cancelled,
    /// The permit was never used.
    Unused,
}

/// What an entry tells the home when it is done with a permit.
#[derive(Clone, Debug)]
pub struct Release {
    /// The permit.
    pub permit: PermitId,
    /// How the call ended.
    pub outcome: Outcome,
    /// What is known of whether it ran.
    pub run_state: RunState,
    /// What it cost.
    pub cost: Cost,
    /// Time from sending to the whole result.
    pub took: Duration,
    /// Time from sending to the first byte of the result, when there was one.
    pub first_byte: Option<Duration>,
}
