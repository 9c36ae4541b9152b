//! The home's side of orders.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
};

use arc_swap::ArcSwap;
use tc_membership::OrderGuard;
use tc_platform::Store;
use tc_protocol::{FleetView, ServiceName, UpstreamId, wire::Order};
use tc_upstream::{OrderError, UpstreamClient};

use super::record::plan_fence;
use crate::{
    generated::{OrderAnswer, OrderPass},
    homes::KnownUpstream,
};

/// Passes orders on to upstreams homed here.
pub(crate) struct OrderDesk {
    known: Arc<ArcSwap<BTreeMap<UpstreamId, KnownUpstream>>>,
    view: Arc<ArcSwap<FleetView>>,
    store: Store,
    client: UpstreamClient,
    guards: Mutex<HashMap<UpstreamId, OrderGuard>>,
}

impl OrderDesk {
    pub(crate) fn new(
        known: Arc<ArcSwap<BTreeMap<UpstreamId, KnownUpstream>>>,
        view: Arc<ArcSwap<FleetView>>,
        store: Store,
        client: UpstreamClient,
    ) -> Self {
        Self {
            known,
            view,
            store,
            client,
            guards: Mutex::default(),
        }
    }

    /// Sends an order unless its fencing number is below the highest seen here or in the plan.
    ///
    /// Some upstreams ignore fencing numbers. A lease holder that was paused past its lease would then undo its
    /// successor's order, seen as a model loaded and unloaded in turn; here the late order is refused.
    pub(crate) async fn pass(&self, order: OrderPass) -> OrderAnswer {
        let upstream = UpstreamId::from(order.upstream.as_str());
        let Some(known) = self.known.load().get(&upstream).cloned() else {
            return refused(0, "this instance does not know the upstream");
        };
        if !known.mine {
            return refused(0, "this instance is not the upstream's home");
        }
        let service = ServiceName::from(order.service.as_str());
        // A home that has just got the upstream has seen no order yet; the plan tells it of newer holders.
        let Ok(plan_fence) = plan_fence(&self.store, &service).await else {
            return refused(0, "the plan cannot be read to check the fencing number");
        };
        if let Err(highest) = self.check(&upstream, plan_fence, order.fence) {
            return refused(highest, "the fencing number is old");
        }
        let checks = self.checks_orders(&known);
        let sent = Order {
            service,
            fence: order.fence,
            models: order.models,
            role: (!order.role.is_empty()).then_some(order.role),
        };
        match self.client.order(known.upstream.address, &sent).await {
            Ok(()) => OrderAnswer {
                accepted: true,
                ..OrderAnswer::default()
            },
            Err(OrderError::Refused { highest_fence }) if checks => refused(
                highest_fence,
                "the upstream has seen a higher fencing number",
            ),
            Err(error) => refused(0, &error.to_string()),
        }
    }

    fn check(&self, upstream: &UpstreamId, plan_fence: u64, fence: u64) -> Result<(), u64> {
        let mut guards = self.guards.lock().unwrap_or_else(PoisonError::into_inner);
        let guard = guards
            .entry(upstream.clone())
            .or_insert_with(|| OrderGuard::new(plan_fence));
        guard.record(plan_fence);
        guard.check(fence).map_err(|stale| stale.highest)
    }

    fn checks_orders(&self, known: &KnownUpstream) -> bool {
        let view = self.view.load();
        view.config
            .services
            .get(&known.service)
            .is_some_and(|service| service.checks_orders)
    }
}

fn refused(highest_fence: u64, problem: &str) -> OrderAnswer {
    OrderAnswer {
        accepted: false,
        highest_fence,
        problem: problem.to_owned(),
    }
}
