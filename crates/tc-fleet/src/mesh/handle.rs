//! Starting the mesh, and the handle that the rest of the process uses.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use arc_swap::ArcSwap;
use futures::{StreamExt, stream::BoxStream};
use ractor::{Actor, ActorRef};
use tc_membership::{MembershipConfig, home_of};
use tc_policy::HomeOutlook;
use tc_protocol::{
    Fingerprint, InstanceId, Member, PermitRefusal, ServiceName, UpstreamId, WorkspaceName,
    routing::{ResultHandle, StageRequest},
};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
};
use tonic::{Code, Request, transport::server::TcpIncoming};

use super::{
    actor::{MeshActor, MeshArgs, MeshMsg, Published, others},
    limits::UpstreamLimits,
    messages::{MeshError, PiecesAnswer, answer_from_wire, ask_to_wire, outlook_from_wire, texts},
    peers::Peers,
    service::{MeshHandlers, Service},
    suspects::suspect_table,
    world_news::{WorldHave, WorldNews, world_news_from_wire},
};
use crate::{
    FleetError, FleetKeys,
    generated::{self as wire, FreeResultsMessage, OutlookAsk, mesh_server::MeshServer},
    gossip::GossipSocket,
    peers::timed,
    server::check_token,
    suspects::{Origin, SuspectTable, TrialGuard},
};

/// How long an ask for pieces may outlive the request's own time, for the way back.
const ASK_GRACE: Duration = Duration::from_millis(200);

/// What [`Mesh::start`] needs to know.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// This instance.
    pub me: Member,
    /// Where to listen for other instances, TCP and UDP.
    pub listen: SocketAddr,
    /// Keys that authenticate instances to each other.
    pub keys: FleetKeys,
    /// Probe timings.
    pub timing: MembershipConfig,
    /// Runs calls to and from other instances; the traffic threads' runtime.
    pub traffic: tokio::runtime::Handle,
    /// Rate limits of upstreams, shared with the rest of the process.
    pub limits: Arc<UpstreamLimits>,
}

/// The run of a request that may crash upstreams; others of its kind wait until it is dropped.
pub struct SuspectRun {
    _trial: TrialGuard,
}

/// Handle of the mesh; clones share it.
#[derive(Clone)]
pub struct Mesh {
    pub(super) inner: Arc<Inner>,
}

pub(super) struct Inner {
    pub(super) me: Member,
    pub(super) node: ActorRef<MeshMsg>,
    pub(super) published: Arc<Published>,
    pub(super) peers: Arc<Peers>,
    suspects: Arc<SuspectTable>,
    pub(super) limits: Arc<UpstreamLimits>,
}

impl Mesh {
    /// Starts the actor, sockets and server on the current runtime, which is the control thread's.
    ///
    /// # Errors
    /// [`FleetError::Listen`] when the address is taken, [`FleetError::Actors`] when the actor does not start.
    pub async fn start(
        settings: MeshSettings,
        handlers: Arc<MeshHandlers>,
    ) -> Result<Self, FleetError> {
        let address = settings.listen;
        let listen = |source| FleetError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen)?;
        let socket = UdpSocket::bind(address).await.map_err(listen)?;
        let socket = GossipSocket::new(socket, settings.keys.clone());
        let peers = Arc::new(Peers::new(address.ip(), settings.keys.clone()));
        let published = Arc::new(Published {
            members: ArcSwap::from_pointee(vec![settings.me.clone()]),
            view: AtomicU64::new(0),
            changes: watch::Sender::new(0),
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
        let (node, _) = Actor::spawn(None, MeshActor, args)
            .await
            .map_err(|error| FleetError::Actors(error.to_string()))?;
        let to_node = node.clone();
        tokio::spawn(
            socket.receive(move |datagram| {
                to_node.cast(MeshMsg::Datagram(Box::new(datagram))).is_ok()
            }),
        );
        let spreader = node.clone();
        suspects.set_gossip_now(Box::new(move || {
            let _ = spreader.cast(MeshMsg::SpreadSuspects);
        }));
        let service = Service {
            node: node.clone(),
            suspects: Arc::clone(&suspects),
            limits: Arc::clone(&settings.limits),
            handlers,
        };
        serve(&settings.keys, &settings.traffic, listener, service);
        Ok(Self {
            inner: Arc::new(Inner {
                me: settings.me,
                node,
                published,
                peers,
                suspects,
                limits: settings.limits,
            }),
        })
    }

    /// This instance.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.inner.me
    }

