//! Channels to other instances, created on first use and dropped when the instance is dead.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tc_protocol::{Incarnation, InstanceId, Member};
use tokio::sync::mpsc;
use tonic::{
    Request, Status,
    metadata::{Ascii, MetadataValue},
    service::{Interceptor, interceptor::InterceptedService},
    transport::{Channel, Endpoint},
};

use super::stream::{self, StreamArgs, ToHome};
use crate::{
    FleetError, FleetKeys, generated::fleet_client::FleetClient, key::TOKEN_HEADER,
    settings::PEER_TIMEOUT, summary::SummaryTable,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of keep-alive pings on a channel with calls in progress.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a keep-alive ping. Calls to a paused or unreachable peer fail after at most the interval plus this
/// timeout.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Adds the fleet token to every call.
#[derive(Clone)]
pub(crate) struct TokenInterceptor(MetadataValue<Ascii>);

impl TokenInterceptor {
    pub(crate) fn new(keys: &FleetKeys) -> Self {
        // The token has only hexadecimal digits, so it is a valid header value.
        Self(
            MetadataValue::try_from(keys.token())
                .unwrap_or_else(|_| MetadataValue::from_static("")),
        )
    }
}

impl Interceptor for TokenInterceptor {
    fn call(&mut self, mut req: Request<()>) -> Result<Request<()>, Status> {
        req.metadata_mut().insert(TOKEN_HEADER, self.0.clone());
        Ok(req)
    }
}

pub(crate) type Client = FleetClient<InterceptedService<Channel, TokenInterceptor>>;

/// Connection to one incarnation of another instance at one address.
pub(crate) struct Peer {
    id: InstanceId,
    address: SocketAddr,
    incarnation: Incarnation,
    client: Client,
    to_home: mpsc::UnboundedSender<ToHome>,
}

impl Peer {
    /// Returns a client for unary calls.
    pub(crate) fn client(&self) -> Client {
        self.client.clone()
    }

    /// Sends a message on the permit stream. Messages keep their order. If the stream's task has ended, the message
    /// fails.
    pub(crate) fn send(&self, message: ToHome) {
        if let Err(mpsc::error::SendError(message)) = self.to_home.send(message) {
            message.fail();
        }
    }

    /// Converts the status of a failed call to this instance to an error.
    pub(crate) fn call_error(&self, status: &Status) -> FleetError {
        FleetError::Peer {
            instance: self.id.to_string(),
            problem: status.message().to_owned(),
        }
    }
}

/// Peers for all other instances that this one has called.
pub(crate) struct PeerPool {
    me: Member,
    local_ip: Option<IpAddr>,
    keys: FleetKeys,
    summaries: Arc<SummaryTable>,
    traffic: tokio::runtime::Handle,
    peers: Mutex<HashMap<InstanceId, Arc<Peer>>>,
}

impl PeerPool {
    pub(crate) fn new(
        me: Member,
        listen_ip: IpAddr,
        keys: FleetKeys,
        summaries: Arc<SummaryTable>,
        traffic: tokio::runtime::Handle,
    ) -> Self {
        Self {
            me,
            local_ip: (!listen_ip.is_unspecified()).then_some(listen_ip),
            keys,
            summaries,
            traffic,
            peers: Mutex::default(),
        }
    }

    /// Returns the peer for a member. A new one is created if the member has restarted or its address has changed.
    pub(crate) fn get(&self, member: &Member) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(&member.id)
            && peer.address == member.fleet_address
            && peer.incarnation == member.incarnation
        {
            return Arc::clone(peer);
        }
        let peer = Arc::new(self.connect(member));
        peers.insert(member.id.clone(), Arc::clone(&peer));
        peer
    }

    /// Drops the peer of a dead member, which ends its permit stream. Pending asks fail at once.
    pub(crate) fn remove(&self, id: &InstanceId) {
        self.peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(id);
    }

    /// Fails the pending requests at a member that stopped answering probes, but keeps its channel.
    pub(crate) fn fail_pending_requests(&self, id: &InstanceId) {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(id) {
            peer.send(ToHome::FailPending);
        }
    }

    /// Creates a client for an address whose instance is not known yet.
    pub(crate) fn client_at(&self, address: SocketAddr) -> Client {
        FleetClient::with_interceptor(
            channel(address, self.local_ip),
            TokenInterceptor::new(&self.keys),
        )
    }

    fn connect(&self, member: &Member) -> Peer {
        let client = self.client_at(member.fleet_address);
        let (to_home, from_entry) = mpsc::unbounded_channel();
        let args = StreamArgs {
            me: self.me.clone(),
            client: client.clone(),
            summaries: Arc::clone(&self.summaries),
        };
        self.traffic.spawn(stream::run(args, from_entry));
        Peer {
            id: member.id.clone(),
            address: member.fleet_address,
            incarnation: member.incarnation,
            client,
            to_home,
        }
    }
}

/// Creates a channel that connects on first use, from `local_ip` if it is set.
///
/// Without a fixed source address, a host with several addresses may connect from any of them. Packet filters between
/// failure domains then rejected the connections, but let pass datagrams, which are sent from the listening socket.
pub(crate) fn channel(address: SocketAddr, local_ip: Option<IpAddr>) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .unwrap_or_else(|_| Endpoint::from_static("http://127.0.0.1:1"));
    endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .tcp_nodelay(true)
        .local_address(local_ip)
        .connect_lazy()
}

/// Creates a request with the default timeout for calls between instances.
pub(crate) fn timed<T>(message: T) -> Request<T> {
    let mut req = Request::new(message);
    req.set_timeout(PEER_TIMEOUT);
    req
}
