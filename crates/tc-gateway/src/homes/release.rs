//! Releases results that an entry instance has read: in batches, through the home of their service, which accounts
//! for result capacity.

use std::{collections::HashMap, time::Duration};

use tc_policy::ReleasedResults;
use tc_protocol::{ServiceName, routing::ResultHandle};
use tokio::{sync::mpsc, time::sleep};

/// Time for which results are collected into a batch. The capacity that a result takes is worth a hundred times this delay,
/// and one call releases the whole batch.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of results received at once.
const MAX_BATCH: usize = 4_096;

/// A result, the service that made it, and the time for which a slow reader may still fetch it.
type ServiceResult = (ServiceName, ResultHandle, Duration);

/// Sends results that are no longer needed to the release task; clones share the channel.
#[derive(Clone)]
pub(crate) struct ResultReleaser {
    results: mpsc::UnboundedSender<ServiceResult>,
}

/// Receiving end of [`ResultReleaser`].
pub(crate) struct ReleaseQueue {
    results: mpsc::UnboundedReceiver<ServiceResult>,
}

impl ReleaseQueue {
    /// Collects results into batches and calls `release` with the results of each service.
    pub(crate) async fn for_each_batch<F, Fut>(mut self, release: F)
    where
        F: Fn(ServiceName, ReleasedResults) -> Fut,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let mut batch = Vec::new();
        while self.results.recv_many(&mut batch, MAX_BATCH).await > 0 {
            sleep(BATCH_DELAY).await;
            while let Ok(more) = self.results.try_recv() {
                batch.push(more);
            }
            for (service, released) in group(batch.drain(..)) {
                tokio::spawn(release(service, released));
            }
        }
    }
}

impl ResultReleaser {
    /// Creates a connected sender and receiver.
    pub(crate) fn new() -> (Self, ReleaseQueue) {
        let (sender, results) = mpsc::unbounded_channel();
        (Self { results: sender }, ReleaseQueue { results })
    }

    pub(crate) fn release(
        &self,
        service: &ServiceName,
        handles: impl IntoIterator<Item = ResultHandle>,
    ) {
        for handle in handles {
            self.release_after(service, handle, Duration::ZERO);
        }
    }

    /// Releases a result that a slow reader may still fetch for `hold_for`.
    pub(crate) fn release_after(
        &self,
        service: &ServiceName,
        handle: ResultHandle,
        hold_for: Duration,
    ) {
        // Fails only when the process is shutting down.
        let _ = self.results.send((service.clone(), handle, hold_for));
    }
}

/// Groups results by service, apart from those that are held for slow readers.
fn group(
    results: impl Iterator<Item = ServiceResult>,
) -> impl Iterator<Item = (ServiceName, ReleasedResults)> {
    let mut groups: HashMap<(ServiceName, bool), ReleasedResults> = HashMap::new();
    for (service, handle, hold_for) in results {
        let released = groups.entry((service, hold_for.is_zero())).or_default();
        released.results.push(handle);
        released.hold_for = released.hold_for.max(hold_for);
    }
    groups
        .into_iter()
        .map(|((service, _), released)| (service, released))
}
