//! Store updates exchanged between instances, and their conversion to and from wire types.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tc_protocol::{
    FailureDomain, MonoTime, ServiceName, StoreRevision, UpstreamVersion,
    routing::RegisteredUpstream,
};

use super::{name_table::NameTable, stored_config::StoredConfig};
use crate::generated as wire;

/// Maximum number of entries in one message: some 150 KB, which a slow link transfers well within the time after which
/// a silent source is abandoned. The size of a message must not depend on the number of upstreams.
const MAX_ENTRIES_PER_MESSAGE: usize = 2_000;

/// Revisions of the store's state that an instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorldHave {
    /// Version of the configuration, or 0 if there is none.
    pub config_version: u64,
    /// Revision of the upstream list, if there is one.
    pub upstreams_revision: StoreRevision,
    /// Digest of the upstream list, with which a source that has the same list sends none.
    pub upstreams_digest: u64,
    /// Revision of the evacuated failure domains, if it is known.
    pub evacuated_revision: StoreRevision,
}

/// An entry of the store's upstream registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryEntry {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Revision of its last change.
    pub revision: StoreRevision,
    /// The decoded entry, or `None` if it cannot be decoded.
    pub upstream: Option<Arc<RegisteredUpstream>>,
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
    /// Configuration, if newer than the receiver's.
    pub config: Option<Arc<StoredConfig>>,
    /// Changes of the upstream list, if any.
    pub upstreams: Option<UpstreamUpdate>,
    /// All evacuated failure domains, if newer than the receiver's.
    pub evacuated: Option<EvacuatedDomains>,
    /// Whether more entries of the same list follow in the next update, with which they are to be applied.
    pub more_follows: bool,
}

/// The failure domains whose upstreams get no new work, as of a store revision.
///
/// The set is never larger than the number of failure domains, so it is always sent in full.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedDomains {
    /// Store revision of the set, if one is known.
    pub revision: StoreRevision,
    /// Evacuated failure domains.
    pub domains: BTreeSet<FailureDomain>,
}

/// Difference between an upstream list and an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamUpdate {
    /// Revision of the new list.
    pub revision: StoreRevision,
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
        since: StoreRevision,
        /// Names of the removed entries.
        names: Vec<Arc<str>>,
    },
    /// All entries were removed except the changed ones and the named ones, which are unchanged.
    AllExcept(Vec<Arc<str>>),
}

/// Converts an update to one or more messages, for a receiver that may accept compressed configurations.
pub(super) fn store_update_to_wire(
    update: &StoreUpdate,
    accepts_compressed: bool,
) -> Vec<wire::WorldNews> {
    let mut messages = Vec::new();
    let mut rest = update.upstreams.clone();
    if let Some(list) = &mut rest {
        while list.changed.len() > MAX_ENTRIES_PER_MESSAGE {
            let later = list.changed.split_off(MAX_ENTRIES_PER_MESSAGE);
            let part = UpstreamUpdate {
                revision: list.revision,
                changed: std::mem::replace(&mut list.changed, later),
                removed: Removed::AllExcept(Vec::new()),
            };
            messages.push(wire::WorldNews {
                upstreams: Some(upstream_update_to_wire(&part)),
                more_follows: true,
                ..wire::WorldNews::default()
            });
        }
    }
    let config = update.config.as_ref();
    let mut config = config.map_or_else(Vec::new, |config| config.to_wire(accepts_compressed));
    let last_of_config = config.pop().unwrap_or_default();
    messages.append(&mut config);
    messages.push(wire::WorldNews {
        confirmed_ms: update.confirmed_ms,
        upstreams: rest.as_ref().map(upstream_update_to_wire),
        evacuated: update.evacuated.as_ref().map(evacuated_to_wire),
        more_follows: update.more_follows,
        ..last_of_config
    });
    messages
}

fn evacuated_to_wire(evacuated: &EvacuatedDomains) -> wire::EvacuatedDomains {
    let domains = evacuated.domains.iter();
    wire::EvacuatedDomains {
        revision: evacuated.revision.to_bits(),
        names: domains.map(|domain| domain.as_str().to_owned()).collect(),
    }
}

fn evacuated_from_wire(evacuated: &wire::EvacuatedDomains) -> EvacuatedDomains {
    let names = evacuated.names.iter();
    EvacuatedDomains {
        revision: StoreRevision::from_bits(evacuated.revision),
        domains: names.map(|name| name.as_str().into()).collect(),
    }
}

