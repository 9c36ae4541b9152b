//! Engines break the connections of streams after a few events.

use std::time::Duration;

use super::{
    Scenario,
    settings::{Settings, part, percent, sleep_until},
};
use crate::{
    error::BenchError,
    load::{Flow, What, steady_flow},
    measure::{RunReport, attainment},
    world::{World, standard_spec},
};

const EVENTS_BEFORE_BREAK: u64 = 7;
const MIN_ATTAINMENT: f64 = 0.99;
const PER_S: [(&str, f64); 5] = [
    ("large-a", 20.0),
    ("large-b", 20.0),
    ("small-a", 6.0),
    ("small-b", 6.0),
    ("small-c", 6.0),
];

pub(super) const SCENARIO: Scenario = Scenario {
    name: "broken-streams",
    about: "half of the engines break every stream's connection after seven events",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(10.0);
    let break_at = part(length, 0.2);
    let mut world = World::start(standard_spec(&settings.shape())?).await?;
    let run = world
        .run(
            "broken-streams",
            settings.seed,
            flows(length),
            &[],
            async |world, start| {
                sleep_until(start, break_at).await;
                for engine in world.service("engines").iter().step_by(2) {
                    engine.faults().break_streams_after(EVENTS_BEFORE_BREAK);
                }
            },
        )
        .await;
    let mut report = run.report("");
    report.claim_clean();
    let resumes: u32 = world.recorder.calls().iter().map(|c| c.resumes).sum();
    report.claim(
        "broken streams were resumed at their engine",
        format!("{resumes} times"),
        resumes > 0,
    );
    let streams = attainment(
        run.records
            .iter()
            .filter(|r| r.target.starts_with("stream/")),
    );
    report.claim(
        "streams attain at least 99 % though connections break",
        percent(streams),
        streams >= MIN_ATTAINMENT,
    );
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    PER_S
        .iter()
        .map(|(name, rate)| steady_flow(name, What::Stream("timeline".into()), *rate, length))
        .collect()
}
