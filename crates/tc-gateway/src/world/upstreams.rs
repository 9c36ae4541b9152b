//! The registered upstreams, indexed by service, address and identifier.
//!
//! All indexes are persistent maps that share unchanged parts with earlier tables. A change costs
//! the changed entries, not all of them, and two tables are compared by what differs.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use imbl::{OrdMap, ordmap::DiffItem};
use tc_platform::{ObjectEvent, StoredObject};
use tc_protocol::{
    FailureDomain, MonoTime, ServiceName, StoreRevision, UpstreamId,
    routing::{RegisteredUpstream, ResultHandle},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{departed::DepartedUpstreams, removals::Completeness};
use crate::codec::PlatformCodec;

/// Minimum time for which the announcement of an unregistered upstream is kept.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) revision: StoreRevision,
    /// `None` if the entry cannot be decoded. It is kept so that other instances learn its revision.
    pub(super) upstream: Option<Arc<RegisteredUpstream>>,
}

/// The upstreams of one service, ordered by identifier.
type ServiceUpstreams = Arc<Vec<Arc<RegisteredUpstream>>>;

/// The registered upstreams as of a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    pub(super) revision: StoreRevision,
    /// Revision up to which all changes but some removals are included; above `revision` if removals are missing.
    ///
    /// Both are kept apart, as another instance that has applied the removals would else seem to lag behind this one.
    pub(super) ahead_to: StoreRevision,
    pub(super) entries: OrdMap<Arc<str>, Entry>,
    by_service: HashMap<ServiceName, ServiceUpstreams>,
    /// An address may be registered by several upstreams while an old entry has yet to be removed.
    by_address: OrdMap<(SocketAddr, UpstreamId), Arc<RegisteredUpstream>>,
    by_id: OrdMap<UpstreamId, Arc<RegisteredUpstream>>,
    /// Digest of the names and revisions of all entries.
    digest: u64,
    marks: Arc<UpstreamMarks>,
    departed: DepartedUpstreams,
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
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns a digest of all entries. Tables with the same digest have the same entries.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the upstreams of a service, including leaving ones, ordered by identifier.
    pub(crate) fn of_service(&self, service: &str) -> &[Arc<RegisteredUpstream>] {
        self.by_service
            .get(service)
            .map_or(&[], |upstreams| upstreams.as_slice())
    }

    /// Returns a registered upstream.
    pub(crate) fn upstream(&self, id: &UpstreamId) -> Option<&Arc<RegisteredUpstream>> {
        self.by_id.get(id)
    }

    /// Returns the registered upstream that holds a result.
    pub(crate) fn upstream_of_result(
        &self,
        result: &ResultHandle,
    ) -> Option<&Arc<RegisteredUpstream>> {
        let address: SocketAddr = result.upstream_address()?.parse().ok()?;
        let first = (address, UpstreamId::from(""));
        let at_address = self.by_address.range(first..);
        let at_address = at_address.take_while(|(key, _)| key.0 == address);
        at_address.last().map(|(_, upstream)| upstream)
    }

    /// Returns the services of the upstreams registered at an address: more than one while an old
    /// entry has yet to be removed.
    pub(crate) fn services_at(&self, address: SocketAddr) -> impl Iterator<Item = &ServiceName> {
        let first = (address, UpstreamId::from(""));
        let at_address = self.by_address.range(first..);
        let at_address = at_address.take_while(move |(key, _)| key.0 == address);
        at_address.map(|(_, upstream)| &upstream.service)
    }

    /// Returns true if this upstream process is registered. A restarted process has another
    /// identifier.
    pub(crate) fn contains(&self, id: &UpstreamId) -> bool {
        self.by_id.contains_key(id)
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
        let announced = self.marks.leaving.keys();
        announced.filter(|id| self.upstream(id).is_some_and(|u| u.service == *service))
    }

    /// Returns this table with an upstream marked as leaving.
    pub(crate) fn with_leaving(&self, id: &UpstreamId, now: MonoTime) -> Self {
        let mut marks = UpstreamMarks::clone(&self.marks);
        // An entry may expire and be registered again during a store outage.
        marks
            .leaving
            .retain(|id, since| self.contains(id) || now.since(*since) < LEAVING_RETENTION);
        marks.leaving.insert(id.clone(), now);
        let mut next = self.clone();
        next.marks = Arc::new(marks);
        if let Some(upstream) = self.upstream(id) {
            next.index(upstream);
        }
        next
    }

    /// Returns true if changes after this table's revision are included, but not all of them.
    pub(super) fn is_ahead(&self) -> bool {
        self.ahead_to > self.revision
    }

    /// Returns the names of all entries.
    pub(crate) fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.keys()
    }

    /// Returns true if both tables have the same upstreams.
    pub(crate) fn same_upstreams(&self, other: &Self) -> bool {
        self.entries
            .diff(&other.entries)
            .all(|change| match change {
                DiffItem::Update { old, new } => old.1.upstream == new.1.upstream,
                DiffItem::Add(_, entry) | DiffItem::Remove(_, entry) => entry.upstream.is_none(),
            })
    }

    /// Returns this table with the changes up to revision `at` applied.
    #[must_use]
    pub fn with_events(
        &self,
        codec: &PlatformCodec,
        events: &[ObjectEvent],
        at: StoreRevision,
        completeness: Completeness,
    ) -> Self {
        let mut next = self.clone();
        next.forget_departed(MonoTime::now());
        for event in events {
            match event {
                ObjectEvent::Put(object) => next.put_object(codec, object),
                ObjectEvent::Removed { name, revision } => next.remove(name, *revision),
            }
        }
        if completeness == Completeness::Complete {
            next.revision = self.revision.max(at);
        }
        next.ahead_to = self.ahead_to.max(at);
        next
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
        let marks = UpstreamMarks {
            evacuated: evacuated.clone(),
            leaving: self.marks.leaving.clone(),
        };
        let mut next = Self {
            revision: self.revision,
            ahead_to: self.ahead_to,
            marks: Arc::new(marks),
            departed: self.departed.clone(),
            ..Self::default()
        };
        for (name, entry) in &self.entries {
            let mut entry = entry.clone();
            if let Some(upstream) = &mut entry.upstream {
                let domain = &upstream.failure_domain;
                if self.marks.evacuated.contains(domain) && !evacuated.contains(domain) {
                    let returned = Arc::make_mut(upstream);
                    returned.cold_until = returned.cold_until.max(cold_until(&returned.service));
                }
            }
            next.put(name, entry.revision, || entry.upstream);
        }
        next
    }

    /// Returns the table of a full list, reusing decoded entries with the same revision.
    pub(crate) fn with_list(
        &self,
        codec: &PlatformCodec,
        objects: &[StoredObject],
        at: StoreRevision,
    ) -> Self {
        let mut next = Self {
            revision: at,
            ahead_to: at,
            marks: Arc::clone(&self.marks),
            departed: self.departed.clone(),
            ..Self::default()
        };
        for object in objects {
            match self.entries.get(&object.name) {
                Some(known) if known.revision == object.revision => {
                    next.put(&object.name, known.revision, || known.upstream.clone());
                }
                _ => next.put_object(codec, object),
            }
        }
        next
    }

    /// Drops what is known of upstreams that were removed long ago.
    pub(super) fn forget_departed(&mut self, now: MonoTime) {
        self.departed.remove_expired(now);
    }

    fn put_object(&mut self, codec: &PlatformCodec, object: &StoredObject) {
        self.put(&object.name, object.revision, || decode(codec, object));
    }

    /// Stores an entry unless the known one is as new.
    ///
    /// An entry is decoded only once, because an upstream's cold time counts from its first decoding.
    pub(super) fn put(
        &mut self,
        name: &Arc<str>,
        revision: StoreRevision,
        upstream: impl FnOnce() -> Option<Arc<RegisteredUpstream>>,
    ) {
        let known = self.entries.get(name);
        if known.is_some_and(|known| revision <= known.revision) {
            return;
        }
        let known = known.or_else(|| self.departed.get(name));
        let upstream = upstream();
        if let Some(leaving) = leaving_before_restore(known, revision, upstream.as_deref()) {
            let mut marks = UpstreamMarks::clone(&self.marks);
            marks.leaving.insert(leaving, MonoTime::now());
            self.marks = Arc::new(marks);
        }
        let previous = self.entries.insert(
            Arc::clone(name),
            Entry {
                revision,
                upstream: upstream.clone(),
            },
        );
        self.digest ^= entry_hash(name, revision);
        if let Some(previous) = previous {
            self.digest ^= entry_hash(name, previous.revision);
            // A restarted process has another identifier, so its earlier start must be removed.
            if let Some(upstream) = previous.upstream {
                self.unindex(&upstream);
            }
        }
        if let Some(upstream) = upstream {
            self.index(&upstream);
        }
    }

    /// Removes an entry. A repeated removal does not remove one that was registered again.
    pub(super) fn remove(&mut self, name: &Arc<str>, revision: StoreRevision) {
        let known = self.entries.get(name).map(|entry| entry.revision);
        if revision.is_known() && Some(revision) < known {
            return;
        }
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        self.digest ^= entry_hash(name, entry.revision);
        self.departed.record(MonoTime::now(), name, &entry);
        if let Some(upstream) = entry.upstream {
            self.unindex(&upstream);
        }
    }

    fn index(&mut self, registered: &Arc<RegisteredUpstream>) {
        let upstream = with_marks(registered, &self.marks);
        let address = (upstream.address, upstream.id.clone());
        self.by_address.insert(address, Arc::clone(&upstream));
        self.by_id
            .insert(upstream.id.clone(), Arc::clone(&upstream));
        let of_service = self.by_service.entry(upstream.service.clone()).or_default();
        let of_service = Arc::make_mut(of_service);
        match of_service.binary_search_by(|known| known.id.cmp(&upstream.id)) {
            Ok(at) => of_service[at] = upstream,
            Err(at) => of_service.insert(at, upstream),
        }
    }

    fn unindex(&mut self, registered: &RegisteredUpstream) {
        let id = &registered.id;
        self.by_address.remove(&(registered.address, id.clone()));
        self.by_id.remove(id);
        let Some(of_service) = self.by_service.get_mut(&registered.service) else {
            return;
        };
        let of_service = Arc::make_mut(of_service);
        if let Ok(at) = of_service.binary_search_by(|known| known.id.cmp(id)) {
            of_service.remove(at);
        }
    }
}

