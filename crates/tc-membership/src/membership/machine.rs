//! The state machine's surface: what may be asked of it and told to it.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tc_protocol::{Incarnation, InstanceId, Member, MemberState, MonoTime, wire::InstanceList};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Kind, MembershipConfig, Message, Outgoing, Record,
    dissemination::{Queue, Urgency},
    probe::Prober,
    table::{Merged, Table},
};

/// Instances expected to probe a suspect at once, over the whole fleet: enough that it hears of the suspicion, few
/// enough not to flood it.
const PROBERS_OF_SUSPECT: f64 = 8.0;

/// One instance's part in membership. See the module for the protocol.
///
/// ```
/// use tc_membership::{Membership, MembershipConfig};
/// use tc_protocol::{Incarnation, Member, MemberState, MonoTime};
/// let member = |id: &str, port: u16| Member {
///     id: id.into(),
///     incarnation: Incarnation(1),
///     caller_address: ([127, 0, 0, 1], port).into(),
///     fleet_address: ([127, 0, 0, 1], port + 1).into(),
///     failure_domain: "kl-a".into(),
///     region: "kl".into(),
///     state: MemberState::Alive,
///     strength: Member::default_strength(),
/// };
/// let now = MonoTime::from_millis(1);
/// let mut a = Membership::new(MembershipConfig::default(), member("a", 7000), 1);
/// let mut b = Membership::new(MembershipConfig::default(), member("b", 8000), 2);
/// a.learn(now, &b.records());
/// let probe = &a.tick(now)[0];
/// assert_eq!(probe.to, b.members()[0].fleet_address);
/// let ack = &b.handle(now, &probe.message)[0];
/// assert!(a.handle(now, &ack.message).is_empty());
/// assert_eq!(a.members(), b.members());
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) cfg: MembershipConfig,
    pub(super) me: Record,
    pub(super) table: Table,
    pub(super) queue: Queue,
    pub(super) prober: Prober,
    /// Listed instances that were never probed.
    pub(super) strangers: VecDeque<InstanceId>,
    pub(super) next_probe: MonoTime,
    pub(super) next_contact: MonoTime,
    pub(super) last_probe: MonoTime,
    pub(super) neighbour_next: bool,
    pub(super) changed: bool,
    superseded_by: Option<Incarnation>,
    /// Last member whose record filled up a message.
    filled_up_to: Option<InstanceId>,
    pub(super) rng: SmallRng,
}

