//! The upstream rate limits known to one instance.

use std::{collections::BTreeMap, time::Duration};

use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{RateLimit, RateLimitUpdate},
};

/// Time for which instances gossip that a limit was lifted.
const LIFTED_LIMIT_GOSSIP_TIME: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Known {
    limit: Option<RateLimit>,
    announced_at: MonoTime,
    gossiped_at: MonoTime,
}

/// A change of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before.
    pub before: Option<RateLimit>,
    /// The limit now.
    pub after: Option<RateLimit>,
}

/// The latest announcement of each upstream that has announced a limit.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::KnownLimits;
/// use tc_protocol::{MonoTime, routing::RateLimit};
/// let mut known = KnownLimits::default();
/// let now = MonoTime::from_millis(1_000);
/// let limit = RateLimit::new(2.0);
/// let change = known.record(&"engine-1".into(), limit, now).expect("it is new");
/// assert_eq!((change.before, change.after), (None, limit));
/// assert_eq!(known.get(&"engine-1".into()), limit);
/// known.record(&"engine-1".into(), None, now.after(Duration::from_secs(1)));
/// assert_eq!(known.get(&"engine-1".into()), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct KnownLimits {
    by_upstream: BTreeMap<UpstreamId, Known>,
    changes: u64,
}

impl KnownLimits {
    /// Records that an answer at `at` announced `limit`, or no limit. Returns the change if there is one.
    ///
    /// Announcements older than the recorded one are ignored.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        limit: Option<RateLimit>,
        at: MonoTime,
    ) -> Option<LimitChange> {
        let Some(known) = self.by_upstream.get_mut(upstream) else {
            limit?;
            let known = Known {
                limit,
                announced_at: at,
                gossiped_at: MonoTime::default(),
            };
            self.by_upstream.insert(upstream.clone(), known);
            self.changes += 1;
            return Some(LimitChange {
                before: None,
                after: limit,
            });
        };
        if at < known.announced_at {
            return None;
        }
        known.announced_at = at;
        let before = std::mem::replace(&mut known.limit, limit);
        if before == limit {
            return None;
        }
        known.gossiped_at = MonoTime::default();
        self.changes += 1;
        Some(LimitChange {
            before,
            after: limit,
        })
    }

    /// Returns the upstream's limit.
    #[must_use]
    pub fn get(&self, upstream: &UpstreamId) -> Option<RateLimit> {
        self.by_upstream.get(upstream)?.limit
    }

    /// Returns the number of upstreams with a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        let known = self.by_upstream.values();
        known.filter(|known| known.limit.is_some()).count()
    }

    /// Returns a counter that increases with each change.
    #[must_use]
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the upstream's announcement for other instances.
    #[must_use]
    pub fn update_of(&self, now: MonoTime, upstream: &UpstreamId) -> Option<RateLimitUpdate> {
        let known = self.by_upstream.get(upstream)?;
        Some(known.update(now, upstream))
    }

    /// Returns at most `max_count` announcements of the last `max_age`, newest first.
    #[must_use]
    pub fn recent(
        &self,
        now: MonoTime,
        max_age: Duration,
        max_count: usize,
    ) -> Vec<RateLimitUpdate> {
        self.newest(now, max_count, |known| {
            now.since(known.announced_at) < max_age
        })
    }

    /// Returns at most `max_count` active limits, newest first.
    #[must_use]
    pub fn active(&self, now: MonoTime, max_count: usize) -> Vec<RateLimitUpdate> {
        self.newest(now, max_count, |known| known.limit.is_some())
    }

    fn newest(
        &self,
        now: MonoTime,
        max_count: usize,
        is_wanted: impl Fn(&Known) -> bool,
    ) -> Vec<RateLimitUpdate> {
        let wanted = self
            .by_upstream
            .iter()
            .filter(|(_, known)| is_wanted(known));
        let mut wanted: Vec<(&UpstreamId, &Known)> = wanted.collect();
        wanted.sort_by_key(|(_, known)| std::cmp::Reverse(known.announced_at));
        wanted.truncate(max_count);
        let updates = wanted.into_iter();
        updates.map(|(id, known)| known.update(now, id)).collect()
    }

    /// Returns at most `max_count` announcements to gossip, least recently gossiped first.
    pub fn to_gossip(&mut self, now: MonoTime, max_count: usize) -> Vec<RateLimitUpdate> {
        let mut due: Vec<(&UpstreamId, &mut Known)> = self
            .by_upstream
            .iter_mut()
            .filter(|(_, known)| known.should_gossip(now))
            .collect();
        due.sort_by_key(|(_, known)| known.gossiped_at);
        due.truncate(max_count);
        let updates = due.into_iter();
        updates
            .map(|(id, known)| {
                known.gossiped_at = now;
                known.update(now, id)
            })
            .collect()
    }

    /// Drops upstreams that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.by_upstream.retain(|id, _| is_registered(id));
    }
}

impl Known {
    fn should_gossip(&self, now: MonoTime) -> bool {
        self.limit.is_some() || now.since(self.announced_at) < LIFTED_LIMIT_GOSSIP_TIME
    }

    fn update(&self, now: MonoTime, upstream: &UpstreamId) -> RateLimitUpdate {
        RateLimitUpdate {
            upstream: upstream.clone(),
            limit: self.limit,
            age: now.since(self.announced_at),
        }
    }
}
