//! Settings of a scenario from the command line, and figures that scenarios have in common.

use std::time::{Duration, Instant};

use tc_protocol::WorkspaceName;

use crate::{
    judge::CallRecord,
    measure::attainment,
    world::{PolicyChoice, Shape},
};

/// Settings of a scenario from the command line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    /// Seed of the load.
    pub(crate) seed: u64,
    /// Policy the instances follow.
    pub(crate) policy: PolicyChoice,
    /// Duration of the load, in seconds; `None` for the scenario's own.
    pub(crate) seconds: Option<f64>,
    /// Number of instances; `None` for the scenario's own.
    pub(crate) instances: Option<usize>,
}

impl Settings {
    /// Returns the duration of the load.
    pub(super) fn length(&self, usual_s: f64) -> Duration {
        Duration::from_secs_f64(self.seconds.unwrap_or(usual_s))
    }

    /// The usual shape with the command line's changes.
    pub(super) fn shape(&self) -> Shape {
        let usual = Shape::default();
        Shape {
            instances: self.instances.unwrap_or(usual.instances),
            policy: self.policy,
            ..usual
        }
    }
}

/// Waits until `after` has passed since `start`.
pub(super) async fn sleep_until(start: Instant, after: Duration) {
    tokio::time::sleep_until((start + after).into()).await;
}

/// Milliseconds of a duration.
pub(super) fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Attainment of the requests due in a span of time.
pub(super) fn attainment_in(records: &[CallRecord], from: Duration, to: Duration) -> f64 {
    attainment(within(records, from, to))
}

/// The requests due in a span of time.
pub(super) fn within(
    records: &[CallRecord],
    from: Duration,
    to: Duration,
) -> impl Iterator<Item = &CallRecord> {
    let (from, to) = (ms(from), ms(to));
    records
        .iter()
        .filter(move |r| r.due_ms >= from && r.due_ms < to)
}

/// The requests of one workspace.
pub(super) fn of_workspace<'a>(
    records: impl Iterator<Item = &'a CallRecord>,
    workspace: &'static str,
) -> impl Iterator<Item = &'a CallRecord> {
    let workspace = WorkspaceName::from(workspace);
    records.filter(move |r| r.workspace == workspace)
}

/// A share in words.
pub(super) fn percent(share: f64) -> String {
    format!("{:.2} %", share * 100.0)
}

/// A share of the run's length.
pub(super) fn part(length: Duration, share: f64) -> Duration {
    length.mul_f64(share)
}
