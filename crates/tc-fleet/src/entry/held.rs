//! Permits held by this instance, tracked so that they can be announced to a new home and released to the right one.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use slotmap::SlotMap;
use tc_policy::HeldPermit;
use tc_protocol::{FleetView, InstanceId, MonoTime, ServiceName, UpstreamId};

slotmap::new_key_type! {
    /// Identifies a held permit.
    pub(crate) struct HeldKey;
}

/// A held permit with its upstream and current home.
pub(crate) struct Held {
    pub(crate) service: ServiceName,
    pub(crate) upstream: UpstreamId,
    pub(crate) home: InstanceId,
    pub(crate) permit: HeldPermit,
    pub(crate) expires_at: MonoTime,
}

/// A held permit to announce to its new home.
pub(crate) struct PermitAnnouncement {
    pub(crate) upstream: UpstreamId,
    pub(crate) home: InstanceId,
    pub(crate) permit: HeldPermit,
}

/// All permits held by this instance.
#[derive(Default)]
pub(crate) struct HeldTable {
    permits: Mutex<SlotMap<HeldKey, Held>>,
}

impl HeldTable {
    pub(crate) fn insert(&self, held: Held) -> HeldKey {
        self.lock().insert(held)
    }

    pub(crate) fn remove(&self, key: HeldKey) -> Option<Held> {
        self.lock().remove(key)
    }

    /// Updates the homes of all permits from `view`. Returns the permits whose home changed, to announce them there.
    ///
    /// A new home does not know which calls run on its upstream. Without the announcement it would grant the full
    /// concurrency again and double the load on the upstream after each membership change.
    pub(crate) fn rehome(&self, now: MonoTime, view: &FleetView) -> Vec<PermitAnnouncement> {
        let mut moved = Vec::new();
        for held in self.lock().values_mut() {
            let state = view.upstream(&held.service, &held.upstream);
            let Some(home) = state.and_then(|state| state.home.as_ref()) else {
                continue;
            };
            if *home == held.home {
                continue;
            }
            held.home = home.clone();
            let mut permit = held.permit.clone();
            permit.expires_in = held.expires_at.since(now);
            if permit.expires_in > Duration::ZERO {
                moved.push(PermitAnnouncement {
                    upstream: held.upstream.clone(),
                    home: home.clone(),
                    permit,
                });
            }
        }
        moved
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<HeldKey, Held>> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
