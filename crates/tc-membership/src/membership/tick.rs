//! Timer-driven actions: probes, probe timeouts, expiry of suspicions and reconnects.

use std::time::Duration;

use rand::{Rng, RngExt, seq::IndexedRandom};
use tc_protocol::{InstanceId, MemberState, MonoTime};

use super::{Membership, MessageKind, Outgoing, Record, dissemination::Urgency};

/// Number of listed but unprobed instances contacted per interval. The limit keeps a new instance
/// with a long list from flooding the network.
const UNPROBED_PER_INTERVAL: usize = 2;
/// Dead or only listed members are retried one at a time, once per this many intervals.
const INTERVALS_PER_RECONNECT: u32 = 5;
/// Fraction by which the probe interval varies, so that instances do not synchronize.
const JITTER: f64 = 0.1;

impl Membership {
    /// Performs the actions due at `now` and returns the messages to send. Call it at
    /// [`Membership::next_wake`] or earlier.
    pub fn tick(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let mut out = self.send_indirect_probes(now);
        out.extend(self.expire_probes(now));
        out.extend(self.expire_suspicions(now));
        if now >= self.next_probe {
            out.extend(self.probe(now));
        }
        if now >= self.next_reconnect {
            out.extend(self.reconnect(now));
        }
        self.prune(now);
        out
    }

    /// Returns when [`Membership::tick`] has to be called next.
    #[must_use]
    pub fn next_wake(&self) -> MonoTime {
        let probes = self.prober.outstanding().map(|o| {
            let wait = if o.indirect_probes_sent {
                self.cfg.probe_deadline()
            } else {
                self.cfg.probe_timeout
            };
            o.sent.after(wait)
        });
        let suspicions = self
            .table
            .entries()
            .filter_map(|(_, e)| e.suspicion?.deadline);
        probes
            .chain(suspicions)
            .chain([self.next_probe, self.next_reconnect])
            .min()
            .unwrap_or_default()
    }

    fn probe(&mut self, now: MonoTime) -> Option<Outgoing> {
        let target = self.next_target();
        self.last_probe = now;
        self.next_probe = now.after(self.jittered(self.probe_interval()));
        if self.prober.has_urgent_targets() {
            let soon = now.after(self.cfg.probe_interval / 8);
            self.next_probe = self.next_probe.min(soon);
        }
        let target = target?;
        let entry = self.table.get(&target)?;
        let to = entry.record.member.fleet_address;
        let suspected = entry
            .record_to_refute()
            .is_suspect_or_dead()
            .then_some(&target);
        let nonce = self.prober.start(now, target.clone(), &mut self.rng);
        let kind = MessageKind::Probe {
            nonce,
            relayed_for: None,
        };
        Some(self.send(to, kind, suspected))
    }

    /// Alternates between the successor in identifier order and a random member.
    ///
    /// With random targets only, a dead member would occasionally go unprobed for several
    /// intervals. This way its predecessor probes it within two. Random targets are still needed to
    /// spread updates.
    fn next_target(&mut self) -> Option<InstanceId> {
        self.probe_successor_next = !self.probe_successor_next;
        if self.probe_successor_next && !self.prober.has_urgent_targets() {
            let successor = self.successor()?.clone();
            if !self.prober.is_probing(&successor) {
                return Some(successor);
            }
        }
        let table = &self.table;
        let is_live = |id: &InstanceId| table.get(id).is_some_and(|e| !e.record.is_dead());
        let all = table.live().map(|(id, _)| id);
        self.prober.next_target(is_live, all, &mut self.rng)
    }

    /// Returns the next member that is not dead in identifier order, wrapping around at the end.
    fn successor(&self) -> Option<&InstanceId> {
        let me = &self.me.member.id;
        let mut live = self.table.live().map(|(id, _)| id);
        let first = live.clone().next();
        live.find(|id| *id > me).or(first)
    }

    fn jittered(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(self.rng.random_range(1.0 - JITTER..1.0 + JITTER))
    }

