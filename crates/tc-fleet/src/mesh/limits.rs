//! Rate limits that upstreams announce, as instances tell each other of them.

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

/// Limits in one datagram at most.
const LIMITS_PER_DATAGRAM: usize = 4;
/// Limits in one report to a home at most.
const LIMITS_PER_REPORT: usize = 16;
/// Limits in one ask for an engine at most.
const LIMITS_PER_ASK: usize = 32;
/// Announcements up to this age go into reports to homes. Longer than the gathering of reports.
const REPORTED_AGE: Duration = Duration::from_secs(1);

/// The rate limits known to this instance, from answers and from other instances.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    known: Mutex<KnownLimits>,
}

impl UpstreamLimits {
    /// Records what an answer of the upstream announced.
    pub fn observe(&self, upstream: &UpstreamId, announced: AnnouncedLimit) {
        let limit = match announced {
            AnnouncedLimit::None => None,
            AnnouncedLimit::PerSecond(limit) => {
                metrics::counter!("tc_upstream_limit_answers_total").increment(1);
                Some(limit)
            }
            AnnouncedLimit::Unreadable => {
                log::warn!(upstream = upstream.as_str(); "upstream limit unreadable");
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

    /// Returns a number that rises with each change of a limit.
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

    /// Takes up what another instance told.
    pub(super) fn receive<'a>(&self, news: impl IntoIterator<Item = &'a wire::UpstreamLimit>) {
        let mut news = news.into_iter().filter_map(limit_from_wire).peekable();
        if news.peek().is_none() {
            return;
        }
        let now = MonoTime::now();
        let mut known = self.lock();
        for news in news {
            let at = now.before(news.age);
            if let Some(change) = known.record(&news.upstream, news.limit, at) {
                log_change(&known, &news.upstream, change, "instance");
            }
        }
    }

    /// Returns limits for the next datagram.
    pub(super) fn to_gossip(&self) -> Vec<wire::UpstreamLimit> {
        let news = self.lock().to_gossip(MonoTime::now(), LIMITS_PER_DATAGRAM);
        news.iter().map(limit_to_wire).collect()
    }

    /// Returns limits for a report to a home.
    pub(super) fn to_report(&self) -> Vec<wire::UpstreamLimit> {
        let now = MonoTime::now();
        let news = self.lock().recent(now, REPORTED_AGE, LIMITS_PER_REPORT);
        news.iter().map(limit_to_wire).collect()
    }

    /// Returns limits for an ask, which the home goes by even if it has just started.
    pub(super) fn to_ask(&self) -> Vec<wire::UpstreamLimit> {
        let news = self.lock().active(MonoTime::now(), LIMITS_PER_ASK);
        news.iter().map(limit_to_wire).collect()
    }

    /// Returns the limit of an engine that an asker is to use.
    pub(super) fn to_asker(&self, upstream: &UpstreamId) -> Option<wire::UpstreamLimit> {
        let news = self.lock().update_of(MonoTime::now(), upstream);
        news.as_ref().map(limit_to_wire)
    }

    fn lock(&self) -> MutexGuard<'_, KnownLimits> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_change(known: &KnownLimits, upstream: &UpstreamId, change: LimitChange, source: &str) {
    metrics::gauge!("tc_upstream_limits").set(known.limited() as f64);
    log::info!(upstream = upstream.as_str(), source = source, per_s = change.after.map(RateLimit::per_s), before_per_s = change.before.map(RateLimit::per_s); "upstream limit changed");
}

fn limit_to_wire(news: &RateLimitUpdate) -> wire::UpstreamLimit {
    wire::UpstreamLimit {
        upstream: news.upstream.to_string(),
        per_s: news.limit.map(RateLimit::per_s),
        age_ms: convert::millis(news.age),
    }
}

/// Returns `None` for a rate that is none.
fn limit_from_wire(news: &wire::UpstreamLimit) -> Option<RateLimitUpdate> {
    let limit = match news.per_s {
        Some(per_s) => Some(RateLimit::new(per_s)?),
        None => None,
    };
    Some(RateLimitUpdate {
        upstream: news.upstream.as_str().into(),
        limit,
        age: convert::from_millis(news.age_ms),
    })
}
