//! Gives the admin interface what it shows and does.

use tc_platform::StoreError;
use tc_protocol::{Explanation, InstanceId, Member, MemberState, RequestId, UpstreamId};
use tc_telemetry::MetricsHandle;

use super::{
    control::Running,
    report::{self, InstancePart},
};
use crate::admin::{
    AdminPorts, DrainError, DrainTarget, StatusReport, UpstreamReport, WorkspaceReport,
};

pub(super) fn ports(running: &Running, metrics: MetricsHandle) -> AdminPorts {
    let for_status = running.clone();
    let for_upstreams = running.clone();
    let for_workspaces = running.clone();
    let for_explain = running.clone();
    let for_drain = running.clone();
    AdminPorts {
        status: Box::new(move |()| {
            let running = for_status.clone();
            Box::pin(async move { status(&running).await })
        }),
        upstreams: Box::new(move |()| {
            let running = for_upstreams.clone();
            Box::pin(async move { upstreams(&running) })
        }),
        workspaces: Box::new(move |()| {
            let running = for_workspaces.clone();
            Box::pin(async move { workspaces(&running).await })
        }),
        explain: Box::new(move |request| {
            let running = for_explain.clone();
            Box::pin(async move { explain(&running, &request).await })
        }),
        drain: Box::new(move |(target, begin)| {
            let running = for_drain.clone();
            Box::pin(async move { drain(&running, target, begin).await })
        }),
        metrics: Box::new(move || metrics.render()),
    }
}

async fn status(running: &Running) -> StatusReport {
    let view = running.fleet.view();
    let parts = report::all_parts(running).await;
    let (_, gossiped_lowest, newest_revision) = running.fleet.revisions().await;
    // Gossip of revisions is slow in a large fleet; what the instances say of themselves is of this moment.
    let live = view
        .members
        .iter()
        .filter(|member| member.state != MemberState::Dead);
    let revisions = live.map(|member| parts.get(&member.id)?.as_ref().map(|part| part.revision));
    let lowest_revision = revisions
        .collect::<Option<Vec<u64>>>()
        .and_then(|revisions| revisions.into_iter().min())
        .unwrap_or(gossiped_lowest);
    let instances = view
        .members
        .iter()
        .map(|member| report::instance(member, parts.get(&member.id).and_then(Option::as_ref)))
        .collect();
    StatusReport {
        instances,
        lowest_revision,
        newest_revision,
    }
}

fn upstreams(running: &Running) -> Vec<UpstreamReport> {
    let view = running.fleet.view();
    view.upstreams
        .iter()
        .flat_map(|(service, states)| states.iter().map(move |state| (service, state)))
        .map(|(service, state)| UpstreamReport {
            id: state.upstream.id.clone(),
            service: service.clone(),
            address: state.upstream.address,
            domain: state.upstream.failure_domain.clone(),
            home: state.home.clone(),
            leaving: state.leaving,
            drained: running.fleet.is_drained(&state.upstream.id),
            summary: running
                .fleet
                .summary(&state.upstream.id)
                .map(|(summary, _)| summary),
        })
        .collect()
}

async fn workspaces(running: &Running) -> Vec<WorkspaceReport> {
    let view = running.fleet.view();
    let parts = report::all_parts(running).await;
    let all: Vec<&InstancePart> = parts.values().flatten().collect();
    view.config
        .workspaces
        .iter()
        .map(|(name, workspace)| {
            let of_it = all
                .iter()
                .flat_map(|part| &part.workspaces)
                .filter(|part| part.workspace == *name);
            report::workspace(name, workspace.weight, of_it)
        })
        .collect()
}

async fn explain(running: &Running, request: &RequestId) -> Option<Explanation> {
    if let Some(explanation) = running.caller.explain(request) {
        return Some(explanation);
    }
    let json = running.fleet.explain(request).await?;
    serde_json::from_str(&json).ok()
}

async fn drain(running: &Running, target: DrainTarget, begin: bool) -> Result<(), DrainError> {
    match target {
        DrainTarget::Upstream(id) => drain_upstream(running, &id, begin).await,
        DrainTarget::Instance(id) => {
            let view = running.fleet.view();
            check_drain_instance(&view.members, &id, begin)?;
            running
                .fleet
                .drain_instance(&id, begin)
                .await
                .map_err(DrainError::Unavailable)
        }
    }
}

/// Refuses to drain the last instance that takes new work: callers would be told of no address at all.
fn check_drain_instance(
    members: &[Member],
    id: &InstanceId,
    begin: bool,
) -> Result<(), DrainError> {
    if !members.iter().any(|member| member.id == *id) {
        return Err(DrainError::NotFound);
    }
    let mut others = members.iter().filter(|member| member.id != *id);
    if begin && !others.any(|member| member.state == MemberState::Alive) {
        let why = "it is the last live instance; start another one first".to_owned();
        return Err(DrainError::Refused(why));
    }
    Ok(())
}

async fn drain_upstream(running: &Running, id: &UpstreamId, begin: bool) -> Result<(), DrainError> {
    let view = running.fleet.view();
    let known = view
        .upstreams
        .values()
        .flatten()
        .any(|state| state.upstream.id == *id);
    if !known {
        return Err(DrainError::NotFound);
    }
    let unavailable = |error: StoreError| DrainError::Unavailable(error.to_string());
    running
        .fleet
        .drain_upstream(id, begin)
        .await
        .map_err(unavailable)
}
