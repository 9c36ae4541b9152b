//! JSON answers of the admin interface.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tc_protocol::{
    FailureDomain, InstanceId, MemberState, PipelineName, Region, ServiceName, StageName,
    UpstreamId, UpstreamSummary, WorkspaceName,
};

/// State of the fleet as one instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// All known instances in order of identifier.
    pub instances: Vec<InstanceReport>,
    /// Lowest configuration revision in force on an instance that is not dead.
    pub lowest_revision: u64,
    /// Newest configuration revision known.
    pub newest_revision: u64,
}

/// State of one instance. What is not known of it is absent, never zero.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Its identifier.
    pub id: InstanceId,
    /// Its state as the fleet sees it.
    pub state: MemberState,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Configuration revision in force on it.
    #[serde(default)]
    pub revision: Option<u64>,
    /// Whether its last call to the platform's store succeeded.
    #[serde(default)]
    pub store_reachable: Option<bool>,
    /// Time since its last successful call to the platform's store, in milliseconds.
    #[serde(default)]
    pub store_age_ms: Option<u64>,
    /// Time since its process started, in seconds.
    #[serde(default)]
    pub uptime_s: Option<u64>,
    /// Upstreams it is the home of.
    #[serde(default)]
    pub homes: Option<u32>,
    /// Requests it is working on.
    #[serde(default)]
    pub in_flight: Option<u32>,
}

impl InstanceReport {
    /// Whether it may serve requests, so that its configuration matters.
    pub(crate) fn is_live(&self) -> bool {
        self.state != MemberState::Dead
    }
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Its identifier.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The instance that grants permits for it.
    #[serde(default)]
    pub home: Option<InstanceId>,
    /// Gets no new work, for whatever reason.
    pub leaving: bool,
    /// Gets no new work because an operator said so.
    pub drained: bool,
    /// Its load as its home last told: `in_flight`, `concurrency`, `waiting`, `wait_ms`, `service_ms`, `ejected`.
    #[serde(flatten)]
    pub summary: Option<UpstreamSummary>,
}

/// Requests of one workspace and their outcomes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceReport {
    /// Its name.
    pub name: WorkspaceName,
    /// Its configured weight.
    pub weight: u32,
    /// Requests since the instances started.
    pub requests: u64,
    /// Those answered whole within their deadline.
    pub answered_in_deadline: u64,
    /// Their share of all requests; 1 when there was none.
    pub attainment: f64,
    /// Median time of an answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time of an answer, in milliseconds.
    pub p99_ms: f64,
    /// Cost of its requests.
    pub cost_by_stage: Vec<StageCost>,
}

/// Cost of one workspace's requests in one stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageCost {
    /// The pipeline; absent for calls to a plain service.
    #[serde(default)]
    pub pipeline: Option<PipelineName>,
    /// The stage, or the plain service.
    pub stage: StageName,
    /// Calls to upstreams.
    pub calls: u64,
    /// Tokens read and generated.
    pub tokens: u64,
    /// Time upstreams were busy, in milliseconds.
    pub ms: f64,
    /// Part of it whose result nobody used, in milliseconds.
    pub wasted_ms: f64,
}

/// Body of every answer that is not 200.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ErrorReport {
    /// Description of the problem.
    pub(crate) error: String,
}
