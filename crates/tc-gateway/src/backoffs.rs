//! Backoffs that upstreams request from this instance: see [`tc_policy::Backoffs`].

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_policy::Backoffs;
use tc_protocol::{MonoTime, UpstreamId};

use crate::call::{Acceptance, AnnouncedBackoff, AnswerHead};

/// Backoffs requested by upstreams, shared by all senders of this instance.
#[derive(Debug, Default)]
pub(crate) struct UpstreamBackoffs {
    backoffs: Mutex<Backoffs>,
}

impl UpstreamBackoffs {
    /// Records the backoff that an answer requests, and returns it if there is one.
    ///
    /// Answers from another process than the addressed upstream are ignored.
    pub(crate) fn observe(&self, id: &UpstreamId, head: &AnswerHead) -> Option<Duration> {
        if head.acceptance == Acceptance::OtherProcess {
            return None;
        }
        match head.backoff {
            AnnouncedBackoff::None => None,
            AnnouncedBackoff::Unreadable => {
                log::warn!(upstream = id.as_str(); "upstream backoff unreadable");
                None
            }
            AnnouncedBackoff::For(backoff) => {
                log::info!(upstream = id.as_str(), backoff_ms = backoff.as_millis() as u64; "upstream requests a backoff");
                metrics::counter!("tc_upstream_rests_total").increment(1);
                self.lock()
                    .extend(MonoTime::now(), id, backoff, rand::random());
                Some(backoff)
            }
        }
    }

    /// Returns the remaining backoff of an upstream; `None` if requests may be sent to it.
    pub(crate) fn remaining(&self, id: &UpstreamId) -> Option<Duration> {
        self.lock().remaining(MonoTime::now(), id)
    }

    /// Returns the upstreams whose backoff has not expired.
    pub(crate) fn active(&self) -> Vec<UpstreamId> {
        self.lock().active(MonoTime::now()).cloned().collect()
    }

    /// Removes expired backoffs.
    pub(crate) fn remove_expired(&self) {
        self.lock().remove_expired(MonoTime::now());
    }

    fn lock(&self) -> MutexGuard<'_, Backoffs> {
        self.backoffs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
