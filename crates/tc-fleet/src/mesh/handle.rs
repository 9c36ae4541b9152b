//! Startup of the mesh, and the handle to it.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use arc_swap::ArcSwap;
use futures::{StreamExt, stream::BoxStream};
use ractor::{Actor, ActorRef};
use tc_membership::MembershipConfig;
use tc_policy::{HomeOutlook, ReleasedResults};
use tc_protocol::{InstanceId, Member, ServiceName, routing::StageRequest};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
};
use tonic::{Code, Request, transport::server::TcpIncoming};

use super::{
    actor::{MeshActor, MeshArgs, MeshMsg, Published, other_addresses},
    fleet_share::SharedFleetShare,
    home_table::HomeTable,
    limits::UpstreamLimits,
    messages::{
        MeshError, PiecesAnswer, pieces_answer_from_wire, results_to_wire, stage_request_to_wire,
    },
    outlook_message::outlook_from_wire,
    peers::Peers,
    service::{MeshHandlers, Service},
    store_update::{StoreUpdate, WorldHave, store_update_from_wire},
    stored_config::ConfigAssembler,
    suspects::suspect_table,
};
use crate::{
    FleetError, FleetKeys,
    generated::{self as wire, FreeResultsMessage, OutlookAsk, mesh_server::MeshServer},
    gossip::GossipSocket,
    peers::timed,
    server::check_token,
    suspects::SuspectTable,
};

/// Time added to the remaining time of a stage request, so that the response can still arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(200);

/// Settings for [`Mesh::start`].
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// This instance.
    pub me: Member,
    /// Address to listen on for other instances, TCP and UDP.
    pub listen: SocketAddr,
    /// Keys that authenticate instances to each other.
    pub keys: FleetKeys,
    /// Probe intervals and timeouts.
    pub timing: MembershipConfig,
    /// Runtime of the traffic threads, which serves calls from other instances.
    pub traffic: tokio::runtime::Handle,
    /// Rate limits of upstreams, shared with the rest of the process.
    pub limits: Arc<UpstreamLimits>,
    /// This instance's share of what all instances may use together. The mesh exchanges the number of instances.
    pub share: Arc<SharedFleetShare>,
}

/// Handle to the mesh, cheap to clone.
#[derive(Clone)]
pub struct Mesh {
    pub(super) inner: Arc<Inner>,
}

pub(super) struct Inner {
    pub(super) me: Member,
    pub(super) actor: ActorRef<MeshMsg>,
    pub(super) published: Arc<Published>,
    pub(super) peers: Arc<Peers>,
    pub(super) suspects: Arc<SuspectTable>,
    pub(super) limits: Arc<UpstreamLimits>,
    pub(super) share: Arc<SharedFleetShare>,
}

impl Mesh {
    /// Starts the actor, the sockets and the server. Call it on the control thread's runtime.
    ///
    /// # Errors
    /// Returns [`FleetError::Listen`] if the address cannot be bound, and [`FleetError::Actors`] if the actor fails to
    /// start.
    pub async fn start(
        settings: MeshSettings,
        handlers: Arc<MeshHandlers>,
    ) -> Result<Self, FleetError> {
        let address = settings.listen;
        let listen_error = |source| FleetError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let socket = UdpSocket::bind(address).await.map_err(listen_error)?;
        let socket = GossipSocket::new(socket, settings.keys.clone());
        let peers = Arc::new(Peers::new(address.ip(), settings.keys.clone()));
        let published = Arc::new(Published {
            members: ArcSwap::from_pointee(vec![settings.me.clone()]),
            homes: HomeTable::default(),
            view_digest: AtomicU64::new(0),
            changes: watch::Sender::new(0),
            world: watch::Sender::new(WorldHave::default()),
            newer_world: watch::Sender::new(None),
        });
        let suspects = Arc::new(suspect_table(&settings.me.id, &published, &peers));
        let args = MeshArgs {
            me: settings.me.clone(),
            timing: settings.timing,
            socket: socket.clone(),
            peers: Arc::clone(&peers),
            published: Arc::clone(&published),
            suspects: Arc::clone(&suspects),
            limits: Arc::clone(&settings.limits),
        };
        let (actor, _) = Actor::spawn(None, MeshActor, args)
            .await
            .map_err(|error| FleetError::Actors(error.to_string()))?;
        let to_actor = actor.clone();
        tokio::spawn(
            socket.receive(move |datagram| {
                to_actor.cast(MeshMsg::Datagram(Box::new(datagram))).is_ok()
            }),
        );
        let to_actor = actor.clone();
        suspects.set_announce_to_all(Box::new(move || {
            let _ = to_actor.cast(MeshMsg::AnnounceToAll);
        }));
        let service = Service {
            actor: actor.clone(),
            suspects: Arc::clone(&suspects),
            limits: Arc::clone(&settings.limits),
            share: Arc::clone(&settings.share),
            handlers,
        };
        serve(&settings.keys, &settings.traffic, listener, service);
        Ok(Self {
            inner: Arc::new(Inner {
                me: settings.me,
                actor,
                published,
                peers,
                suspects,
                limits: settings.limits,
                share: settings.share,
            }),
        })
    }

