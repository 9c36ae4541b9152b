//! The registered upstreams, indexed by service.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde_json::Value;
use tc_fleet::{RegistryEntry, Removed, UpstreamUpdate};
use tc_platform::{ObjectEvent, StoredObject};
use tc_protocol::{
    FailureDomain, MonoTime, ServiceName, UpstreamId,
    routing::{RegisteredUpstream, ResultHandle},
};

use crate::codec::PlatformCodec;

/// Minimum time for which the announcement of an unregistered upstream is kept.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

/// Result of applying an update from another instance.
#[derive(Clone, Debug)]
pub enum ApplyOutcome {
    /// The table with the update applied.
    Updated(UpstreamTable),
    /// The update is older than this table.
    Outdated,
    /// The update is relative to another table than this one: the missing part must be requested.
    ///
    /// Otherwise, an instance that continues with a source that is behind it would keep forever the
    /// entries that were both written and removed between the source's table and its own, and send
    /// calls to upstreams that are long gone.
    BaseMismatch,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    raw: Arc<Value>,
    /// `None` if the entry cannot be decoded. It is kept so that it is relayed unchanged.
    upstream: Option<Arc<RegisteredUpstream>>,
}

/// The registered upstreams as of a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    revision: u64,
    entries: BTreeMap<Arc<str>, Entry>,
    by_service: HashMap<ServiceName, Vec<Arc<RegisteredUpstream>>>,
    by_address: HashMap<SocketAddr, Arc<RegisteredUpstream>>,
    ids: HashSet<UpstreamId>,
    marks: Arc<UpstreamMarks>,
}

/// Restrictions on upstreams that come from other sources than their entries.
#[derive(Clone, Debug, Default)]
struct UpstreamMarks {
    /// Failure domains whose upstreams receive no new requests.
    evacuated: BTreeSet<FailureDomain>,
    /// Upstreams that have announced that they are leaving, with the time of the first
    /// announcement.
    leaving: HashMap<UpstreamId, MonoTime>,
}