fn upstream_update_to_wire(update: &UpstreamUpdate) -> wire::UpstreamNews {
    let (names, is_whole, since) = match &update.removed {
        Removed::Named { since, names } => (names, false, since.to_bits()),
        Removed::AllExcept(names) => (names, true, 0),
    };
    let now = MonoTime::now();
    let mut services = NameTable::default();
    let mut failure_domains = NameTable::default();
    let mut versions = NameTable::default();
    let mut to_record = |upstream: &RegisteredUpstream| wire::UpstreamRecord {
        id: upstream.id.to_string(),
        service: services.index(upstream.service.as_str()),
        failure_domain: failure_domains.index(upstream.failure_domain.as_str()),
        ip: match upstream.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        },
        port: u32::from(upstream.address.port()),
        slots: upstream.slots,
        draining: upstream.draining,
        cold_remaining_ms: upstream.cold_until.since(now).as_millis() as u32,
        version: upstream
            .version
            .as_ref()
            .map(|version| versions.index(version.as_str())),
    };
    let changed = update.changed.iter().map(|entry| wire::RegistryEntry {
        name: entry.name.to_string(),
        revision: entry.revision.to_bits(),
        upstream: entry.upstream.as_deref().map(&mut to_record),
    });
    wire::UpstreamNews {
        revision: update.revision.to_bits(),
        changed: changed.collect(),
        names: names.iter().map(ToString::to_string).collect(),
        is_whole,
        since,
        services: services.names,
        failure_domains: failure_domains.names,
        versions: versions.names,
    }
}

/// Returns `None` if any part is malformed: applying the rest would make upstreams appear removed.
pub(super) fn store_update_from_wire(update: &wire::WorldNews) -> Option<StoreUpdate> {
    let config = if update.config.is_empty() {
        None
    } else {
        Some(Arc::new(StoredConfig::from_wire(update)?))
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
        more_follows: update.more_follows,
    })
}

fn upstream_update_from_wire(update: &wire::UpstreamNews) -> Option<UpstreamUpdate> {
    let now = MonoTime::now();
    // Shared by all entries, so that each name is stored once.
    let services: Vec<ServiceName> = update.services.iter().map(|n| n.as_str().into()).collect();
    let domains = update.failure_domains.iter();
    let domains: Vec<FailureDomain> = domains.map(|name| name.as_str().into()).collect();
    let versions = update.versions.iter();
    let versions: Vec<UpstreamVersion> = versions.map(|name| name.as_str().into()).collect();
    let version_at = |index: u32| versions.get(index as usize).cloned();
    let from_record = |record: &wire::UpstreamRecord| {
        Some(RegisteredUpstream {
            id: record.id.as_str().into(),
            service: services.get(record.service as usize)?.clone(),
            version: match record.version {
                Some(index) => Some(version_at(index)?),
                None => None,
            },
            address: SocketAddr::new(ip_from_wire(&record.ip)?, u16::try_from(record.port).ok()?),
            failure_domain: domains.get(record.failure_domain as usize)?.clone(),
            slots: record.slots,
            draining: record.draining,
            evacuated: false,
            cold_until: now.after(Duration::from_millis(record.cold_remaining_ms.into())),
        })
    };
    let entry_from_wire = |entry: &wire::RegistryEntry| {
        let upstream = match &entry.upstream {
            Some(record) => Some(Arc::new(from_record(record)?)),
            None => None,
        };
        Some(RegistryEntry {
            name: entry.name.as_str().into(),
            revision: StoreRevision::from_bits(entry.revision),
            upstream,
        })
    };
    let changed: Option<Vec<RegistryEntry>> = update.changed.iter().map(entry_from_wire).collect();
    let names = update
        .names
        .iter()
        .map(|name| name.as_str().into())
        .collect();
    Some(UpstreamUpdate {
        revision: StoreRevision::from_bits(update.revision),
        changed: changed?,
        removed: if update.is_whole {
            Removed::AllExcept(names)
        } else {
            Removed::Named {
                since: StoreRevision::from_bits(update.since),
                names,
            }
        },
    })
}

fn ip_from_wire(ip: &[u8]) -> Option<IpAddr> {
    if let Ok(ip) = <[u8; 4]>::try_from(ip) {
        return Some(IpAddr::from(ip));
    }
    <[u8; 16]>::try_from(ip).ok().map(IpAddr::from)
}

#[cfg(test)]
mod tests {
    use prost::Message as _;

    use super::*;

    /// Largest message that gRPC receivers accept by default.
    const MAX_MESSAGE_BYTES: usize = 4 << 20;

