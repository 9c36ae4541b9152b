//! Sends paced at a limit.

use std::time::Duration;

use tc_protocol::{MonoTime, routing::RateLimit};

use crate::limit::TokenBucket;

/// Least rate of sends to an upstream whose limit is lower still: only an answer can say that the limit is gone.
const LEAST_PER_S: f64 = 0.25;

/// Sends of one instance to one upstream, paced at a rate.
///
/// Begins without tokens: the upstream may just have had what it takes from an instance that paced its sends before.
///
/// ```
/// use tc_policy::SendPacer;
/// use tc_protocol::MonoTime;
/// let mut sends = SendPacer::new(MonoTime::from_millis(0), 1.0);
/// assert!(!sends.may_send(MonoTime::from_millis(500)));
/// assert!(sends.may_send(MonoTime::from_millis(1_000)));
/// sends.record(MonoTime::from_millis(1_000));
/// assert!(!sends.may_send(MonoTime::from_millis(1_500)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SendPacer {
    per_s: f64,
    tokens: TokenBucket,
}

impl SendPacer {
    /// Creates a pace of `per_s` sends per second.
    #[must_use]
    pub fn new(now: MonoTime, per_s: f64) -> Self {
        Self {
            per_s,
            tokens: TokenBucket::empty(now),
        }
    }

    /// Takes up a home's limit for an upstream: a new one begins without tokens, a changed one keeps them.
    pub(crate) fn update_limit(paced: &mut Option<Self>, now: MonoTime, limit: Option<RateLimit>) {
        match (paced.as_mut(), limit) {
            (_, None) => *paced = None,
            (None, Some(limit)) => *paced = Some(Self::new(now, paced_rate(limit))),
            (Some(paced), Some(limit)) => paced.set_rate(now, paced_rate(limit)),
        }
    }

    /// Returns the rate in sends per second.
    #[must_use]
    pub const fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Changes the rate; tokens that are there stay.
    pub fn set_rate(&mut self, now: MonoTime, per_s: f64) {
        self.tokens.refill(now, self.per_s);
        self.per_s = per_s;
    }

    /// Returns true if a send keeps to the pace.
    #[must_use]
    pub fn may_send(&self, now: MonoTime) -> bool {
        self.wait(now).is_zero()
    }

    /// Returns the time until a send keeps to the pace.
    #[must_use]
    pub fn wait(&self, now: MonoTime) -> Duration {
        let mut tokens = self.tokens;
        tokens.refill(now, self.per_s);
        tokens.wait_for(1.0, self.per_s).unwrap_or_default()
    }

    /// Records a send.
    pub fn record(&mut self, now: MonoTime) {
        self.tokens.refill(now, self.per_s);
        self.tokens.take(1.0);
    }
}

/// Returns the sends per second that keep to the limit.
pub(super) fn paced_rate(limit: RateLimit) -> f64 {
    limit.per_s().max(LEAST_PER_S)
}
