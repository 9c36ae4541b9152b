//! Releases results that an entry instance has read: in batches, through the home of their service, which accounts
//! for result capacity.

use std::{collections::HashMap, time::Duration};

use tc_protocol::{ServiceName, routing::ResultHandle};
use tokio::{sync::mpsc, time::sleep};

/// Time for which results are collected into a batch. The capacity that a result takes is worth a hundred times this delay,
/// and one call releases the whole batch.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of results received at once.
const MAX_BATCH: usize = 4_096;

/// A result and the service that made it.
type ServiceResult = (ServiceName, ResultHandle);

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
        F: Fn(ServiceName, Vec<ResultHandle>) -> Fut,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let mut batch = Vec::new();
        while self.results.recv_many(&mut batch, MAX_BATCH).await > 0 {
            sleep(BATCH_DELAY).await;
            while let Ok(more) = self.results.try_recv() {
                batch.push(more);
            }
            let mut by_service: HashMap<ServiceName, Vec<ResultHandle>> = HashMap::new();
            for (service, handle) in batch.drain(..) {
                by_service.entry(service).or_default().push(handle);
            }
            for (service, handles) in by_service {
                tokio::spawn(release(service, handles));
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
            // Fails only when the process is shutting down.
            let _ = self.results.send((service.clone(), handle));
        }
    }
}
