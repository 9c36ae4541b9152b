//! The registered upstreams, by service.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use serde_json::Value;
use tc_fleet::WorldObject;
use tc_platform::ObjectEvent;
use tc_protocol::{
    ServiceName, UpstreamId,
    routing::{RegisteredUpstream, ResultHandle},
};

use crate::edges::Edges;

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    raw: Arc<Value>,
    /// `None` when the entry cannot be read; it is kept so that it is handed on as it is.
    upstream: Option<Arc<RegisteredUpstream>>,
}

/// A list of upstreams as of a revision of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamTable {
    revision: u64,
    entries: BTreeMap<Arc<str>, Entry>,
    by_service: HashMap<ServiceName, Vec<Arc<RegisteredUpstream>>>,
    by_address: HashMap<SocketAddr, Arc<RegisteredUpstream>>,
    lives: HashSet<UpstreamId>,
}

impl UpstreamTable {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Upstreams of a service, those that are leaving included, in order of identifier.
    pub(crate) fn of_service(&self, service: &str) -> &[Arc<RegisteredUpstream>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Who keeps a result, if it is registered.
    pub(crate) fn maker_of(&self, result: &ResultHandle) -> Option<&Arc<RegisteredUpstream>> {
        let address: SocketAddr = result.maker()?.parse().ok()?;
        self.by_address.get(&address)
    }

    /// Whether this life of a process is registered.
    pub(crate) fn contains(&self, id: &UpstreamId) -> bool {
        self.lives.contains(id)
    }

    /// Names of all entries.
    pub(crate) fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.keys()
    }

    pub(crate) fn same_upstreams(&self, other: &Self) -> bool {
        let upstreams = |table: &Self| -> Vec<Option<Arc<RegisteredUpstream>>> {
            table.entries.values().map(|e| e.upstream.clone()).collect()
        };
        upstreams(self) == upstreams(other)
    }

    /// The entries as they lie in the store, to be handed on.
    pub(crate) fn objects(&self) -> Vec<WorldObject> {
        self.entries
            .iter()
            .map(|(name, entry)| WorldObject {
                name: Arc::clone(name),
                revision: entry.revision,
                value: Arc::clone(&entry.raw),
            })
            .collect()
    }

    /// This table with changes taken up.
    pub(crate) fn with_events(&self, edges: &Edges, events: &[ObjectEvent], at: u64) -> Self {
        let mut entries = self.entries.clone();
        for event in events {
            match event {
                ObjectEvent::Put(object) => {
                    let known = entries.get(&object.name).map_or(0, |e| e.revision);
                    if object.revision >= known {
                        let entry = read(edges, &object.name, object.revision, &object.value);
                        entries.insert(Arc::clone(&object.name), entry);
                    }
                }
                ObjectEvent::Removed { name, revision } => {
                    let known = entries.get(name).map_or(0, |e| e.revision);
                    // A removal seen again after the entry came back must not take it away.
                    if *revision == 0 || *revision >= known {
                        entries.remove(name);
                    }
                }
            }
        }
        Self::from_entries(entries, self.revision.max(at))
    }

    /// The table of a whole list.
    pub(crate) fn replaced(&self, edges: &Edges, objects: &[WorldObject], at: u64) -> Self {
        let entries = objects
            .iter()
            .map(|object| {
                let known = self.entries.get(&object.name);
                let entry = known
                    .filter(|entry| entry.revision == object.revision)
                    .cloned()
                    .unwrap_or_else(|| read(edges, &object.name, object.revision, &object.value));
                (Arc::clone(&object.name), entry)
            })
            .collect();
        Self::from_entries(entries, at)
    }

    fn from_entries(entries: BTreeMap<Arc<str>, Entry>, revision: u64) -> Self {
        let mut by_service: HashMap<ServiceName, Vec<Arc<RegisteredUpstream>>> = HashMap::new();
        let mut by_address = HashMap::new();
        let mut lives = HashSet::new();
        for upstream in entries.values().filter_map(|e| e.upstream.as_ref()) {
            lives.insert(upstream.id.clone());
            by_address.insert(upstream.address, Arc::clone(upstream));
            by_service
                .entry(upstream.service.clone())
                .or_default()
                .push(Arc::clone(upstream));
        }
        Self {
            revision,
            entries,
            by_service,
            by_address,
            lives,
        }
    }
}

fn read(edges: &Edges, name: &str, revision: u64, raw: &Arc<Value>) -> Entry {
    let upstream = match (edges.read_upstream)(name, raw) {
        Ok(upstream) => Some(Arc::new(upstream)),
        Err(problem) => {
            log::warn!(upstream = name, revision = revision, problem = problem.as_str(); "a registered upstream cannot be read and is left out");
            metrics::counter!("tc_registry_unreadable_total").increment(1);
            None
        }
    };
    Entry {
        revision,
        raw: Arc::clone(raw),
        upstream,
    }
}
