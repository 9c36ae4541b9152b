//! Free ports for what cannot be told to pick its own.

use std::{
    io,
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port looked at. The range ends below the one that the system takes for outgoing connections: a port that was
/// found free there could be given to any connection before it is listened on, seen as a test that fails now and then
/// with "address already in use".
const FIRST: u32 = 12_000;
/// Ports in the range.
const RANGE: u32 = 20_000;
/// Ports between the starting points of two processes that run at the same time.
const STRIDE: u32 = 397;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address of this IP number whose port is free for both TCP and UDP, another one at each call.
///
/// ```
/// let ip = std::net::Ipv4Addr::LOCALHOST.into();
/// let (one, other) = (tc_stand_ins::free_address(ip).unwrap(), tc_stand_ins::free_address(ip).unwrap());
/// assert_ne!(one, other);
/// ```
pub fn free_address(ip: IpAddr) -> io::Result<SocketAddr> {
    let origin = std::process::id().wrapping_mul(STRIDE);
    for _ in 0..RANGE {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + origin.wrapping_add(step) % RANGE;
        let address = SocketAddr::new(ip, port as u16);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(
        io::ErrorKind::AddrInUse,
        format!("no free port on {ip}"),
    ))
}
