//! The outstanding permits of one home.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use tc_protocol::{Cost, Fingerprint, InstanceId, MonoTime, PermitId};

use super::queue::FlowKey;

/// The state of a permit that was granted and not yet released.
#[derive(Debug)]
pub(super) struct PermitState {
    pub(super) entry: InstanceId,
    pub(super) flow: FlowKey,
    pub(super) since: MonoTime,
    pub(super) expires_at: MonoTime,
    pub(super) estimate: Cost,
    pub(super) fingerprint: Fingerprint,
}

/// Permits indexed by identifier and by expiry.
#[derive(Debug, Default)]
pub(super) struct Permits {
    held: HashMap<PermitId, PermitState>,
    expiries: BTreeSet<(MonoTime, PermitId)>,
    next_id: u64,
}

impl Permits {
    pub(super) fn new(first: u64) -> Self {
        Self {
            next_id: first,
            ..Self::default()
        }
    }

    /// Adds a new permit.
    pub(super) fn grant(&mut self, held: PermitState) -> PermitId {
        // An adopted permit may have an identifier that this home has not reached yet.
        while self.held.contains_key(&PermitId(self.next_id)) {
            self.next_id += 1;
        }
        let permit = PermitId(self.next_id);
        self.next_id += 1;
        self.insert(permit, held);
        permit
    }

    /// Adds a permit that another home granted.
    pub(super) fn insert(&mut self, permit: PermitId, held: PermitState) {
        self.expiries.insert((held.expires_at, permit));
        self.held.insert(permit, held);
    }

    pub(super) fn contains(&self, permit: PermitId) -> bool {
        self.held.contains_key(&permit)
    }

    pub(super) fn remove(&mut self, permit: PermitId) -> Option<PermitState> {
        let held = self.held.remove(&permit)?;
        self.expiries.remove(&(held.expires_at, permit));
        Some(held)
    }

    /// Returns an expired permit, if any.
    pub(super) fn expired(&self, now: MonoTime) -> Option<PermitId> {
        self.expiries
            .first()
            .filter(|&&(at, _)| at <= now)
            .map(|&(_, permit)| permit)
    }

    pub(super) fn next_expiry(&self) -> Option<MonoTime> {
        self.expiries.first().map(|&(at, _)| at)
    }

    /// Returns the permits held by one instance.
    pub(super) fn of_entry(&self, entry: &InstanceId) -> Vec<PermitId> {
        self.held
            .iter()
            .filter(|(_, held)| held.entry == *entry)
            .map(|(&permit, _)| permit)
            .collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (PermitId, &PermitState)> {
        self.held.iter().map(|(&permit, held)| (permit, held))
    }

    pub(super) fn len(&self) -> u32 {
        self.held.len() as u32
    }
}

impl PermitState {
    /// Returns the time from `now` until the permit expires.
    pub(super) const fn expires_in(&self, now: MonoTime) -> Duration {
        self.expires_at.since(now)
    }
}
