//! Settings of the fleet layer.

use std::{net::SocketAddr, time::Duration};

use tc_membership::MembershipConfig;
use tc_protocol::Member;

use crate::FleetKeys;

/// How asks are decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PermitPolicy {
    /// By the upstreams' homes.
    #[default]
    Home,
    /// Round robin over all upstreams, granted at once: the baseline that experiments compare with.
    Baseline,
}

/// What [`crate::Fleet::start`] needs to know.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// This instance.
    pub me: Member,
    /// Where to listen for other instances, TCP and UDP. They are told `me.fleet_address`; calls to them leave from
    /// this IP number.
    pub fleet_listen: SocketAddr,
    /// Fleet addresses to be introduced by when the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate instances to each other.
    pub keys: FleetKeys,
    /// How asks are decided.
    pub policy: PermitPolicy,
    /// Probe timings.
    pub membership: MembershipConfig,
    /// Runs the streams to other instances; the traffic threads' runtime.
    pub traffic: tokio::runtime::Handle,
}

/// How long a permit outlives the time its call may run, so that a release on its way is not taken for a leak.
pub(crate) const PERMIT_GRACE: Duration = Duration::from_millis(500);
/// How often an upstream's home reads its load report.
pub(crate) const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// How often the control thread re-checks what only time changes.
pub(crate) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// How often demand is reported to limit homes.
pub(crate) const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for another instance's answer to a call that is not an ask.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(800);
