//! Table of the other instances.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tc_protocol::{
    Incarnation, InstanceId, Member, MemberState, MonoTime,
    wire::{InstanceList, ListedState},
};

use super::Record;

/// Dead members are kept this many times longer than they are shown, so that outdated records
/// cannot re-add them as new members.
const TOMBSTONE_FACTOR: u32 = 8;

/// A pending suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    pub(crate) since: MonoTime,
    /// When the member is declared dead. `None` after a pause, until a probe sent by this instance
    /// has failed.
    pub(crate) deadline: Option<MonoTime>,
}

/// Table entry for one other instance.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The record with the highest precedence received so far.
    pub(crate) record: Record,
    /// Whether the member announced its leave in this incarnation.
    leaving: bool,
    /// Set while the record is a suspicion.
    pub(crate) suspicion: Option<Suspicion>,
    /// Death record received for a member that appears alive here. A probe decides whether it is
    /// accepted.
    pub(crate) unconfirmed_death: Option<Record>,
    /// When the last message sent by the member itself arrived.
    pub(crate) last_heard: Option<MonoTime>,
    dead_since: Option<MonoTime>,
    hidden: bool,
}

/// Result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The record is already known or outdated.
    Unchanged,
    /// The record is older than a suspicion or death record held here.
    Outdated,
    /// Only the revision is newer.
    RevisionChanged,
    /// The record replaced the previous one.
    Replaced,
    /// The member was not known before.
    NewMember,
    /// The record reports a member dead that appears alive here.
    UnconfirmedDeath,
}

#[derive(Clone, Debug)]
struct ListedInstance {
    address: SocketAddr,
    leaving: bool,
    /// Incarnation that was running when the list first reported the instance as leaving, if known.
    leaving_incarnation: Option<Incarnation>,
}

/// All other instances, keyed by identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<InstanceId, Entry>,
    listed: BTreeMap<InstanceId, ListedInstance>,
    list_version: u64,
}

impl Table {
    pub(crate) fn get(&self, id: &InstanceId) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Entry> {
        self.entries.get_mut(id)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (&InstanceId, &Entry)> {
        self.entries.iter()
    }

    pub(crate) fn entries_mut(&mut self) -> impl Iterator<Item = (&InstanceId, &mut Entry)> {
        self.entries.iter_mut()
    }

    /// Returns the members that are not dead.
    pub(crate) fn live(&self) -> impl Iterator<Item = (&InstanceId, &Entry)> + Clone {
        self.entries.iter().filter(|(_, e)| !e.record.is_dead())
    }

    /// Merges a received record. `suspicion_timeout` applies if the record is a suspicion.
    pub(crate) fn merge(
        &mut self,
        now: MonoTime,
        update: &Record,
        suspicion_timeout: Duration,
    ) -> MergeOutcome {
        let Some(entry) = self.entries.get_mut(&update.member.id) else {
            let mut entry = Entry::new(update.clone());
            entry.replace(now, update.clone(), suspicion_timeout);
            self.entries.insert(update.member.id.clone(), entry);
            return MergeOutcome::NewMember;
        };
        entry.merge(now, update, suspicion_timeout)
    }

    /// Returns the member as listed to callers, or `None` once it has been dead for longer than the
    /// retention.
    pub(crate) fn visible_member(&self, id: &InstanceId) -> Option<Member> {
        let entry = self.entries.get(id).filter(|e| !e.hidden)?;
        let mut member = entry.record.member.clone();
        let leaving = entry.leaving || self.listed_leaving(id, member.incarnation);
        if leaving && member.state != MemberState::Dead {
            member.state = MemberState::Leaving;
        }
        Some(member)
    }

    /// Returns the address for probing a member that is dead or known only from the list.
    pub(crate) fn reconnect_address(&self, id: &InstanceId) -> Option<SocketAddr> {
        let listed = self.listed.get(id).map(|l| l.address);
        let known = || Some(self.entries.get(id)?.record.member.fleet_address);
        listed.or_else(known)
    }

    /// Returns members that may exist but are not known to be alive: dead ones still in the table,
    /// and instances known only from the list.
    pub(crate) fn reconnect_candidates(&self) -> Vec<InstanceId> {
        let dead = self.entries.iter().filter(|(_, e)| e.record.is_dead());
        let unknown = self
            .listed
            .keys()
            .filter(|id| !self.entries.contains_key(*id));
        dead.map(|(id, _)| id).chain(unknown).cloned().collect()
    }

    /// Replaces the instance list. Returns the identifiers that are new on it and not in the table,
    /// or `None` if the list is outdated.
    pub(crate) fn apply_instance_list(
        &mut self,
        list: &InstanceList,
        me: &InstanceId,
    ) -> Option<Vec<InstanceId>> {
        // Platform responses can arrive out of order, and an outdated list would bring back
        // instances long gone.
        if list.version < self.list_version {
            return None;
        }
        self.list_version = list.version;
        let mut listed = BTreeMap::new();
        let mut new = Vec::new();
        for instance in list.instances.iter().filter(|i| i.service.is_none()) {
            let id = &instance.id;
            let before = self.listed.get(id);
            if before.is_none() && id != me && !self.entries.contains_key(id) {
                new.push(id.clone());
            }
            let leaving = instance.state == ListedState::Leaving;
            let known = self.entries.get(id).map(|e| e.record.member.incarnation);
            let leaving_incarnation = match before.filter(|l| l.leaving) {
                Some(before) => before.leaving_incarnation,
                None => known,
            };
            let entry = ListedInstance {
                address: instance.address,
                leaving,
                leaving_incarnation,
            };
            listed.insert(id.clone(), entry);
        }
        listed.remove(me);
        self.listed = listed;
        Some(new)
    }

    /// Whether the list reports this incarnation of the member as leaving.
    ///
    /// The list carries no incarnation and lags. After a restart it may still report the instance
    /// as leaving because of the previous incarnation, and the new one would receive no work. The
    /// state therefore applies only to the incarnation it was first reported for.
    fn listed_leaving(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.listed.get(id).is_some_and(|listed| {
            listed.leaving && listed.leaving_incarnation.is_none_or(|i| incarnation <= i)
        })
    }

    /// Hides members dead for longer than `retention`, and removes those dead for
    /// `TOMBSTONE_FACTOR` times as long unless they are listed.
    pub(crate) fn prune(&mut self, now: MonoTime, retention: Duration) -> Pruned {
        let mut pruned = Pruned::default();
        let is_expired =
            |e: &Entry, after| e.dead_since.is_some_and(|since| now.since(since) >= after);
        for entry in self.entries.values_mut() {
            if !entry.hidden && is_expired(entry, retention) {
                entry.hidden = true;
                pruned.hidden = true;
            }
        }
        let listed = &self.listed;
        self.entries.retain(|id, e| {
            let keep = listed.contains_key(id) || !is_expired(e, retention * TOMBSTONE_FACTOR);
            if !keep {
                pruned.removed.push(id.clone());
            }
            keep
        });
        pruned
    }
}

/// Result of [`Table::prune`].
#[derive(Debug, Default)]
pub(crate) struct Pruned {
    pub(crate) hidden: bool,
    pub(crate) removed: Vec<InstanceId>,
}

impl Entry {
    fn new(record: Record) -> Self {
        Self {
            record,
            leaving: false,
            suspicion: None,
            unconfirmed_death: None,
            last_heard: None,
            dead_since: None,
            hidden: false,
        }
    }

