//! Probes under way, and whom to probe next.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use rand::{Rng, RngExt, rngs::SmallRng, seq::SliceRandom};
use tc_protocol::{InstanceId, MonoTime};

/// Most probes relayed for others at once; more would let one confused instance use up another's memory.
const MAX_RELAYS: usize = 256;

/// A probe sent and not answered.
#[derive(Clone, Debug)]
pub(crate) struct Outstanding {
    pub(crate) target: InstanceId,
    pub(crate) sent: MonoTime,
    pub(crate) asked_others: bool,
}

#[derive(Clone, Debug)]
struct Relay {
    origin: SocketAddr,
    subject: InstanceId,
    ends: MonoTime,
}

/// Probes under way, and whom to probe next.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prober {
    /// Targets of this round, in random order, taken from the end.
    round: Vec<InstanceId>,
    /// Targets to take before the round's.
    urgent: VecDeque<InstanceId>,
    outstanding: BTreeMap<u64, Outstanding>,
    relays: BTreeMap<u64, Relay>,
}

impl Prober {
    /// Probes `id` next.
    pub(crate) fn hurry(&mut self, id: &InstanceId) {
        if !self.is_probing(id) && !self.urgent.contains(id) {
            self.urgent.push_back(id.clone());
        }
    }

    pub(crate) fn is_hurried(&self) -> bool {
        !self.urgent.is_empty()
    }

    pub(crate) fn is_probing(&self, id: &InstanceId) -> bool {
        self.outstanding.values().any(|o| o.target == *id)
    }

    /// Adds a newcomer at a random place of the current round.
    pub(crate) fn add(&mut self, id: &InstanceId, rng: &mut SmallRng) {
        let place = rng.random_range(0..=self.round.len());
        self.round.insert(place, id.clone());
    }

    /// The next target among `live`, or `None` if there is none.
    pub(crate) fn next_target<'a>(
        &mut self,
        live: impl Fn(&InstanceId) -> bool,
        all: impl Iterator<Item = &'a InstanceId>,
        rng: &mut SmallRng,
    ) -> Option<InstanceId> {
        if let Some(id) = self.take(&live) {
            return Some(id);
        }
        self.round = all.cloned().collect();
        self.round.shuffle(rng);
        self.take(&live)
    }

    fn take(&mut self, live: impl Fn(&InstanceId) -> bool) -> Option<InstanceId> {
        while let Some(id) = self.urgent.pop_front().or_else(|| self.round.pop()) {
            if live(&id) && !self.is_probing(&id) {
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
            asked_others: false,
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

    /// Ends a probe that `subject` answered.
    pub(crate) fn answered(&mut self, nonce: u64, subject: &InstanceId) {
        if self
            .outstanding
            .get(&nonce)
            .is_some_and(|o| o.target == *subject)
        {
            self.outstanding.remove(&nonce);
        }
    }

    /// Ends the probes for which `is_over` holds and returns their targets.
    pub(crate) fn take_failed(
        &mut self,
        is_over: impl Fn(&Outstanding) -> bool,
    ) -> Vec<InstanceId> {
        let mut failed = Vec::new();
        self.outstanding.retain(|_, o| {
            let over = is_over(o);
            if over {
                failed.push(o.target.clone());
            }
            !over
        });
        failed
    }

    /// Remembers to pass on the answer of `subject`; `false` when too many are remembered already.
    pub(crate) fn relay(
        &mut self,
        now: MonoTime,
        nonce: u64,
        origin: SocketAddr,
        subject: InstanceId,
        ends: MonoTime,
    ) -> bool {
        self.relays.retain(|_, relay| relay.ends > now);
        if self.relays.len() >= MAX_RELAYS {
            return false;
        }
        let relay = Relay {
            origin,
            subject,
            ends,
        };
        self.relays.insert(nonce, relay);
        true
    }

    /// Where to pass on an answer of `subject`, if it was asked for by another instance.
    pub(crate) fn relayed(&mut self, nonce: u64, subject: &InstanceId) -> Option<SocketAddr> {
        let origin = self
            .relays
            .get(&nonce)
            .filter(|r| r.subject == *subject)?
            .origin;
        self.relays.remove(&nonce);
        Some(origin)
    }

    /// Forgets all probes under way: after a pause their timeouts say nothing.
    pub(crate) fn reset(&mut self) {
        self.outstanding.clear();
        self.relays.clear();
    }
}
