//! How many calls an upstream takes at once without slowing down: a limit by the gradient of service time.

use std::time::Duration;

use tc_protocol::{Cost, Outcome, Release};

/// Service time against the unloaded one, as a factor, up to which the limit may grow. Batching upstreams slow each
/// call as they fill up and still do more in all; only beyond this is it saturation.
const TOLERANCE: f64 = 3.0;
/// Least part of the limit kept by one step down.
const SMALLEST_STEP_DOWN: f64 = 0.5;
/// Fewest calls measured between two steps.
const FEWEST_SAMPLES: u32 = 4;
/// How fast the unloaded service time follows a lasting rise, per step.
const BASELINE_RISE: f64 = 0.02;
/// How fast it follows a fall, per step.
const BASELINE_FALL: f64 = 0.5;

/// The limit on calls at once, at least 1.
#[derive(Debug)]
pub(super) struct Limiter {
    limit: f64,
    /// Service time per unit of work when not loaded, in milliseconds.
    baseline: Option<f64>,
    sum_ms: f64,
    sum_work: f64,
    samples: u32,
    peak_in_flight: u32,
}

impl Limiter {
    /// Starts at all slots: they are what the upstream says it takes, and only a measurement says otherwise.
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

    /// Calls at once, within the slots.
    pub(super) fn limit(&self, slots: u32) -> u32 {
        (self.limit as u32).min(slots).max(1)
    }

    /// Follows changed slots; more slots are used at once.
    pub(super) fn set_slots(&mut self, old: u32, new: u32) {
        if new > old && self.limit >= f64::from(old) {
            self.limit = f64::from(new);
        }
        self.limit = self.limit.min(f64::from(new)).max(1.0);
    }

    /// Measures a call that ended while `in_flight` ran, itself included.
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
        if self.samples >= FEWEST_SAMPLES.max(2 * self.limit as u32) {
            self.step(slots);
        }
    }

    fn step(&mut self, slots: u32) {
        let recent = self.sum_ms / self.sum_work.max(f64::MIN_POSITIVE);
        let baseline = self.baseline.unwrap_or(recent);
        let follow = if recent < baseline {
            BASELINE_FALL
        } else {
            BASELINE_RISE
        };
        let baseline = baseline + (recent - baseline) * follow;
        self.baseline = Some(baseline);
        let gradient = TOLERANCE * baseline / recent.max(f64::MIN_POSITIVE);
        if gradient < 1.0 {
            self.lower(gradient.max(SMALLEST_STEP_DOWN));
        } else if f64::from(self.peak_in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + (self.limit / 4.0).max(1.0)).min(f64::from(slots.max(1)));
        }
        self.sum_ms = 0.0;
        self.sum_work = 0.0;
        self.samples = 0;
        self.peak_in_flight = 0;
    }

    /// Keeps only `part` of the limit.
    pub(super) fn lower(&mut self, part: f64) {
        self.limit = (self.limit * part).max(1.0);
    }

    /// Starts again from one call at once.
    pub(super) const fn restart_low(&mut self) {
        self.limit = 1.0;
        self.baseline = None;
    }
}

/// Work of a call that its time should be in proportion to: tokens where they are counted, else what was expected.
///
/// With every call counted as one, a workspace whose calls are long would look like saturation.
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
