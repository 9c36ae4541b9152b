//! The handle of the fleet layer for the rest of the process.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use ractor::{Actor, ActorRef};
use tc_membership::shuffle_shard;
use tc_platform::{Purpose, Store, StoreError};
use tc_protocol::{
    Fingerprint, FleetView, InstanceId, MonoTime, Permit, PermitRefusal, PermitRequest, RequestId,
    UpstreamId, UpstreamSummary, WorkspaceLimitGuard, WorkspaceName,
    wire::{AddressAnswer, CallerAddress},
};
use tc_upstream::UpstreamClient;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::oneshot,
};

use crate::{
    FleetError, FleetSettings,
    entry::{PermitClient, PermitClientArgs},
    generated::{ExplainQuestion, LeaveOrder, ReportQuestion},
    homes::HomesMsg,
    node::{NodeActor, NodeArgs, NodeMsg, NodeParts},
    orders::{OrderRelay, run_planner},
    peers::timed,
    server::ServiceParts,
    start::{serve, start_parts, start_tasks},
    store_watch::DRAIN_KIND,
};

/// Produce the JSON that this instance returns to other instances about itself.
pub struct ReportHandlers {
    /// Returns the explanation of a request that this instance accepted.
    pub explain: Box<dyn Fn(RequestId) -> BoxFuture<'static, Option<String>> + Send + Sync>,
    /// Returns this instance's part of a fleet report.
    pub report: Box<dyn Fn(()) -> BoxFuture<'static, Option<String>> + Send + Sync>,
}

/// Handle of the fleet layer. Clones share the same layer.
#[derive(Clone)]
pub struct Fleet {
    inner: Arc<Inner>,
}

struct Inner {
    parts: NodeParts,
    node: ActorRef<NodeMsg>,
    permits: Arc<PermitClient>,
}

