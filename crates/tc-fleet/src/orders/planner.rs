//! The lease holder's side of orders: plans which engine has which model loaded, and has it ordered.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use tc_membership::{EngineState, ModelLoad, ModelRequirements, Plan, home_of, plan};
use tc_platform::{Expect, Held, Lease, LeaseError, LeaseSettings, Purpose, SureWrite};
use tc_protocol::{FleetView, MonoTime, Service, ServiceKind, ServiceName, UpstreamState};
use tc_upstream::UpstreamClient;

use super::{
    OrderDesk,
    record::{PLAN_KIND, PlanRecord},
};
use crate::{
    generated::{OrderAnswer, OrderPass},
    node::NodeParts,
    peers::timed,
};

/// Time between two looks at services that need no order.
const INTERVAL: Duration = Duration::from_secs(2);
/// Time between two looks while orders are due.
const BUSY_INTERVAL: Duration = Duration::from_millis(500);
/// How long the lease on a service's orders lasts without renewal. A successor waits for its end, so it is short; it
/// is renewed only while orders are due.
const LEASE_TTL: Duration = Duration::from_secs(4);
/// Loads of one service in progress at once: the weight store is rate-limited.
const LOADS_AT_ONCE: usize = 2;
/// An ordered load that is not reported by then counts as not in progress any more.
const LOAD_TIME: Duration = Duration::from_secs(30);
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// What one service's planner remembers between rounds.
struct ServicePlanner {
    lease: Lease,
    held: Option<Held>,
    plan: Plan,
    /// Fencing number of the plan in the platform, if it is known to be the one held here.
    written: Option<PlanRecord>,
    /// Loads ordered and not yet reported as done, each with the time of its order.
    ordered: Vec<(ModelLoad, MonoTime)>,
}

/// Plans the services placed on this instance, for ever.
pub(crate) async fn run(parts: NodeParts, desk: Arc<OrderDesk>, client: UpstreamClient) {
    let mut planners: HashMap<ServiceName, ServicePlanner> = HashMap::new();
    let mut wait = INTERVAL;
    loop {
        tokio::time::sleep(wait).await;
        wait = INTERVAL;
        let view = parts.view.load_full();
        let mine = mine(&view);
        for (name, planner) in &mut planners {
            if !mine.iter().any(|(placed, _)| placed == name) {
                planner.hand_over(name).await;
            }
        }
        for (name, service) in mine {
            let planner = planners
                .entry(name.clone())
                .or_insert_with(|| ServicePlanner::new(&parts, &view, name.clone()));
            let round = planner.round(&parts, &desk, &client, &view, &name, &service);
            if let Err(error) = round.await {
                log::debug!(service = name.as_str(); "no orders this round: {error}");
            }
            if !planner.plan.pending.is_empty() {
                wait = BUSY_INTERVAL;
            }
        }
    }
}

/// Engine services with a model whose planner is placed here.
fn mine(view: &FleetView) -> Vec<(ServiceName, Service)> {
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

    /// Gives the lease up when the planner is placed on another instance now, which otherwise had to wait for its end
    /// before its first order.
    async fn hand_over(&mut self, name: &ServiceName) {
        let Some(held) = self.held.take() else { return };
        if let Err(error) = self.lease.release(held).await {
            log::debug!(service = name.as_str(); "the lease was not released: {error}");
        }
    }

    async fn round(
        &mut self,
        parts: &NodeParts,
        desk: &OrderDesk,
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
        let needs = needs(view, service, engines.len());
        self.plan = plan(&needs, &engines, &self.plan);
        if self.plan.pending.is_empty() {
            // An idle fleet costs the store nothing, and a successor need not wait for the lease to end.
            if let Some(held) = self.held.take() {
                self.lease.release(held).await?;
            }
            return Ok(());
        }
        let fence = self.hold().await?;
        self.write_plan(parts, name, fence).await?;
        let now = MonoTime::now();
        // Loads of a version that is not wanted any more do not count: its engines would get the new one only when
        // the old loads had run out of time.
        self.ordered
            .retain(|(load, at)| now.since(*at) < LOAD_TIME && self.plan.pending.contains(load));
        for load in self.plan.next_loads(now, self.ordered.len(), LOADS_AT_ONCE) {
            // Asked anew before each order: the process may have been paused since the last one.
            let Some(fence) = self.held.as_ref().and_then(Held::fence) else {
                return Err(LeaseError::Lapsed);
            };
            let answer = give(parts, desk, view, name, &load, fence).await;
            self.plan.defer(now, &load.upstream);
            if answer.accepted {
                self.ordered.push((load.clone(), now));
                log::info!(service = name.as_str(), upstream = load.upstream.as_str(), model = load.model.as_str(); "load ordered");
            } else {
                log::warn!(service = name.as_str(), upstream = load.upstream.as_str(); "order refused: {}", answer.problem);
            }
            if answer.highest_fence > fence {
                self.held = None;
                return Err(LeaseError::HeldByOther);
            }
        }
        Ok(())
    }

    /// Acquires or renews the lease; returns its fencing number.
    async fn hold(&mut self) -> Result<u64, LeaseError> {
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
        let fence = held.fence().ok_or(LeaseError::Lapsed)?;
        self.held = Some(held);
        Ok(fence)
    }

    /// Writes the plan if it is not the one already written; refuses to go below a newer holder's.
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
        let expect = match found {
            None => Expect::Absent,
            Some(found) => {
                let there: PlanRecord = serde_json::from_value(found.value).unwrap_or_default();
                if there.fence > fence {
                    return Err(LeaseError::HeldByOther);
                }
                Expect::Version(found.version)
            }
        };
        let Ok(value) = serde_json::to_value(&record) else {
            return Err(LeaseError::Unknown);
        };
        let ours = record.clone();
        let is_ours = move |there: &serde_json::Value| {
            serde_json::from_value::<PlanRecord>(there.clone()).is_ok_and(|there| there == ours)
        };
        let written = store
            .write_sure(
                Purpose::Leases,
                PLAN_KIND,
                name.as_str(),
                expect,
                &value,
                is_ours,
            )
            .await;
        match written {
            SureWrite::Ours { .. } => {
                self.written = Some(record);
                Ok(())
            }
            SureWrite::Conflict { .. } => Err(LeaseError::HeldByOther),
            SureWrite::NotWritten(error) => Err(error.into()),
            SureWrite::Unknown { .. } => Err(LeaseError::Unknown),
        }
    }
}

/// Engines that answer and are not leaving, with the models they say they have loaded.
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

/// One service runs one model; its demand is all engines of the service.
fn needs(
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
    let need = ModelRequirements {
        version: model.version.clone(),
        floor: model.floor,
        demand: engines as f64,
    };
    BTreeMap::from([(name.clone(), need)])
}

/// Passes one order through the upstream's home.
async fn give(
    parts: &NodeParts,
    desk: &OrderDesk,
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
        return desk.pass(order).await;
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
