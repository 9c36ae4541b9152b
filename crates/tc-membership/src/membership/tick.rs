//! What the passing of time does: probes, timeouts, the end of suspicions.

use std::time::Duration;

use rand::{Rng, RngExt, seq::IndexedRandom};
use tc_protocol::{InstanceId, MemberState, MonoTime};

use super::{Membership, MessageKind, Outgoing, Record, dissemination::Urgency};

/// Listed strangers probed per interval; a fresh instance with a long list must not flood the network.
const STRANGERS_PER_INTERVAL: usize = 2;
/// A member that is dead or only listed is tried again, one at a time, every so many intervals.
const INTERVALS_PER_CONTACT: u32 = 5;
/// Part by which the time to the next probe varies, so that instances do not fall into step.
const JITTER: f64 = 0.1;

impl Membership {
    /// Does what is due at `now` and returns what to send. Call it at [`Membership::next_wake`], or earlier.
    pub fn tick(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let mut out = self.ask_others(now);
        out.extend(self.fail_probes(now));
        out.extend(self.end_suspicions(now));
        if now >= self.next_probe {
            out.extend(self.probe(now));
        }
        if now >= self.next_contact {
            out.extend(self.contact(now));
        }
        self.retire(now);
        out
    }

    /// When [`Membership::tick`] has something to do next.
    #[must_use]
    pub fn next_wake(&self) -> MonoTime {
        let probes = self.prober.outstanding().map(|o| {
            let wait = if o.asked_others {
                self.cfg.probe_deadline()
            } else {
                self.cfg.probe_timeout
            };
            o.sent.after(wait)
        });
        let suspicions = self.table.entries().filter_map(|(_, e)| e.suspicion?.ends);
        probes
            .chain(suspicions)
            .chain([self.next_probe, self.next_contact])
            .min()
            .unwrap_or_default()
    }

    fn probe(&mut self, now: MonoTime) -> Option<Outgoing> {
        let target = self.next_target();
        self.last_probe = now;
        self.next_probe = now.after(self.jittered(self.interval()));
        if self.prober.is_hurried() {
            let soon = now.after(self.cfg.probe_interval / 8);
            self.next_probe = self.next_probe.min(soon);
        }
        let target = target?;
        let entry = self.table.get(&target)?;
        let to = entry.record.member.fleet_address;
        let accused = entry.claim_to_refute().accuses().then_some(&target);
        let nonce = self.prober.start(now, target.clone(), &mut self.rng);
        let kind = MessageKind::Probe {
            nonce,
            relayed_for: None,
        };
        Some(self.send(to, kind, accused))
    }

    /// Alternates between the next member in order of identifier and one by chance.
    ///
    /// Were all chosen by chance, a dead member would now and then go unprobed for several intervals; this way the one
    /// before it in order probes it within two. Chance is still needed to spread news.
    fn next_target(&mut self) -> Option<InstanceId> {
        self.neighbour_next = !self.neighbour_next;
        if self.neighbour_next && !self.prober.is_hurried() {
            let neighbour = self.neighbour()?.clone();
            if !self.prober.is_probing(&neighbour) {
                return Some(neighbour);
            }
        }
        let table = &self.table;
        let is_live = |id: &InstanceId| table.get(id).is_some_and(|e| !e.record.is_dead());
        let all = table.live().map(|(id, _)| id);
        self.prober.next_target(is_live, all, &mut self.rng)
    }

    /// The member that is not dead after this one in order of identifier, the first coming after the last.
    fn neighbour(&self) -> Option<&InstanceId> {
        let me = &self.me.member.id;
        let mut live = self.table.live().map(|(id, _)| id);
        let first = live.clone().next();
        live.find(|id| *id > me).or(first)
    }

    fn jittered(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(self.rng.random_range(1.0 - JITTER..1.0 + JITTER))
    }