impl UpstreamTable {
    /// Returns the revision of the store that this table reflects.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the upstreams of a service, including leaving ones, ordered by identifier.
    pub(crate) fn of_service(&self, service: &str) -> &[Arc<RegisteredUpstream>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the registered upstream that holds a result.
    pub(crate) fn upstream_of_result(
        &self,
        result: &ResultHandle,
    ) -> Option<&Arc<RegisteredUpstream>> {
        let address: SocketAddr = result.upstream_address()?.parse().ok()?;
        self.by_address.get(&address)
    }

    /// Returns true if this upstream process is registered. A restarted process has another
    /// identifier.
    pub(crate) fn contains(&self, id: &UpstreamId) -> bool {
        self.ids.contains(id)
    }

    /// Returns true if this upstream process has announced that it is leaving.
    pub(crate) fn has_announced_leaving(&self, id: &UpstreamId) -> bool {
        self.marks.leaving.contains_key(id)
    }

    /// Returns the registered upstreams of a service that have announced that they are leaving.
    pub(crate) fn announced_leaving(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &UpstreamId> {
        let upstreams = self.of_service(service.as_str()).iter();
        upstreams
            .map(|upstream| &upstream.id)
            .filter(|id| self.has_announced_leaving(id))
    }

    /// Returns this table with an upstream marked as leaving.
    pub(crate) fn with_leaving(&self, id: &UpstreamId, now: MonoTime) -> Self {
        let mut marks = UpstreamMarks::clone(&self.marks);
        // An entry may expire and be registered again during a store outage.
        marks
            .leaving
            .retain(|id, since| self.contains(id) || now.since(*since) < LEAVING_RETENTION);
        marks.leaving.insert(id.clone(), now);
        Self::from_entries(self.entries.clone(), self.revision, Arc::new(marks))
    }

    /// Returns the names of all entries.
    pub(crate) fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.keys()
    }

    pub(crate) fn same_upstreams(&self, other: &Self) -> bool {
        let upstreams = |table: &Self| -> Vec<Option<Arc<RegisteredUpstream>>> {
            table.entries.values().map(|e| e.upstream.clone()).collect()
        };
        upstreams(self) == upstreams(other)
    }

    /// Returns the update for a table of an earlier revision: the changed entries and the names of
    /// all entries, which show what is gone.
    #[must_use]
    pub fn update_since(&self, revision: u64) -> UpstreamUpdate {
        UpstreamUpdate {
            revision: self.revision,
            changed: self.objects(|_, entry| entry.revision > revision),
            removed: Removed::AllExcept(self.entries.keys().cloned().collect()),
        }
    }

    /// Returns the difference from an earlier table, or `None` if there is none.
    #[must_use]
    pub fn update_after(&self, earlier: &Self) -> Option<UpstreamUpdate> {
        let is_new = |name: &str, entry: &Entry| {
            let known = earlier.entries.get(name);
            known.is_none_or(|known| known.revision != entry.revision)
        };
        let gone = earlier.entries.keys();
        let gone = gone.filter(|name| !self.entries.contains_key(*name));
        let names: Vec<Arc<str>> = gone.cloned().collect();
        let differs = self.revision != earlier.revision || !names.is_empty();
        differs.then(|| UpstreamUpdate {
            revision: self.revision,
            changed: self.objects(is_new),
            removed: Removed::Named {
                since: earlier.revision,
                names,
            },
        })
    }

    /// Returns the stored entries selected by a predicate, to be relayed unchanged.
    fn objects(&self, predicate: impl Fn(&str, &Entry) -> bool) -> Vec<RegistryEntry> {
        let entries = self.entries.iter();
        let chosen = entries.filter(|(name, entry)| predicate(name, entry));
        chosen
            .map(|(name, entry)| RegistryEntry {
                name: Arc::clone(name),
                revision: entry.revision,
                value: Arc::clone(&entry.raw),
            })
            .collect()
    }

    /// Applies an update from another instance.
    #[must_use]
    pub fn with_update(&self, codec: &PlatformCodec, update: &UpstreamUpdate) -> ApplyOutcome {
        if update.revision < self.revision {
            return ApplyOutcome::Outdated;
        }
        let gone: Vec<Arc<str>> = match &update.removed {
            Removed::Named { since, .. } if *since != self.revision => {
                let is_newer = update.revision > self.revision;
                return if is_newer {
                    ApplyOutcome::BaseMismatch
                } else {
                    ApplyOutcome::Outdated
                };
            }
            Removed::Named { names, .. } => names.clone(),
            Removed::AllExcept(names) => {
                let remaining: HashSet<&Arc<str>> = names.iter().collect();
                let gone = self.entries.keys().filter(|name| !remaining.contains(name));
                gone.cloned().collect()
            }
        };
        let removed = gone.into_iter().map(|name| ObjectEvent::Removed {
            name,
            revision: update.revision,
        });
        let put = update.changed.iter().map(|object| {
            ObjectEvent::Put(StoredObject {
                name: Arc::clone(&object.name),
                revision: object.revision,
                value: Arc::clone(&object.value),
            })
        });
        let events: Vec<ObjectEvent> = put.chain(removed).collect();
        ApplyOutcome::Updated(self.with_events(codec, &events, update.revision))
    }

    /// Returns this table with changes applied.
    #[must_use]
    pub fn with_events(&self, codec: &PlatformCodec, events: &[ObjectEvent], at: u64) -> Self {
        let mut entries = self.entries.clone();
        for event in events {
            match event {
                ObjectEvent::Put(object) => {
                    // Decoded only once, because an upstream's cold time counts from its first
                    // decoding.
                    let known = entries.get(&object.name).map(|e| e.revision);
                    if known.is_none_or(|known| object.revision > known) {
                        let entry = decode(codec, &object.name, object.revision, &object.value);
                        entries.insert(Arc::clone(&object.name), entry);
                    }
                }
                ObjectEvent::Removed { name, revision } => {
                    let known = entries.get(name).map_or(0, |e| e.revision);
                    // A repeated removal must not remove an entry that was registered again.
                    if *revision == 0 || *revision >= known {
                        entries.remove(name);
                    }
                }
            }
        }
        Self::from_entries(entries, self.revision.max(at), Arc::clone(&self.marks))
    }

    /// Returns this table with another set of evacuated failure domains.
    ///
    /// Upstreams of a domain that is no longer evacuated may have lost their warm state, but report
    /// that only with their next heartbeat. Until then they count as cold, up to the time that
    /// `cold_until` returns for their service.
    #[must_use]
    pub fn with_evacuated(
        &self,
        evacuated: &BTreeSet<FailureDomain>,
        cold_until: impl Fn(&ServiceName) -> MonoTime,
    ) -> Self {
        let mut entries = self.entries.clone();
        let upstreams = entries.values_mut().filter_map(|e| e.upstream.as_mut());
        for upstream in upstreams {
            let domain = &upstream.failure_domain;
            if self.marks.evacuated.contains(domain) && !evacuated.contains(domain) {
                let returned = Arc::make_mut(upstream);
                returned.cold_until = returned.cold_until.max(cold_until(&returned.service));
            }
        }
        let marks = UpstreamMarks {
            evacuated: evacuated.clone(),
            leaving: self.marks.leaving.clone(),
        };
        Self::from_entries(entries, self.revision, Arc::new(marks))
    }

    /// Returns the table of a full list, reusing decoded entries with the same revision.
    pub(crate) fn with_list(
        &self,
        codec: &PlatformCodec,
        objects: &[RegistryEntry],
        at: u64,
    ) -> Self {
        let entries = objects
            .iter()
            .map(|object| {
                let known = self.entries.get(&object.name);
                let entry = known
                    .filter(|entry| entry.revision == object.revision)
                    .cloned()
                    .unwrap_or_else(|| decode(codec, &object.name, object.revision, &object.value));
                (Arc::clone(&object.name), entry)
            })
            .collect();
        Self::from_entries(entries, at, Arc::clone(&self.marks))
    }

    fn from_entries(
        entries: BTreeMap<Arc<str>, Entry>,
        revision: u64,
        marks: Arc<UpstreamMarks>,
    ) -> Self {
        let mut by_service: HashMap<ServiceName, Vec<Arc<RegisteredUpstream>>> = HashMap::new();
        let mut by_address = HashMap::new();
        let mut ids = HashSet::new();
        for registered in entries.values().filter_map(|e| e.upstream.as_ref()) {
            let upstream = with_marks(registered, &marks);
            ids.insert(upstream.id.clone());
            by_address.insert(upstream.address, Arc::clone(&upstream));
            by_service
                .entry(upstream.service.clone())
                .or_default()
                .push(upstream);
        }
        Self {
            revision,
            entries,
            by_service,
            by_address,
            ids,
            marks,
        }
    }
}

fn with_marks(
    registered: &Arc<RegisteredUpstream>,
    marks: &UpstreamMarks,
) -> Arc<RegisteredUpstream> {
    let evacuated = marks.evacuated.contains(&registered.failure_domain);
    let leaving = marks.leaving.contains_key(&registered.id);
    if !evacuated && !leaving {
        return Arc::clone(registered);
    }
    Arc::new(RegisteredUpstream {
        evacuated: registered.evacuated || evacuated,
        draining: registered.draining || leaving,
        ..RegisteredUpstream::clone(registered)
    })
}

fn decode(codec: &PlatformCodec, name: &str, revision: u64, raw: &Arc<Value>) -> Entry {
    let upstream = match (codec.read_upstream)(name, raw, MonoTime::now()) {
        Ok(upstream) => Some(Arc::new(upstream)),
        Err(problem) => {
            log::warn!(upstream = name, revision = revision, problem = problem.as_str(); "ignoring a registered upstream that cannot be decoded");
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
