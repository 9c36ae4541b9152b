//! Public interface of the membership state machine.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tc_protocol::{Incarnation, InstanceId, Member, MemberState, MonoTime, wire::InstanceList};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    MembershipConfig, Message, MessageKind, Outgoing, Record,
    dissemination::{DisseminationQueue, Urgency},
    probe::Prober,
    table::{MergeOutcome, Table},
};

/// Expected number of instances across the fleet that probe a new suspect immediately: enough for
/// it to learn of the suspicion, too few to overload it.
const EXPECTED_SUSPECT_PROBERS: f64 = 8.0;

/// Membership state of one instance. The module documentation describes the protocol.
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
/// a.merge_records(now, &b.records());
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
    pub(super) queue: DisseminationQueue,
    pub(super) prober: Prober,
    /// Listed instances that have not been probed yet.
    pub(super) unprobed: VecDeque<InstanceId>,
    pub(super) next_probe: MonoTime,
    pub(super) next_reconnect: MonoTime,
    pub(super) last_probe: MonoTime,
    pub(super) probe_successor_next: bool,
    pub(super) changed: bool,
    superseded_by: Option<Incarnation>,
    /// Last member whose record was used to fill spare space in a message.
    filler_cursor: Option<InstanceId>,
    pub(super) rng: SmallRng,
}

impl Membership {
    /// Creates an instance that knows only itself. `seed` should differ between instances.
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
    /// first.merge_records(now, &second.records());
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
            queue: DisseminationQueue::default(),
            prober: Prober::default(),
            unprobed: VecDeque::new(),
            next_probe: MonoTime::default(),
            next_reconnect: MonoTime::default(),
            last_probe: MonoTime::default(),
            probe_successor_next: false,
            changed: true,
            superseded_by: None,
            filler_cursor: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Merges records received outside the gossip protocol, such as in an introduction.
    ///
    /// New members are not disseminated further: the instance that sent them has already done so,
    /// and a newcomer that repeated the whole list would fill everyone's messages for minutes. A
    /// newcomer makes itself known through its own probes.
    ///
    /// Returns whether the records changed the member list.
    pub fn merge_records(&mut self, now: MonoTime, records: &[Record]) -> bool {
        let changed_before = std::mem::take(&mut self.changed);
        for record in records {
            let is_new = self.table.get(&record.member.id).is_none();
            self.apply_record(now, record);
            if is_new {
                self.queue.remove(&record.member.id);
            }
        }
        let changed = self.changed;
        self.changed |= changed_before;
        changed
    }

    /// Applies the platform's list of instances that may exist, which lags behind reality.
    ///
    /// Listed but unknown instances are probed, and instances listed as leaving are shown as
    /// leaving. Instances missing from the list are kept as long as they respond. The list's entry
    /// for this instance is ignored; the caller calls [`Membership::leave`] when it stops. A list
    /// with a lower version than an earlier one is ignored.
    pub fn apply_instance_list(&mut self, now: MonoTime, list: &InstanceList) {
        let Some(new) = self.table.apply_instance_list(list, &self.me.member.id) else {
            return;
        };
        if !new.is_empty() {
            self.next_reconnect = self.next_reconnect.min(now);
        }
        self.unprobed.extend(new);
        self.changed = true;
    }

