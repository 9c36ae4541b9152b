//! Pending probes and selection of the next probe target.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use rand::{Rng, RngExt, rngs::SmallRng, seq::SliceRandom};
use tc_protocol::{InstanceId, MonoTime};

/// Maximum number of probes relayed at the same time. The limit keeps a misbehaving instance from
/// exhausting another's memory.
const MAX_RELAYS: usize = 256;

/// A probe that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Outstanding {
    pub(crate) target: InstanceId,
    pub(crate) sent: MonoTime,
    pub(crate) indirect_probes_sent: bool,
}

#[derive(Clone, Debug)]
struct Relay {
    origin: SocketAddr,
    subject: InstanceId,
    expires_at: MonoTime,
}

/// Tracks pending probes and selects the next probe target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prober {
    /// Targets left in this round, in random order, taken from the end.
    round: Vec<InstanceId>,
    /// Targets to probe before those of the round.
    urgent: VecDeque<InstanceId>,
    outstanding: BTreeMap<u64, Outstanding>,
    relays: BTreeMap<u64, Relay>,
}

impl Prober {
    /// Queues `id` as an urgent target.
    pub(crate) fn prioritize(&mut self, id: &InstanceId) {
        if !self.is_probing(id) && !self.urgent.contains(id) {
            self.urgent.push_back(id.clone());
        }
    }

    pub(crate) fn has_urgent_targets(&self) -> bool {
        !self.urgent.is_empty()
    }

    pub(crate) fn is_probing(&self, id: &InstanceId) -> bool {
        self.outstanding.values().any(|o| o.target == *id)
    }

    /// Inserts a new member at a random position of the current round.
    pub(crate) fn add(&mut self, id: &InstanceId, rng: &mut SmallRng) {
        let position = rng.random_range(0..=self.round.len());
        self.round.insert(position, id.clone());
    }

    /// Returns the next target accepted by `live`, or `None` if there is none.
    pub(crate) fn next_target<'a>(
        &mut self,
        is_live: impl Fn(&InstanceId) -> bool,
        all: impl Iterator<Item = &'a InstanceId>,
        rng: &mut SmallRng,
    ) -> Option<InstanceId> {
        if let Some(id) = self.pop_target(&is_live) {
            return Some(id);
        }
        self.round = all.cloned().collect();
        self.round.shuffle(rng);
        self.pop_target(&is_live)
    }

    fn pop_target(&mut self, is_live: impl Fn(&InstanceId) -> bool) -> Option<InstanceId> {
        while let Some(id) = self.urgent.pop_front().or_else(|| self.round.pop()) {
            if is_live(&id) && !self.is_probing(&id) {
                return Some(id);
            }
        }
        None
    }

    /// Records a probe of `target` and returns its nonce.
    pub(crate) fn start(&mut self, now: MonoTime, target: InstanceId, rng: &mut SmallRng) -> u64 {
        let nonce = rng.next_u64();
        let outstanding = Outstanding {
            target,
            sent: now,
            indirect_probes_sent: false,
        };
        self.outstanding.insert(nonce, outstanding);
        nonce
    }

    pub(crate) fn outstanding(&self) -> impl Iterator<Item = &Outstanding> {
        self.outstanding.values()
    }

    pub(crate) fn outstanding_mut(&mut self) -> impl Iterator<Item = (u64, &mut Outstanding)> {
        self.outstanding.iter_mut().map(|(nonce, o)| (*nonce, o))
    }

    /// Completes a probe that `subject` answered.
    pub(crate) fn complete(&mut self, nonce: u64, subject: &InstanceId) {
        if self
            .outstanding
            .get(&nonce)
            .is_some_and(|o| o.target == *subject)
        {
            self.outstanding.remove(&nonce);
        }
    }

    /// Removes the probes for which `is_expired` holds and returns their targets.
    pub(crate) fn take_expired(
        &mut self,
        is_expired: impl Fn(&Outstanding) -> bool,
    ) -> Vec<InstanceId> {
        let mut failed = Vec::new();
        self.outstanding.retain(|_, o| {
            let expired = is_expired(o);
            if expired {
                failed.push(o.target.clone());
            }
            !expired
        });
        failed
    }

    /// Registers a relayed probe of `subject`. Returns `false` if too many are pending.
    pub(crate) fn add_relay(
        &mut self,
        now: MonoTime,
        nonce: u64,
        origin: SocketAddr,
        subject: InstanceId,
        expires_at: MonoTime,
    ) -> bool {
        self.relays.retain(|_, relay| relay.expires_at > now);
        if self.relays.len() >= MAX_RELAYS {
            return false;
        }
        let relay = Relay {
            origin,
            subject,
            expires_at,
        };
        self.relays.insert(nonce, relay);
        true
    }

    /// Returns the address to relay the reply of `subject` to, if another instance requested the
    /// probe.
    pub(crate) fn take_relay(&mut self, nonce: u64, subject: &InstanceId) -> Option<SocketAddr> {
        let origin = self
            .relays
            .get(&nonce)
            .filter(|r| r.subject == *subject)?
            .origin;
        self.relays.remove(&nonce);
        Some(origin)
    }

    /// Discards all pending probes. After a pause their timeouts are meaningless.
    pub(crate) fn reset(&mut self) {
        self.outstanding.clear();
        self.relays.clear();
    }
}
