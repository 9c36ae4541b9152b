//! Paces sends at a rate limit.

use std::time::Duration;

use tc_protocol::{MonoTime, routing::RateLimit};

use crate::limit::TokenBucket;

/// Minimum send rate, even if the limit is lower: only an answer to a send can tell that the limit was lifted.
const MIN_PER_S: f64 = 0.25;

/// Paces one instance's sends to one upstream.
///
/// Starts without tokens, because the instance that paced the sends before may just have used the limit up.
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
    /// Creates a pacer for `per_s` sends per second.
    #[must_use]
    pub fn new(now: MonoTime, per_s: f64) -> Self {
        Self {
            per_s,
            tokens: TokenBucket::empty(now),
        }
    }

    /// Applies a changed limit to an optional pacer: a new pacer starts without tokens, an existing one keeps its
    /// tokens.
    pub(crate) fn update_limit(pacer: &mut Option<Self>, now: MonoTime, limit: Option<RateLimit>) {
        match (pacer.as_mut(), limit) {
            (_, None) => *pacer = None,
            (None, Some(limit)) => *pacer = Some(Self::new(now, paced_rate(limit))),
            (Some(pacer), Some(limit)) => pacer.set_rate(now, paced_rate(limit)),
        }
    }

    /// Returns the rate in sends per second.
    #[must_use]
    pub const fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Changes the rate and keeps the accumulated tokens.
    pub fn set_rate(&mut self, now: MonoTime, per_s: f64) {
        self.tokens.refill(now, self.per_s);
        self.per_s = per_s;
    }

    /// Returns true if the rate allows a send now.
    #[must_use]
    pub fn may_send(&self, now: MonoTime) -> bool {
        self.wait(now).is_zero()
    }

    /// Returns the time until the rate allows a send.
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

/// Returns the send rate for a limit.
pub(super) fn paced_rate(limit: RateLimit) -> f64 {
    limit.per_s().max(MIN_PER_S)
}
