//! Usual time of a run on the engines of a service.

use std::time::Duration;

/// Time of a run before one was measured.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(300);
/// Weight of the newest run.
const WEIGHT: f64 = 0.05;

/// Moving mean of the time from the choice of an engine to the end of the run.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTime(Duration);

impl Default for RunTime {
    fn default() -> Self {
        Self(DEFAULT_RUN_TIME)
    }
}

impl RunTime {
    pub(super) const fn usual(self) -> Duration {
        self.0
    }

    pub(super) fn record(&mut self, took: Duration) {
        self.0 = self.0.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT);
    }
}
