//! The registered upstreams, by service.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use serde_json::Value;
use tc_fleet::{Gone, UpstreamNews, WorldObject};
use tc_platform::{ObjectEvent, StoredObject};
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

    /// What a list of an earlier revision lacks; the names of all entries tell what is gone from it.
    pub(crate) fn news_since(&self, revision: u64) -> UpstreamNews {
        UpstreamNews {
            revision: self.revision,
            changed: self.objects(|_, entry| entry.revision > revision),
            gone: Gone::AllBut(self.entries.keys().cloned().collect()),
        }
    }

    /// How this list differs from an earlier one; `None` if it does not.
    pub(crate) fn news_after(&self, earlier: &Self) -> Option<UpstreamNews> {
        let is_new = |name: &str, entry: &Entry| {
            let known = earlier.entries.get(name);
            known.is_none_or(|known| known.revision != entry.revision)
        };
        let gone = earlier.entries.keys();
        let gone = gone.filter(|name| !self.entries.contains_key(*name));
        let news = UpstreamNews {
            revision: self.revision,
            changed: self.objects(is_new),
            gone: Gone::Named(gone.cloned().collect()),
        };
        (self.revision != earlier.revision || news.gone != Gone::Named(Vec::new())).then_some(news)
    }

    /// Entries as they lie in the store, to be handed on.
    fn objects(&self, which: impl Fn(&str, &Entry) -> bool) -> Vec<WorldObject> {
        let entries = self.entries.iter();
        let chosen = entries.filter(|(name, entry)| which(name, entry));
        chosen
            .map(|(name, entry)| WorldObject {
                name: Arc::clone(name),
                revision: entry.revision,
                value: Arc::clone(&entry.raw),
            })
            .collect()
    }

    /// This list with another instance's news taken up; `None` when they are older than what is known here.
    pub(crate) fn with_news(&self, edges: &Edges, news: &UpstreamNews) -> Option<Self> {
        if news.revision < self.revision {
            return None;
        }
        let put = |object: &WorldObject| {
            ObjectEvent::Put(StoredObject {
                name: Arc::clone(&object.name),
                revision: object.revision,
                value: Arc::clone(&object.value),
            })
        };
        let removed = |name: &Arc<str>| ObjectEvent::Removed {
            name: Arc::clone(name),
            revision: news.revision,
        };
        let mut events: Vec<ObjectEvent> = news.changed.iter().map(put).collect();
        match &news.gone {
            Gone::Named(names) => events.extend(names.iter().map(removed)),
            Gone::AllBut(names) => {
                let left: HashSet<&Arc<str>> = names.iter().collect();
                let gone = self.entries.keys().filter(|name| !left.contains(name));
                events.extend(gone.map(removed));
            }
        }
        Some(self.with_events(edges, &events, news.revision))
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
