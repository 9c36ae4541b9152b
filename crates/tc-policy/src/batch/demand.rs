//! Arrival rate of work that can be done on time.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Time constant of the average. Bursts last seconds, and a call takes a third of a second.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Exponentially decaying sum of work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    sum_s: f64,
    at: MonoTime,
}

impl Demand {
    /// Adds work, in seconds of one upstream's time.
    pub(super) fn add(&mut self, now: MonoTime, work: f64) {
        self.sum_s = self.decayed(now) + work;
        self.at = now;
    }

    /// Seconds of upstream time that arrive per second.
    pub(super) fn per_second(&self, now: MonoTime) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: MonoTime) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.sum_s * (-elapsed).exp()
    }
}
