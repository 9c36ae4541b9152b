//! Adaptive concurrency limit of an upstream, based on the gradient of its service time.

use std::time::Duration;

use tc_protocol::{Cost, Outcome, Release};

/// Ratio of the service time to the unloaded service time up to which the limit may grow. In batching upstreams each
/// call slows down as load grows while total throughput still rises; only beyond this ratio is the upstream
/// saturated.
const SATURATION_FACTOR: f64 = 3.0;
/// Smallest factor by which one step may reduce the limit.
const MIN_DECREASE_FACTOR: f64 = 0.5;
/// Minimum number of measured calls between two steps.
const MIN_SAMPLES: u32 = 4;
/// Weight per step with which the baseline follows a rise of the service time.
const BASELINE_RISE: f64 = 0.02;
/// Weight per step with which the baseline follows a fall of the service time.
const BASELINE_FALL: f64 = 0.5;

/// The limit on concurrent calls, at least 1.
#[derive(Debug)]
pub(super) struct Limiter {
    limit: f64,
    /// Unloaded service time per unit of work, in milliseconds.
    baseline: Option<f64>,
    sum_ms: f64,
    sum_work: f64,
    samples: u32,
    peak_in_flight: u32,
}

impl Limiter {
    /// Creates a limiter that starts at all slots, the capacity that the upstream declares. Only measurements lower it.
    pub(super) const fn new(slots: u32) -> Self {
        Self {
            limit: if slots == 0 { 1.0 } else { slots as f64 },
            baseline: None,
            sum_ms: 0.0,
            sum_work: 0.0,
            samples: 0,
            peak_in_flight: 0,
        }
    }

    /// Returns the limit, capped at the slots.
    pub(super) fn limit(&self, slots: u32) -> u32 {
        (self.limit as u32).min(slots).max(1)
    }

    /// Applies a changed number of slots. If the limit was at the old number, added slots are used immediately.
    pub(super) fn set_slots(&mut self, old: u32, new: u32) {
        if new > old && self.limit >= f64::from(old) {
            self.limit = f64::from(new);
        }
        self.limit = self.limit.min(f64::from(new)).max(1.0);
    }

    /// Records a finished call; `in_flight` counts the calls that were running, including this one.
    pub(super) fn record(
        &mut self,
        release: &Release,
        estimate: &Cost,
        in_flight: u32,
        slots: u32,
    ) {
        if release.outcome != Outcome::Answered {
            return;
        }
        self.sum_ms += millis(release.took);
        self.sum_work += work(&release.cost, estimate);
        self.samples += 1;
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
        if self.samples >= MIN_SAMPLES.max(2 * self.limit as u32) {
            self.step(slots);
        }
    }

    fn step(&mut self, slots: u32) {
        let recent = self.sum_ms / self.sum_work.max(f64::MIN_POSITIVE);
        let baseline = self.baseline.unwrap_or(recent);
        let weight = if recent < baseline {
            BASELINE_FALL
        } else {
            BASELINE_RISE
        };
        let baseline = baseline + (recent - baseline) * weight;
        self.baseline = Some(baseline);
        let gradient = SATURATION_FACTOR * baseline / recent.max(f64::MIN_POSITIVE);
        if gradient < 1.0 {
            self.lower(gradient.max(MIN_DECREASE_FACTOR));
        } else if f64::from(self.peak_in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + (self.limit / 4.0).max(1.0)).min(f64::from(slots.max(1)));
        }
        self.sum_ms = 0.0;
        self.sum_work = 0.0;
        self.samples = 0;
        self.peak_in_flight = 0;
    }

    /// Multiplies the limit by `factor`.
    pub(super) fn lower(&mut self, factor: f64) {
        self.limit = (self.limit * factor).max(1.0);
    }

    /// Restarts from one concurrent call.
    pub(super) const fn restart_from_one(&mut self) {
        self.limit = 1.0;
        self.baseline = None;
    }
}

/// Returns the amount of work to which a call's service time should be proportional: its cost units if tokens are
/// counted, otherwise the estimated service time.
///
/// If every call counted as one unit, long calls of one workspace would look like saturation.
fn work(cost: &Cost, estimate: &Cost) -> f64 {
    if cost.tokens_in > 0 || cost.tokens_out > 0 {
        return cost.units().max(1.0);
    }
    if estimate.busy_ms > 0.0 {
        return estimate.busy_ms;
    }
    1.0
}

pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