impl Membership {
    /// An instance that knows only itself. `seed` should differ between instances.
    ///
    /// ```
    /// use tc_membership::{Membership, MembershipConfig};
    /// use tc_protocol::{Incarnation, Member, MemberState, MonoTime};
    /// let member = |id: &str, port| Member {
    ///     id: id.into(),
    ///     incarnation: Incarnation(1),
    ///     caller_address: ([127, 0, 0, 1], port).into(),
    ///     fleet_address: ([127, 0, 0, 1], port + 1).into(),
    ///     failure_domain: "kl-a".into(),
    ///     region: "kl".into(),
    ///     state: MemberState::Alive,
    ///     strength: Member::default_strength(),
    /// };
    /// let cfg = MembershipConfig::default();
    /// let mut first = Membership::new(cfg.clone(), member("kl-a-1", 8080), 1);
    /// let second = Membership::new(cfg, member("kl-a-2", 8090), 2);
    /// let now = MonoTime::from_millis(1);
    /// first.learn(now, &second.records());
    /// assert_eq!(first.members().len(), 2);
    /// let probes = first.tick(now);
    /// assert_eq!(probes[0].to, ([127, 0, 0, 1], 8091).into());
    /// ```
    #[must_use]
    pub fn new(cfg: MembershipConfig, me: Member, seed: u64) -> Self {
        Self {
            cfg,
            me: Record {
                member: me,
                refutation: 0,
                revision: 0,
            },
            table: Table::default(),
            queue: Queue::default(),
            prober: Prober::default(),
            strangers: VecDeque::new(),
            next_probe: MonoTime::default(),
            next_contact: MonoTime::default(),
            last_probe: MonoTime::default(),
            neighbour_next: false,
            changed: true,
            superseded_by: None,
            filled_up_to: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes up records from an introduction.
    ///
    /// Members that are new to this instance are not passed on: whoever told them has done so, and a newcomer that
    /// repeated the whole list would fill everyone's messages for minutes. A newcomer makes itself known by its probes.
    ///
    /// Returns whether anything of it was news.
    pub fn learn(&mut self, now: MonoTime, records: &[Record]) -> bool {
        let changed_before = std::mem::take(&mut self.changed);
        for record in records {
            let is_new = self.table.get(&record.member.id).is_none();
            self.take_up(now, record);
            if is_new {
                self.queue.remove(&record.member.id);
            }
        }
        let news = self.changed;
        self.changed |= changed_before;
        news
    }

    /// Takes up the platform's lagging list of who may exist.
    ///
    /// Listed instances that are not known are probed; those listed as leaving are shown as leaving; instances that are
    /// not on the list are left as they are, as long as they answer. What the list says of this instance itself is not
    /// acted on; the caller calls [`Membership::leave`] when it stops. A list with a lower version than an earlier one
    /// is ignored.
    pub fn listed(&mut self, now: MonoTime, list: &InstanceList) {
        let Some(new) = self.table.listed(list, &self.me.member.id) else {
            return;
        };
        if !new.is_empty() {
            self.next_contact = self.next_contact.min(now);
        }
        self.strangers.extend(new);
        self.changed = true;
    }

    /// This process was paused: what it did not hear meanwhile says nothing.
    ///
    /// Acting on timers that ran out during the pause would call many instances dead at once, seen as a fleet that
    /// falls apart whenever one instance stalls. All timers start again, and a suspicion held now ends in death only
    /// after a fresh probe of this instance has failed.
    pub fn woke(&mut self, now: MonoTime) {
        self.prober.reset();
        for (id, entry) in self.table.entries_mut() {
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.ends = None;
            }
            if entry.suspicion.is_some() || entry.disputed.is_some() {
                self.prober.hurry(id);
            }
        }
        self.next_probe = now;
        self.next_contact = now;
    }

    /// A call to the instance failed: probe it next, unless it has been heard of since the last interval.
    pub fn suspect(&mut self, now: MonoTime, id: &InstanceId) {
        let interval = self.interval();
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let heard_lately = entry.heard.is_some_and(|heard| now.since(heard) < interval);
        if !entry.record.is_dead() && !heard_lately {
            self.hurry(now, &id.clone());
        }
    }

    /// Sets the revision of the configuration in force here. A lower one than before is ignored.
    pub fn set_revision(&mut self, revision: u64) {
        self.me.revision = self.me.revision.max(revision);
    }

    /// All known instances, this one included, in order of identifier.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let others = self
            .table
            .entries()
            .filter_map(|(id, _)| self.table.shown(id));
        let mut members: Vec<_> = others.chain([self.me.member.clone()]).collect();
        members.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        members
    }

