//! Handling of received messages.

use tc_protocol::{InstanceId, MonoTime};

use super::{Membership, Message, MessageKind, Outgoing, Record};

impl Membership {
    /// Applies a message and returns the replies to send.
    pub fn handle(&mut self, now: MonoTime, message: &Message) -> Vec<Outgoing> {
        let from = &message.from;
        if self.is_me(from) {
            return Vec::new();
        }
        let refutation = self.me.refutation;
        self.apply_record(now, from);
        self.update_last_heard(now, from);
        for change in &message.changes {
            self.apply_record(now, change);
        }
        let mut out = self.reply_to(now, message);
        if self.me.refutation != refutation {
            // The suspicion is already spreading, so the refutation must spread as fast or reach
            // some instances too late.
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

    fn update_last_heard(&mut self, now: MonoTime, from: &Record) {
        if let Some(entry) = self.table.get_mut(&from.member.id)
            && entry.record.member.incarnation == from.member.incarnation
        {
            entry.last_heard = Some(now);
        }
    }

    fn reply_to(&mut self, now: MonoTime, message: &Message) -> Vec<Outgoing> {
        let from = &message.from.member;
        let unrefuted = self.has_unrefuted_record(&message.from).then_some(&from.id);
        let reply = match &message.kind {
            MessageKind::Probe { nonce, .. } => Some(self.ack(*nonce)),
            MessageKind::IndirectProbe { nonce, subject } if *subject == self.me.member.id => {
                Some(self.ack(*nonce))
            }
            MessageKind::IndirectProbe { nonce, subject } => {
                return self.relay_probe(now, &message.from, *nonce, subject);
            }
            MessageKind::Ack { nonce, subject } => {
                self.prober.complete(*nonce, subject);
                if let Some(origin) = self.prober.take_relay(*nonce, subject) {
                    return vec![self.send(origin, message.kind.clone(), Some(subject))];
                }
                None
            }
            MessageKind::Announcement => None,
        };
        let reply = reply.or(unrefuted.is_some().then_some(MessageKind::Announcement));
        let reply = reply.map(|kind| self.send(from.fleet_address, kind, unrefuted));
        reply.into_iter().collect()
    }

    fn ack(&self, nonce: u64) -> MessageKind {
        MessageKind::Ack {
            nonce,
            subject: self.me.member.id.clone(),
        }
    }

    /// Whether this instance holds a suspicion or death record that the sender has not refuted. The
    /// sender can refute it only if it receives it.
    fn has_unrefuted_record(&self, from: &Record) -> bool {
        let entry = self.table.get(&from.member.id);
        entry.is_some_and(|e| e.record_to_refute().supersedes(from))
    }

    fn relay_probe(
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
        let expires_at = now.after(self.cfg.probe_deadline());
        let origin_address = origin.member.fleet_address;
        if !self
            .prober
            .add_relay(now, nonce, origin_address, subject.clone(), expires_at)
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