    /// Requests indirect probes of the targets that have not replied in time, and probes them
    /// directly once more, so that neither a lost datagram nor a broken path from here looks like a
    /// failed instance.
    fn send_indirect_probes(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let timeout = self.cfg.probe_timeout;
        let mut overdue = Vec::new();
        for (nonce, outstanding) in self.prober.outstanding_mut() {
            if !outstanding.indirect_probes_sent && now.since(outstanding.sent) >= timeout {
                outstanding.indirect_probes_sent = true;
                overdue.push((nonce, outstanding.target.clone()));
            }
        }
        let mut out = Vec::new();
        for (nonce, target) in overdue {
            for (_, to) in self.sample_peers(self.cfg.fanout, Some(&target)) {
                let kind = MessageKind::IndirectProbe {
                    nonce,
                    subject: target.clone(),
                };
                out.push(self.send(to, kind, Some(&target)));
            }
            let Some(entry) = self.table.get(&target) else {
                continue;
            };
            let to = entry.record.member.fleet_address;
            let kind = MessageKind::Probe {
                nonce,
                relayed_for: None,
            };
            out.push(self.send(to, kind, Some(&target)));
        }
        out
    }

    fn expire_probes(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let deadline = self.cfg.probe_deadline();
        let failed = self.prober.take_expired(|o| now.since(o.sent) >= deadline);
        failed
            .iter()
            .flat_map(|id| self.probe_failed(now, id))
            .collect()
    }

    fn probe_failed(&mut self, now: MonoTime, id: &InstanceId) -> Vec<Outgoing> {
        let deadline = now.after(self.cfg.scaled_suspicion_timeout(self.live_count()));
        let Some(entry) = self.table.get_mut(id) else {
            return Vec::new();
        };
        if let Some(record) = entry.unconfirmed_death.take() {
            return self.store_and_announce(now, record);
        }
        if let Some(suspicion) = &mut entry.suspicion {
            suspicion.deadline.get_or_insert(deadline);
            return Vec::new();
        }
        if entry.record.is_suspect_or_dead() {
            return Vec::new();
        }
        let mut record = entry.record.clone();
        record.member.state = MemberState::Suspect;
        self.store_and_announce(now, record)
    }

    fn expire_suspicions(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let wait = self.cfg.scaled_suspicion_timeout(self.live_count());
        let mut dead = Vec::new();
        let mut still_alive = Vec::new();
        for (id, entry) in self.table.entries_mut() {
            let Some(suspicion) = &mut entry.suspicion else {
                continue;
            };
            if suspicion.deadline.is_none_or(|deadline| deadline > now) {
                continue;
            }
            // The member has sent a message since, so it is alive and only its refutation is
            // missing.
            if entry
                .last_heard
                .is_some_and(|heard| heard > suspicion.since)
            {
                suspicion.since = now;
                suspicion.deadline = Some(now.after(wait));
                still_alive.push(id.clone());
                continue;
            }
            let mut record = entry.record.clone();
            record.member.state = MemberState::Dead;
            dead.push(record);
        }
        for id in &still_alive {
            self.probe_soon(now, id);
        }
        dead.into_iter()
            .flat_map(|record| self.store_and_announce(now, record))
            .collect()
    }

    /// Stores a suspicion or death record and announces it immediately to some instances.
    fn store_and_announce(&mut self, now: MonoTime, record: Record) -> Vec<Outgoing> {
        let size = self.live_count();
        let id = record.member.id.clone();
        let suspicion_timeout = self.cfg.scaled_suspicion_timeout(size);
        if let Some(entry) = self.table.get_mut(&id) {
            entry.replace(now, record, suspicion_timeout);
        }
        self.changed = true;
        self.queue.push(&id, Urgency::Urgent, size);
        self.announce(self.cfg.fanout, Some(&id))
    }

    /// Probes instances that may exist but are not known to be alive. A missing reply has no
    /// effect.
    ///
    /// Without these probes, the two sides of a healed partition would consider each other dead
    /// forever.
    fn reconnect(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let count = UNPROBED_PER_INTERVAL.min(self.unprobed.len());
        let mut targets: Vec<_> = self.unprobed.drain(..count).collect();
        let interval = self.probe_interval();
        let mut wait = interval;
        if targets.is_empty() {
            targets.extend(
                self.table
                    .reconnect_candidates()
                    .choose(&mut self.rng)
                    .cloned(),
            );
            wait = interval * INTERVALS_PER_RECONNECT;
        }
        self.next_reconnect = now.after(self.jittered(wait));
        let mut out = Vec::new();
        for id in targets {
            let Some(to) = self.table.reconnect_address(&id) else {
                continue;
            };
            let kind = MessageKind::Probe {
                nonce: self.rng.next_u64(),
                relayed_for: None,
            };
            out.push(self.send(to, kind, Some(&id)));
        }
        out
    }

    fn prune(&mut self, now: MonoTime) {
        let pruned = self.table.prune(now, self.cfg.dead_retention);
        self.changed |= pruned.hidden;
        for id in &pruned.removed {
            self.queue.remove(id);
        }
    }
}
