//! Full reads of the store after a pause of this process.

use std::{sync::atomic::Ordering, time::Duration};

use super::{WorldCell, WorldPart};

/// Maximum wait for a fresh read of the store after a pause. The store normally answers in
/// milliseconds. Without a fresh read, requests may be sent to the wrong process; upstreams detect
/// this, because each request names the upstream it is meant for.
const MAX_FRESH_WAIT: Duration = Duration::from_millis(300);

impl WorldCell {
    /// Disables a part that this deployment does not use, so that nothing waits for it.
    pub(crate) fn disable_part(&self, part: WorldPart) {
        self.pauses_at_full_read[part as usize].store(u64::MAX, Ordering::Release);
        self.confirmations.disable(part);
    }

    /// Records a full read of a part that started after the given number of pauses.
    pub(crate) fn record_full_read(&self, part: WorldPart, pauses: u64) {
        // `fetch_max` keeps a disabled part at `u64::MAX`.
        self.pauses_at_full_read[part as usize].fetch_max(pauses, Ordering::AcqRel);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Waits after a pause of this process until the store has been read again, for at most
    /// [`MAX_FRESH_WAIT`].
    ///
    /// According to state from before the pause, a request could go to an upstream that has left
    /// since, or to another process at its address.
    pub(crate) async fn wait_until_fresh(&self) {
        let pauses = self.pause_monitor.count();
        if self.is_read_since(pauses) {
            return;
        }
        let mut changes = self.changes();
        let fresh = async {
            while !self.is_read_since(pauses) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(MAX_FRESH_WAIT, fresh).await.is_err() {
            log::warn!(
                "the store was not read in time after a pause; continuing with the earlier state"
            );
            self.gave_up_at.fetch_max(pauses, Ordering::Release);
        }
    }

    fn is_read_since(&self, pauses: u64) -> bool {
        let read = self
            .pauses_at_full_read
            .iter()
            .map(|read| read.load(Ordering::Acquire));
        let gave_up = self.gave_up_at.load(Ordering::Acquire);
        read.min().unwrap_or_default().max(gave_up) >= pauses
    }
}
