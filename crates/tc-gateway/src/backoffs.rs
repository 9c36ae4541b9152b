//! Backoffs from upstreams that request them ([`tc_policy::Backoffs`]) or cannot refuse many requests
//! ([`tc_policy::BrittleUpstreams`]).

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_policy::{Backoffs, BrittleUpstreams, Senders};
use tc_protocol::{MonoTime, UpstreamId};

use crate::call::{Acceptance, AnnouncedBackoff, AnswerHead};

/// Backoffs from upstreams, shared by all senders of this instance.
#[derive(Debug, Default)]
pub(crate) struct UpstreamBackoffs {
    backoffs: Mutex<Backoffs>,
    brittle: Mutex<BrittleUpstreams>,
}

impl UpstreamBackoffs {
    /// Records the backoff that follows from an answer, and returns it if there is one.
    ///
    /// Answers from another process than the addressed upstream are ignored.
    pub(crate) fn observe(
        &self,
        id: &UpstreamId,
        head: &AnswerHead,
        senders: Senders,
    ) -> Option<Duration> {
        if head.acceptance == Acceptance::OtherProcess {
            return None;
        }
        let requested = requested_backoff(id, head);
        let backoff = requested.max(self.observe_brittle(id, head, senders));
        if let Some(backoff) = backoff {
            lock(&self.backoffs).extend(MonoTime::now(), id, backoff, rand::random());
        }
        backoff
    }

    fn observe_brittle(
        &self,
        id: &UpstreamId,
        head: &AnswerHead,
        senders: Senders,
    ) -> Option<Duration> {
        let now = MonoTime::now();
        let announced = head.survivable_refusals_per_s;
        let mut brittle = lock(&self.brittle);
        match head.acceptance {
            Acceptance::Yes => {
                brittle.record_answer(now, id, announced);
                None
            }
            Acceptance::NotRun => {
                if announced.is_some() {
                    metrics::counter!("tc_brittle_refusals_total").increment(1);
                }
                let backoff =
                    brittle.record_refusal(now, id, announced, senders, rand::random())?;
                log::info!(upstream = id.as_str(), survives_per_s = announced, senders = senders.count, backoff_ms = backoff.as_millis() as u64; "backing off from a brittle upstream");
                Some(backoff)
            }
            Acceptance::InputGone | Acceptance::OtherProcess => None,
        }
    }

    /// Returns true if another request may be sent to the upstream beside those in progress, as far as
    /// it is brittle.
    pub(crate) fn may_send(&self, id: &UpstreamId, in_progress: u32) -> bool {
        lock(&self.brittle).may_send(id, in_progress)
    }

    /// Returns the remaining backoff of an upstream; `None` if requests may be sent to it.
    pub(crate) fn remaining(&self, id: &UpstreamId) -> Option<Duration> {
        lock(&self.backoffs).remaining(MonoTime::now(), id)
    }

    /// Returns the upstreams whose backoff has not expired.
    pub(crate) fn active(&self) -> Vec<UpstreamId> {
        let backoffs = lock(&self.backoffs);
        backoffs.active(MonoTime::now()).cloned().collect()
    }

    /// Drops expired backoffs, and upstreams that are no longer registered.
    pub(crate) fn retain(&self, is_registered: impl Fn(&UpstreamId) -> bool) {
        lock(&self.backoffs).remove_expired(MonoTime::now());
        lock(&self.brittle).retain(is_registered);
    }
}

/// Returns the backoff that an answer requests.
fn requested_backoff(id: &UpstreamId, head: &AnswerHead) -> Option<Duration> {
    match head.backoff {
        AnnouncedBackoff::None => None,
        AnnouncedBackoff::Unreadable => {
            log::warn!(upstream = id.as_str(); "upstream backoff unreadable");
            None
        }
        AnnouncedBackoff::For(backoff) => {
            log::info!(upstream = id.as_str(), backoff_ms = backoff.as_millis() as u64; "upstream requests a backoff");
            metrics::counter!("tc_upstream_rests_total").increment(1);
            Some(backoff)
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