    fn list(upstreams: u32) -> StoreUpdate {
        let entry = |index: u32| RegistryEntry {
            name: format!("draft-llm-kl-a-{index}").into(),
            revision: StoreRevision {
                era: 0,
                number: u64::from(index) + 1,
            },
            upstream: Some(Arc::new(RegisteredUpstream {
                id: format!("draft-llm-kl-a-{index}~1733000000123")
                    .as_str()
                    .into(),
                service: "draft-llm".into(),
                version: (!index.is_multiple_of(5)).then(|| format!("v1.{}", index % 3).into()),
                address: SocketAddr::new(IpAddr::from(index.to_be_bytes()), 8_080),
                failure_domain: format!("kl-{}", index % 6).into(),
                slots: 16,
                draining: index.is_multiple_of(7),
                evacuated: false,
                cold_until: MonoTime::default(),
            })),
        };
        StoreUpdate {
            confirmed_ms: Some(-3),
            upstreams: Some(UpstreamUpdate {
                revision: StoreRevision {
                    era: 0,
                    number: u64::from(upstreams),
                },
                changed: (0..upstreams).map(entry).collect(),
                removed: Removed::AllExcept(Vec::new()),
            }),
            ..StoreUpdate::default()
        }
    }

    /// Guards against a list of upstreams that no follower can receive, because one message with all of them is larger than
    /// receivers accept, and against lists that occupy a weak link for seconds.
    #[test]
    fn messages_of_a_list_do_not_grow_with_the_number_of_upstreams() {
        for upstreams in [100, 10_000, 20_000] {
            let messages = store_update_to_wire(&list(upstreams), true);
            let sizes: Vec<usize> = messages.iter().map(wire::WorldNews::encoded_len).collect();
            let largest = sizes.iter().max().copied().unwrap_or_default();
            assert!(
                largest < MAX_MESSAGE_BYTES / 8,
                "{upstreams}: {largest} bytes"
            );
            let per_upstream = sizes.iter().sum::<usize>() / upstreams as usize;
            assert!(per_upstream < 128, "{upstreams}: {per_upstream} bytes each");
        }
    }

    #[test]
    fn a_list_in_several_messages_is_received_as_sent() {
        let sent = list(4_500);
        let messages = store_update_to_wire(&sent, true);
        let received: Vec<StoreUpdate> = messages
            .iter()
            .map(|message| store_update_from_wire(message).expect("a valid message"))
            .collect();
        let more_follows: Vec<bool> = received.iter().map(|update| update.more_follows).collect();
        assert_eq!(more_follows, [true, true, false]);
        let entries = |update: &StoreUpdate| update.upstreams.clone().map(|list| list.changed);
        let all: Vec<RegistryEntry> = received.iter().filter_map(entries).flatten().collect();
        let expected = entries(&sent).expect("a list");
        assert_eq!(all.len(), expected.len());
        for (entry, expected) in all.iter().zip(&expected) {
            assert_eq!(
                (&entry.name, entry.revision),
                (&expected.name, expected.revision)
            );
            let (Some(upstream), Some(expected)) = (&entry.upstream, &expected.upstream) else {
                panic!("every entry has an upstream");
            };
            // The time at which the cold phase ends is relative to the receipt.
            let received = RegisteredUpstream {
                cold_until: expected.cold_until,
                ..RegisteredUpstream::clone(upstream)
            };
            assert_eq!(received, **expected);
        }
        let last = received.last().expect("a message");
        assert_eq!(last.confirmed_ms, sent.confirmed_ms);
    }

    /// Guards against an entry that refers to a name that is not in the message.
    #[test]
    fn malformed_entries_invalidate_the_message() {
        let valid = store_update_to_wire(&list(1), true).remove(0);
        let change = |change: fn(&mut wire::UpstreamRecord)| {
            let mut message = valid.clone();
            let list = message.upstreams.as_mut().expect("a list");
            change(list.changed[0].upstream.as_mut().expect("an upstream"));
            store_update_from_wire(&message)
        };
        assert!(change(|_| {}).is_some());
        assert!(change(|record| record.service = 7).is_none());
        assert!(change(|record| record.failure_domain = 7).is_none());
        assert!(change(|record| record.version = Some(7)).is_none());
        assert!(change(|record| record.version = None).is_some());
        assert!(change(|record| record.ip = vec![1, 2, 3]).is_none());
        assert!(change(|record| record.port = 70_000).is_none());
    }
}
