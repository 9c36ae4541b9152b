//! Signing, sending and receiving of datagrams between instances.

use std::{net::SocketAddr, sync::Arc};

use prost::Message as _;
use tokio::net::UdpSocket;

use crate::{FleetKeys, generated::Datagram};

/// Maximum size of a datagram, in bytes. Datagrams up to this size are not fragmented on today's networks.
pub(crate) const MAX_DATAGRAM: usize = 1_400;

/// UDP socket with the keys that authenticate its datagrams.
#[derive(Clone)]
pub(crate) struct GossipSocket {
    socket: Arc<UdpSocket>,
    keys: FleetKeys,
}

impl GossipSocket {
    pub(crate) fn new(socket: UdpSocket, keys: FleetKeys) -> Self {
        Self {
            socket: Arc::new(socket),
            keys,
        }
    }

    /// Sends a datagram without blocking. If the socket buffer is full, the datagram is lost, as it may be in the
    /// network.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let mut bytes = datagram.encode_to_vec();
        self.keys.sign(&mut bytes);
        if bytes.len() > MAX_DATAGRAM {
            metrics::counter!("tc_gossip_oversized_total").increment(1);
            return;
        }
        match self.socket.try_send_to(&bytes, to) {
            Ok(sent) => {
                metrics::counter!("tc_gossip_bytes_total", "way" => "sent").increment(sent as u64);
            }
            Err(_) => metrics::counter!("tc_gossip_send_failures_total").increment(1),
        }
    }

    /// Passes each authentic datagram to `on_datagram` until that returns `false`.
    pub(crate) async fn receive(self, on_datagram: impl Fn(Datagram) -> bool) {
        let mut buf = vec![0; MAX_DATAGRAM + 1];
        loop {
            let Ok((length, _from)) = self.socket.recv_from(&mut buf).await else {
                // Caused by an ICMP error for an earlier datagram; the socket remains usable.
                continue;
            };
            metrics::counter!("tc_gossip_bytes_total", "way" => "received")
                .increment(length as u64);
            let Some(datagram) = self.decode(&buf[..length]) else {
                metrics::counter!("tc_gossip_refused_total").increment(1);
                continue;
            };
            if !on_datagram(datagram) {
                return;
            }
        }
    }

    fn decode(&self, bytes: &[u8]) -> Option<Datagram> {
        Datagram::decode(self.keys.verify(bytes)?).ok()
    }
}