    /// The records of those members, for an introduction.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let others = self
            .table
            .entries()
            .filter(|(id, _)| self.table.shown(id).is_some());
        let mut records: Vec<_> = others
            .map(|(_, e)| e.record.clone())
            .chain([self.me.clone()])
            .collect();
        records.sort_unstable_by(|a, b| a.member.id.cmp(&b.member.id));
        records
    }

    /// Whether [`Membership::members`] may have changed since last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Lowest revision in force at any member that is not dead, as far as is known here.
    ///
    /// It lags behind: that one more member has a revision is passed on with the lowest urgency, which takes seconds
    /// among eight instances and minutes among hundreds. Ask the instances themselves where the moment matters.
    #[must_use]
    pub fn lowest_revision(&self) -> u64 {
        let others = self.table.live().map(|(_, e)| e.record.revision);
        others.fold(self.me.revision, u64::min)
    }

    /// Newest revision in force at any member that is not dead, and one other that has it; none if this instance has it
    /// too. Instances choose differently among several, to share the load.
    #[must_use]
    pub fn newest_revision(&self) -> (u64, Option<InstanceId>) {
        let me = xxh3_64_with_seed(self.me.member.id.as_str().as_bytes(), 0);
        let newest = self
            .table
            .live()
            .filter(|(_, e)| e.record.revision > self.me.revision)
            .max_by_key(|(id, e)| {
                let preference = xxh3_64_with_seed(id.as_str().as_bytes(), me);
                (e.record.revision, preference)
            });
        match newest {
            Some((id, entry)) => (entry.record.revision, Some(id.clone())),
            None => (self.me.revision, None),
        }
    }

    /// A later life of this very instance, if others know of one.
    ///
    /// Two processes then run under one identifier, or the clock went back before this one started; nobody will
    /// listen to this one. It should stop.
    #[must_use]
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.superseded_by
    }

    /// Number of instances that are not dead, this one included.
    pub(super) fn size(&self) -> usize {
        self.table.live().count() + 1
    }

    pub(super) fn interval(&self) -> Duration {
        self.cfg.interval(self.size())
    }

    /// Takes up a claim, about this instance or another.
    pub(super) fn take_up(&mut self, now: MonoTime, claim: &Record) {
        if claim.member.id == self.me.member.id {
            self.answer_claim(claim);
            return;
        }
        let size = self.size();
        let suspicion = self.cfg.suspicion_among(size);
        let id = &claim.member.id;
        match self.table.merge(now, claim, suspicion) {
            Merged::Nothing => {}
            // Whoever made the claim has not heard the accusation, nor perhaps has the accused.
            Merged::Contradicts => self.queue.push(id, Urgency::Background, 1),
            Merged::Revision if self.is_first_with(claim) => {
                self.queue.push(id, Urgency::Urgent, size);
            }
            Merged::Revision => self.queue.push(id, Urgency::Background, size),
            Merged::Disputed => self.hurry(now, id),
            Merged::Newcomer => {
                self.changed = true;
                self.queue.push(id, Urgency::Urgent, size);
                self.prober.add(id, &mut self.rng);
                self.meet_suspect(now, claim, size);
            }
            Merged::State => {
                self.changed = true;
                self.queue.push(id, Urgency::Urgent, size);
                self.meet_suspect(now, claim, size);
            }
        }
    }

    /// Whether no other instance is known to have a revision as new as the claim's.
    fn is_first_with(&self, claim: &Record) -> bool {
        let mut others = self.table.live().filter(|(id, _)| **id != claim.member.id);
        self.me.revision < claim.revision && others.all(|(_, e)| e.record.revision < claim.revision)
    }

    /// Probes a new suspect at once with a chance such that about eight instances do: it may have missed the news.
    fn meet_suspect(&mut self, now: MonoTime, claim: &Record, size: usize) {
        let chance = (PROBERS_OF_SUSPECT / size as f64).min(1.0);
        if claim.member.state == MemberState::Suspect && self.rng.random_bool(chance) {
            self.hurry(now, &claim.member.id);
        }
    }

    /// Answers a claim about this instance itself: an accusation is refuted under a higher number.
    fn answer_claim(&mut self, claim: &Record) {
        let mine = self.me.member.incarnation;
        if claim.member.incarnation > mine {
            self.superseded_by = self.superseded_by.max(Some(claim.member.incarnation));
            return;
        }
        if claim.member.incarnation == mine && claim.supersedes(&self.me) {
            self.me.refutation = claim.refutation + 1;
        }
    }

    /// Probes `id` next, and soon.
    pub(super) fn hurry(&mut self, now: MonoTime, id: &InstanceId) {
        self.prober.hurry(id);
        let soon = self.last_probe.after(self.cfg.probe_interval / 8).max(now);
        self.next_probe = self.next_probe.min(soon);
    }

    /// Builds a message. `about` is a member whose record goes first, because the receiver has to know it.
    pub(super) fn message(&mut self, kind: Kind, about: Option<&InstanceId>) -> Message {
        let room = self.cfg.max_changes.max(1);
        let claim = about.and_then(|id| Some(self.table.get(id)?.claim_to_refute().clone()));
        let mut changes: Vec<Record> = claim.into_iter().collect();
        let except: Vec<_> = about.into_iter().collect();
        for id in self.queue.take(room - changes.len(), &except) {
            changes.extend(self.table.get(&id).map(|e| e.record.clone()));
        }
        let is_ack = matches!(kind, Kind::Ack { .. });
        if changes.len() < room && !is_ack {
            let filler = self.next_filler();
            changes.extend(filler.filter(|f| changes.iter().all(|c| c.member.id != f.member.id)));
        }
        Message {
            from: self.me.clone(),
            kind,
            changes,
        }
    }

    /// One record in turn, to mend what lost messages left different between instances.
    fn next_filler(&mut self) -> Option<Record> {
        let after = self.filled_up_to.take();
        let next = self
            .table
            .entries()
            .find(|(id, _)| after.as_ref().is_none_or(|after| *id > after));
        let (id, entry) = next?;
        self.filled_up_to = Some(id.clone());
        self.table.shown(id).map(|_| entry.record.clone())
    }

    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        kind: Kind,
        about: Option<&InstanceId>,
    ) -> Outgoing {
        let message = self.message(kind, about);
        Outgoing { to, message }
    }

    /// Up to `count` instances that are not accused, chosen by chance.
    pub(super) fn some_peers(
        &mut self,
        count: usize,
        except: Option<&InstanceId>,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let fit = self
            .table
            .entries()
            .filter(|(id, e)| !e.record.accuses() && Some(*id) != except)
            .map(|(id, e)| (id.clone(), e.record.member.fleet_address));
        fit.sample(&mut self.rng, count)
    }
}
