//! Token bucket that limits this instance's calls to the store.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use crate::StoreError;

/// Burst capacity after a quiet period, in seconds of the steady rate.
const BURST_S: f64 = 1.0;

/// A token bucket with reservations: calls that find it empty are queued in order.
pub(crate) struct RateLimiter {
    interval: Duration,
    burst: Duration,
    /// When all reserved tokens will have been issued at the steady rate.
    reserved_until: Mutex<Instant>,
}

impl RateLimiter {
    pub(crate) fn new(calls_per_s: f64) -> Self {
        let rate = calls_per_s.max(0.001);
        let interval = Duration::from_secs_f64(1.0 / rate);
        Self {
            interval,
            burst: Duration::from_secs_f64(BURST_S).max(interval),
            reserved_until: Mutex::new(Instant::now()),
        }
    }

    /// Waits for this many tokens together.
    ///
    /// Fails immediately with [`StoreError::RateLimited`] if the wait would exceed `max_wait`.
    ///
    /// Waits are jittered. Otherwise instances with the same rate would stay synchronized, and two
    /// that write the same object would collide at every call, which shows as claims that conflict
    /// repeatedly.
    pub(crate) async fn acquire(&self, tokens: u32, max_wait: Duration) -> Result<(), StoreError> {
        let wait = self.reserve(tokens, Instant::now(), max_wait)?;
        if !wait.is_zero() {
            let jitter = self
                .interval
                .mul_f64(f64::from(tokens) * rand::random::<f64>());
            tokio::time::sleep(wait + jitter).await;
        }
        Ok(())
    }

    fn reserve(
        &self,
        tokens: u32,
        now: Instant,
        max_wait: Duration,
    ) -> Result<Duration, StoreError> {
        let mut until = self
            .reserved_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let reserved = (*until).max(now) + self.interval * tokens;
        let wait = reserved.duration_since(now).saturating_sub(self.burst);
        if wait > max_wait {
            return Err(StoreError::RateLimited);
        }
        *until = reserved;
        Ok(wait)
    }
}
