//! Immutable snapshot of the fleet, published by the control thread and read by the traffic threads.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    FailureDomain, FleetConfig, Incarnation, InstanceId, Region, ServiceName, Upstream, UpstreamId,
};

/// Membership state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The instance responds to probes.
    Alive,
    /// The instance responds to probes, but reaches no upstream of some service: it holds no role while others can.
    Isolated,
    /// The instance missed probes and is declared dead soon unless it refutes the suspicion.
    Suspect,
    /// The instance is shutting down: it finishes the requests it has and gets no new ones.
    Leaving,
    /// The instance has left the fleet or was declared dead.
    Dead,
}

/// An instance as seen by the rest of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other instances (TCP for calls, UDP for probes, on the same port number).
    pub fleet_address: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Region of the instance.
    pub region: Region,
    /// Membership state.
    pub state: MemberState,
    /// Relative capacity in thousandths of a core; roles are assigned to instances in proportion to it.
    #[serde(default = "Member::default_strength")]
    pub strength: u32,
}

impl Member {
    /// Strength of an instance that announces none: one core.
    #[must_use]
    pub const fn default_strength() -> u32 {
        1_000
    }
}

/// Reachability of the platform's store from this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreHealth {
    /// Whether the last call to the store succeeded.
    pub reachable: bool,
    /// Time since the last successful call.
    pub age: Duration,
}

/// Load of an upstream, as last reported by its home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSummary {
    /// Permits granted and not yet released.
    pub in_flight: u32,
    /// Current concurrency limit set by the home.
    pub concurrency: u32,
    /// Permit requests queued at the home.
    pub waiting: u32,
    /// Expected queueing time of a new permit request, in milliseconds.
    pub wait_ms: f64,
    /// Median service time, in milliseconds.
    pub service_ms: f64,
    /// Whether the home has ejected the upstream as an outlier, so that it gets no regular calls.
    pub ejected: bool,
}

/// Configuration and current state of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The upstream as configured or listed.
    pub upstream: Upstream,
    /// Whether the upstream gets no new work: it is listed as leaving, announced that it is leaving, or is drained by
    /// an operator.
    pub leaving: bool,
    /// Instance that grants permits for the upstream.
    pub home: Option<InstanceId>,
    /// Latest summary from the home.
    pub summary: Option<UpstreamSummary>,
}

/// Consistent snapshot of everything that traffic threads base their decisions on.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// This instance.
    pub me: Member,
    /// All known instances including this one, sorted by identifier.
    pub members: Arc<[Member]>,
    /// Current configuration; `revision` is 0 before the first one is known.
    pub config: Arc<FleetConfig>,
    /// Upstreams by service.
    pub upstreams: Arc<BTreeMap<ServiceName, Vec<UpstreamState>>>,
    /// Reachability of the platform's store.
    pub store: StoreHealth,
}

impl FleetView {
    /// Returns the state of an upstream of a service.
    #[must_use]
    pub fn upstream(&self, service: &ServiceName, id: &UpstreamId) -> Option<&UpstreamState> {
        self.upstreams
            .get(service)?
            .iter()
            .find(|u| u.upstream.id == *id)
    }

    /// Looks up a member by identifier.
    #[must_use]
    pub fn member(&self, id: &InstanceId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == *id)
    }
}