    /// Resets timers after this process was paused, since silence during the pause is no evidence
    /// of failure.
    ///
    /// Acting on timers that expired during the pause would declare many instances dead at once, so
    /// the fleet would appear to fall apart whenever one instance stalls. All timers restart, and a
    /// pending suspicion leads to death only after a new probe from this instance has failed.
    pub fn resumed(&mut self, now: MonoTime) {
        self.prober.reset();
        for (id, entry) in self.table.entries_mut() {
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.deadline = None;
            }
            if entry.suspicion.is_some() || entry.unconfirmed_death.is_some() {
                self.prober.prioritize(id);
            }
        }
        self.next_probe = now;
        self.next_reconnect = now;
    }

    /// Reports a failed call to an instance. It is probed next unless it was heard from within the
    /// last probe interval.
    pub fn report_failed_call(&mut self, now: MonoTime, id: &InstanceId) {
        let interval = self.probe_interval();
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let heard_recently = entry
            .last_heard
            .is_some_and(|heard| now.since(heard) < interval);
        if !entry.record.is_dead() && !heard_recently {
            self.probe_soon(now, &id.clone());
        }
    }

    /// Sets the active configuration revision of this instance. Lower revisions are ignored.
    pub fn set_revision(&mut self, revision: u64) {
        self.me.revision = self.me.revision.max(revision);
    }

    /// Returns all known instances, including this one, ordered by identifier.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let others = self
            .table
            .entries()
            .filter_map(|(id, _)| self.table.visible_member(id));
        let mut members: Vec<_> = others.chain([self.me.member.clone()]).collect();
        members.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        members
    }

    /// Returns the records of [`Membership::members`], to introduce a new instance.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let others = self
            .table
            .entries()
            .filter(|(id, _)| self.table.visible_member(id).is_some());
        let mut records: Vec<_> = others
            .map(|(_, e)| e.record.clone())
            .chain([self.me.clone()])
            .collect();
        records.sort_unstable_by(|a, b| a.member.id.cmp(&b.member.id));
        records
    }

    /// Returns whether [`Membership::members`] may have changed since the last call, and resets the
    /// flag.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the lowest active revision among members that are not dead, as far as known here.
    ///
    /// The value lags: activations of an already known revision have the lowest dissemination
    /// priority and take seconds to spread among eight instances, minutes among hundreds. Query the
    /// instances directly where an exact answer matters.
    #[must_use]
    pub fn lowest_revision(&self) -> u64 {
        let others = self.table.live().map(|(_, e)| e.record.revision);
        others.fold(self.me.revision, u64::min)
    }

    /// Returns the newest active revision among members that are not dead, and another member that
    /// has it, or `None` if this instance already has it. Instances pick different members when
    /// there are several, to spread the load.
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

    /// Returns the higher incarnation of this instance's identifier, if one is known.
    ///
    /// This means that two processes share the identifier, or that the clock was set back before
    /// this one started. Other instances ignore this process, so it should stop.
    #[must_use]
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.superseded_by
    }

    /// Number of instances that are not dead, including this one.
    pub(super) fn live_count(&self) -> usize {
        self.table.live().count() + 1
    }

    pub(super) fn probe_interval(&self) -> Duration {
        self.cfg.scaled_probe_interval(self.live_count())
    }

    /// Applies a received record about this or another instance.
    pub(super) fn apply_record(&mut self, now: MonoTime, update: &Record) {
        if update.member.id == self.me.member.id {
            self.refute(update);
            return;
        }
        let size = self.live_count();
        let suspicion_timeout = self.cfg.scaled_suspicion_timeout(size);
        let id = &update.member.id;
        match self.table.merge(now, update, suspicion_timeout) {
            MergeOutcome::Unchanged => {}
            // The sender has not received the suspicion or death yet, and perhaps neither has the
            // subject.
            MergeOutcome::Outdated => self.queue.push(id, Urgency::Background, 1),
            MergeOutcome::RevisionChanged if self.is_first_with_revision(update) => {
                self.queue.push(id, Urgency::Urgent, size);
            }
            MergeOutcome::RevisionChanged => self.queue.push(id, Urgency::Background, size),
            MergeOutcome::UnconfirmedDeath => self.probe_soon(now, id),
            MergeOutcome::NewMember => {
                self.changed = true;
                self.queue.push(id, Urgency::Urgent, size);
                self.prober.add(id, &mut self.rng);
                self.probe_new_suspect(now, update, size);
            }
            MergeOutcome::Replaced => {
                self.changed = true;
                self.queue.push(id, Urgency::Urgent, size);
                self.probe_new_suspect(now, update, size);
            }
        }
    }

    /// Whether no other instance is known to have a revision as new as the one in `update`.
    fn is_first_with_revision(&self, update: &Record) -> bool {
        let mut others = self.table.live().filter(|(id, _)| **id != update.member.id);
        self.me.revision < update.revision
            && others.all(|(_, e)| e.record.revision < update.revision)
    }

    /// Probes a new suspect with a probability chosen so that about eight instances do so: the
    /// suspect may have missed the update.
    fn probe_new_suspect(&mut self, now: MonoTime, update: &Record, size: usize) {
        let chance = (EXPECTED_SUSPECT_PROBERS / size as f64).min(1.0);
        if update.member.state == MemberState::Suspect && self.rng.random_bool(chance) {
            self.probe_soon(now, &update.member.id);
        }
    }

    /// Refutes a suspicion or death record about this instance by raising the refutation number
    /// above it.
    fn refute(&mut self, update: &Record) {
        let own_incarnation = self.me.member.incarnation;
        if update.member.incarnation > own_incarnation {
            self.superseded_by = self.superseded_by.max(Some(update.member.incarnation));
            return;
        }
        if update.member.incarnation == own_incarnation && update.supersedes(&self.me) {
            self.me.refutation = update.refutation + 1;
        }
    }

    /// Makes `id` the next probe target and brings the next probe forward.
    pub(super) fn probe_soon(&mut self, now: MonoTime, id: &InstanceId) {
        self.prober.prioritize(id);
        let soon = self.last_probe.after(self.cfg.probe_interval / 8).max(now);
        self.next_probe = self.next_probe.min(soon);
    }

    /// Builds a message. The record of `subject` goes first, because the receiver must have it.
    pub(super) fn message(&mut self, kind: MessageKind, subject: Option<&InstanceId>) -> Message {
        let max_records = self.cfg.max_changes.max(1);
        let record = subject.and_then(|id| Some(self.table.get(id)?.record_to_refute().clone()));
        let mut changes: Vec<Record> = record.into_iter().collect();
        let exclude: Vec<_> = subject.into_iter().collect();
        for id in self.queue.take(max_records - changes.len(), &exclude) {
            changes.extend(self.table.get(&id).map(|e| e.record.clone()));
        }
        let is_ack = matches!(kind, MessageKind::Ack { .. });
        if changes.len() < max_records && !is_ack {
            let filler = self.next_filler_record();
            changes.extend(filler.filter(|f| changes.iter().all(|c| c.member.id != f.member.id)));
        }
        Message {
            from: self.me.clone(),
            kind,
            changes,
        }
    }

    /// Returns the next record in round-robin order, to repair differences between instances caused
    /// by lost messages.
    fn next_filler_record(&mut self) -> Option<Record> {
        let after = self.filler_cursor.take();
        let next = self
            .table
            .entries()
            .find(|(id, _)| after.as_ref().is_none_or(|after| *id > after));
        let (id, entry) = next?;
        self.filler_cursor = Some(id.clone());
        self.table.visible_member(id).map(|_| entry.record.clone())
    }

    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        kind: MessageKind,
        subject: Option<&InstanceId>,
    ) -> Outgoing {
        let message = self.message(kind, subject);
        Outgoing { to, message }
    }

    /// Returns up to `count` randomly chosen instances that are neither suspect nor dead.
    pub(super) fn sample_peers(
        &mut self,
        count: usize,
        exclude: Option<&InstanceId>,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let eligible = self
            .table
            .entries()
            .filter(|(id, e)| !e.record.is_suspect_or_dead() && Some(*id) != exclude)
            .map(|(id, e)| (id.clone(), e.record.member.fleet_address));
        eligible.sample(&mut self.rng, count)
    }
}
