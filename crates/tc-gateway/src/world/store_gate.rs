//! Holds back calls to a store that does not answer.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tc_membership::{ProbeRole, StoreProbes};
use tc_platform::StoreError;
use tc_protocol::MonoTime;
use tokio::{
    sync::{Semaphore, SemaphorePermit, watch::Sender},
    time::sleep,
};

use super::hedge::MAX_CALLS;

/// Shared by the reads of all kinds of objects, which make one call at a time while the store is away.
pub(crate) struct StoreGate {
    state: Mutex<GateState>,
    probe: Semaphore,
    /// Wakes waiting reads when the store answers or the role changes.
    changes: Sender<()>,
}

#[derive(Default)]
struct GateState {
    probes: StoreProbes,
    role: ProbeRole,
}

/// Permission for one read of the store.
pub(super) struct ReadPermit<'a> {
    _probe: Option<SemaphorePermit<'a>>,
    /// Maximum number of calls for this read.
    pub(super) max_calls: u32,
}

impl Default for StoreGate {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            probe: Semaphore::new(1),
            changes: Sender::new(()),
        }
    }
}

impl StoreGate {
    /// Waits until the store may be read: at once unless it is away, and otherwise until it is the turn of this read
    /// and the next probe is due.
    pub(super) async fn enter(&self) -> ReadPermit<'_> {
        let mut changes = self.changes.subscribe();
        let mut probe = None;
        loop {
            let (until_probe, role) = {
                let state = self.lock();
                let until_probe = state.probes.until_probe(MonoTime::now(), state.role);
                (until_probe, state.role)
            };
            let Some(wait) = until_probe else {
                return ReadPermit {
                    _probe: None,
                    max_calls: MAX_CALLS,
                };
            };
            if probe.is_none() {
                tokio::select! {
                    permit = self.probe.acquire() => probe = permit.ok(),
                    _ = changes.changed() => {}
                }
            } else if wait.is_zero() {
                metrics::counter!("tc_store_probes_total").increment(1);
                return ReadPermit {
                    _probe: probe,
                    max_calls: match role {
                        ProbeRole::Frequent => MAX_CALLS,
                        ProbeRole::Shared { .. } => 1,
                    },
                };
            } else {
                tokio::select! {
                    () = sleep(wait) => {}
                    _ = changes.changed() => {}
                }
            }
        }
    }

    /// Records how a read ended. A call that this instance held back itself says nothing about the store.
    pub(super) fn record<T>(&self, result: &Result<T, StoreError>) {
        let mut state = self.lock();
        match result {
            Ok(_) if state.probes.is_away() => {
                state.probes.record_answer();
                drop(state);
                log::info!("reads of the store are no longer held back");
                metrics::gauge!("tc_store_away").set(0.0);
                self.changes.send_replace(());
            }
            Ok(_) | Err(StoreError::RateLimited) => {}
            Err(_) => {
                state.probes.record_failure(MonoTime::now(), rand::random());
                metrics::gauge!("tc_store_away").set(1.0);
            }
        }
    }

    /// Makes the next read a probe, if the store is not known to be away already.
    pub(super) fn suspect(&self) {
        self.lock().probes.suspect();
    }

    /// Sets how often this instance probes.
    pub(super) fn set_role(&self, role: ProbeRole) {
        let mut state = self.lock();
        if state.role != role {
            state.role = role;
            drop(state);
            self.changes.send_replace(());
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
