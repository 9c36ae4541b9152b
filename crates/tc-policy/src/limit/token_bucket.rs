//! A token bucket whose rate may change.

use std::time::Duration;

use tc_protocol::MonoTime;

/// TokenBucket that may be saved up, in seconds of the rate. Short, so that the sum over entries stays near the limit.
const BURST_S: f64 = 0.1;
/// Longest wait told when no token is to come.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Least number of tokens that can be saved up, so that a low rate ever reaches one start.
const LEAST_BURST: f64 = 1.0;

/// TokenBucket that come in at a rate; may go below zero, which later ones pay back.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    level: f64,
    at: Option<MonoTime>,
}

impl TokenBucket {
    /// No tokens yet.
    pub(crate) const fn empty(now: MonoTime) -> Self {
        Self {
            level: 0.0,
            at: Some(now),
        }
    }

    /// Most tokens that can be saved up at a rate.
    pub(crate) fn burst(per_s: f64) -> f64 {
        (per_s * BURST_S).max(LEAST_BURST)
    }

    /// Adds what came in since the last call.
    pub(crate) fn refill(&mut self, now: MonoTime, per_s: f64) {
        self.level = match self.at {
            None => per_s * BURST_S,
            Some(at) => {
                let came_in = now.since(at).as_secs_f64() * per_s;
                (self.level + came_in).min(Self::burst(per_s))
            }
        };
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
    }

    /// How long until `needed` tokens are there; `None` when they are.
    pub(crate) fn wait_for(&self, needed: f64, per_s: f64) -> Option<Duration> {
        // Refills add rounding errors; without the tolerance, a wait of exactly the time told could fall short.
        let missing = needed - self.level - 1e-9;
        if missing <= 0.0 {
            return None;
        }
        let seconds = missing / per_s.max(f64::MIN_POSITIVE);
        Some(Duration::from_secs_f64(
            seconds.min(LONGEST_WAIT.as_secs_f64()),
        ))
    }

    /// Takes `used` tokens, below zero if need be. A negative number gives back.
    pub(crate) fn take(&mut self, used: f64) {
        self.level -= used;
    }
}
