//! Free ports for processes that cannot be told to pick their own.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::error::BenchError;

/// First port looked at. The range ends below the one the kernel takes for outgoing connections, so that no caller's
/// own connection sits on a port between its being found free and its being listened on.
const FIRST: u32 = 20_000;
/// Ports in the range.
const RANGE: u32 = 12_000;
/// Ports between the starting points of two benches that run at the same time.
const STRIDE: u32 = 397;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Finds an address of this loopback IP number whose port is free for both TCP and UDP.
pub(crate) fn free_address(ip: Ipv4Addr) -> Result<SocketAddr, BenchError> {
    let origin = std::process::id().wrapping_mul(STRIDE);
    for _ in 0..RANGE {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + origin.wrapping_add(step) % RANGE;
        let address = SocketAddr::from((ip, port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(BenchError::World(format!("no free port on {ip}")))
}