    /// All known instances, this one included; never waits.
    #[must_use]
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.inner.published.members.load_full()
    }

    /// Told whenever [`Mesh::members`] may have changed.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.published.changes.subscribe()
    }

    /// The instance that holds the role named by `key`, leaving out those in `except`.
    #[must_use]
    pub fn home(&self, key: &str, except: &[InstanceId]) -> Option<Member> {
        let members = self.members();
        if except.is_empty() {
            return home_of(key, &members, None, None).cloned();
        }
        let left: Vec<Member> = members
            .iter()
            .filter(|m| !except.contains(&m.id))
            .cloned()
            .collect();
        home_of(key, &left, None, None).cloned()
    }

    /// First step of a planned stop: tells everyone that this instance is leaving.
    pub fn leave(&self) {
        let _ = self.inner.node.cast(MeshMsg::Leave);
    }

    /// This process did not run for a while: others may have taken it for dead.
    pub fn woke(&self) {
        let _ = self.inner.node.cast(MeshMsg::Woke);
    }

    /// A call to the instance was not answered in time: it is probed next. It may only be busy, so its connection stays: hundreds
    /// that connect anew because of one slow moment are what keeps a busy home from recovering.
    pub fn probe(&self, id: &InstanceId) {
        let _ = self.inner.node.cast(MeshMsg::Probe(id.clone()));
    }

    /// A call to the instance failed: it is probed next, and the next call to it connects anew.
    pub fn doubt(&self, id: &InstanceId) {
        let _ = self.inner.node.cast(MeshMsg::Doubt(id.clone()));
    }

    /// Fleet addresses of the other instances that may answer.
    #[must_use]
    pub fn other_addresses(&self) -> Vec<SocketAddr> {
        others(&self.members(), &self.inner.me.id)
    }

    /// Asks a home to make the pieces of a stage. Dropping the future cancels what was not started.
    pub async fn make_pieces(
        &self,
        home: &Member,
        ask: &StageRequest,
    ) -> Result<PiecesAnswer, MeshError> {
        let mut req = Request::new(ask_to_wire(ask));
        req.set_timeout(ask.remaining + ASK_GRACE);
        let mut client = self.inner.peers.client(home);
        let answer = client
            .make_pieces(req)
            .await
            .map_err(|status| no_answer(home, &status))?;
        answer_from_wire(&answer.into_inner()).ok_or_else(|| MeshError::Malformed {
            instance: home.id.clone(),
        })
    }

    /// Tells a home that nobody reads these results any more.
    pub async fn free_results(
        &self,
        home: &Member,
        results: &[ResultHandle],
    ) -> Result<(), MeshError> {
        let req = timed(FreeResultsMessage {
            results: texts(results),
        });
        let mut client = self.inner.peers.client(home);
        let answer = client.free_results(req).await;
        answer
            .map(|_| ())
            .map_err(|status| no_answer(home, &status))
    }

    /// Asks the home of a batch service how it stands; `None` when it is not the home.
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
            .map_err(|status| no_answer(home, &status))?;
        Ok(answer.into_inner().home.as_ref().map(outlook_from_wire))
    }

    /// Waits for leave to run a request: at once unless it has crashed upstreams, in which case it runs once at a time
    /// over all instances, and not at all after a few crashes in a row.
    ///
    /// The guard is to be held until the run has ended.
    pub async fn try_run(
        &self,
        input: Fingerprint,
        service: &ServiceName,
        workspace: &WorkspaceName,
        slack: Duration,
    ) -> Result<Option<SuspectRun>, PermitRefusal> {
        let origin = Origin {
            workspace: workspace.clone(),
            service: service.clone(),
        };
        let trial = self.inner.suspects.try_trial(input, origin, slack).await?;
        Ok(trial.map(|trial| SuspectRun { _trial: trial }))
    }

    /// An upstream's connection broke while it ran a request. Tells the home of such requests without waiting for it.
    pub fn broke_under(
        &self,
        input: Fingerprint,
        service: &ServiceName,
        workspace: &WorkspaceName,
        upstream: UpstreamId,
    ) {
        let suspects = Arc::clone(&self.inner.suspects);
        let origin = Origin {
            workspace: workspace.clone(),
            service: service.clone(),
        };
        suspects.note_origin(input, origin);
        tokio::spawn(suspects.report_crash(input, upstream));
    }

    /// A request ran to its end: it crashes nothing.
    pub fn ran_whole(&self, input: Fingerprint) {
        self.inner.suspects.report_completed(input);
    }

    /// Follows what another instance hears from the store: at once what this one lacks, then each change.
    ///
    /// The stream ends with an error; dropping it ends it for the other too.
    pub async fn follow_world(
        &self,
        from: &Member,
        have: WorldHave,
    ) -> Result<BoxStream<'static, Result<WorldNews, MeshError>>, MeshError> {
        let have = wire::WorldHave {
            config_version: have.config_version,
            upstreams_revision: have.upstreams_revision,
            evacuated_revision: have.evacuated_revision,
        };
        let mut client = self.inner.peers.client(from);
        let news = client
            .follow_world(have)
            .await
            .map_err(|status| no_answer(from, &status))?;
        let from = from.clone();
        let read = move |news: Result<wire::WorldNews, tonic::Status>| {
            let news = news.map_err(|status| no_answer(&from, &status))?;
            world_news_from_wire(&news).ok_or_else(|| MeshError::Malformed {
                instance: from.id.clone(),
            })
        };
        Ok(news.into_inner().map(read).boxed())
    }
}

pub(super) fn no_answer(member: &Member, status: &tonic::Status) -> MeshError {
    if matches!(status.code(), Code::DeadlineExceeded | Code::Cancelled) {
        return MeshError::Late {
            instance: member.id.clone(),
        };
    }
    MeshError::NoAnswer {
        instance: member.id.clone(),
        problem: format!("{:?}: {}", status.code(), status.message()),
    }
}

fn serve(
    keys: &FleetKeys,
    traffic: &tokio::runtime::Handle,
    listener: TcpListener,
    service: Service,
) {
    let service = MeshServer::with_interceptor(service, check_token(keys.clone()));
    let Ok(listener) = listener.into_std() else {
        log::error!("the socket for other instances cannot be moved to the traffic threads");
        return;
    };
    traffic.spawn(async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("the socket for other instances cannot be used: {error}");
                return;
            }
        };
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let served = tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming);
        if let Err(error) = served.await {
            log::error!("serving other instances ended: {error}");
        }
    });
}
