//! Suspects that were reported to this instance, by their home or by its own calls.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use tc_protocol::{Fingerprint, MonoTime};

/// A suspect not reported for this long is forgotten; its home reports it again and again while it is one.
const REMEMBERED_FOR: Duration = Duration::from_mins(1);
/// Suspects remembered at most; one beyond that pushes out the one reported longest ago.
const MOST: usize = 4_096;

/// The fingerprints and when each was last reported.
#[derive(Default)]
pub(super) struct ReportedSuspects {
    // Mirrors the size of `reported`, so that the ordinary request, with no suspect about, takes no lock.
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
            .is_some_and(|at| now.since(*at) < REMEMBERED_FOR)
    }

    pub(super) fn insert(&self, now: MonoTime, fingerprint: Fingerprint) {
        let mut reported = self.lock();
        reported.insert(fingerprint, now);
        if reported.len() > MOST {
            reported.retain(|_, at| now.since(*at) < REMEMBERED_FOR);
        }
        if reported.len() > MOST
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
