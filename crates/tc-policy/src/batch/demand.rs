//! How much work comes that is to be done in time.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Time over which work is averaged. Bursts last seconds; a call lasts a third of one.
const MEMORY: Duration = Duration::from_secs(1);

/// A decaying sum of work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    sum_s: f64,
    at: MonoTime,
}

impl Demand {
    /// Adds work, in seconds of one upstream.
    pub(super) fn add(&mut self, now: MonoTime, work: f64) {
        self.sum_s = self.decayed(now) + work;
        self.at = now;
    }

    /// Seconds of work that come in a second.
    pub(super) fn per_second(&self, now: MonoTime) -> f64 {
        self.decayed(now) / MEMORY.as_secs_f64()
    }

    fn decayed(&self, now: MonoTime) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        self.sum_s * (-elapsed).exp()
    }
}