    fn merge(
        &mut self,
        now: MonoTime,
        update: &Record,
        suspicion_timeout: Duration,
    ) -> MergeOutcome {
        let same_incarnation = update.member.incarnation == self.record.member.incarnation;
        if same_incarnation
            && update.is_dead()
            && !self.record.is_suspect_or_dead()
            && update.supersedes(&self.record)
        {
            return self.defer_death(update);
        }
        if update.supersedes(&self.record) {
            self.replace(now, update.clone(), suspicion_timeout);
            return MergeOutcome::Replaced;
        }
        if same_incarnation && update.revision > self.record.revision {
            self.record.revision = update.revision;
            return MergeOutcome::RevisionChanged;
        }
        if self.record.is_suspect_or_dead() && self.record.supersedes(update) {
            return MergeOutcome::Outdated;
        }
        MergeOutcome::Unchanged
    }

    /// Stores a death record for a member that appears alive here until a probe confirms or refutes
    /// it.
    ///
    /// After a network partition between two failure domains heals, each side still holds the
    /// other's members as dead. If such records were accepted, they would spread through the fleet
    /// within a second and every instance would lose half of the others just as the network
    /// recovers. The record is therefore kept separately and sent with a probe: the member either
    /// refutes it or does not reply.
    fn defer_death(&mut self, update: &Record) -> MergeOutcome {
        if self
            .unconfirmed_death
            .as_ref()
            .is_some_and(|d| !update.supersedes(d))
        {
            return MergeOutcome::Unchanged;
        }
        self.unconfirmed_death = Some(update.clone());
        MergeOutcome::UnconfirmedDeath
    }

    /// Replaces the record and resets the state derived from it.
    pub(crate) fn replace(&mut self, now: MonoTime, update: Record, suspicion_timeout: Duration) {
        let revision = if update.member.incarnation == self.record.member.incarnation {
            self.record.revision
        } else {
            self.leaving = false;
            0
        };
        // A suspicion or death reported by others does not change what the member last announced
        // itself.
        match update.member.state {
            MemberState::Leaving => self.leaving = true,
            MemberState::Alive | MemberState::Isolated => self.leaving = false,
            MemberState::Suspect | MemberState::Dead => {}
        }
        self.suspicion = (update.member.state == MemberState::Suspect).then(|| Suspicion {
            since: now,
            deadline: Some(now.after(suspicion_timeout)),
        });
        self.dead_since = update.is_dead().then_some(now);
        self.hidden = false;
        self.unconfirmed_death = self
            .unconfirmed_death
            .take()
            .filter(|d| d.supersedes(&update));
        self.record = update;
        // The sender of a suspicion or death record may know an older revision of the member than
        // this instance.
        self.record.revision = self.record.revision.max(revision);
    }

    /// Returns the record to send to the member itself so that it can refute it.
    pub(crate) fn record_to_refute(&self) -> &Record {
        self.unconfirmed_death.as_ref().unwrap_or(&self.record)
    }
}
