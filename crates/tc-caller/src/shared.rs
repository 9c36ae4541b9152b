//! State shared by all requests of this instance.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use tc_protocol::RequestId;
use tc_upstream::UpstreamClient;
use tokio_util::task::TaskTracker;

use crate::{
    http::TokenIndex,
    idempotency::{Forwarder, KeyTable, KeyTableLimits},
    policy_state::Policies,
    ports::{CallerSettings, CallerTimeouts, Ports},
    record::{ExplanationRing, Stats},
    run::Throttles,
    streams::StreamRegistry,
};

/// The state of the server for callers.
pub(crate) struct Shared {
    pub(crate) settings: CallerSettings,
    pub(crate) timeouts: CallerTimeouts,
    pub(crate) ports: Ports,
    pub(crate) upstream: UpstreamClient,
    pub(crate) tokens: TokenIndex,
    pub(crate) policies: Policies,
    pub(crate) throttles: Throttles,
    pub(crate) stats: Stats,
    pub(crate) explanations: ExplanationRing,
    pub(crate) streams: Arc<StreamRegistry>,
    pub(crate) keys: Mutex<KeyTable>,
    pub(crate) forwarder: Forwarder,
    /// Connections, and runs that continue after their caller has disconnected. A stop waits for all of them.
    pub(crate) tasks: TaskTracker,
    in_flight: Arc<AtomicUsize>,
    closing: AtomicBool,
    next_request: AtomicU64,
}

impl Shared {
    pub(crate) fn new(
        settings: CallerSettings,
        ports: Ports,
        upstream: UpstreamClient,
        timeouts: CallerTimeouts,
    ) -> Self {
        Self {
            settings,
            timeouts,
            ports,
            upstream,
            tokens: TokenIndex::new(),
            policies: Policies::new(),
            throttles: Throttles::default(),
            stats: Stats::new(),
            explanations: ExplanationRing::new(),
            streams: Arc::new(StreamRegistry::new()),
            keys: Mutex::new(KeyTable::new(KeyTableLimits::default())),
            forwarder: Forwarder::new(),
            tasks: TaskTracker::new(),
            in_flight: Arc::new(AtomicUsize::new(0)),
            closing: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
        }
    }

    pub(crate) fn next_request_id(&self) -> (RequestId, u64) {
        let counter = self.next_request.fetch_add(1, Ordering::Relaxed);
        let id = RequestId::new(&self.settings.me, self.settings.incarnation, counter);
        (id, counter)
    }

    /// Counts one request as in flight until the guard is dropped.
    pub(crate) fn track_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.in_flight.clone())
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn start_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }
}

/// Guard that counts one request as in flight.
pub(crate) struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
