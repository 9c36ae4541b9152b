//! A token bucket with a variable rate.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Burst size in seconds of the rate. Short, so that the sum over all entries stays near the limit.
const BURST_SECONDS: f64 = 0.1;
/// Longest wait returned, for instance when the rate is zero.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Smallest burst size. Without it, a low rate would never accumulate the one token a request needs.
const MIN_BURST: f64 = 1.0;

/// A token bucket. The level may go below zero; later refills pay the debt back.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    level: f64,
    at: Option<MonoTime>,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(crate) const fn empty(now: MonoTime) -> Self {
        Self {
            level: 0.0,
            at: Some(now),
        }
    }

    /// Returns the burst size at a rate.
    pub(crate) fn burst(per_s: f64) -> f64 {
        (per_s * BURST_SECONDS).max(MIN_BURST)
    }

    /// Adds the tokens that accrued since the last call.
    pub(crate) fn refill(&mut self, now: MonoTime, per_s: f64) {
        self.level = match self.at {
            None => per_s * BURST_SECONDS,
            Some(at) => {
                let added = now.since(at).as_secs_f64() * per_s;
                (self.level + added).min(Self::burst(per_s))
            }
        };
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
    }

    /// Returns how long until `needed` tokens are available, or `None` if they are now.
    pub(crate) fn wait_for(&self, needed: f64, per_s: f64) -> Option<Duration> {
        // Refills accumulate rounding errors; without the tolerance, waiting exactly the returned time could be too
        // short.
        let missing = needed - self.level - 1e-9;
        if missing <= 0.0 {
            return None;
        }
        let seconds = missing / per_s.max(f64::MIN_POSITIVE);
        Some(Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())))
    }

    /// Takes `used` tokens, going below zero if necessary. A negative number returns tokens.
    pub(crate) fn take(&mut self, used: f64) {
        self.level -= used;
    }
}
