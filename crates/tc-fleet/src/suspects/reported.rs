//! Suspects reported to this instance by their home or by its own calls.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use tc_protocol::{Fingerprint, MonoTime};

/// Time without a report after which a suspect is dropped. Its home repeats the report for as long as it is one.
const REPORT_TTL: Duration = Duration::from_mins(1);
/// Maximum number of suspects; beyond it, the one reported longest ago is dropped.
const MAX_REPORTED: usize = 4_096;

/// Fingerprints with the time of their last report.
#[derive(Default)]
pub(super) struct ReportedSuspects {
    // Size of `reported`, so that requests take no lock while there are no suspects.
    count: AtomicUsize,
    reported: Mutex<HashMap<Fingerprint, MonoTime>>,
}

impl ReportedSuspects {
    pub(super) fn is_empty(&self) -> bool {
        self.count.load(Relaxed) == 0
    }

    pub(super) fn contains(&self, now: MonoTime, fingerprint: Fingerprint) -> bool {
        if self.is_empty() {
            return false;
        }
        let reported = self.lock();
        reported
            .get(&fingerprint)
            .is_some_and(|at| now.since(*at) < REPORT_TTL)
    }

    pub(super) fn insert(&self, now: MonoTime, fingerprint: Fingerprint) {
        let mut reported = self.lock();
        reported.insert(fingerprint, now);
        if reported.len() > MAX_REPORTED {
            reported.retain(|_, at| now.since(*at) < REPORT_TTL);
        }
        if reported.len() > MAX_REPORTED
            && let Some(oldest) = reported.iter().min_by_key(|(_, at)| **at).map(|(f, _)| *f)
        {
            reported.remove(&oldest);
        }
        self.count.store(reported.len(), Relaxed);
    }

    pub(super) fn remove(&self, fingerprint: Fingerprint) {
        let mut reported = self.lock();
        reported.remove(&fingerprint);
        self.count.store(reported.len(), Relaxed);
    }

    pub(super) fn all(&self) -> Vec<Fingerprint> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Fingerprint, MonoTime>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
