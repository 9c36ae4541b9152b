//! One engine becomes ten times slower.

use std::time::Duration;

use super::{
    Scenario,
    settings::{Settings, ms, part, percent, sleep_until},
};
use crate::{
    error::BenchError,
    load::{Flow, What, steady_flow},
    measure::{RunReport, attainment, recovery_ms},
    world::{World, standard_spec},
};

const SLOW_FACTOR: f64 = 10.0;
const DEADLINE_MS: u64 = 400;
const MIN_ATTAINMENT: f64 = 0.99;
const MAX_EXTRA: f64 = 0.03;
const PER_S: [(&str, f64); 5] = [
    ("large-a", 60.0),
    ("large-b", 60.0),
    ("small-a", 20.0),
    ("small-b", 20.0),
    ("small-c", 20.0),
];

pub(super) const SCENARIO: Scenario = Scenario {
    name: "straggler",
    about: "one engine of eight becomes ten times slower",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(14.0);
    let slow_at = part(length, 0.3);
    let mut world = World::start(standard_spec(&settings.shape())?).await?;
    let run = world
        .run(
            "straggler",
            settings.seed,
            flows(length),
            &[],
            async |world, start| {
                sleep_until(start, slow_at).await;
                world.service("engines")[0].faults().set_slow(SLOW_FACTOR);
            },
        )
        .await;
    let mut report = run.report("");
    report.recovery_ms = recovery_ms(&run.records, ms(slow_at), ms(length));
    report.claim_clean();
    let after = attainment(run.records.iter().filter(|r| r.due_ms >= ms(slow_at)));
    report.claim(
        "attainment of at least 99 % beside the slow engine",
        percent(after),
        after >= MIN_ATTAINMENT,
    );
    report.claim(
        "extra calls of at most 3 %",
        percent(report.extra_calls_ratio),
        report.extra_calls_ratio <= MAX_EXTRA,
    );
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    PER_S
        .iter()
        .map(|(name, rate)| {
            steady_flow(name, What::Pipeline("answer".into()), *rate, length)
                .timeout_ms(DEADLINE_MS)
        })
        .collect()
}
