//! How long stages wait at their homes, as the homes last told.
//!
//! A chain of stages is as good as its most loaded one. Without this a request would pass its first stages, take
//! capacity and room there, and be refused at the last: work thrown away just when there is too much of it.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tc_protocol::{MonoTime, ServiceName};

/// How long a home's word counts: a backlog changes by its own length in this time.
const LIFE: Duration = Duration::from_millis(500);

/// The last word of each home.
#[derive(Debug, Default)]
pub(crate) struct StageWaits {
    told: Mutex<HashMap<ServiceName, (Duration, MonoTime)>>,
}

impl StageWaits {
    pub(crate) fn note(&self, service: &ServiceName, wait: Duration) {
        let told = (wait, MonoTime::now());
        self.told
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(service.clone(), told);
    }

    /// Expected wait at a service's home; zero when nothing was heard lately.
    pub(crate) fn of(&self, service: &ServiceName) -> Duration {
        let told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        match told.get(service) {
            Some((wait, at)) if MonoTime::now().since(*at) < LIFE => *wait,
            _ => Duration::ZERO,
        }
    }
}