impl Fleet {
    /// Starts actors, sockets and tasks on the current runtime, which must be the control thread's.
    ///
    /// # Errors
    /// Returns [`FleetError::Listen`] if the address cannot be bound and [`FleetError::Actors`] if an actor does not
    /// start.
    pub async fn start(
        settings: FleetSettings,
        store: Store,
        upstream: UpstreamClient,
        reports: ReportHandlers,
    ) -> Result<Self, FleetError> {
        let address = settings.fleet_listen;
        let listen = |source| FleetError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen)?;
        let socket = UdpSocket::bind(address).await.map_err(listen)?;
        let parts = start_parts(&settings, store, socket, &upstream).await?;
        let node_args = NodeArgs {
            me: settings.me.clone(),
            membership: settings.membership.clone(),
            parts: parts.clone(),
        };
        let (node, _) = Actor::spawn(None, NodeActor, node_args)
            .await
            .map_err(|error| FleetError::Actors(error.to_string()))?;
        start_tasks(&settings, &parts, &node, &upstream);
        let service = ServiceParts {
            parts: parts.clone(),
            node: node.clone(),
            orders: start_orders(&parts, upstream),
            explain: reports.explain,
            report: reports.report,
        };
        serve(&settings, listener, service);
        let permits = Arc::new(PermitClient::new(permit_client_args(
            &settings, &parts, &node,
        )));
        Ok(Self {
            inner: Arc::new(Inner {
                parts,
                node,
                permits,
            }),
        })
    }

    /// Returns the current view of the fleet. Never blocks.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.inner.parts.view.load_full()
    }

    /// Requests a permit to call any upstream of the requested service.
    #[must_use]
    pub fn request_permit(
        &self,
        request: PermitRequest,
    ) -> BoxFuture<'static, Result<Permit, PermitRefusal>> {
        Box::pin(Arc::clone(&self.inner.permits).request_permit(request))
    }

    /// Counts one request against its workspace's limits. The error is the time after which to try again.
    pub fn start_request(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<WorkspaceLimitGuard, Duration> {
        self.inner.parts.limits.try_start(workspace)
    }

    /// Reports that an upstream crashed while it ran an input. Completes after the other instances had time to learn of
    /// it.
    #[must_use]
    pub fn report_crash(&self, input: Fingerprint, upstream: UpstreamId) -> BoxFuture<'static, ()> {
        Box::pin(Arc::clone(&self.inner.parts.suspects).report_crash(input, upstream))
    }

    /// Reports that an input ran to a complete result.
    pub fn report_completed(&self, input: Fingerprint) {
        self.inner
            .parts
            .suspects
            .report_completed(input, &[input], None);
    }

    /// Returns the addresses that a workspace's callers should use.
    #[must_use]
    pub fn addresses(&self, workspace: &WorkspaceName) -> AddressAnswer {
        let view = self.view();
        let policy = &view.config.policy;
        let weight = view
            .config
            .workspaces
            .get(workspace)
            .map_or(1, |w| w.weight);
        let own_domain = &view.me.failure_domain;
        let instances = shuffle_shard(
            workspace,
            weight,
            policy.shard_size,
            &view.members,
            own_domain,
        )
        .into_iter()
        .map(|member| CallerAddress {
            id: member.id.clone(),
            incarnation: member.incarnation,
            address: member.caller_address,
            failure_domain: member.failure_domain.clone(),
            binding: format!("{}@{}", member.id, member.incarnation),
        })
        .collect();
        AddressAnswer {
            instances,
            max_age_s: policy.address_max_age_s,
        }
    }

    /// Announces that this instance is leaving, which is the first step of a planned shutdown.
    pub fn leave(&self) {
        let _ = self.inner.node.cast(NodeMsg::Leave);
    }

    /// Returns the number of homes on this instance and of their permits in flight.
    pub async fn home_counts(&self) -> (usize, usize) {
        let (reply, answer) = oneshot::channel();
        let _ = self.inner.parts.homes.cast(HomesMsg::Count(reply));
        answer.await.unwrap_or_default()
    }

    /// Returns the configuration revisions: active here, lowest of all live instances, and newest known.
    pub async fn revisions(&self) -> (u64, u64, u64) {
        match crate::server::call_node(&self.inner.node, NodeMsg::Revisions).await {
            Ok(revisions) => (revisions.active, revisions.lowest, revisions.newest),
            Err(_) => (0, 0, 0),
        }
    }

    /// Returns the latest load summary of an upstream and its age.
    #[must_use]
    pub fn summary(&self, upstream: &UpstreamId) -> Option<(UpstreamSummary, Duration)> {
        let cell = self.inner.parts.summaries.cell(upstream)?;
        cell.load(MonoTime::now())
            .map(|(summary, _, age)| (summary, age))
    }

    /// Fetches the explanation of a request as JSON from the instance that accepted it.
    pub async fn explain(&self, request: &RequestId) -> Option<String> {
        let view = self.view();
        let member = view.member(&request.entry_instance()?)?;
        let mut client = self.inner.parts.peers.get(member).client();
        let question = timed(ExplainQuestion {
            request: request.to_string(),
        });
        let answer = client.explain(question).await.ok()?.into_inner();
        (!answer.json.is_empty()).then_some(answer.json)
    }

    /// Fetches the reports of all other members as JSON; `None` for those that did not answer.
    pub async fn peer_reports(&self) -> Vec<(InstanceId, Option<String>)> {
        let view = self.view();
        let others = view.members.iter().filter(|member| member.id != view.me.id);
        let calls = others.map(|member| {
            let peer = self.inner.parts.peers.get(member);
            let id = member.id.clone();
            async move {
                match peer.client().report(timed(ReportQuestion {})).await {
                    Ok(answer) => (id, Some(answer.into_inner().json)),
                    Err(status) => {
                        log::warn!("{}", peer.call_error(&status));
                        (id, None)
                    }
                }
            }
        });
        futures::future::join_all(calls).await
    }

    /// Drains an instance, so that callers no longer get its address and its homes move away, or undoes the drain.
    ///
    /// # Errors
    /// Returns the reason as text if the instance is unknown or could not be reached.
    pub async fn drain_instance(&self, id: &InstanceId, drained: bool) -> Result<(), String> {
        let view = self.view();
        if *id == view.me.id {
            let message = if drained {
                NodeMsg::Leave
            } else {
                NodeMsg::CancelLeave
            };
            let _ = self.inner.node.cast(message);
            return Ok(());
        }
        let Some(member) = view.member(id) else {
            return Err(format!("instance {id} is not known"));
        };
        let peer = self.inner.parts.peers.get(member);
        let order = timed(LeaveOrder { leave: drained });
        let answered = peer.client().leave(order).await;
        answered
            .map(|_| ())
            .map_err(|status| peer.call_error(&status).to_string())
    }

    /// Returns whether the upstream was drained by an operator, as of the last read of the drain marks.
    #[must_use]
    pub fn is_drained(&self, id: &UpstreamId) -> bool {
        self.inner.parts.drained.load().contains(id)
    }

    /// Adds or removes the drain mark of an upstream in the platform's store.
    pub async fn drain_upstream(&self, id: &UpstreamId, drained: bool) -> Result<(), StoreError> {
        let store = &self.inner.parts.store;
        let found = store
            .get(Purpose::Operator, DRAIN_KIND, id.as_str())
            .await?;
        match (found, drained) {
            (None, true) => {
                let value = serde_json::json!({ "drained": true });
                store
                    .create(Purpose::Operator, DRAIN_KIND, id.as_str(), &value)
                    .await
                    .map(|_| ())
            }
            (Some(found), false) => {
                store
                    .delete(Purpose::Operator, DRAIN_KIND, id.as_str(), found.version)
                    .await
            }
            _ => Ok(()),
        }
    }
}

fn start_orders(parts: &NodeParts, upstream: UpstreamClient) -> Arc<OrderRelay> {
    let orders = Arc::new(OrderRelay::new(
        Arc::clone(&parts.known),
        Arc::clone(&parts.view),
        parts.store.clone(),
        upstream.clone(),
    ));
    tokio::spawn(run_planner(parts.clone(), Arc::clone(&orders), upstream));
    orders
}

fn permit_client_args(
    settings: &FleetSettings,
    parts: &NodeParts,
    node: &ActorRef<NodeMsg>,
) -> PermitClientArgs {
    PermitClientArgs {
        me: settings.me.id.clone(),
        policy: settings.policy,
        view: Arc::clone(&parts.view),
        summaries: Arc::clone(&parts.summaries),
        peers: Arc::clone(&parts.peers),
        homes: parts.homes.clone(),
        node: node.clone(),
        held: Arc::clone(&parts.held),
        suspects: Arc::clone(&parts.suspects),
    }
}
