//! Fingerprints that this instance was told are suspects.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use tc_protocol::{Fingerprint, MonoTime};

/// A suspect not heard of for this long is forgotten; its home tells of it again and again while it is one.
const REMEMBERED_FOR: Duration = Duration::from_mins(1);
/// Suspects remembered at most; one beyond that pushes out the one heard longest ago.
const MOST: usize = 4_096;

/// The fingerprints and when each was last heard of.
#[derive(Default)]
pub(super) struct Hearsay {
    // Mirrors the size of `heard`, so that the ordinary request, with no suspect about, takes no lock.
    count: AtomicUsize,
    heard: Mutex<HashMap<Fingerprint, MonoTime>>,
}

impl Hearsay {
    pub(super) fn is_empty(&self) -> bool {
        self.count.load(Relaxed) == 0
    }

    pub(super) fn knows(&self, now: MonoTime, fingerprint: Fingerprint) -> bool {
        if self.is_empty() {
            return false;
        }
        let heard = self.lock();
        heard
            .get(&fingerprint)
            .is_some_and(|at| now.since(*at) < REMEMBERED_FOR)
    }

    pub(super) fn hear(&self, now: MonoTime, fingerprint: Fingerprint) {
        let mut heard = self.lock();
        heard.insert(fingerprint, now);
        if heard.len() > MOST {
            heard.retain(|_, at| now.since(*at) < REMEMBERED_FOR);
        }
        if heard.len() > MOST
            && let Some(oldest) = heard.iter().min_by_key(|(_, at)| **at).map(|(f, _)| *f)
        {
            heard.remove(&oldest);
        }
        self.count.store(heard.len(), Relaxed);
    }

    pub(super) fn forget(&self, fingerprint: Fingerprint) {
        let mut heard = self.lock();
        heard.remove(&fingerprint);
        self.count.store(heard.len(), Relaxed);
    }

    pub(super) fn all(&self) -> Vec<Fingerprint> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Fingerprint, MonoTime>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
