//! Backoffs that upstreams request from this instance.

use std::{collections::HashMap, time::Duration};

use tc_protocol::{MonoTime, UpstreamId};

/// Longest backoff; longer requests are capped.
const MAX_BACKOFF: Duration = Duration::from_hours(24);
/// Maximum jitter as a fraction of the backoff; keeps instances from resuming simultaneously.
const JITTER_FRACTION: f64 = 0.1;
/// Upper bound on the jitter.
const MAX_JITTER: Duration = Duration::from_millis(500);

/// Active backoffs by upstream.
///
/// A backoff ends only when it expires. A successful answer does not end it, as the request may have been sent before
/// the backoff was requested.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::Backoffs;
/// use tc_protocol::MonoTime;
/// let now = MonoTime::from_millis(1_000);
/// let mut backoffs = Backoffs::default();
/// backoffs.extend(now, &"web-1".into(), Duration::from_secs(3), 0.0);
/// backoffs.extend(now, &"web-1".into(), Duration::from_secs(1), 0.0);
/// assert_eq!(backoffs.remaining(now, &"web-1".into()), Some(Duration::from_secs(3)));
/// assert_eq!(backoffs.remaining(now.after(Duration::from_secs(3)), &"web-1".into()), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    until: HashMap<UpstreamId, MonoTime>,
}

impl Backoffs {
    /// Records a backoff that starts now, unless a recorded one ends later; `random`, from 0 to 1, scales the jitter.
    pub fn extend(&mut self, now: MonoTime, id: &UpstreamId, backoff: Duration, random: f64) {
        let backoff = backoff.min(MAX_BACKOFF);
        let jitter = backoff.mul_f64(JITTER_FRACTION).min(MAX_JITTER);
        let until = now.after(backoff + jitter.mul_f64(random.clamp(0.0, 1.0)));
        let known = self.until.entry(id.clone()).or_default();
        *known = (*known).max(until);
    }

    /// Returns the remaining backoff of an upstream; `None` if there is none.
    #[must_use]
    pub fn remaining(&self, now: MonoTime, id: &UpstreamId) -> Option<Duration> {
        let remaining = self.until.get(id)?.since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the upstreams whose backoff has not expired.
    pub fn active(&self, now: MonoTime) -> impl Iterator<Item = &UpstreamId> {
        let active = self.until.iter().filter(move |(_, until)| **until > now);
        active.map(|(id, _)| id)
    }

    /// Removes expired backoffs.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.until.retain(|_, until| *until > now);
    }
}
