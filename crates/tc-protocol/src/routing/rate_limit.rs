//! Request rates that upstreams announce.

use std::time::Duration;

use crate::UpstreamId;

/// Rates above this are no limit in practice; the cap keeps arithmetic on them finite.
const MAX_PER_S: f64 = 1e6;

/// Requests per second that an upstream takes from all instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Returns `None` for negative and non-finite rates.
    ///
    /// ```
    /// use tc_protocol::routing::RateLimit;
    /// assert_eq!(RateLimit::new(1.4).map(RateLimit::per_s), Some(1.4));
    /// assert_eq!(RateLimit::new(1e300).map(RateLimit::per_s), Some(1e6));
    /// assert_eq!(RateLimit::new(-1.0), None);
    /// assert_eq!(RateLimit::new(f64::NAN), None);
    /// ```
    #[must_use]
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then(|| Self(per_s.min(MAX_PER_S)))
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.0
    }
}

/// The rate limit that one answer of an upstream announces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// The answer announces no limit.
    #[default]
    None,
    /// The answer announces this limit.
    PerSecond(RateLimit),
    /// The answer announces a limit that cannot be read; earlier announcements stand.
    Unreadable,
}

/// What one instance tells another about an upstream's rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimitUpdate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its limit; `None` after it announced none any more.
    pub limit: Option<RateLimit>,
    /// Time since the answer that said so.
    pub age: Duration,
}
