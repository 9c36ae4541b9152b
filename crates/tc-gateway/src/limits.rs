//! Rate limits that upstreams announce in their answers.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tc_protocol::{
    UpstreamId,
    routing::{AnnouncedLimit, RateLimit},
};

/// The rate limits announced to this instance; shared by all requests.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimits {
    known: Mutex<HashMap<UpstreamId, RateLimit>>,
}

impl UpstreamLimits {
    /// Records what an answer of the upstream announced.
    pub(crate) fn observe(&self, upstream: &UpstreamId, announced: AnnouncedLimit) {
        let mut known = self.lock();
        let before = known.get(upstream).copied();
        let limit = match announced {
            AnnouncedLimit::None => None,
            AnnouncedLimit::PerSecond(limit) => Some(limit),
            AnnouncedLimit::Unreadable => {
                log::warn!(upstream = upstream.as_str(); "upstream limit unreadable");
                return;
            }
        };
        if limit.is_some() {
            metrics::counter!("tc_upstream_limit_answers_total").increment(1);
        }
        if before == limit {
            return;
        }
        match limit {
            Some(limit) => known.insert(upstream.clone(), limit),
            None => known.remove(upstream),
        };
        metrics::gauge!("tc_upstream_limits").set(known.len() as f64);
        log::info!(upstream = upstream.as_str(), per_s = limit.map(RateLimit::per_s), before_per_s = before.map(RateLimit::per_s); "upstream limit changed");
    }

    /// Returns the limit last announced by the upstream.
    pub(crate) fn get(&self, upstream: &UpstreamId) -> Option<RateLimit> {
        self.lock().get(upstream).copied()
    }

    /// Drops upstreams that are no longer registered.
    pub(crate) fn retain(&self, is_registered: impl Fn(&UpstreamId) -> bool) {
        let mut known = self.lock();
        known.retain(|id, _| is_registered(id));
        metrics::gauge!("tc_upstream_limits").set(known.len() as f64);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, RateLimit>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
