//! Free ports for processes that cannot be told to pick their own.

use std::net::{Ipv4Addr, SocketAddr};

use crate::error::BenchError;

/// Finds an address of this loopback IP number whose port is free for both TCP and UDP.
pub(crate) fn free_address(ip: Ipv4Addr) -> Result<SocketAddr, BenchError> {
    let found = tc_stand_ins::free_address(ip.into());
    found.map_err(|error| BenchError::World(error.to_string()))
}
