//! Rate limits that upstreams announce.

use std::time::Duration;

use crate::UpstreamId;

/// Upper bound of rates. Higher ones are no limit in practice; the cap keeps arithmetic on them finite.
const MAX_PER_S: f64 = 1e6;

/// Requests per second that an upstream accepts from all instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Creates a rate limit; returns `None` for negative and non-finite rates.
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

/// The rate limit that a response of an upstream announces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// The response announces no limit.
    #[default]
    None,
    /// The response announces this limit.
    PerSecond(RateLimit),
    /// The response announces a limit that cannot be parsed; earlier announcements stay in effect.
    Unreadable,
}

/// Update about the rate limit of an upstream, sent between instances.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimitUpdate {
    /// Upstream the limit applies to.
    pub upstream: UpstreamId,
    /// Current limit; `None` if the upstream no longer announces one.
    pub limit: Option<RateLimit>,
    /// Time since the response with this announcement.
    pub age: Duration,
}
