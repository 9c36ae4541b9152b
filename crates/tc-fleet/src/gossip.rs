//! Datagrams between instances: sealing, sending and receiving.

use std::{net::SocketAddr, sync::Arc};

use prost::Message as _;
use tokio::net::UdpSocket;

use crate::{FleetKeys, generated::Datagram};

/// Largest datagram sent or taken, in bytes; below it no network of today splits one.
pub(crate) const MAX_DATAGRAM: usize = 1_400;

/// The socket and the keys that seal what goes through it.
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

    /// Sends one datagram without waiting; a full socket buffer loses it, as the network might.
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

    /// Hands every authentic datagram on until nobody takes them any more.
    pub(crate) async fn receive(self, on_datagram: impl Fn(Datagram) -> bool) {
        let mut buf = vec![0; MAX_DATAGRAM + 1];
        loop {
            let Ok((length, _from)) = self.socket.recv_from(&mut buf).await else {
                // An ICMP answer to an earlier datagram; the socket itself is fine.
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
