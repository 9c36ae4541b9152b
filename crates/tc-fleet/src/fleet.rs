//! Starting the fleet layer, and the handle that the rest of the process uses.

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
    entry::{AskDesk, DeskArgs},
    generated::{ExplainQuestion, LeaveOrder, ReportQuestion},
    homes::HomesMsg,
    node::{NodeActor, NodeArgs, NodeMsg, NodeParts},
    orders::{OrderDesk, run_planner},
    peers::timed,
    server::ServiceParts,
    start::{serve, start_parts, start_tasks},
    store_watch::DRAIN_KIND,
};

/// What this instance tells other instances of itself, as JSON texts.
pub struct ReportHandlers {
    /// The explanation of a request kept here.
    pub explain: Box<dyn Fn(RequestId) -> BoxFuture<'static, Option<String>> + Send + Sync>,
    /// This instance's part of a fleet report.
    pub report: Box<dyn Fn(()) -> BoxFuture<'static, Option<String>> + Send + Sync>,
}

/// Handle of the fleet layer; clones share it.
#[derive(Clone)]
pub struct Fleet {
    inner: Arc<Inner>,
}

struct Inner {
    parts: NodeParts,
    node: ActorRef<NodeMsg>,
    desk: Arc<AskDesk>,
}

impl Fleet {
    /// Starts actors, sockets and tasks on the current runtime, which is the control thread's.
    ///
    /// # Errors
    /// [`FleetError::Listen`] when the address is taken, [`FleetError::Actors`] when an actor does not start.
    pub async fn start(
        settings: FleetSettings,
        store: Store,
        upstream: UpstreamClient,
        local: ReportHandlers,
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
            explain: local.explain,
            report: local.report,
        };
        serve(&settings, listener, service);
        let desk = Arc::new(AskDesk::new(desk_args(&settings, &parts, &node)));
        Ok(Self {
            inner: Arc::new(Inner { parts, node, desk }),
        })
    }

    /// The fleet as of now; never waits.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.inner.parts.view.load_full()
    }

    /// Gets a permit to call some upstream of the asked service.
    #[must_use]
    pub fn request_permit(
        &self,
        request: PermitRequest,
    ) -> BoxFuture<'static, Result<Permit, PermitRefusal>> {
        Box::pin(Arc::clone(&self.inner.desk).request_permit(request))
    }

    /// Counts one request against its workspace's limits; the error is when to ask again.
    pub fn start_request(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<WorkspaceLimitGuard, Duration> {
        self.inner.parts.limits.start(workspace)
    }

    /// Tells that an upstream died under an input; done once the fleet is warned.
    #[must_use]
    pub fn report_crash(&self, input: Fingerprint, upstream: UpstreamId) -> BoxFuture<'static, ()> {
        Box::pin(Arc::clone(&self.inner.parts.suspects).report_crash(input, upstream))
    }

    /// Tells that an input ran to its end.
    pub fn report_completed(&self, input: Fingerprint) {
        self.inner.parts.suspects.report_completed(input);
    }

    /// The addresses a workspace's callers should use.
    #[must_use]
    pub fn addresses(&self, workspace: &WorkspaceName) -> AddressAnswer {
        let view = self.view();
        let policy = &view.config.policy;
        let weight = view
            .config
            .workspaces
            .get(workspace)
            .map_or(1, |w| w.weight);
        let near = &view.me.failure_domain;
        let instances = shuffle_shard(workspace, weight, policy.shard_size, &view.members, near)
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

    /// First step of a planned stop: tells everyone that this instance is leaving.
    pub fn leave(&self) {
        let _ = self.inner.node.cast(NodeMsg::Leave);
    }

    /// Upstreams homed here and permits they have in flight.
    pub async fn home_counts(&self) -> (usize, usize) {
        let (reply, answer) = oneshot::channel();
        let _ = self.inner.parts.homes.cast(HomesMsg::Count(reply));
        answer.await.unwrap_or_default()
    }

    /// Configuration revisions: in force here, lowest over live instances, newest known.
    pub async fn revisions(&self) -> (u64, u64, u64) {
        match crate::server::ask(&self.inner.node, NodeMsg::Revisions).await {
            Ok(revisions) => (revisions.in_force, revisions.lowest, revisions.newest),
            Err(_) => (0, 0, 0),
        }
    }

    /// Last known load of an upstream and the age of that knowledge.
    #[must_use]
    pub fn summary(&self, upstream: &UpstreamId) -> Option<(UpstreamSummary, Duration)> {
        let cell = self.inner.parts.summaries.cell(upstream)?;
        cell.load(MonoTime::now())
            .map(|(summary, _, age)| (summary, age))
    }

    /// Explanation of a request as JSON, fetched from the instance that accepted it.
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

    /// Every other live instance's report as JSON, by instance; `None` for those that did not answer.
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
                        log::warn!("{}", peer.failed(&status));
                        (id, None)
                    }
                }
            }
        });
        futures::future::join_all(calls).await
    }

    /// Takes an instance out of the address answers and moves its homes away, or lets it come back.
    ///
    /// The error says why it could not be told.
    pub async fn drain_instance(&self, id: &InstanceId, drained: bool) -> Result<(), String> {
        let view = self.view();
        if *id == view.me.id {
            let message = if drained {
                NodeMsg::Leave
            } else {
                NodeMsg::Stay
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
            .map_err(|status| peer.failed(&status).to_string())
    }

    /// Whether an operator drained the upstream, as of the last read of the marks.
    #[must_use]
    pub fn is_drained(&self, id: &UpstreamId) -> bool {
        self.inner.parts.drained.load().contains(id)
    }

    /// Marks an upstream as drained, or takes the mark away, in the platform's store.
    pub async fn drain_upstream(&self, id: &UpstreamId, drained: bool) -> Result<(), StoreError> {
        let store = &self.inner.parts.store;
        let now = store
            .get(Purpose::Operator, DRAIN_KIND, id.as_str())
            .await?;
        match (now, drained) {
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

fn start_orders(parts: &NodeParts, upstream: UpstreamClient) -> Arc<OrderDesk> {
    let orders = Arc::new(OrderDesk::new(
        Arc::clone(&parts.known),
        Arc::clone(&parts.view),
        parts.store.clone(),
        upstream.clone(),
    ));
    tokio::spawn(run_planner(parts.clone(), Arc::clone(&orders), upstream));
    orders
}

fn desk_args(settings: &FleetSettings, parts: &NodeParts, node: &ActorRef<NodeMsg>) -> DeskArgs {
    DeskArgs {
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
