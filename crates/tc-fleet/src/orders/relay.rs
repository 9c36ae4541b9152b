//! The home's side of orders: checks their fencing tokens and sends them to the upstreams.

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

/// Relays orders to the upstreams whose home is here.
pub(crate) struct OrderRelay {
    known: Arc<ArcSwap<BTreeMap<UpstreamId, KnownUpstream>>>,
    view: Arc<ArcSwap<FleetView>>,
    store: Store,
    client: UpstreamClient,
    guards: Mutex<HashMap<UpstreamId, OrderGuard>>,
}

impl OrderRelay {
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

    /// Sends an order unless its fencing token is lower than the highest one seen here or in the plan.
    ///
    /// Some upstreams ignore fencing tokens. With those, a lease holder that was paused past the end of its lease would
    /// undo its successor's order, and models would be loaded and unloaded in turn. The check here refuses the stale
    /// order.
    pub(crate) async fn relay(&self, order: OrderPass) -> OrderAnswer {
        let upstream = UpstreamId::from(order.upstream.as_str());
        let Some(known) = self.known.load().get(&upstream).cloned() else {
            return refused(0, "this instance does not know the upstream");
        };
        if !known.homed_here {
            return refused(0, "this instance is not the upstream's home");
        }
        let service = ServiceName::from(order.service.as_str());
        // A new home has seen no orders yet, so it learns of newer lease holders from the plan.
        let Ok(plan_fence) = plan_fence(&self.store, &service).await else {
            return refused(0, "the plan cannot be read to check the fencing number");
        };
        if let Err(highest) = self.check_fence(&upstream, plan_fence, order.fence) {
            return refused(highest, "the fencing number is old");
        }
        let checks_orders = self.checks_orders(&known);
        let sent = Order {
            service,
            fence: order.fence,
            models: order.models,
            role: (!order.role.is_empty()).then_some(order.role),
        };
        match self.client.send_order(known.upstream.address, &sent).await {
            Ok(()) => OrderAnswer {
                accepted: true,
                ..OrderAnswer::default()
            },
            Err(OrderError::Refused { highest_fence }) if checks_orders => refused(
                highest_fence,
                "the upstream has seen a higher fencing number",
            ),
            Err(error) => refused(0, &error.to_string()),
        }
    }

    fn check_fence(&self, upstream: &UpstreamId, plan_fence: u64, fence: u64) -> Result<(), u64> {
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
