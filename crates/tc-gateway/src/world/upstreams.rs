//! The registered upstreams, by service.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde_json::Value;
use tc_fleet::{Gone, UpstreamNews, WorldObject};
use tc_platform::{ObjectEvent, StoredObject};
use tc_protocol::{
    FailureDomain, MonoTime, ServiceName, UpstreamId,
    routing::{RegisteredUpstream, ResultHandle},
};

use crate::codec::PlatformCodec;

/// Minimum time for which the announcement of an unregistered upstream is kept.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

/// What came of another instance's news.
#[derive(Clone, Debug)]
pub enum TakenUp {
    /// The list with them.
    Newer(UpstreamTable),
    /// They are older than what is known here.
    Older,
    /// They are differences from another list than this one: ask for what is lacking.
    ///
    /// An instance that goes on with a source which is behind it would otherwise keep for ever what was both written and
    /// removed between the source's list and its own, seen as calls to upstreams that are long gone.
    Unfit,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    raw: Arc<Value>,
    /// `None` when the entry cannot be read; it is kept so that it is handed on as it is.
    upstream: Option<Arc<RegisteredUpstream>>,
}

/// A list of upstreams as of a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    revision: u64,
    entries: BTreeMap<Arc<str>, Entry>,
    by_service: HashMap<ServiceName, Vec<Arc<RegisteredUpstream>>>,
    by_address: HashMap<SocketAddr, Arc<RegisteredUpstream>>,
    lives: HashSet<UpstreamId>,
    marks: Arc<UpstreamMarks>,
}

/// Restrictions on upstreams that come from other sources than their entries.
#[derive(Clone, Debug, Default)]
struct UpstreamMarks {
    /// Where nothing new may be sent to any of them.
    evacuated: BTreeSet<FailureDomain>,
    /// Upstreams that have announced that they are leaving, with the time of the first announcement.
    leaving: HashMap<UpstreamId, MonoTime>,
}

impl UpstreamTable {
    /// The store's revision that it shows.
    #[must_use]
    pub fn revision(&self) -> u64 {
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
        let address: SocketAddr = result.upstream_address()?.parse().ok()?;
        self.by_address.get(&address)
    }

    /// Whether this life of a process is registered.
    pub(crate) fn contains(&self, id: &UpstreamId) -> bool {
        self.lives.contains(id)
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
    #[must_use]
    pub fn news_since(&self, revision: u64) -> UpstreamNews {
        UpstreamNews {
            revision: self.revision,
            changed: self.objects(|_, entry| entry.revision > revision),
            gone: Gone::AllBut(self.entries.keys().cloned().collect()),
        }
    }

    /// How this list differs from an earlier one; `None` if it does not.
    #[must_use]
    pub fn news_after(&self, earlier: &Self) -> Option<UpstreamNews> {
        let is_new = |name: &str, entry: &Entry| {
            let known = earlier.entries.get(name);
            known.is_none_or(|known| known.revision != entry.revision)
        };
        let gone = earlier.entries.keys();
        let gone = gone.filter(|name| !self.entries.contains_key(*name));
        let names: Vec<Arc<str>> = gone.cloned().collect();
        let differs = self.revision != earlier.revision || !names.is_empty();
        differs.then(|| UpstreamNews {
            revision: self.revision,
            changed: self.objects(is_new),
            gone: Gone::Named {
                since: earlier.revision,
                names,
            },
        })
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

    /// Takes up another instance's news.
    #[must_use]
    pub fn with_news(&self, codec: &PlatformCodec, news: &UpstreamNews) -> TakenUp {
        if news.revision < self.revision {
            return TakenUp::Older;
        }
        let gone: Vec<Arc<str>> = match &news.gone {
            Gone::Named { since, .. } if *since != self.revision => {
                let is_newer = news.revision > self.revision;
                return if is_newer {
                    TakenUp::Unfit
                } else {
                    TakenUp::Older
                };
            }
            Gone::Named { names, .. } => names.clone(),
            Gone::AllBut(names) => {
                let left: HashSet<&Arc<str>> = names.iter().collect();
                let gone = self.entries.keys().filter(|name| !left.contains(name));
                gone.cloned().collect()
            }
        };
        let removed = gone.into_iter().map(|name| ObjectEvent::Removed {
            name,
            revision: news.revision,
        });
        let put = news.changed.iter().map(|object| {
            ObjectEvent::Put(StoredObject {
                name: Arc::clone(&object.name),
                revision: object.revision,
                value: Arc::clone(&object.value),
            })
        });
        let events: Vec<ObjectEvent> = put.chain(removed).collect();
        TakenUp::Newer(self.with_events(codec, &events, news.revision))
    }

    /// This table with changes taken up.
    #[must_use]
    pub fn with_events(&self, codec: &PlatformCodec, events: &[ObjectEvent], at: u64) -> Self {
        let mut entries = self.entries.clone();
        for event in events {
            match event {
                ObjectEvent::Put(object) => {
                    // Read once only: how long it stays cold counts from when it was first heard.
                    let known = entries.get(&object.name).map(|e| e.revision);
                    if known.is_none_or(|known| object.revision > known) {
                        let entry = read(codec, &object.name, object.revision, &object.value);
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
        Self::from_entries(entries, self.revision.max(at), Arc::clone(&self.marks))
    }

    /// This table with other failure domains evacuated.
    ///
    /// Upstreams of a domain that is taken back may have lost what they had warmed up, and say so only with their next
    /// heartbeat: until their own word comes they count as cold until `cold_until` tells, by their service.
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

    /// The table of a whole list.
    pub(crate) fn replaced(&self, codec: &PlatformCodec, objects: &[WorldObject], at: u64) -> Self {
        let entries = objects
            .iter()
            .map(|object| {
                let known = self.entries.get(&object.name);
                let entry = known
                    .filter(|entry| entry.revision == object.revision)
                    .cloned()
                    .unwrap_or_else(|| read(codec, &object.name, object.revision, &object.value));
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
        let mut lives = HashSet::new();
        for registered in entries.values().filter_map(|e| e.upstream.as_ref()) {
            let upstream = marked(registered, &marks);
            lives.insert(upstream.id.clone());
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
            lives,
            marks,
        }
    }
}

fn marked(registered: &Arc<RegisteredUpstream>, marks: &UpstreamMarks) -> Arc<RegisteredUpstream> {
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

fn read(codec: &PlatformCodec, name: &str, revision: u64, raw: &Arc<Value>) -> Entry {
    let upstream = match (codec.read_upstream)(name, raw, MonoTime::now()) {
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
