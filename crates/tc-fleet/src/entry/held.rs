//! Permits this instance holds, so that they can be told to a new home and given back to the right one.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use slotmap::SlotMap;
use tc_policy::HeldPermit;
use tc_protocol::{FleetView, InstanceId, MonoTime, ServiceName, UpstreamId};

slotmap::new_key_type! {
    /// One held permit.
    pub(crate) struct HeldKey;
}

/// A permit and where it was granted.
pub(crate) struct Held {
    pub(crate) service: ServiceName,
    pub(crate) upstream: UpstreamId,
    pub(crate) home: InstanceId,
    pub(crate) permit: HeldPermit,
    pub(crate) expires_at: MonoTime,
}

/// A permit that its new home has to be told of.
pub(crate) struct Announce {
    pub(crate) upstream: UpstreamId,
    pub(crate) home: InstanceId,
    pub(crate) permit: HeldPermit,
}

/// All held permits.
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

    /// Moves permits to the homes of `view`; returns those that moved, to be announced there.
    ///
    /// A new home does not know what runs on its upstream. Without the announcement it would grant up to the full
    /// concurrency again, seen as a doubled load on the upstream after each change of membership.
    pub(crate) fn rehome(&self, now: MonoTime, view: &FleetView) -> Vec<Announce> {
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
                moved.push(Announce {
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
