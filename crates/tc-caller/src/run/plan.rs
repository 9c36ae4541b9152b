//! The plan of a stage, computed before its permit is requested.

use std::sync::Arc;

use tc_policy::{SizeClass, StageEstimate};
use tc_protocol::{
    Cost, Fingerprint, FleetConfig, Service, ServiceKind, ServiceName, StageName, WorkspaceName,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    limits::{BYTES_PER_TOKEN, PREFIX_BYTES},
    policy_state::{Policies, ServicePolicy},
    run::context::RequestContext,
};

/// The configuration and estimates with which a request runs one stage.
#[derive(Clone)]
pub(crate) struct StagePlan {
    pub(crate) stage: StageName,
    pub(crate) service: ServiceName,
    pub(crate) kind: ServiceKind,
    pub(crate) idempotent: bool,
    pub(crate) model: Option<String>,
    pub(crate) max_tokens: u32,
    pub(crate) policy: Arc<ServicePolicy>,
    pub(crate) timing: StageEstimate,
    pub(crate) class: SizeClass,
}

impl StagePlan {
    pub(crate) fn new(
        policies: &Policies,
        config: &FleetConfig,
        (stage, name, service): (&StageName, &ServiceName, &Service),
        input_bytes: usize,
        max_tokens: u32,
    ) -> Self {
        let policy = policies.get(name, &config.policy);
        let max_tokens = match service.kind {
            ServiceKind::Engine => max_tokens,
            ServiceKind::Pool | ServiceKind::Plain => 0,
        };
        let class = SizeClass::of(input_bytes, max_tokens);
        Self {
            stage: stage.clone(),
            service: name.clone(),
            kind: service.kind,
            idempotent: service.idempotent,
            model: service.model.clone(),
            max_tokens,
            timing: policy.estimate(class, config.policy.admission_quantile),
            policy,
            class,
        }
    }
}

/// The properties that are derived from a stage's input.
#[derive(Clone, Copy)]
pub(crate) struct InputProperties {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) prefix: Option<u64>,
    pub(crate) estimate: Cost,
}

impl InputProperties {
    pub(crate) fn of(cx: &RequestContext, plan: &StagePlan, input: &[u8]) -> Self {
        let is_engine = plan.kind == ServiceKind::Engine;
        Self {
            fingerprint: Fingerprint::of(&cx.workspace, &plan.service, input),
            prefix: is_engine.then(|| prefix_hash(&cx.workspace, input)),
            estimate: Cost {
                tokens_in: if is_engine { estimate_tokens(input) } else { 0 },
                tokens_out: plan.max_tokens,
                busy_ms: plan.timing.median.as_secs_f64() * 1e3,
            },
        }
    }
}

fn estimate_tokens(input: &[u8]) -> u32 {
    u32::try_from(input.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn prefix_hash(workspace: &WorkspaceName, input: &[u8]) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(workspace.as_str().as_bytes());
    xxh3_64_with_seed(&input[..input.len().min(PREFIX_BYTES)], seed)
}
