//! Relays in front of instances, which cut failure domains from each other.
//!
//! An instance behind a relay advertises the relay's address, so that all that other instances send it passes here.
//! Every failure domain has an IP number of its own, which tells the relay where a sender is. Callers, upstreams and
//! the platform do not pass any relay. Unlike a switch that goes, a relay cannot keep the kernel from accepting a
//! connection: one that is opened during a cut opens, and then nothing comes.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use tc_protocol::FailureDomain;
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch,
    task::JoinHandle,
};

use super::ports::free_address;
use crate::error::BenchError;

/// Largest datagram that can arrive.
const MAX_DATAGRAM: usize = 65_535;

/// Failure domains that cannot currently reach each other; clones share the state.
#[derive(Clone)]
pub(crate) struct DomainCuts(Arc<watch::Sender<BTreeSet<(IpAddr, IpAddr)>>>);

impl DomainCuts {
    /// Nothing is cut.
    pub(super) fn new() -> Self {
        Self(Arc::new(watch::Sender::new(BTreeSet::new())))
    }

    /// Cuts every domain of `one` from every domain of `other`, both ways.
    pub(crate) fn cut(&self, one: &[FailureDomain], other: &[FailureDomain]) {
        let ip = |domain| IpAddr::V4(domain_ip(domain));
        let pairs = one
            .iter()
            .flat_map(|a| other.iter().map(move |b| (ip(a), ip(b))));
        self.0
            .send_replace(pairs.flat_map(|(a, b)| [(a, b), (b, a)]).collect());
    }

    /// Lets everything through again; connections that were open during the cut are reset.
    pub(crate) fn heal(&self) {
        self.0.send_replace(BTreeSet::new());
    }
}

/// Loopback IP number of a failure domain, by the number its name ends with.
pub(super) fn domain_ip(domain: &FailureDomain) -> Ipv4Addr {
    let (_, number) = domain.as_str().rsplit_once('-').unwrap_or_default();
    Ipv4Addr::new(127, 0, number.parse().unwrap_or_default(), 1)
}

/// Stands before one instance until it is dropped.
pub(super) struct Relay {
    /// Address that the instance advertises.
    pub(super) address: SocketAddr,
    tasks: [JoinHandle<()>; 2],
}

impl Relay {
    /// Starts one before the instance that listens at `owner`.
    pub(super) fn start(owner: SocketAddr, cuts: &DomainCuts) -> Result<Self, BenchError> {
        let address = free_address(Ipv4Addr::LOCALHOST)?;
        let (listener, socket) =
            listen(address).map_err(|e| BenchError::world("a relay cannot listen", e))?;
        let connections = tokio::spawn(accept(listener, owner, cuts.clone()));
        let datagrams = tokio::spawn(forward(socket, owner, cuts.clone()));
        Ok(Self {
            address,
            tasks: [connections, datagrams],
        })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn listen(address: SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok((
        TcpListener::from_std(listener)?,
        UdpSocket::from_std(socket)?,
    ))
}

async fn accept(listener: TcpListener, owner: SocketAddr, cuts: DomainCuts) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                tokio::spawn(carry(stream, owner, (from.ip(), owner.ip()), cuts.clone()));
            }
            Err(e) => log::warn!("relay of {owner}: {e}"),
        }
    }
}

/// Copies both ways until either side ends; from a cut on, nothing passes and nothing is closed until it is healed.
async fn carry(mut sender: TcpStream, owner: SocketAddr, pair: (IpAddr, IpAddr), cuts: DomainCuts) {
    let mut changes = cuts.0.subscribe();
    let copied = async {
        // The owner's process may be gone: the sender then sees its connection closed, as it would without a relay.
        let mut stream = TcpStream::connect(owner).await?;
        stream.set_nodelay(true)?;
        sender.set_nodelay(true)?;
        tokio::io::copy_bidirectional(&mut sender, &mut stream).await
    };
    let mut at_cut = changes.clone();
    tokio::select! {
        biased;
        _ = at_cut.wait_for(|cuts| cuts.contains(&pair)) => {}
        _ = copied => return,
    }
    let _ = changes.wait_for(|cuts| !cuts.contains(&pair)).await;
    let _ = sender.set_zero_linger();
}

async fn forward(socket: UdpSocket, owner: SocketAddr, cuts: DomainCuts) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else {
            // An ICMP answer to an earlier datagram, sent while the owner's process was gone.
            continue;
        };
        let is_cut = cuts.0.borrow().contains(&(from.ip(), owner.ip()));
        if !is_cut {
            let _ = socket.send_to(&buf[..length], owner).await;
        }
    }
}
