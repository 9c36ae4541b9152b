//! Report of an instance, and the sums over all instances.

use std::{
    collections::BTreeMap,
    sync::{Arc, OnceLock},
};

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use tc_protocol::{InstanceId, Member, RequestId, WorkspaceName};

use super::control::Running;
use crate::admin::{InstanceReport, StageCost, WorkspaceReport};

/// One instance's part of the fleet report, as it travels between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct InstancePart {
    pub(super) revision: u64,
    pub(super) store_reachable: bool,
    pub(super) store_age_ms: u64,
    pub(super) uptime_s: u64,
    pub(super) homes: u32,
    pub(super) in_flight: u32,
    pub(super) workspaces: Vec<WorkspacePart>,
}

/// Outcomes of one workspace's requests at one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct WorkspacePart {
    pub(super) workspace: WorkspaceName,
    pub(super) requests: u64,
    pub(super) answered_in_deadline: u64,
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
    pub(super) cost: Vec<StageCost>,
}

type Json<Q> = Box<dyn Fn(Q) -> BoxFuture<'static, Option<String>> + Send + Sync>;

/// Answers other instances' questions about requests accepted here.
pub(super) fn explain_here(running: Arc<OnceLock<Running>>) -> Json<RequestId> {
    Box::new(move |request| {
        let explanation = running
            .get()
            .and_then(|running| running.caller.explain(&request));
        Box::pin(async move { serde_json::to_string(&explanation?).ok() })
    })
}

/// Answers other instances' questions about this one.
pub(super) fn report_here(running: Arc<OnceLock<Running>>) -> Json<()> {
    Box::new(move |()| {
        let running = running.get().cloned();
        Box::pin(async move { serde_json::to_string(&part(&running?).await).ok() })
    })
}

/// This instance's own part.
pub(super) async fn part(running: &Running) -> InstancePart {
    let view = running.fleet.view();
    let (homes, _) = running.fleet.home_counts().await;
    let store = running.store.health();
    InstancePart {
        revision: view.config.revision,
        store_reachable: store.reachable,
        store_age_ms: store.age.as_millis() as u64,
        uptime_s: running.started.elapsed().as_secs(),
        homes: homes as u32,
        in_flight: running.caller.in_flight() as u32,
        workspaces: running
            .caller
            .workspace_stats()
            .into_iter()
            .map(workspace_part)
            .collect(),
    }
}

fn workspace_part(stats: tc_caller::WorkspaceStats) -> WorkspacePart {
    let cost = stats
        .cost
        .into_iter()
        .map(|cost| StageCost {
            pipeline: cost.pipeline,
            stage: cost.stage,
            calls: cost.calls,
            tokens: cost.tokens,
            ms: cost.ms,
            wasted_ms: cost.wasted_ms,
        })
        .collect();
    WorkspacePart {
        workspace: stats.workspace,
        requests: stats.requests,
        answered_in_deadline: stats.answered_in_deadline,
        p50_ms: stats.p50_ms,
        p99_ms: stats.p99_ms,
        cost,
    }
}

/// All instances' parts, this one's included; `None` for those that did not answer.
pub(super) async fn all_parts(running: &Running) -> BTreeMap<InstanceId, Option<InstancePart>> {
    let mut parts: BTreeMap<InstanceId, Option<InstancePart>> = running
        .fleet
        .peer_reports()
        .await
        .into_iter()
        .map(|(id, json)| (id, json.and_then(|json| serde_json::from_str(&json).ok())))
        .collect();
    parts.insert(
        running.fleet.view().me.id.clone(),
        Some(part(running).await),
    );
    parts
}

pub(super) fn instance(member: &Member, part: Option<&InstancePart>) -> InstanceReport {
    InstanceReport {
        id: member.id.clone(),
        state: member.state,
        failure_domain: member.failure_domain.clone(),
        region: member.region.clone(),
        caller_address: member.caller_address,
        revision: part.map(|part| part.revision),
        store_reachable: part.map(|part| part.store_reachable),
        store_age_ms: part.map(|part| part.store_age_ms),
        uptime_s: part.map(|part| part.uptime_s),
        homes: part.map(|part| part.homes),
        in_flight: part.map(|part| part.in_flight),
    }
}

/// Sums one workspace's parts over all instances.
///
/// The median is the mean of the instances' medians weighted by requests, the 99th percentile their highest: both
/// are bounds for reading, exact ones come from the metrics' histograms.
pub(super) fn workspace<'a>(
    name: &WorkspaceName,
    weight: u32,
    parts: impl Iterator<Item = &'a WorkspacePart>,
) -> WorkspaceReport {
    let mut sum = WorkspaceReport {
        name: name.clone(),
        weight,
        requests: 0,
        answered_in_deadline: 0,
        attainment: 1.0,
        p50_ms: 0.0,
        p99_ms: 0.0,
        cost_by_stage: Vec::new(),
    };
    for part in parts {
        sum.requests += part.requests;
        sum.answered_in_deadline += part.answered_in_deadline;
        sum.p50_ms += part.p50_ms * part.requests as f64;
        sum.p99_ms = sum.p99_ms.max(part.p99_ms);
        part.cost
            .iter()
            .for_each(|cost| add_cost(&mut sum.cost_by_stage, cost));
    }
    if sum.requests > 0 {
        sum.p50_ms /= sum.requests as f64;
        sum.attainment = sum.answered_in_deadline as f64 / sum.requests as f64;
    }
    sum
}

fn add_cost(sums: &mut Vec<StageCost>, cost: &StageCost) {
    let same = sums
        .iter_mut()
        .find(|s| s.pipeline == cost.pipeline && s.stage == cost.stage);
    match same {
        Some(sum) => {
            sum.calls += cost.calls;
            sum.tokens += cost.tokens;
            sum.ms += cost.ms;
            sum.wasted_ms += cost.wasted_ms;
        }
        None => sums.push(cost.clone()),
    }
}
