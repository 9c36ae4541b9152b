//! Startup of the fleet layer's parts, tasks and server.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use arc_swap::ArcSwap;
use ractor::{Actor, ActorRef};
use tc_membership::{Record, home_and_copies};
use tc_platform::Store;
use tc_policy::SuspectPolicy;
use tc_protocol::{FleetView, Policy, StoreHealth};
use tc_upstream::UpstreamClient;
use tokio::net::{TcpListener, UdpSocket};
use tonic::transport::server::TcpIncoming;

use crate::{
    FleetError, FleetSettings, convert,
    generated::{Introduction, fleet_server::FleetServer},
    gossip::GossipSocket,
    homes::{HomesActor, HomesArgs},
    loads::read_loads,
    node::{NodeMsg, NodeParts},
    peers::{PeerPool, timed},
    server::{FleetService, ServiceParts, check_token},
    store_watch::read_lists,
    summary::SummaryTable,
    suspects::{CrashCheck, SuspectPeers, SuspectTable},
};

/// Interval between attempts to get the member list from seeds while no other member is known.
const INTRODUCE_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) async fn start_parts(
    settings: &FleetSettings,
    store: Store,
    socket: UdpSocket,
    upstream: &UpstreamClient,
) -> Result<NodeParts, FleetError> {
    let view = Arc::new(ArcSwap::from_pointee(initial_view(settings)));
    let summaries = Arc::new(SummaryTable::default());
    let peers = Arc::new(PeerPool::new(
        settings.me.clone(),
        settings.fleet_listen.ip(),
        settings.keys.clone(),
        Arc::clone(&summaries),
        settings.traffic.clone(),
    ));
    let homes_args = HomesArgs {
        summaries: Arc::clone(&summaries),
    };
    let (homes, _) = Actor::spawn(None, HomesActor, homes_args)
        .await
        .map_err(|error| FleetError::Actors(error.to_string()))?;
    let suspects = Arc::new(SuspectTable::new(
        settings.me.id.clone(),
        suspect_policy(),
        suspect_peers(&view, &peers),
        Some(CrashCheck::new(upstream.clone())),
    ));
    Ok(NodeParts {
        view,
        known: Arc::default(),
        summaries,
        peers,
        homes,
        held: Arc::default(),
        limits: Arc::default(),
        suspects,
        drained: Arc::default(),
        store,
        config_version: Arc::new(AtomicU64::new(0)),
        socket: GossipSocket::new(socket, settings.keys.clone()),
    })
}

/// Instances that keep a copy of the evidence of a service's suspect home.
const SUSPECT_COPIES: usize = 2;

/// Requires trials from the first crash: an upstream has few inputs in flight, and each crash costs seconds.
fn suspect_policy() -> SuspectPolicy {
    SuspectPolicy {
        crashes_to_quarantine: Policy::default().crashes_to_quarantine,
        crashes_to_quarantine_part: Policy::default().crashes_to_quarantine,
        crashes_to_trial: 1,
        needs_lone_crash: false,
        trial_delay: Duration::ZERO,
        quarantine_duration: None,
    }
}

fn suspect_peers(view: &Arc<ArcSwap<FleetView>>, peers: &Arc<PeerPool>) -> SuspectPeers {
    let (view, peers) = (Arc::clone(view), Arc::clone(peers));
    SuspectPeers {
        home_and_copies: Box::new(move |key| {
            let view = view.load();
            let members = home_and_copies(key, &view.members, SUSPECT_COPIES);
            members.into_iter().cloned().collect()
        }),
        send: Box::new(move |member, report| {
            let peers = Arc::clone(&peers);
            Box::pin(async move {
                let answer = peers.get(&member).client().suspects(timed(report)).await;
                answer.ok().map(tonic::Response::into_inner)
            })
        }),
    }
}

fn initial_view(settings: &FleetSettings) -> FleetView {
    FleetView {
        me: settings.me.clone(),
        members: vec![settings.me.clone()].into(),
        config: Arc::default(),
        upstreams: Arc::new(BTreeMap::new()),
        store: StoreHealth::default(),
    }
}

pub(crate) fn start_tasks(
    settings: &FleetSettings,
    parts: &NodeParts,
    node: &ActorRef<NodeMsg>,
    upstream: &UpstreamClient,
) {
    let to_node = node.clone();
    let forward = move |datagram| to_node.cast(NodeMsg::Datagram(Box::new(datagram))).is_ok();
    tokio::spawn(parts.socket.clone().receive(forward));
    tokio::spawn(read_lists(parts.clone(), node.clone()));
    tokio::spawn(read_loads(parts.clone(), upstream.clone(), node.clone()));
    let limits = Arc::clone(&parts.limits);
    tokio::spawn(limits.run_reports(Arc::clone(&parts.view), Arc::clone(&parts.peers)));
    tokio::spawn(crate::quarantine::sync(parts.clone()));
    tokio::spawn(introduce(settings.clone(), parts.clone(), node.clone()));
    let node = node.clone();
    parts.suspects.set_announce_to_all(Box::new(move || {
        let _ = node.cast(NodeMsg::AnnounceToAll);
    }));
}

/// Requests the member list from seeds until another member is known, because the platform's list may be unavailable at
/// startup.
async fn introduce(settings: FleetSettings, parts: NodeParts, node: ActorRef<NodeMsg>) {
    let record = Record {
        member: settings.me.clone(),
        refutation: 0,
        revision: 0,
    };
    let me = convert::record_to_wire(&record);
    while parts.view.load().members.len() < 2 {
        for seed in settings
            .seeds
            .iter()
            .filter(|seed| **seed != settings.me.fleet_address)
        {
            let mut client = parts.peers.client_at(*seed);
            let introduction = timed(Introduction {
                me: Some(me.clone()),
                ..Introduction::default()
            });
            let Ok(list) = client.introduce(introduction).await else {
                continue;
            };
            let records: Vec<Record> = list
                .into_inner()
                .members
                .iter()
                .filter_map(convert::record_from_wire)
                .collect();
            let _ = node.cast(NodeMsg::MergeRecords(records));
            break;
        }
        tokio::time::sleep(INTRODUCE_INTERVAL).await;
    }
}

pub(crate) fn serve(settings: &FleetSettings, listener: TcpListener, parts: ServiceParts) {
    let service = FleetServer::with_interceptor(
        FleetService(Arc::new(parts)),
        check_token(settings.keys.clone()),
    );
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    tokio::spawn(async move {
        let served = tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming);
        if let Err(error) = served.await {
            log::error!("fleet server failed: {error}");
        }
    });
}
