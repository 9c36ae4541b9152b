//! Progress of calls whose responses are under way.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::timeout};

/// Arrival of the parts of responses. Clones share it.
///
/// A call without a response may be lost and is worth repeating. One whose response is still
/// arriving is not: over a slow link, both would take longer.
#[derive(Clone, Debug, Default)]
pub struct CallProgress {
    parts: Arc<watch::Sender<u64>>,
}

impl CallProgress {
    /// Records that a part of a response has arrived.
    pub fn record(&self) {
        self.parts.send_modify(|count| *count += 1);
    }

    /// Returns true if a part of a response has arrived.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        *self.parts.borrow() > 0
    }

    /// Waits until another part arrives.
    pub async fn next_part(&self) {
        // The sender is not dropped while this waits.
        let _ = self.parts.subscribe().changed().await;
    }

    /// Waits until nothing has arrived for `time`, counted from now at the earliest.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// use std::time::{Duration, Instant};
    /// use tc_platform::CallProgress;
    /// let started = Instant::now();
    /// CallProgress::default().stalled_for(Duration::from_millis(5)).await;
    /// assert!(started.elapsed() >= Duration::from_millis(5));
    /// # });
    /// ```
    pub async fn stalled_for(&self, time: Duration) {
        let mut parts = self.parts.subscribe();
        while timeout(time, parts.changed()).await.is_ok() {}
    }
}