    /// Returns this instance.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.inner.me
    }

    /// Returns all known instances, including this one, without blocking.
    #[must_use]
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.inner.published.members.load_full()
    }

    /// Returns a receiver that is notified when [`Mesh::members`] or [`Mesh::home`] may have changed.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.published.changes.subscribe()
    }

    /// Sets the services whose homes are spread over the instances, those with the most work at their homes first.
    ///
    /// Instances agree on the homes once they know the same members and services.
    pub fn set_services(&self, services: Vec<ServiceName>) {
        let published = &self.inner.published;
        if published.homes.set_services(services) {
            published.changes.send_modify(|count| *count += 1);
        }
    }

    /// Returns the instance that holds the role named by `key`, among those not in `excluded`.
    #[must_use]
    pub fn home(&self, key: &str, excluded: &[InstanceId]) -> Option<Member> {
        let members = self.members();
        let homes = &self.inner.published.homes;
        if excluded.is_empty() {
            return homes.home(key, &members);
        }
        let remaining: Vec<Member> = members
            .iter()
            .filter(|m| !excluded.contains(&m.id))
            .cloned()
            .collect();
        homes.home_among(key, &remaining)
    }

    /// Announces that this instance is leaving, as the first step of a planned stop.
    pub fn leave(&self) {
        let _ = self.inner.actor.cast(MeshMsg::Leave);
    }

    /// Announces that this instance reaches no upstream of some service, or that it does so again.
    pub fn set_isolated(&self, is_isolated: bool) {
        let _ = self.inner.actor.cast(MeshMsg::Isolated(is_isolated));
    }

    /// Reports that this process was paused, so that other instances may have declared it dead.
    pub fn resumed(&self) {
        let _ = self.inner.actor.cast(MeshMsg::Resumed);
    }

    /// Returns the fleet addresses of the other instances that are not dead.
    #[must_use]
    pub fn other_addresses(&self) -> Vec<SocketAddr> {
        other_addresses(&self.members(), &self.inner.me.id)
    }

    /// Asks a home to process the pieces of a stage. Dropping the future cancels the pieces that were not started.
    pub async fn make_pieces(
        &self,
        home: &Member,
        request: &StageRequest,
    ) -> Result<PiecesAnswer, MeshError> {
        let mut req = Request::new(stage_request_to_wire(request));
        req.set_timeout(request.remaining + RESPONSE_GRACE);
        let mut client = self.inner.peers.client(home);
        let answer = client
            .make_pieces(req)
            .await
            .map_err(|status| call_error(home, &status))?;
        pieces_answer_from_wire(&answer.into_inner()).ok_or_else(|| MeshError::Malformed {
            instance: home.id.clone(),
        })
    }

    /// Releases results through the home of their service.
    pub async fn free_results(
        &self,
        home: &Member,
        released: &ReleasedResults,
    ) -> Result<(), MeshError> {
        let req = timed(FreeResultsMessage {
            results: results_to_wire(&released.results),
            hold_ms: released.hold_for.as_millis() as u32,
        });
        let mut client = self.inner.peers.client(home);
        let answer = client.free_results(req).await;
        answer
            .map(|_| ())
            .map_err(|status| call_error(home, &status))
    }

    /// Asks the home of a batch service for its load. Returns `None` if the instance is not the home.
    pub async fn outlook(
        &self,
        home: &Member,
        service: &ServiceName,
    ) -> Result<Option<HomeOutlook>, MeshError> {
        let req = timed(OutlookAsk {
            service: service.to_string(),
        });
        let mut client = self.inner.peers.client(home);
        let answer = client
            .tell_outlook(req)
            .await
            .map_err(|status| call_error(home, &status))?;
        Ok(answer.into_inner().home.as_ref().map(outlook_from_wire))
    }

    /// Subscribes to the store state that another instance knows. The stream first yields what is newer than `have`,
    /// then each change.
    ///
    /// If the stream fails, its last item is an error. Dropping it cancels the call at the other instance.
    pub async fn follow_world(
        &self,
        from: &Member,
        have: WorldHave,
    ) -> Result<BoxStream<'static, Result<StoreUpdate, MeshError>>, MeshError> {
        let have = wire::WorldHave {
            config_version: have.config_version,
            upstreams_revision: have.upstreams_revision.to_bits(),
            upstreams_digest: have.upstreams_digest,
            evacuated_revision: have.evacuated_revision.to_bits(),
            accepts_compressed: true,
        };
        let mut client = self.inner.peers.client(from);
        let updates = client
            .follow_store(have)
            .await
            .map_err(|status| call_error(from, &status))?;
        let from = from.clone();
        let mut assembler = ConfigAssembler::default();
        let from_wire = move |message: Result<wire::WorldNews, tonic::Status>| {
            let message = message.map_err(|status| call_error(&from, &status))?;
            let message = assembler.complete(message);
            let update = message.and_then(|message| store_update_from_wire(&message));
            update.ok_or_else(|| MeshError::Malformed {
                instance: from.id.clone(),
            })
        };
        Ok(updates.into_inner().map(from_wire).boxed())
    }
}

pub(super) fn call_error(member: &Member, status: &tonic::Status) -> MeshError {
    if matches!(status.code(), Code::DeadlineExceeded | Code::Cancelled) {
        return MeshError::TimedOut {
            instance: member.id.clone(),
        };
    }
    if status.code() == Code::ResourceExhausted {
        return MeshError::Full {
            instance: member.id.clone(),
        };
    }
    if is_connection_refused(status) {
        return MeshError::Refused {
            instance: member.id.clone(),
        };
    }
    MeshError::NoAnswer {
        instance: member.id.clone(),
        problem: format!("{:?}: {}", status.code(), status.message()),
    }
}

fn is_connection_refused(status: &tonic::Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}

fn serve(
    keys: &FleetKeys,
    traffic: &tokio::runtime::Handle,
    listener: TcpListener,
    service: Service,
) {
    let service = MeshServer::with_interceptor(service, check_token(keys.clone()));
    let Ok(listener) = listener.into_std() else {
        log::error!("cannot move the fleet listener to the traffic threads");
        return;
    };
    traffic.spawn(async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("cannot use the fleet listener: {error}");
                return;
            }
        };
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let served = tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming);
        if let Err(error) = served.await {
            log::error!("fleet server failed: {error}");
        }
    });
}
