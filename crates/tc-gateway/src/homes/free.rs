//! Results that an entry has read are given up in batches through the home of their service, which counts the room.

use std::{collections::HashMap, time::Duration};

use tc_protocol::{ServiceName, routing::ResultHandle};
use tokio::{sync::mpsc, time::sleep};

/// How long results are gathered. Room for a result is worth a hundred times this, and one call carries all.
const GATHER: Duration = Duration::from_millis(5);
/// Results taken up in one go.
const MOST: usize = 4_096;

/// A result and the service that made it.
type FreeTarget = (ServiceName, ResultHandle);

/// Where results are put that nobody reads any more; clones share it.
#[derive(Clone)]
pub(crate) struct Freer {
    results: mpsc::UnboundedSender<FreeTarget>,
}

impl Freer {
    /// Starts gathering; `free` is called for each service with what was gathered.
    pub(crate) fn start<F, Fut>(free: F) -> Self
    where
        F: Fn(ServiceName, Vec<ResultHandle>) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let (results, mut gathered) = mpsc::unbounded_channel::<FreeTarget>();
        tokio::spawn(async move {
            let mut batch = Vec::new();
            while gathered.recv_many(&mut batch, MOST).await > 0 {
                sleep(GATHER).await;
                while let Ok(more) = gathered.try_recv() {
                    batch.push(more);
                }
                let mut by_service: HashMap<ServiceName, Vec<ResultHandle>> = HashMap::new();
                for (service, handle) in batch.drain(..) {
                    by_service.entry(service).or_default().push(handle);
                }
                for (service, handles) in by_service {
                    tokio::spawn(free(service, handles));
                }
            }
        });
        Self { results }
    }

    pub(crate) fn free(
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
