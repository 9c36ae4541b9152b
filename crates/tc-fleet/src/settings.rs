//! Settings of the fleet layer.

use std::{net::SocketAddr, time::Duration};

use tc_membership::MembershipConfig;
use tc_protocol::Member;

use crate::FleetKeys;

/// Party that decides on permit requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PermitPolicy {
    /// By the upstreams' homes.
    #[default]
    Home,
    /// Round robin over all upstreams, granted immediately: the baseline for experiments.
    Baseline,
}

/// Settings of [`crate::Fleet::start`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// This instance.
    pub me: Member,
    /// Address to listen on for other instances (TCP and UDP). They are given `me.fleet_address` instead. Calls to them
    /// use this IP address as their source.
    pub fleet_listen: SocketAddr,
    /// Fleet addresses of instances that provide the member list if the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate instances to each other.
    pub keys: FleetKeys,
    /// Party that decides on permit requests.
    pub policy: PermitPolicy,
    /// Membership and probe settings.
    pub membership: MembershipConfig,
    /// Runtime of the traffic threads, which runs the streams to other instances.
    pub traffic: tokio::runtime::Handle,
}

/// Time after the end of a call's allowed run time at which its permit expires, so that a release in transit is not
/// treated as a leaked permit.
pub(crate) const PERMIT_GRACE: Duration = Duration::from_millis(500);
/// Interval at which an upstream's home reads its load report.
pub(crate) const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the control thread checks for changes that depend only on time.
pub(crate) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which demand is reported to limit homes.
pub(crate) const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for calls to other instances, except permit requests.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(800);
