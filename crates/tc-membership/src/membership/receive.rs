//! What a received message does.

use tc_protocol::{InstanceId, MonoTime};

use super::{Membership, Message, MessageKind, Outgoing, Record};

impl Membership {
    /// Takes up a message and returns the answers to send.
    pub fn handle(&mut self, now: MonoTime, message: &Message) -> Vec<Outgoing> {
        let from = &message.from;
        if self.is_me(from) {
            return Vec::new();
        }
        let refutation = self.me.refutation;
        self.take_up(now, from);
        self.note_heard(now, from);
        for change in &message.changes {
            self.take_up(now, change);
        }
        let mut out = self.answer(now, message);
        if self.me.refutation != refutation {
            // The accusation is on its way to all; so must the refutation be, or it comes too late for some.
            if out.is_empty() {
                out.push(self.send(from.member.fleet_address, MessageKind::Announcement, None));
            }
            out.extend(self.announce(self.cfg.fanout, None));
        }
        out
    }

    fn is_me(&self, from: &Record) -> bool {
        from.member.id == self.me.member.id && from.member.incarnation == self.me.member.incarnation
    }

    fn note_heard(&mut self, now: MonoTime, from: &Record) {
        if let Some(entry) = self.table.get_mut(&from.member.id)
            && entry.record.member.incarnation == from.member.incarnation
        {
            entry.heard = Some(now);
        }
    }

    fn answer(&mut self, now: MonoTime, message: &Message) -> Vec<Outgoing> {
        let from = &message.from.member;
        let accused = self.accuses_sender(&message.from).then_some(&from.id);
        let reply = match &message.kind {
            MessageKind::Probe { nonce, .. } => Some(self.ack(*nonce)),
            MessageKind::IndirectProbe { nonce, subject } if *subject == self.me.member.id => {
                Some(self.ack(*nonce))
            }
            MessageKind::IndirectProbe { nonce, subject } => {
                return self.probe_for(now, &message.from, *nonce, subject);
            }
            MessageKind::Ack { nonce, subject } => {
                self.prober.answered(*nonce, subject);
                if let Some(origin) = self.prober.relayed(*nonce, subject) {
                    return vec![self.send(origin, message.kind.clone(), Some(subject))];
                }
                None
            }
            MessageKind::Announcement => None,
        };
        let reply = reply.or(accused.is_some().then_some(MessageKind::Announcement));
        let reply = reply.map(|kind| self.send(from.fleet_address, kind, accused));
        reply.into_iter().collect()
    }

    fn ack(&self, nonce: u64) -> MessageKind {
        MessageKind::Ack {
            nonce,
            subject: self.me.member.id.clone(),
        }
    }

    /// Whether the sender does not know what is held against it here; it can refute only what it is told.
    fn accuses_sender(&self, from: &Record) -> bool {
        let entry = self.table.get(&from.member.id);
        entry.is_some_and(|e| e.claim_to_refute().supersedes(from))
    }

    fn probe_for(
        &mut self,
        now: MonoTime,
        origin: &Record,
        nonce: u64,
        subject: &InstanceId,
    ) -> Vec<Outgoing> {
        let Some(entry) = self.table.get(subject) else {
            return Vec::new();
        };
        let to = entry.record.member.fleet_address;
        let ends = now.after(self.cfg.probe_deadline());
        let origin_address = origin.member.fleet_address;
        if !self
            .prober
            .relay(now, nonce, origin_address, subject.clone(), ends)
        {
            return Vec::new();
        }
        let kind = MessageKind::Probe {
            nonce,
            relayed_for: Some(origin.member.id.clone()),
        };
        vec![self.send(to, kind, Some(subject))]
    }
}
