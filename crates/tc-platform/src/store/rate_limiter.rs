//! Token bucket that bounds this instance's calls to the store.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use crate::StoreError;

/// Seconds' worth of calls that may be sent at once after a quiet time.
const BURST_S: f64 = 1.0;

/// A token bucket with reservations: a call that finds it empty waits for its turn, in order.
pub(crate) struct RateLimiter {
    interval: Duration,
    burst: Duration,
    /// When the bucket will have given out all reserved tokens at the steady rate.
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

    /// Waits for so many tokens together.
    ///
    /// Fails with [`StoreError::RateLimited`] at once when the turn would come only after `longest`.
    ///
    /// Turns that had to be waited for are jittered: instances with the same rate would otherwise keep step, and
    /// two that write the same object would meet there at every turn, seen as claims that conflict many times.
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
