//! The lease holder's side of orders: plans which engine loads which model, and orders the loads.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use tc_membership::{EngineState, ModelLoad, ModelRequirements, Plan, home_of, plan};
use tc_platform::{
    HeldLease, Lease, LeaseError, LeaseSettings, Precondition, Purpose, WriteResult,
};
use tc_protocol::{FleetView, MonoTime, Service, ServiceKind, ServiceName, UpstreamState};
use tc_upstream::UpstreamClient;

use super::{
    OrderRelay,
    record::{PLAN_KIND, PlanRecord},
};
use crate::{
    generated::{OrderAnswer, OrderPass},
    node::NodeParts,
    peers::timed,
};

/// Interval between planning rounds while no orders are pending.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between planning rounds while orders are pending.
const BUSY_INTERVAL: Duration = Duration::from_millis(500);
/// Time to live of the lease on a service's orders. It is short because a successor waits for the lease to expire. The
/// lease is renewed only while orders are pending.
const LEASE_TTL: Duration = Duration::from_secs(4);
/// Maximum number of concurrent loads per service, because the weight store is rate-limited.
const MAX_CONCURRENT_LOADS: usize = 2;
/// Time after which an ordered load that was not reported as done no longer counts as in progress.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// State of one service's planner between rounds.
struct ServicePlanner {
    lease: Lease,
    held: Option<HeldLease>,
    plan: Plan,
    /// Plan record in the platform, if it is known to be the one written here.
    written: Option<PlanRecord>,
    /// Loads in progress, each with the time it was ordered.
    ordered: Vec<(ModelLoad, MonoTime)>,
}

/// Plans the services assigned to this instance. Never returns.
pub(crate) async fn run(parts: NodeParts, relay: Arc<OrderRelay>, client: UpstreamClient) {
    let mut planners: HashMap<ServiceName, ServicePlanner> = HashMap::new();
    let mut wait = IDLE_INTERVAL;
    loop {
        tokio::time::sleep(wait).await;
        wait = IDLE_INTERVAL;
        let view = parts.view.load_full();
        let assigned = assigned_services(&view);
        for (name, planner) in &mut planners {
            if !assigned.iter().any(|(assigned, _)| assigned == name) {
                planner.release_lease(name).await;
            }
        }
        for (name, service) in assigned {
            let planner = planners
                .entry(name.clone())
                .or_insert_with(|| ServicePlanner::new(&parts, &view, name.clone()));
            let round = planner.run_round(&parts, &relay, &client, &view, &name, &service);
            if let Err(error) = round.await {
                log::debug!(service = name.as_str(); "order planning round failed: {error}");
            }
            if !planner.plan.pending.is_empty() {
                wait = BUSY_INTERVAL;
            }
        }
    }
}

/// Returns the engine services with a model whose planner is assigned to this instance.
fn assigned_services(view: &FleetView) -> Vec<(ServiceName, Service)> {
    view.config
        .services
        .iter()
        .filter(|(_, service)| service.kind == ServiceKind::Engine && service.model.is_some())
        .filter(|(name, _)| {
            let planner = home_of(&format!("orders/{name}"), &view.members, None, None);
            planner.is_some_and(|member| member.id == view.me.id)
        })
        .map(|(name, service)| (name.clone(), service.clone()))
        .collect()
}

impl ServicePlanner {
    fn new(parts: &NodeParts, view: &FleetView, name: ServiceName) -> Self {
        let settings = LeaseSettings {
            holder: view.me.id.clone(),
            incarnation: view.me.incarnation,
            ttl: LEASE_TTL,
        };
        Self {
            lease: Lease::new(parts.store.clone(), name, settings),
            held: None,
            plan: Plan::default(),
            written: None,
            ordered: Vec::new(),
        }
    }

    /// Releases the lease after the planner was assigned to another instance, which would otherwise have to wait for
    /// the lease to expire before its first order.
    async fn release_lease(&mut self, name: &ServiceName) {
        let Some(held) = self.held.take() else { return };
        if let Err(error) = self.lease.release(held).await {
            log::debug!(service = name.as_str(); "lease release failed: {error}");
        }
    }

    async fn run_round(
        &mut self,
        parts: &NodeParts,
        relay: &OrderRelay,
        client: &UpstreamClient,
        view: &FleetView,
        name: &ServiceName,
        service: &Service,
    ) -> Result<(), LeaseError> {
        let states = view
            .upstreams
            .get(name)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let engines = engine_states(client, states).await;
        let requirements = requirements(view, service, engines.len());
        self.plan = plan(&requirements, &engines, &self.plan);
        if self.plan.pending.is_empty() {
            // Without pending orders, the fleet makes no store calls, and a successor need not wait for the lease to
            // expire.
            if let Some(held) = self.held.take() {
                self.lease.release(held).await?;
            }
            return Ok(());
        }
        let fence = self.acquire_or_renew().await?;
        self.write_plan(parts, name, fence).await?;
        let now = MonoTime::now();
        // Loads of a version that is no longer desired do not count. Otherwise engines would be ordered to load the new
        // version only after the old loads had timed out.
        self.ordered
            .retain(|(load, at)| now.since(*at) < LOAD_TIMEOUT && self.plan.pending.contains(load));
        for load in self
            .plan
            .next_loads(now, self.ordered.len(), MAX_CONCURRENT_LOADS)
        {
            // Checked again before each order, because the process may have been paused since the last one.
            let Some(fence) = self.held.as_ref().and_then(HeldLease::fence) else {
                return Err(LeaseError::Expired);
            };
            let answer = send_order(parts, relay, view, name, &load, fence).await;
            self.plan.defer(now, &load.upstream);
            if answer.accepted {
                self.ordered.push((load.clone(), now));
                log::info!(service = name.as_str(), upstream = load.upstream.as_str(), model = load.model.as_str(); "model load ordered");
            } else {
                log::warn!(service = name.as_str(), upstream = load.upstream.as_str(); "model load order refused: {}", answer.problem);
            }
            if answer.highest_fence > fence {
                self.held = None;
                return Err(LeaseError::HeldByOther);
            }
        }
        Ok(())
    }

