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
pub struct WorldNews {
    /// Time as of which the sender's state is confirmed, that is, includes every change that the store had accepted by
    /// then; in milliseconds relative to the receipt of the call that this answers. `None` if nothing is confirmed.
    ///
    /// The receiver applies the offset to the time at which it sent the call. That is earlier than the receipt, so the
    /// result never overstates how recent the state is.
    pub confirmed_ms: Option<i64>,
    /// Configuration and its store revision, if newer than the receiver's.
    pub config: Option<(Arc<Value>, u64)>,
    /// Changes of the upstream list, if any.
    pub upstreams: Option<UpstreamNews>,
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
pub struct UpstreamNews {
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

pub(super) fn world_news_to_wire(news: &WorldNews) -> wire::WorldNews {
    let config = news.config.as_ref();
    wire::WorldNews {
        confirmed_ms: news.confirmed_ms,
        config: config
            .map(|(value, _)| value.to_string().into_bytes())
            .unwrap_or_default(),
        config_revision: config.map_or(0, |(_, revision)| *revision),
        upstreams: news.upstreams.as_ref().map(upstream_news_to_wire),
        evacuated: news.evacuated.as_ref().map(evacuated_to_wire),
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

fn upstream_news_to_wire(news: &UpstreamNews) -> wire::UpstreamNews {
    let (names, is_whole, since) = match &news.removed {
        Removed::Named { since, names } => (names, false, *since),
        Removed::AllExcept(names) => (names, true, 0),
    };
    let entry_to_wire = |entry: &RegistryEntry| wire::RegistryEntry {
        name: entry.name.to_string(),
        revision: entry.revision,
        value: entry.value.to_string().into_bytes(),
    };
    wire::UpstreamNews {
        revision: news.revision,
        changed: news.changed.iter().map(entry_to_wire).collect(),
        names: names.iter().map(ToString::to_string).collect(),
        is_whole,
        since,
    }
}

/// Returns `None` if any part is malformed: applying the rest would make upstreams appear removed.
pub(super) fn world_news_from_wire(news: &wire::WorldNews) -> Option<WorldNews> {
    let config = if news.config.is_empty() {
        None
    } else {
        let value = serde_json::from_slice(&news.config).ok()?;
        Some((Arc::new(value), news.config_revision))
    };
    let upstreams = match &news.upstreams {
        Some(upstreams) => Some(upstream_news_from_wire(upstreams)?),
        None => None,
    };
    Some(WorldNews {
        confirmed_ms: news.confirmed_ms,
        config,
        upstreams,
        evacuated: news.evacuated.as_ref().map(evacuated_from_wire),
    })
}

fn upstream_news_from_wire(news: &wire::UpstreamNews) -> Option<UpstreamNews> {
    let entry_from_wire = |entry: &wire::RegistryEntry| {
        Some(RegistryEntry {
            name: entry.name.as_str().into(),
            revision: entry.revision,
            value: Arc::new(serde_json::from_slice(&entry.value).ok()?),
        })
    };
    let changed: Option<Vec<RegistryEntry>> = news.changed.iter().map(entry_from_wire).collect();
    let names = news.names.iter().map(|name| name.as_str().into()).collect();
    Some(UpstreamNews {
        revision: news.revision,
        changed: changed?,
        removed: if news.is_whole {
            Removed::AllExcept(names)
        } else {
            Removed::Named {
                since: news.since,
                names,
            }
        },
    })
}
