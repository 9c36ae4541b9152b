//! The upstream table, merged from the configuration, the platform's list, load reports and drains by operators.

use std::collections::{BTreeMap, BTreeSet};

use tc_membership::home_of;
use tc_protocol::{
    FleetConfig, InstanceId, Member, ServiceName, Upstream, UpstreamId, UpstreamState,
    wire::{InstanceList, ListedInstance, ListedState},
};

use crate::homes::KnownUpstream;

/// Upstreams that get no new work, by reason.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LeavingUpstreams {
    /// Upstreams whose load report says that they are leaving.
    pub(crate) announced: BTreeSet<UpstreamId>,
    /// Upstreams drained by an operator.
    pub(crate) drained: BTreeSet<UpstreamId>,
}

impl LeavingUpstreams {
    fn contains(&self, id: &UpstreamId) -> bool {
        self.announced.contains(id) || self.drained.contains(id)
    }
}

/// Upstreams by service, as published in the view.
pub(crate) type UpstreamTable = BTreeMap<ServiceName, Vec<UpstreamState>>;

/// Builds the table. Homes are placed on `members`.
pub(crate) fn build(
    config: &FleetConfig,
    list: &InstanceList,
    leaving_upstreams: &LeavingUpstreams,
    members: &[Member],
) -> UpstreamTable {
    let listed: BTreeMap<&str, &ListedInstance> = list
        .instances
        .iter()
        .filter(|listed| listed.service.is_some())
        .map(|listed| (listed.id.as_str(), listed))
        .collect();
    config
        .services
        .iter()
        .map(|(name, service)| {
            let upstreams = service_upstreams(name, &service.upstreams, list);
            let states = upstreams
                .into_iter()
                .map(|upstream| upstream_state(upstream, &listed, leaving_upstreams, members))
                .collect();
            (name.clone(), states)
        })
        .collect()
}

/// Returns the configured upstreams of a service and those that only the platform lists.
fn service_upstreams(
    service: &ServiceName,
    configured: &[Upstream],
    list: &InstanceList,
) -> Vec<Upstream> {
    let mut all = configured.to_vec();
    let extra = list
        .instances
        .iter()
        .filter(|listed| listed.service.as_ref() == Some(service))
        .filter(|listed| {
            !configured
                .iter()
                .any(|known| known.id.as_str() == listed.id.as_str())
        })
        .map(|listed| Upstream {
            id: listed.id.as_str().into(),
            address: listed.address,
            failure_domain: listed.failure_domain.clone(),
            region: listed.region.clone(),
        });
    all.extend(extra);
    all
}

fn upstream_state(
    upstream: Upstream,
    listed: &BTreeMap<&str, &ListedInstance>,
    leaving_upstreams: &LeavingUpstreams,
    members: &[Member],
) -> UpstreamState {
    let listed_leaving = listed
        .get(upstream.id.as_str())
        .is_some_and(|listed| listed.state == ListedState::Leaving);
    let leaving = listed_leaving || leaving_upstreams.contains(&upstream.id);
    let home = home_of(
        upstream.id.as_str(),
        members,
        Some(&upstream.failure_domain),
        Some(&upstream.region),
    )
    .map(|member| member.id.clone());
    UpstreamState {
        upstream,
        leaving,
        home,
        summary: None,
    }
}

/// Converts the table to the form that homes use.
pub(crate) fn for_homes(
    table: &UpstreamTable,
    config: &FleetConfig,
    me: &InstanceId,
) -> BTreeMap<UpstreamId, KnownUpstream> {
    let mut known = BTreeMap::new();
    for (service, states) in table {
        let slots = config
            .services
            .get(service)
            .map_or(1, |service| service.slots);
        for state in states {
            known.insert(
                state.upstream.id.clone(),
                KnownUpstream {
                    upstream: state.upstream.clone(),
                    service: service.clone(),
                    slots,
                    queue_per_workspace: config.policy.queue_per_workspace,
                    leaving: state.leaving,
                    homed_here: state.home.as_ref() == Some(me),
                },
            );
        }
    }
    known
}
