//! The immutable snapshot of the fleet that the control thread publishes and traffic threads read.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    FailureDomain, FleetConfig, Incarnation, InstanceId, Region, ServiceName, Upstream, UpstreamId,
};

/// What the fleet thinks of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed probes; gone soon unless it refutes.
    Suspect,
    /// Stopping on purpose: serves what it has, gets nothing new.
    Leaving,
    /// Gone.
    Dead,
}

/// One instance as others see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identifier.
    pub id: InstanceId,
    /// Which life of its process.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where instances connect (TCP for calls, UDP for probes; the same port number).
    pub fleet_address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// What the fleet thinks of it.
    pub state: MemberState,
    /// How much it can do beside the others, in thousandths of a core; roles go to instances in proportion to it.
    #[serde(default = "Member::default_strength")]
    pub strength: u32,
}

impl Member {
    /// Strength of an instance that tells none: one core.
    #[must_use]
    pub const fn default_strength() -> u32 {
        1_000
    }
}

/// How well the platform's store can be reached from this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreHealth {
    /// Whether the last call succeeded.
    pub reachable: bool,
    /// Time since the last call that succeeded.
    pub age: Duration,
}

/// Load of an upstream as its home last told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSummary {
    /// Calls granted and not released.
    pub in_flight: u32,
    /// Calls the home lets run at once now.
    pub concurrency: u32,
    /// Asks waiting at the home.
    pub waiting: u32,
    /// Expected wait of a new ask, in milliseconds.
    pub wait_ms: f64,
    /// Median service time, in milliseconds.
    pub service_ms: f64,
    /// Whether the home lets it take no ordinary calls now because it is an outlier.
    pub ejected: bool,
}

/// One upstream and what is known of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// As configured or listed.
    pub upstream: Upstream,
    /// Gets no new work: listed as leaving, says so itself, or drained by an operator.
    pub leaving: bool,
    /// The instance that grants permits for it.
    pub home: Option<InstanceId>,
    /// Last summary seen from its home.
    pub summary: Option<UpstreamSummary>,
}

/// Everything a traffic thread needs to decide, as of one moment.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// This instance.
    pub me: Member,
    /// All known instances, this one included, in order of identifier.
    pub members: Arc<[Member]>,
    /// The configuration in force; `revision` 0 before the first one.
    pub config: Arc<FleetConfig>,
    /// Upstreams by service.
    pub upstreams: Arc<BTreeMap<ServiceName, Vec<UpstreamState>>>,
    /// How well the platform's store can be reached.
    pub store: StoreHealth,
}

impl FleetView {
    /// The state of one upstream of a service.
    #[must_use]
    pub fn upstream(&self, service: &ServiceName, id: &UpstreamId) -> Option<&UpstreamState> {
        self.upstreams
            .get(service)?
            .iter()
            .find(|u| u.upstream.id == *id)
    }

    /// A member by identifier.
    #[must_use]
    pub fn member(&self, id: &InstanceId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == *id)
    }
}
