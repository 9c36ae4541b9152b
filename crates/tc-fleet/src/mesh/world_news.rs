//! What instances tell each other of the store, and its wire form.

use std::{collections::BTreeSet, sync::Arc};

use serde_json::Value;
use tc_protocol::FailureDomain;

use crate::generated as wire;

/// What an instance knows of the store, as numbers to compare.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorldHave {
    /// Version of the configuration; 0 for none.
    pub config_version: u64,
    /// Revision of the list of upstreams; 0 for none.
    pub upstreams_revision: u64,
    /// Revision of the evacuated failure domains; 0 for none.
    pub evacuated_revision: u64,
}

/// An object of the store as it is handed on.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryEntry {
    /// Its name.
    pub name: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Arc<Value>,
}

/// What one instance tells another of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorldNews {
    /// Time as of which the sender's state is confirmed, that is, includes every change that the store had accepted by
    /// then; in milliseconds relative to the receipt of the call that this answers. `None` if nothing is confirmed.
    ///
    /// The receiver applies the offset to the time at which it sent the call. That is earlier than the receipt, so the
    /// result never overstates how recent the state is.
    pub confirmed_ms: Option<i64>,
    /// The configuration and the store's revision of it, if it is newer.
    pub config: Option<(Arc<Value>, u64)>,
    /// What is new about upstreams.
    pub upstreams: Option<UpstreamNews>,
    /// All evacuated failure domains, if that is newer.
    pub evacuated: Option<EvacuatedDomains>,
}

/// The failure domains whose upstreams must get nothing new, as of a revision of the store.
///
/// There are as many as there are failure domains at most, so they are always told whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedDomains {
    /// The store's revision that it shows; 0 before anything is known.
    pub revision: u64,
    /// Which.
    pub domains: BTreeSet<FailureDomain>,
}

/// How one list of upstreams differs from an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamNews {
    /// Revision of the later list.
    pub revision: u64,
    /// Entries that are new or changed.
    pub changed: Vec<RegistryEntry>,
    /// Entries that are gone.
    pub removed: Removed,
}

/// Which entries of a list are gone.
#[derive(Clone, Debug, PartialEq)]
pub enum Removed {
    /// These, from the list of an earlier revision.
    Named {
        /// Revision of that list. On top of another one the differences would leave entries that are gone from both.
        since: u64,
        /// What is gone from it.
        names: Vec<Arc<str>>,
    },
    /// All but these.
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
    let entry = |object: &RegistryEntry| wire::RegistryEntry {
        name: object.name.to_string(),
        revision: object.revision,
        value: object.value.to_string().into_bytes(),
    };
    wire::UpstreamNews {
        revision: news.revision,
        changed: news.changed.iter().map(entry).collect(),
        names: names.iter().map(ToString::to_string).collect(),
        is_whole,
        since,
    }
}

/// `None` when any part cannot be read: half of the news would look like upstreams that are gone.
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
    let object = |entry: &wire::RegistryEntry| {
        Some(RegistryEntry {
            name: entry.name.as_str().into(),
            revision: entry.revision,
            value: Arc::new(serde_json::from_slice(&entry.value).ok()?),
        })
    };
    let changed: Option<Vec<RegistryEntry>> = news.changed.iter().map(object).collect();
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
