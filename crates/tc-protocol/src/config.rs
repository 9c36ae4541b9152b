//! The configuration model: what operators write, after all files are merged.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    FailureDomain, PipelineName, Region, ServiceName, StageName, UpstreamId, WorkspaceName,
};

/// One whole, valid configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetConfig {
    /// Rises by one with every accepted change; 0 is "none yet". Not written by operators.
    pub revision: u64,
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineName, Pipeline>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
    /// Models that engines may be ordered to load, by name.
    pub models: BTreeMap<String, Model>,
    /// Fleet-wide policy numbers.
    pub policy: Policy,
}

/// A sequence of stages under one deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Longest time a request may take, in milliseconds; callers may ask for less.
    pub deadline_ms: u64,
    /// Priority of its requests when the caller gives none: 0 (most urgent) to 7, as in RFC 9218.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Workspaces that may call it; empty means all.
    #[serde(default)]
    pub workspaces: Vec<WorkspaceName>,
    /// The stages in the order they run.
    pub stages: Vec<Stage>,
}

const fn default_priority() -> u8 {
    3
}

/// One step of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name of the stage, unique within its pipeline.
    pub name: StageName,
    /// The service that runs it.
    pub service: ServiceName,
    /// Most tokens an engine may generate; ignored by other services.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

const fn default_max_tokens() -> u32 {
    64
}

/// How a service's upstreams are spoken to.
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
    /// How its upstreams are spoken to.
    pub kind: ServiceKind,
    /// Whether a call may be repeated without doubling an effect.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Whether its upstreams themselves refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_orders: bool,
    /// Model its engines run; engines only.
    #[serde(default)]
    pub model: Option<String>,
    /// Calls one upstream takes at once at most, unless its own load report says less.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Its upstreams.
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
    /// Its identifier, unique over all services.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain it is in.
    pub failure_domain: FailureDomain,
    /// The region it is in.
    #[serde(default = "default_region")]
    pub region: Region,
}

fn default_region() -> Region {
    "default".into()
}

/// One customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// SHA-256 of its bearer token, as 64 lower-case hexadecimal digits.
    pub token_sha256: Arc<str>,
    /// Share of a contended service relative to other workspaces; above zero.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most urgent priority its callers may ask for: 0 (most urgent) to 7.
    #[serde(default)]
    pub highest_priority: u8,
    /// Fleet-wide limits.
    #[serde(default)]
    pub limits: Limits,
}

const fn default_weight() -> u32 {
    1
}

/// Fleet-wide limits of one workspace; an absent one does not bind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Requests in progress at once.
    pub concurrency: Option<u32>,
    /// Cost units a second; see [`crate::Cost::units`].
    pub cost_per_s: Option<f64>,
}

/// A model that engines may be ordered to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version engines should have loaded.
    pub version: String,
    /// Engines that must keep it loaded at least.
    #[serde(default = "default_floor")]
    pub floor: u32,
    /// Adapters to have loaded with it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

const fn default_floor() -> u32 {
    1
}

/// Fleet-wide policy numbers, each with a default that was measured or is marked as a first value in the docs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How long callers may keep an address answer, in seconds.
    pub address_max_age_s: u64,
    /// Instances one workspace of weight 1 is spread over.
    pub shard_size: u32,
    /// Quantile of the remaining pipeline's time used by admission.
    pub admission_quantile: f64,
    /// Hedged calls allowed per call of a service.
    pub hedge_ratio: f64,
    /// Retried calls allowed per call of a service.
    pub retry_ratio: f64,
    /// Crashes after which a fingerprint is quarantined.
    pub crashes_to_quarantine: u32,
    /// How long a claim and its recorded outcome are kept, in seconds.
    pub claim_retention_s: u64,
    /// Asks one workspace may have waiting at one home.
    pub queue_per_workspace: u32,
    /// Network distance to another failure domain of the region, in milliseconds one way.
    pub cross_domain_ms: f64,
    /// Network distance to another region, in milliseconds one way.
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