    /// Acquires or renews the lease and returns its fencing token.
    async fn acquire_or_renew(&mut self) -> Result<u64, LeaseError> {
        let mut held = self.held.take();
        if let Some(lease) = &mut held
            && self.lease.renew(lease).await.is_err()
        {
            held = None;
        }
        let held = match held {
            Some(held) => held,
            None => self.lease.acquire().await?,
        };
        let fence = held.fence().ok_or(LeaseError::Expired)?;
        self.held = Some(held);
        Ok(fence)
    }

    /// Writes the plan unless it is already written. Fails if a newer lease holder has written one.
    async fn write_plan(
        &mut self,
        parts: &NodeParts,
        name: &ServiceName,
        fence: u64,
    ) -> Result<(), LeaseError> {
        let record = PlanRecord {
            fence,
            desired: self.plan.desired.clone(),
        };
        if self.written.as_ref() == Some(&record) {
            return Ok(());
        }
        let store = &parts.store;
        let found = store.get(Purpose::Leases, PLAN_KIND, name.as_str()).await?;
        let precondition = match found {
            None => Precondition::Absent,
            Some(found) => {
                let stored: PlanRecord = serde_json::from_value(found.value).unwrap_or_default();
                if stored.fence > fence {
                    return Err(LeaseError::HeldByOther);
                }
                Precondition::Version(found.version)
            }
        };
        let Ok(value) = serde_json::to_value(&record) else {
            return Err(LeaseError::Unknown);
        };
        let own_record = record.clone();
        let is_own_write = move |stored: &serde_json::Value| {
            serde_json::from_value::<PlanRecord>(stored.clone())
                .is_ok_and(|stored| stored == own_record)
        };
        let written = store
            .write_verified(
                Purpose::Leases,
                PLAN_KIND,
                name.as_str(),
                precondition,
                &value,
                is_own_write,
            )
            .await;
        match written {
            WriteResult::Written { .. } => {
                self.written = Some(record);
                Ok(())
            }
            WriteResult::Conflict { .. } => Err(LeaseError::HeldByOther),
            WriteResult::NotWritten(error) => Err(error.into()),
            WriteResult::Unknown { .. } => Err(LeaseError::Unknown),
        }
    }
}

/// Returns the engines that answer and are not leaving, with the models they report as loaded.
async fn engine_states(client: &UpstreamClient, states: &[UpstreamState]) -> Vec<EngineState> {
    let reads = states
        .iter()
        .filter(|state| !state.leaving)
        .map(|state| async move {
            let report =
                tokio::time::timeout(REPORT_TIMEOUT, client.load_report(state.upstream.address))
                    .await;
            let report = report.ok()?.ok()?;
            Some(EngineState {
                id: state.upstream.id.clone(),
                loaded: report.models,
            })
        });
    futures::future::join_all(reads)
        .await
        .into_iter()
        .flatten()
        .collect()
}

/// Returns the requirements of a service's only model, which is needed on all engines of the service.
fn requirements(
    view: &FleetView,
    service: &Service,
    engines: usize,
) -> BTreeMap<String, ModelRequirements> {
    let Some(name) = &service.model else {
        return BTreeMap::new();
    };
    let Some(model) = view.config.models.get(name) else {
        return BTreeMap::new();
    };
    let requirements = ModelRequirements {
        version: model.version.clone(),
        floor: model.floor,
        demand: engines as f64,
    };
    BTreeMap::from([(name.clone(), requirements)])
}

/// Sends one order through the upstream's home.
async fn send_order(
    parts: &NodeParts,
    relay: &OrderRelay,
    view: &FleetView,
    service: &ServiceName,
    load: &ModelLoad,
    fence: u64,
) -> OrderAnswer {
    let order = OrderPass {
        service: service.to_string(),
        upstream: load.upstream.to_string(),
        fence,
        models: vec![load.model.clone()],
        role: String::new(),
    };
    let home = view
        .upstream(service, &load.upstream)
        .and_then(|state| state.home.as_ref());
    let Some(home) = home else {
        return OrderAnswer {
            problem: "the upstream has no home".to_owned(),
            ..OrderAnswer::default()
        };
    };
    if *home == view.me.id {
        return relay.relay(order).await;
    }
    let Some(member) = view.member(home) else {
        return OrderAnswer {
            problem: "the home is gone".to_owned(),
            ..OrderAnswer::default()
        };
    };
    match parts
        .peers
        .get(member)
        .client()
        .pass_order(timed(order))
        .await
    {
        Ok(answer) => answer.into_inner(),
        Err(status) => OrderAnswer {
            problem: status.message().to_owned(),
            ..OrderAnswer::default()
        },
    }
}
