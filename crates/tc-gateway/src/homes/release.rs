//! Results that an entry has read are given up in batches through the home of their service, which counts the room.

use std::{collections::HashMap, time::Duration};

use tc_protocol::{ServiceName, routing::ResultHandle};
use tokio::{sync::mpsc, time::sleep};

/// How long results are gathered. Room for a result is worth a hundred times this, and one call carries all.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Results taken up in one go.
const MAX_BATCH: usize = 4_096;

/// A result and the service that made it.
type ServiceResult = (ServiceName, ResultHandle);

/// Where results are put that nobody reads any more; clones share it.
#[derive(Clone)]
pub(crate) struct ResultReleaser {
    results: mpsc::UnboundedSender<ServiceResult>,
}

/// Results that were put into a [`ResultReleaser`], to be gathered.
pub(crate) struct ReleasedResults {
    results: mpsc::UnboundedReceiver<ServiceResult>,
}

impl ReleasedResults {
    /// Gathers them; `free` is called for each service with what was gathered.
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
    /// A place to put results, and where they come out.
    pub(crate) fn new() -> (Self, ReleasedResults) {
        let (sender, results) = mpsc::unbounded_channel();
        (Self { results: sender }, ReleasedResults { results })
    }

    pub(crate) fn release(
        &self,
        service: &ServiceName,
        handles: impl IntoIterator<Item = ResultHandle>,
    ) {
        for handle in handles {
            // Fails only when the process ends.
            let _ = self.results.send((service.clone(), handle));
        }
    }
}
