//! Requests of all kinds by all workspaces at a moderate rate; nothing fails.

use super::{
    Scenario,
    settings::{Settings, percent},
};
use crate::{
    error::BenchError,
    measure::RunReport,
    world::{World, standard_flows, standard_spec},
};

/// Least attainment of a fleet with room to spare.
const MIN_ATTAINMENT: f64 = 0.99;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "steady",
    about: "all kinds of requests at a moderate rate; nothing fails",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(10.0);
    let mut world = World::start(standard_spec(&settings.shape())?).await?;
    let run = world
        .run_quiet("steady", settings.seed, standard_flows(length, 1.0))
        .await;
    let mut report = run.report("");
    report.claim_clean();
    report.claim(
        "attainment of at least 99 %",
        percent(report.attainment),
        report.attainment >= MIN_ATTAINMENT,
    );
    Ok(report)
}
