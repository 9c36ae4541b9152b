//! The configuration model: the operators' configuration after all files are merged.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    FailureDomain, PipelineName, Region, ServiceName, StageName, UpstreamId, WorkspaceName,
};

/// A complete, validated configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// Incremented with every accepted change; 0 if there is none yet. Not written by operators.
    pub revision: u64,
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineName, Pipeline>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
    /// Models that engines may be instructed to load, by name.
    pub models: BTreeMap<String, Model>,
    /// Fleet-wide policy settings.
    pub policy: Policy,
}

/// A sequence of stages that share one deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Maximum duration of a request, in milliseconds; callers may set a shorter deadline.
    pub deadline_ms: u64,
    /// Priority of requests that specify none: 0 (most urgent) to 7, as in RFC 9218.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Workspaces that may call the pipeline; empty allows all.
    #[serde(default)]
    pub workspaces: Vec<WorkspaceName>,
    /// Stages in execution order.
    pub stages: Vec<Stage>,
}

const fn default_priority() -> u8 {
    3
}

/// One step of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Stage name, unique within the pipeline.
    pub name: StageName,
    /// Service that runs the stage.
    pub service: ServiceName,
    /// Maximum number of tokens an engine may generate; ignored by other services.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

const fn default_max_tokens() -> u32 {
    64
}

/// Protocol that the upstreams of a service use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine: completions as JSON or server-sent events.
    Engine,
    /// An encoder, retriever or reranker: JSON in, JSON out.
    Pool,
    /// A plain HTTP service.
    Plain,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Protocol of the upstreams.
    pub kind: ServiceKind,
    /// Whether calls can be retried without repeating a side effect.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Whether the upstreams themselves reject an order with a stale fencing token.
    #[serde(default)]
    pub checks_orders: bool,
    /// Model the engines run; for engines only.
    #[serde(default)]
    pub model: Option<String>,
    /// Maximum number of concurrent calls to one upstream, unless its load report gives a lower one.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Upstreams of the service.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
}

const fn default_true() -> bool {
    true
}

const fn default_slots() -> u32 {
    8
}

/// One upstream as configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Identifier, unique across all services.
    pub id: UpstreamId,
    /// Address the upstream listens on.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Region of the upstream.
    #[serde(default = "default_region")]
    pub region: Region,
}

fn default_region() -> Region {
    "default".into()
}

/// A tenant of the system, such as one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// SHA-256 of the bearer token, as 64 lower-case hexadecimal digits.
    pub token_sha256: Arc<str>,
    /// Weight for sharing a contended service among workspaces; greater than zero.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most urgent priority that callers may request: 0 (most urgent) to 7.
    #[serde(default)]
    pub highest_priority: u8,
    /// Fleet-wide limits.
    #[serde(default)]
    pub limits: Limits,
}

const fn default_weight() -> u32 {
    1
}

/// Fleet-wide limits of a workspace; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_s: Option<f64>,
    /// Concurrent requests.
    pub concurrency: Option<u32>,
    /// Cost units per second; see [`crate::Cost::units`].
    pub cost_per_s: Option<f64>,
}

/// A model that engines may be instructed to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version that engines should load.
    pub version: String,
    /// Minimum number of engines that must keep the model loaded.
    #[serde(default = "default_floor")]
    pub floor: u32,
    /// Adapters to load with the model.
    #[serde(default)]
    pub adapters: Vec<String>,
}

const fn default_floor() -> u32 {
    1
}

/// Fleet-wide policy settings.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Time for which callers may cache an address response, in seconds.
    pub address_max_age_s: u64,
    /// Number of instances that a workspace of weight 1 is spread over.
    pub shard_size: u32,
    /// Quantile of the time of the remaining pipeline that admission control uses as its estimate.
    pub admission_quantile: f64,
    /// Maximum ratio of hedged calls to calls of a service.
    pub hedge_ratio: f64,
    /// Maximum ratio of retries to calls of a service.
    pub retry_ratio: f64,
    /// Number of crashes after which a fingerprint is quarantined.
    pub crashes_to_quarantine: u32,
    /// Retention time of a claim and its recorded outcome, in seconds.
    pub claim_retention_s: u64,
    /// Maximum number of permit requests of one workspace queued at one home.
    pub queue_per_workspace: u32,
    /// One-way network latency to another failure domain of the region, in milliseconds.
    pub cross_domain_ms: f64,
    /// One-way network latency to another region, in milliseconds.
    pub cross_region_ms: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            address_max_age_s: 10,
            shard_size: 4,
            admission_quantile: 0.6,
            hedge_ratio: 0.03,
            retry_ratio: 0.1,
            crashes_to_quarantine: 2,
            claim_retention_s: 600,
            queue_per_workspace: 256,
            cross_domain_ms: 1.0,
            cross_region_ms: 20.0,
        }
    }
}
