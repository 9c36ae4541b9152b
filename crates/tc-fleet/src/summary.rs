//! Last known load of each upstream, shared between threads without locks.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tc_protocol::{Incarnation, MonoTime, UpstreamId, UpstreamSummary};

/// Summary of one upstream, updated field by field.
///
/// A reader may see a mix of two updates. This is acceptable, because both are estimates and the home makes the final
/// decision.
#[derive(Debug, Default)]
pub(crate) struct SummaryCell {
    in_flight: AtomicU32,
    concurrency: AtomicU32,
    waiting: AtomicU32,
    wait_ms: AtomicU32,
    service_ms: AtomicU32,
    ejected: AtomicBool,
    leaving: AtomicBool,
    incarnation: AtomicU64,
    updated_at: AtomicU64,
    /// Number of this instance's permits and permit requests in progress.
    pub(crate) own_in_flight: AtomicU32,
}

impl SummaryCell {
    pub(crate) fn store(&self, now: MonoTime, summary: &UpstreamSummary, leaving: bool) {
        self.in_flight.store(summary.in_flight, Relaxed);
        self.concurrency.store(summary.concurrency, Relaxed);
        self.waiting.store(summary.waiting, Relaxed);
        self.wait_ms
            .store((summary.wait_ms as f32).to_bits(), Relaxed);
        self.service_ms
            .store((summary.service_ms as f32).to_bits(), Relaxed);
        self.ejected.store(summary.ejected, Relaxed);
        self.leaving.store(leaving, Relaxed);
        self.updated_at.store(now.0, Relaxed);
    }

    /// Returns the incarnation of the upstream's process, or 0 if it is not known.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Relaxed))
    }

    /// Returns the summary, whether the upstream is leaving according to its home, and the age of the summary. Returns
    /// `None` before the first update.
    pub(crate) fn load(&self, now: MonoTime) -> Option<(UpstreamSummary, bool, Duration)> {
        let updated_at = self.updated_at.load(Relaxed);
        if updated_at == 0 {
            return None;
        }
        let summary = UpstreamSummary {
            in_flight: self.in_flight.load(Relaxed),
            concurrency: self.concurrency.load(Relaxed),
            waiting: self.waiting.load(Relaxed),
            wait_ms: f64::from(f32::from_bits(self.wait_ms.load(Relaxed))),
            service_ms: f64::from(f32::from_bits(self.service_ms.load(Relaxed))),
            ejected: self.ejected.load(Relaxed),
        };
        Some((
            summary,
            self.leaving.load(Relaxed),
            now.since(MonoTime(updated_at)),
        ))
    }
}

/// Summaries of all known upstreams.
#[derive(Debug, Default)]
pub(crate) struct SummaryTable {
    cells: ArcSwap<HashMap<UpstreamId, Arc<SummaryCell>>>,
}

impl SummaryTable {
    /// Sets the known upstreams. Upstreams that were known before keep their summary.
    pub(crate) fn set_upstreams<'a>(&self, ids: impl Iterator<Item = &'a UpstreamId>) {
        let old = self.cells.load();
        let cells = ids
            .map(|id| (id.clone(), old.get(id).map(Arc::clone).unwrap_or_default()))
            .collect();
        self.cells.store(Arc::new(cells));
    }

    pub(crate) fn cell(&self, id: &UpstreamId) -> Option<Arc<SummaryCell>> {
        self.cells.load().get(id).map(Arc::clone)
    }

    /// Records the incarnation of an upstream's process. 0 means unknown and is ignored.
    pub(crate) fn record_incarnation(&self, id: &str, incarnation: Incarnation) {
        if incarnation != Incarnation(0)
            && let Some(cell) = self.cells.load().get(id)
        {
            cell.incarnation.store(incarnation.0, Relaxed);
        }
    }

    pub(crate) fn store(&self, now: MonoTime, id: &str, summary: &UpstreamSummary, leaving: bool) {
        if let Some(cell) = self.cells.load().get(id) {
            cell.store(now, summary, leaving);
        }
    }
}

/// Counts a use of an upstream by this instance until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<SummaryCell>);

impl InFlightGuard {
    pub(crate) fn new(cell: Arc<SummaryCell>) -> Self {
        cell.own_in_flight.fetch_add(1, Relaxed);
        Self(cell)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.own_in_flight.fetch_sub(1, Relaxed);
    }
}
