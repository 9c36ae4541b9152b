//! Store updates exchanged between instances, and their conversion to and from wire types.

use std::{collections::BTreeSet, sync::Arc};

use serde_json::Value;
use tc_protocol::FailureDomain;

use crate::generated as wire;

/// Revisions of the store's state that an instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorldHave {
    /// Version of the configuration, or 0 if there is none.
    pub config_version: u64,
    /// Revision of the upstream list, or 0 if there is none.
    pub upstreams_revision: u64,
    /// Revision of the evacuated failure domains, or 0 if there is none.
    pub evacuated_revision: u64,
}

/// An entry of the store's upstream registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryEntry {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Value of the entry.
    pub value: Arc<Value>,
}

/// A store update that one instance sends to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreUpdate {
    /// Time as of which the sender's state is confirmed, that is, includes every change that the store had accepted by
    /// then; in milliseconds relative to the receipt of the call that this answers. `None` if nothing is confirmed.
    ///
    /// The receiver applies the offset to the time at which it sent the call. That is earlier than the receipt, so the
    /// result never overstates how recent the state is.
    pub confirmed_ms: Option<i64>,
    /// Configuration and its store revision, if newer than the receiver's.
    pub config: Option<(Arc<Value>, u64)>,
    /// Changes of the upstream list, if any.
    pub upstreams: Option<UpstreamUpdate>,
    /// All evacuated failure domains, if newer than the receiver's.
    pub evacuated: Option<EvacuatedDomains>,
}

/// The failure domains whose upstreams get no new work, as of a store revision.
///
/// The set is never larger than the number of failure domains, so it is always sent in full.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedDomains {
    /// Store revision of the set; 0 if none is known yet.
    pub revision: u64,
    /// Evacuated failure domains.
    pub domains: BTreeSet<FailureDomain>,
}

/// Difference between an upstream list and an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamUpdate {
    /// Revision of the new list.
    pub revision: u64,
    /// Added or changed entries.
    pub changed: Vec<RegistryEntry>,
    /// Removed entries.
    pub removed: Removed,
}

/// Entries removed from an upstream list.
#[derive(Clone, Debug, PartialEq)]
pub enum Removed {
    /// The named entries were removed from the list of an earlier revision.
    Named {
        /// Revision of the earlier list. Applied to a list of another revision, the difference would keep entries that
        /// have been removed.
        since: u64,
        /// Names of the removed entries.
        names: Vec<Arc<str>>,
    },
    /// All entries except the named ones were removed.
    AllExcept(Vec<Arc<str>>),
}

pub(super) fn store_update_to_wire(update: &StoreUpdate) -> wire::WorldNews {
    let config = update.config.as_ref();
    wire::WorldNews {
        confirmed_ms: update.confirmed_ms,
        config: config
            .map(|(value, _)| value.to_string().into_bytes())
            .unwrap_or_default(),
        config_revision: config.map_or(0, |(_, revision)| *revision),
        upstreams: update.upstreams.as_ref().map(upstream_update_to_wire),
        evacuated: update.evacuated.as_ref().map(evacuated_to_wire),
    }
}

fn evacuated_to_wire(evacuated: &EvacuatedDomains) -> wire::EvacuatedDomains {
    let domains = evacuated.domains.iter();
    wire::EvacuatedDomains {
        revision: evacuated.revision,
        names: domains.map(|domain| domain.as_str().to_owned()).collect(),
    }
}

fn evacuated_from_wire(evacuated: &wire::EvacuatedDomains) -> EvacuatedDomains {
    let names = evacuated.names.iter();
    EvacuatedDomains {
        revision: evacuated.revision,
        domains: names.map(|name| name.as_str().into()).collect(),
    }
}

fn upstream_update_to_wire(update: &UpstreamUpdate) -> wire::UpstreamNews {
    let (names, is_whole, since) = match &update.removed {
        Removed::Named { since, names } => (names, false, *since),
        Removed::AllExcept(names) => (names, true, 0),
    };
    let entry_to_wire = |entry: &RegistryEntry| wire::RegistryEntry {
        name: entry.name.to_string(),
        revision: entry.revision,
        value: entry.value.to_string().into_bytes(),
    };
    wire::UpstreamNews {
        revision: update.revision,
        changed: update.changed.iter().map(entry_to_wire).collect(),
        names: names.iter().map(ToString::to_string).collect(),
        is_whole,
        since,
    }
}

/// Returns `None` if any part is malformed: applying the rest would make upstreams appear removed.
pub(super) fn store_update_from_wire(update: &wire::WorldNews) -> Option<StoreUpdate> {
    let config = if update.config.is_empty() {
        None
    } else {
        let value = serde_json::from_slice(&update.config).ok()?;
        Some((Arc::new(value), update.config_revision))
    };
    let upstreams = match &update.upstreams {
        Some(upstreams) => Some(upstream_update_from_wire(upstreams)?),
        None => None,
    };
    Some(StoreUpdate {
        confirmed_ms: update.confirmed_ms,
        config,
        upstreams,
        evacuated: update.evacuated.as_ref().map(evacuated_from_wire),
    })
}

fn upstream_update_from_wire(update: &wire::UpstreamNews) -> Option<UpstreamUpdate> {
    let entry_from_wire = |entry: &wire::RegistryEntry| {
        Some(RegistryEntry {
            name: entry.name.as_str().into(),
            revision: entry.revision,
            value: Arc::new(serde_json::from_slice(&entry.value).ok()?),
        })
    };
    let changed: Option<Vec<RegistryEntry>> = update.changed.iter().map(entry_from_wire).collect();
    let names = update
        .names
        .iter()
        .map(|name| name.as_str().into())
        .collect();
    Some(UpstreamUpdate {
        revision: update.revision,
        changed: changed?,
        removed: if update.is_whole {
            Removed::AllExcept(names)
        } else {
            Removed::Named {
                since: update.since,
                names,
            }
        },
    })
}
