//! Detection of store outages, during which claims are refused without waiting.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tc_protocol::MonoTime;
use tokio::runtime::Handle;

use super::{CLAIM_KIND, LAYOUT_NAME};
use crate::{Purpose, Store};

/// The store counts as down if all calls have failed for this long. With a shorter time, one or two
/// lost responses would refuse requests that the next attempt serves.
const DOWN_AFTER: Duration = Duration::from_secs(1);
/// Interval between probes while claims are refused.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a waiting claim checks whether the store is down.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Refuses claims that cannot be made soon.
///
/// Waiting for the request's whole deadline while the store is down would tell the caller "not run"
/// only when it is too late to react. Such refusals would take exactly as long as the deadline.
#[derive(Default)]
pub(super) struct OutageDetector {
    /// Earliest time of the next probe, as [`MonoTime`].
    next_probe: AtomicU64,
}

impl OutageDetector {
    /// Returns whether to refuse a claim immediately.
    ///
    /// Refused claims make no store calls, so one of them starts a background probe at each
    /// interval. Otherwise the return of the store might never be noticed.
    pub(super) fn rejects_claim(&self, store: &Store, runtime: &Handle, now: MonoTime) -> bool {
        if !is_down(store) {
            return false;
        }
        if self.try_take_probe(now) {
            let store = store.clone();
            runtime.spawn(async move { store.get(Purpose::Claims, CLAIM_KIND, LAYOUT_NAME).await });
        }
        true
    }

    fn try_take_probe(&self, now: MonoTime) -> bool {
        let due = self.next_probe.load(Ordering::Relaxed);
        let next = now.after(PROBE_INTERVAL).0;
        let (done, failed) = (Ordering::Relaxed, Ordering::Relaxed);
        due <= now.0
            && self
                .next_probe
                .compare_exchange(due, next, done, failed)
                .is_ok()
    }

    /// Completes when the store counts as down.
    pub(super) async fn wait_until_down(store: &Store) {
        while !is_down(store) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

fn is_down(store: &Store) -> bool {
    store.failing_for() >= DOWN_AFTER
}