    /// Asks others to probe in our place what has not answered in time, and tries once more directly: a lost datagram
    /// must not look like a lost instance, nor a broken path from here.
    fn ask_others(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let timeout = self.cfg.probe_timeout;
        let mut late = Vec::new();
        for (nonce, outstanding) in self.prober.outstanding_mut() {
            if !outstanding.asked_others && now.since(outstanding.sent) >= timeout {
                outstanding.asked_others = true;
                late.push((nonce, outstanding.target.clone()));
            }
        }
        let mut out = Vec::new();
        for (nonce, target) in late {
            for (_, to) in self.some_peers(self.cfg.fanout, Some(&target)) {
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

    fn fail_probes(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let deadline = self.cfg.probe_deadline();
        let failed = self.prober.take_failed(|o| now.since(o.sent) >= deadline);
        failed
            .iter()
            .flat_map(|id| self.probe_failed(now, id))
            .collect()
    }

    fn probe_failed(&mut self, now: MonoTime, id: &InstanceId) -> Vec<Outgoing> {
        let ends = now.after(self.cfg.suspicion_among(self.size()));
        let Some(entry) = self.table.get_mut(id) else {
            return Vec::new();
        };
        if let Some(claim) = entry.disputed.take() {
            return self.accuse(now, claim);
        }
        if let Some(suspicion) = &mut entry.suspicion {
            suspicion.ends.get_or_insert(ends);
            return Vec::new();
        }
        if entry.record.accuses() {
            return Vec::new();
        }
        let mut claim = entry.record.clone();
        claim.member.state = MemberState::Suspect;
        self.accuse(now, claim)
    }

    fn end_suspicions(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let wait = self.cfg.suspicion_among(self.size());
        let mut dead = Vec::new();
        let mut heard = Vec::new();
        for (id, entry) in self.table.entries_mut() {
            let Some(suspicion) = &mut entry.suspicion else {
                continue;
            };
            if suspicion.ends.is_none_or(|ends| ends > now) {
                continue;
            }
            // It has sent us something since, so it lives; only its refutation is missing.
            if entry.heard.is_some_and(|heard| heard > suspicion.since) {
                suspicion.since = now;
                suspicion.ends = Some(now.after(wait));
                heard.push(id.clone());
                continue;
            }
            let mut claim = entry.record.clone();
            claim.member.state = MemberState::Dead;
            dead.push(claim);
        }
        for id in &heard {
            self.hurry(now, id);
        }
        dead.into_iter()
            .flat_map(|claim| self.accuse(now, claim))
            .collect()
    }

    /// Lets an accusation hold and tells it to some at once.
    fn accuse(&mut self, now: MonoTime, claim: Record) -> Vec<Outgoing> {
        let size = self.size();
        let id = claim.member.id.clone();
        let suspicion = self.cfg.suspicion_among(size);
        if let Some(entry) = self.table.get_mut(&id) {
            entry.hold(now, claim, suspicion);
        }
        self.changed = true;
        self.queue.push(&id, Urgency::Urgent, size);
        self.announce(self.cfg.fanout, Some(&id))
    }

    /// Probes instances that may exist but are not known to live; nothing follows if they do not answer.
    ///
    /// Without it, two parts of the fleet that were cut from each other would each call the other dead for ever.
    fn contact(&mut self, now: MonoTime) -> Vec<Outgoing> {
        let count = STRANGERS_PER_INTERVAL.min(self.strangers.len());
        let mut targets: Vec<_> = self.strangers.drain(..count).collect();
        let interval = self.interval();
        let mut wait = interval;
        if targets.is_empty() {
            targets.extend(self.table.missing().choose(&mut self.rng).cloned());
            wait = interval * INTERVALS_PER_CONTACT;
        }
        self.next_contact = now.after(self.jittered(wait));
        let mut out = Vec::new();
        for id in targets {
            let Some(to) = self.table.contact_address(&id) else {
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

    fn retire(&mut self, now: MonoTime) {
        let retired = self.table.retire(now, self.cfg.dead_retention);
        self.changed |= retired.hidden;
        for id in &retired.forgotten {
            self.queue.remove(id);
        }
    }
}
