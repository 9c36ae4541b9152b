//! A token bucket.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::sync::lock;

/// Lets through `per_s` calls a second, with a burst of a tenth of a second's worth but at least one.
pub(crate) struct TokenBucket {
    per_s: f64,
    burst: f64,
    level: Mutex<(f64, Instant)>,
}

impl TokenBucket {
    pub(crate) fn new(per_s: f64) -> Self {
        let burst = (per_s / 10.0).max(1.0);
        Self {
            per_s,
            burst,
            level: Mutex::new((burst, Instant::now())),
        }
    }

    /// Takes one token, or says after which time there will be one.
    pub(crate) fn take(&self) -> Result<(), Duration> {
        let now = Instant::now();
        let mut level = lock(&self.level);
        let (tokens, at) = *level;
        let tokens = (tokens + self.per_s * now.duration_since(at).as_secs_f64()).min(self.burst);
        if tokens < 1.0 {
            *level = (tokens, now);
            return Err(Duration::from_secs_f64((1.0 - tokens) / self.per_s));
        }
        *level = (tokens - 1.0, now);
        Ok(())
    }
}
