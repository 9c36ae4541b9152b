//! The permits of one home.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use tc_protocol::{Cost, Fingerprint, InstanceId, MonoTime, PermitId};

use super::queue::FlowKey;

/// A permit that is granted and not released.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) entry: InstanceId,
    pub(super) flow: FlowKey,
    pub(super) since: MonoTime,
    pub(super) expires_at: MonoTime,
    pub(super) estimate: Cost,
    pub(super) fingerprint: Fingerprint,
}

/// Permits by identifier and by expiry.
#[derive(Debug, Default)]
pub(super) struct Permits {
    held: HashMap<PermitId, Held>,
    expiries: BTreeSet<(MonoTime, PermitId)>,
    next: u64,
}

impl Permits {
    pub(super) fn new(first: u64) -> Self {
        Self {
            next: first,
            ..Self::default()
        }
    }

    /// Adds a new permit.
    pub(super) fn grant(&mut self, held: Held) -> PermitId {
        // An adopted permit may bear a number that is still to come.
        while self.held.contains_key(&PermitId(self.next)) {
            self.next += 1;
        }
        let permit = PermitId(self.next);
        self.next += 1;
        self.insert(permit, held);
        permit
    }

    /// Adds a permit granted elsewhere.
    pub(super) fn insert(&mut self, permit: PermitId, held: Held) {
        self.expiries.insert((held.expires_at, permit));
        self.held.insert(permit, held);
    }

    pub(super) fn contains(&self, permit: PermitId) -> bool {
        self.held.contains_key(&permit)
    }

    pub(super) fn remove(&mut self, permit: PermitId) -> Option<Held> {
        let held = self.held.remove(&permit)?;
        self.expiries.remove(&(held.expires_at, permit));
        Some(held)
    }

    /// A permit that has expired.
    pub(super) fn expired(&self, now: MonoTime) -> Option<PermitId> {
        self.expiries
            .first()
            .filter(|&&(at, _)| at <= now)
            .map(|&(_, permit)| permit)
    }

    pub(super) fn next_expiry(&self) -> Option<MonoTime> {
        self.expiries.first().map(|&(at, _)| at)
    }

    /// The permits of one instance.
    pub(super) fn of_entry(&self, entry: &InstanceId) -> Vec<PermitId> {
        self.held
            .iter()
            .filter(|(_, held)| held.entry == *entry)
            .map(|(&permit, _)| permit)
            .collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (PermitId, &Held)> {
        self.held.iter().map(|(&permit, held)| (permit, held))
    }

    pub(super) fn len(&self) -> u32 {
        self.held.len() as u32
    }
}

impl Held {
    /// How long it lasts from `now` on.
    pub(super) const fn expires_in(&self, now: MonoTime) -> Duration {
        self.expires_at.since(now)
    }
}
