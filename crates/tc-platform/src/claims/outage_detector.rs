//! When waiting for a claim is given up because the store cannot be reached.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tc_protocol::MonoTime;
use tokio::runtime::Handle;

use super::{CLAIM_KIND, LAYOUT_NAME};
use crate::{Purpose, Store};

/// The store counts as lost when every call has failed for this long. Shorter, and a lost answer or two would refuse
/// requests that the next try serves.
const DOWN_AFTER: Duration = Duration::from_secs(1);
/// Time between two probes while claims are refused.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How often a waiting claim looks whether the store is lost by now.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Tells claims that cannot be made soon from those worth waiting for.
///
/// A claim that waited out its request's whole deadline for a store that is down would tell the caller "not run" only
/// when nothing can be done about it any more; one would notice refusals that take exactly the deadline.
#[derive(Default)]
pub(super) struct OutageDetector {
    /// When the store may be probed again, as [`MonoTime`].
    next_probe: AtomicU64,
}

impl OutageDetector {
    /// Whether a claim made now is to be refused at once.
    ///
    /// A refused claim makes no call, so one in a while starts a probe that nobody waits for: otherwise nobody might
    /// ever learn that the store is back.
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

    /// Completes when a waiting claim should not be waited for any longer.
    pub(super) async fn wait_until_down(store: &Store) {
        while !is_down(store) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

fn is_down(store: &Store) -> bool {
    store.failing_for() >= DOWN_AFTER
}
