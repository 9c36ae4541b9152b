//! Speed of an engine relative to its peers.

use std::time::Duration;

use tc_protocol::MonoTime;

use crate::slowdown::faded;

/// Half-life of what measured times say about an engine.
const HALF_LIFE: Duration = Duration::from_secs(40);
/// Weight of the assumption that an engine is as fast as its peers, in runs.
const EVEN_SPEED_WEIGHT: f64 = 3.0;
/// Maximum weight of the measured runs, so that a change of speed shows within about as many runs.
const MAX_WEIGHT: f64 = 16.0;
/// Minimum expected time of a run that is measured: in shorter runs, the decoding steps of other requests dominate.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(40);
/// Bounds of a measured ratio, so that an outlier cannot keep an engine out of use.
const BOUNDS: (f64, f64) = (0.2, 10.0);
/// Weight of the newest run in the mean slowdown: an engine may slow down for seconds, in which it reads about ten prompts.
const MEAN_WEIGHT: f64 = 0.2;
/// Bounds of the mean slowdown.
const MEAN_BOUNDS: (f64, f64) = (0.5, 10.0);

/// Moving mean of the measured times of an engine, each relative to the time expected there.
///
/// It serves engines that announce no momentary slowdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeanSlowdown(f64);

impl Default for MeanSlowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

impl MeanSlowdown {
    /// Records the time of a run that did not wait behind others.
    pub(super) fn record(&mut self, took: Duration, expected: Duration) {
        if expected < MIN_MEASURED_TIME {
            return;
        }
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        let times = self.0 + MEAN_WEIGHT * (ratio - self.0);
        self.0 = times.clamp(MEAN_BOUNDS.0, MEAN_BOUNDS.1);
    }

    /// Returns the expected time as a multiple of the usual time; 2 is half as fast.
    pub(super) const fn times(self) -> f64 {
        self.0
    }
}

/// Mean logarithm of the measured times of an engine, each relative to its usual time on the engines of the service.
///
/// Machines are slow for moments, which a single run meets. A run therefore counts only as far as the one before it
/// deviates in the same direction.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Speed {
    log_ratio: f64,
    /// Logarithm of the last ratio.
    last_sample: f64,
    weight: f64,
    updated: MonoTime,
}

impl Speed {
    fn weight(&self, now: MonoTime) -> f64 {
        self.weight * faded(now.since(self.updated), HALF_LIFE)
    }

    /// Records the time of a run that did not wait behind others. A run on a loaded engine weighs less, as its time shows
    /// the load as well; `load_factor` is its time as a multiple of that on an idle engine.
    pub(super) fn record(
        &mut self,
        now: MonoTime,
        took: Duration,
        usual: Duration,
        load_factor: f64,
    ) {
        if usual < MIN_MEASURED_TIME {
            return;
        }
        let ratio = took.as_secs_f64() / usual.as_secs_f64();
        let sample = ratio.clamp(BOUNDS.0, BOUNDS.1).ln();
        let last = std::mem::replace(&mut self.last_sample, sample);
        // Both runs deviate at least this much; the mean itself if they deviate in different directions.
        let confirmed = self.log_ratio.clamp(sample.min(last), sample.max(last));
        let weight = load_factor.recip();
        self.weight = (self.weight(now) + weight).min(MAX_WEIGHT);
        self.log_ratio += (confirmed - self.log_ratio) * weight / self.weight;
        self.updated = now;
    }

    /// Returns the expected time as a multiple of the usual time; 2 is half as fast.
    pub(super) fn slowdown(&self, now: MonoTime) -> f64 {
        if self.weight <= 0.0 {
            return 1.0;
        }
        let weight = self.weight(now);
        (self.log_ratio * weight / (weight + EVEN_SPEED_WEIGHT)).exp()
    }
}
