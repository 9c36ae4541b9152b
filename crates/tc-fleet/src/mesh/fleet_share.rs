//! The share of this instance in what all instances may use together, and its exchange with other instances.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_membership::{FleetShare, FleetSize};
use tc_protocol::{Member, MonoTime};

use crate::generated as wire;

/// A [`FleetShare`] that the mesh and the rest of the process use together.
#[derive(Debug)]
pub struct SharedFleetShare(Mutex<FleetShare>);

impl SharedFleetShare {
    /// Shares `share`.
    #[must_use]
    pub const fn new(share: FleetShare) -> Self {
        Self(Mutex::new(share))
    }

    /// Records the current members, and returns this instance's part, from 0 to 1.
    pub fn observe(&self, now: MonoTime, members: &[Member]) -> f64 {
        let mut share = self.lock();
        share.observe(now, members);
        share.part(now)
    }

    /// Returns the number of instances that may be running, including this one.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.lock().instances()
    }

    /// Records the number that another instance reports, if it reports one.
    pub(super) fn record_report(&self, reported: Option<wire::FleetSize>) {
        let Some(reported) = reported else { return };
        let reported = FleetSize {
            instances: reported.instances as usize,
            valid_for: Duration::from_millis(reported.valid_for_ms.into()),
        };
        self.lock().record_report(MonoTime::now(), reported);
    }

    /// Returns the number to report to other instances.
    pub(super) fn report(&self) -> wire::FleetSize {
        let size = self.lock().size(MonoTime::now());
        wire::FleetSize {
            instances: size.instances as u32,
            valid_for_ms: size.valid_for.as_millis() as u32,
        }
    }

    fn lock(&self) -> MutexGuard<'_, FleetShare> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
