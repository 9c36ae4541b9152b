//! Rate limits announced by upstreams, and their exchange between instances.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_policy::{KnownLimits, LimitChange};
use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{AnnouncedLimit, RateLimit, RateLimitUpdate},
};

use crate::{convert, generated as wire};

/// Maximum number of limits in a datagram.
const MAX_LIMITS_PER_DATAGRAM: usize = 4;
/// Maximum number of limits in a report to a home.
const MAX_LIMITS_PER_REPORT: usize = 16;
/// Maximum number of limits in an engine request.
const MAX_LIMITS_PER_REQUEST: usize = 32;
/// Maximum age of announcements included in reports to homes. Longer than the interval over which reports are batched.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(1);

/// The rate limits known to this instance, from answers of upstreams and from other instances.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    known: Mutex<KnownLimits>,
}

impl UpstreamLimits {
    /// Records the limit announced in an answer of the upstream.
    pub fn observe(&self, upstream: &UpstreamId, announced: AnnouncedLimit) {
        let limit = match announced {
            AnnouncedLimit::None => None,
            AnnouncedLimit::PerSecond(limit) => {
                metrics::counter!("tc_upstream_limit_answers_total").increment(1);
                Some(limit)
            }
            AnnouncedLimit::Unreadable => {
                log::warn!(upstream = upstream.as_str(); "cannot read the rate limit announced by an upstream");
                return;
            }
        };
        let mut known = self.lock();
        if let Some(change) = known.record(upstream, limit, MonoTime::now()) {
            log_change(&known, upstream, change, "answer");
        }
    }

    /// Returns the upstream's limit.
    #[must_use]
    pub fn get(&self, upstream: &UpstreamId) -> Option<RateLimit> {
        self.lock().get(upstream)
    }

    /// Returns a counter that increases with each change of a limit.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.lock().changes()
    }

    /// Drops upstreams that are no longer registered.
    pub fn retain(&self, is_registered: impl Fn(&UpstreamId) -> bool) {
        let mut known = self.lock();
        known.retain(is_registered);
        metrics::gauge!("tc_upstream_limits").set(known.limited() as f64);
    }

    /// Records limits received from another instance.
    pub(super) fn receive<'a>(&self, updates: impl IntoIterator<Item = &'a wire::UpstreamLimit>) {
        let mut updates = updates.into_iter().filter_map(limit_from_wire).peekable();
        if updates.peek().is_none() {
            return;
        }
        let now = MonoTime::now();
        let mut known = self.lock();
        for update in updates {
            let at = now.before(update.age);
            if let Some(change) = known.record(&update.upstream, update.limit, at) {
                log_change(&known, &update.upstream, change, "instance");
            }
        }
    }

    /// Returns the limits to add to the next datagram.
    pub(super) fn to_gossip(&self) -> Vec<wire::UpstreamLimit> {
        let updates = self
            .lock()
            .to_gossip(MonoTime::now(), MAX_LIMITS_PER_DATAGRAM);
        updates.iter().map(limit_to_wire).collect()
    }

    /// Returns the limits to add to a report to a home.
    pub(super) fn to_report(&self) -> Vec<wire::UpstreamLimit> {
        let now = MonoTime::now();
        let updates = self
            .lock()
            .recent(now, MAX_REPORTED_AGE, MAX_LIMITS_PER_REPORT);
        updates.iter().map(limit_to_wire).collect()
    }

    /// Returns the limits to add to an engine request, so that a home that has just started knows them too.
    pub(super) fn to_engine_request(&self) -> Vec<wire::UpstreamLimit> {
        let updates = self.lock().active(MonoTime::now(), MAX_LIMITS_PER_REQUEST);
        updates.iter().map(limit_to_wire).collect()
    }

    /// Returns the limit to add to the reply to an engine request that selected this engine.
    pub(super) fn for_engine(&self, upstream: &UpstreamId) -> Option<wire::UpstreamLimit> {
        let update = self.lock().update_of(MonoTime::now(), upstream);
        update.as_ref().map(limit_to_wire)
    }

    fn lock(&self) -> MutexGuard<'_, KnownLimits> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_change(known: &KnownLimits, upstream: &UpstreamId, change: LimitChange, source: &str) {
    metrics::gauge!("tc_upstream_limits").set(known.limited() as f64);
    log::info!(upstream = upstream.as_str(), source = source, per_s = change.after.map(RateLimit::per_s), before_per_s = change.before.map(RateLimit::per_s); "rate limit of an upstream changed");
}

fn limit_to_wire(update: &RateLimitUpdate) -> wire::UpstreamLimit {
    wire::UpstreamLimit {
        upstream: update.upstream.to_string(),
        per_s: update.limit.map(RateLimit::per_s),
        age_ms: convert::millis(update.age),
    }
}

/// Returns `None` if the rate is invalid.
fn limit_from_wire(update: &wire::UpstreamLimit) -> Option<RateLimitUpdate> {
    let limit = match update.per_s {
        Some(per_s) => Some(RateLimit::new(per_s)?),
        None => None,
    };
    Some(RateLimitUpdate {
        upstream: update.upstream.as_str().into(),
        limit,
        age: convert::from_millis(update.age_ms),
    })
}
