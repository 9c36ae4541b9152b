//! What this instance holds about the others.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tc_protocol::{
    Incarnation, InstanceId, Member, MemberState, MonoTime,
    wire::{InstanceList, ListedState},
};

use super::Record;

/// A dead member is kept this many times longer than it is shown, so that old news cannot bring it back as new.
const TOMBSTONE_FACTOR: u32 = 8;

/// A suspicion's course.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    pub(crate) since: MonoTime,
    /// When the member is taken for dead; `None` until a probe of this instance itself has failed, after a pause.
    pub(crate) ends: Option<MonoTime>,
}

/// One other instance.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The claim that holds.
    pub(crate) record: Record,
    /// It said that it is leaving, in this incarnation.
    leaving: bool,
    /// Set while the claim is a suspicion.
    pub(crate) suspicion: Option<Suspicion>,
    /// Another instance says it is dead while it seems alive from here; decided by a probe.
    pub(crate) disputed: Option<Record>,
    /// When a message from itself last arrived.
    pub(crate) heard: Option<MonoTime>,
    dead_since: Option<MonoTime>,
    hidden: bool,
}

/// What taking up a claim did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merged {
    /// It is known, or older than what holds.
    Nothing,
    /// It is older than an accusation that holds.
    Contradicts,
    /// Only the revision is news.
    Revision,
    /// It holds from now on.
    State,
    /// A member that was not known.
    Newcomer,
    /// It says that a member is dead that seems alive from here.
    Disputed,
}

#[derive(Clone, Debug)]
struct Listed {
    address: SocketAddr,
    leaving: bool,
    /// The life that was running when the list first said leaving, as far as known.
    leaving_incarnation: Option<Incarnation>,
}

