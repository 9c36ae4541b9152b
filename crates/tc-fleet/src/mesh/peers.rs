//! gRPC clients for other instances, created on first use.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Mutex, PoisonError},
};

use tc_protocol::{Incarnation, InstanceId, Member};
use tonic::{service::interceptor::InterceptedService, transport::Channel};

use crate::{
    FleetKeys,
    generated::mesh_client::MeshClient,
    peers::{TokenInterceptor, channel},
};

pub(super) type Client = MeshClient<InterceptedService<Channel, TokenInterceptor>>;

struct Peer {
    address: SocketAddr,
    incarnation: Incarnation,
    client: Client,
}

/// Clients for all instances that this one has called.
pub(super) struct Peers {
    local_ip: IpAddr,
    keys: FleetKeys,
    known: Mutex<HashMap<InstanceId, Peer>>,
}

impl Peers {
    pub(super) fn new(local_ip: IpAddr, keys: FleetKeys) -> Self {
        Self {
            local_ip,
            keys,
            known: Mutex::default(),
        }
    }

    /// Returns the client for a member. A new one is created if the member has restarted or its address has changed.
    pub(super) fn client(&self, member: &Member) -> Client {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = known.get(&member.id)
            && peer.address == member.fleet_address
            && peer.incarnation == member.incarnation
        {
            return peer.client.clone();
        }
        let client = self.client_at(member.fleet_address);
        let peer = Peer {
            address: member.fleet_address,
            incarnation: member.incarnation,
            client: client.clone(),
        };
        known.insert(member.id.clone(), peer);
        client
    }

    /// Drops the client for a member that does not answer. The next call uses a new connection.
    ///
    /// An established connection may stay unresponsive although a new one would work.
    pub(super) fn remove(&self, id: &InstanceId) {
        self.known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(id);
    }

    /// Creates a client for an address whose instance is not known yet.
    pub(super) fn client_at(&self, address: SocketAddr) -> Client {
        let token = TokenInterceptor::new(&self.keys);
        let local_ip = (!self.local_ip.is_unspecified()).then_some(self.local_ip);
        MeshClient::with_interceptor(channel(address, local_ip), token)
    }
}
