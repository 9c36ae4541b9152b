//! The upstream table: what the configuration, the platform's list, the upstreams themselves and operators say.

use std::collections::{BTreeMap, BTreeSet};

use tc_membership::home_of;
use tc_protocol::{
    FleetConfig, InstanceId, Member, ServiceName, Upstream, UpstreamId, UpstreamState,
    wire::{InstanceList, ListedInstance, ListedState},
};

use crate::homes::KnownUpstream;

/// Reasons to give an upstream no new work.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct UpstreamMarks {
    /// Says in its load report that it is leaving.
    pub(crate) says_leaving: BTreeSet<UpstreamId>,
    /// Drained by an operator.
    pub(crate) drained: BTreeSet<UpstreamId>,
}

impl UpstreamMarks {
    fn any(&self, id: &UpstreamId) -> bool {
        self.says_leaving.contains(id) || self.drained.contains(id)
    }
}

/// Upstreams by service, as published in the view.
pub(crate) type UpstreamTable = BTreeMap<ServiceName, Vec<UpstreamState>>;

/// Builds the table; homes are placed among `members`.
pub(crate) fn build(
    config: &FleetConfig,
    list: &InstanceList,
    marks: &UpstreamMarks,
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
            let upstreams = all_of(name, &service.upstreams, list);
            let states = upstreams
                .into_iter()
                .map(|upstream| state_of(upstream, &listed, marks, members))
                .collect();
            (name.clone(), states)
        })
        .collect()
}

/// Configured upstreams, and those that the platform lists for the service beside them.
fn all_of(service: &ServiceName, configured: &[Upstream], list: &InstanceList) -> Vec<Upstream> {
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

fn state_of(
    upstream: Upstream,
    listed: &BTreeMap<&str, &ListedInstance>,
    marks: &UpstreamMarks,
    members: &[Member],
) -> UpstreamState {
    let listed_leaving = listed
        .get(upstream.id.as_str())
        .is_some_and(|listed| listed.state == ListedState::Leaving);
    let leaving = listed_leaving || marks.any(&upstream.id);
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

/// The table as the homes need it.
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