/// All other instances, by identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<InstanceId, Entry>,
    listed: BTreeMap<InstanceId, Listed>,
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

    /// Members that are not dead.
    pub(crate) fn live(&self) -> impl Iterator<Item = (&InstanceId, &Entry)> + Clone {
        self.entries.iter().filter(|(_, e)| !e.record.is_dead())
    }

    /// Takes up a claim; `suspicion` is how long its subject may refute if it is a suspicion.
    pub(crate) fn merge(&mut self, now: MonoTime, claim: &Record, suspicion: Duration) -> Merged {
        let Some(entry) = self.entries.get_mut(&claim.member.id) else {
            let mut entry = Entry::new(claim.clone());
            entry.hold(now, claim.clone(), suspicion);
            self.entries.insert(claim.member.id.clone(), entry);
            return Merged::Newcomer;
        };
        entry.merge(now, claim, suspicion)
    }

    /// The member as shown: `None` when it is dead for so long that it is left out.
    pub(crate) fn shown(&self, id: &InstanceId) -> Option<Member> {
        let entry = self.entries.get(id).filter(|e| !e.hidden)?;
        let mut member = entry.record.member.clone();
        let leaving = entry.leaving || self.listed_leaving(id, member.incarnation);
        if leaving && member.state != MemberState::Dead {
            member.state = MemberState::Leaving;
        }
        Some(member)
    }

    /// Where to probe a member that is dead or not known but by the list.
    pub(crate) fn contact_address(&self, id: &InstanceId) -> Option<SocketAddr> {
        let listed = self.listed.get(id).map(|l| l.address);
        let known = || Some(self.entries.get(id)?.record.member.fleet_address);
        listed.or_else(known)
    }

    /// Members that may exist but are not known to live: dead and still remembered, or only listed.
    pub(crate) fn missing(&self) -> Vec<InstanceId> {
        let dead = self.entries.iter().filter(|(_, e)| e.record.is_dead());
        let unknown = self
            .listed
            .keys()
            .filter(|id| !self.entries.contains_key(*id));
        dead.map(|(id, _)| id).chain(unknown).cloned().collect()
    }

    /// Replaces the list. Returns the identifiers that are new on it and not known, or `None` if it is an older list.
    pub(crate) fn listed(
        &mut self,
        list: &InstanceList,
        me: &InstanceId,
    ) -> Option<Vec<InstanceId>> {
        // Answers of the platform can overtake each other; an old one would bring back instances long gone.
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
            let entry = Listed {
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

    /// Whether the list says that this life of the member is leaving.
    ///
    /// The list names no incarnation and lags: after a restart it may still call the instance leaving for its
    /// predecessor's sake, and the new one would get no work. So the word counts only for the life it was first said of.
    fn listed_leaving(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.listed.get(id).is_some_and(|listed| {
            listed.leaving && listed.leaving_incarnation.is_none_or(|i| incarnation <= i)
        })
    }

    /// Leaves out members dead for longer than `retention`, and forgets those dead for much longer unless they are
    /// listed. Returns those newly left out and those forgotten.
    pub(crate) fn retire(&mut self, now: MonoTime, retention: Duration) -> Retired {
        let mut retired = Retired::default();
        let is_over =
            |e: &Entry, after| e.dead_since.is_some_and(|since| now.since(since) >= after);
        for entry in self.entries.values_mut() {
            if !entry.hidden && is_over(entry, retention) {
                entry.hidden = true;
                retired.hidden = true;
            }
        }
        let listed = &self.listed;
        self.entries.retain(|id, e| {
            let keep = listed.contains_key(id) || !is_over(e, retention * TOMBSTONE_FACTOR);
            if !keep {
                retired.forgotten.push(id.clone());
            }
            keep
        });
        retired
    }
}

/// What [`Table::retire`] did.
#[derive(Debug, Default)]
pub(crate) struct Retired {
    pub(crate) hidden: bool,
    pub(crate) forgotten: Vec<InstanceId>,
}

impl Entry {
    fn new(record: Record) -> Self {
        Self {
            record,
            leaving: false,
            suspicion: None,
            disputed: None,
            heard: None,
            dead_since: None,
            hidden: false,
        }
    }

    fn merge(&mut self, now: MonoTime, claim: &Record, suspicion: Duration) -> Merged {
        let same_life = claim.member.incarnation == self.record.member.incarnation;
        if same_life && claim.is_dead() && !self.record.accuses() && claim.supersedes(&self.record)
        {
            return self.dispute(claim);
        }
        if claim.supersedes(&self.record) {
            self.hold(now, claim.clone(), suspicion);
            return Merged::State;
        }
        if same_life && claim.revision > self.record.revision {
            self.record.revision = claim.revision;
            return Merged::Revision;
        }
        if self.record.accuses() && self.record.supersedes(claim) {
            return Merged::Contradicts;
        }
        Merged::Nothing
    }

    /// A member that seems alive from here is called dead by others.
    ///
    /// After two failure domains were cut from each other and are joined again, each still calls the other's members
    /// dead. Believing it would spread over the whole fleet within a second, seen as every instance losing half the
    /// others just when the network has come back. So the claim is kept apart, and a probe that carries it decides:
    /// the member refutes it, or does not answer.
    fn dispute(&mut self, claim: &Record) -> Merged {
        if self.disputed.as_ref().is_some_and(|d| !claim.supersedes(d)) {
            return Merged::Nothing;
        }
        self.disputed = Some(claim.clone());
        Merged::Disputed
    }

    /// Lets `claim` hold.
    pub(crate) fn hold(&mut self, now: MonoTime, claim: Record, suspicion: Duration) {
        let revision = if claim.member.incarnation == self.record.member.incarnation {
            self.record.revision
        } else {
            self.leaving = false;
            0
        };
        // Others' suspicion says nothing about what the member itself last said.
        match claim.member.state {
            MemberState::Leaving => self.leaving = true,
            MemberState::Alive => self.leaving = false,
            MemberState::Suspect | MemberState::Dead => {}
        }
        self.suspicion = (claim.member.state == MemberState::Suspect).then(|| Suspicion {
            since: now,
            ends: Some(now.after(suspicion)),
        });
        self.dead_since = claim.is_dead().then_some(now);
        self.hidden = false;
        self.disputed = self.disputed.take().filter(|d| d.supersedes(&claim));
        self.record = claim;
        // Whoever accuses a member may know an older revision of it than is known here.
        self.record.revision = self.record.revision.max(revision);
    }

    /// The claim to tell the member itself, so that it can refute it.
    pub(crate) fn claim_to_refute(&self) -> &Record {
        self.disputed.as_ref().unwrap_or(&self.record)
    }
}