fn entry_hash(name: &str, revision: StoreRevision) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), revision.to_bits())
}

/// Returns the identifier of an upstream that was leaving before the store was restored from an older copy, and whose
/// restored entry does not show it. A process that has begun to leave does not come back.
fn leaving_before_restore(
    known: Option<&Entry>,
    revision: StoreRevision,
    upstream: Option<&RegisteredUpstream>,
) -> Option<UpstreamId> {
    let (known, upstream) = (known?, upstream?);
    let was_leaving = known.upstream.as_ref().filter(|known| known.draining)?;
    let is_restored = revision.era > known.revision.era;
    let is_same_process = was_leaving.id == upstream.id;
    (is_restored && is_same_process && !upstream.draining).then(|| upstream.id.clone())
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

fn decode(codec: &PlatformCodec, object: &StoredObject) -> Option<Arc<RegisteredUpstream>> {
    let decoded = (codec.read_upstream)(&object.name, &object.value, MonoTime::now());
    let decoded = decoded.inspect_err(|problem| {
        log::warn!(upstream = &*object.name, revision = object.revision.to_string().as_str(), problem = problem.as_str(); "ignoring a registered upstream that cannot be decoded");
        metrics::counter!("tc_registry_unreadable_total").increment(1);
    });
    decoded.ok().map(Arc::new)
}
