//! One workspace sends ten times its share while the others send what they always do.

use std::time::Duration;

use super::{
    Scenario,
    settings::{Settings, of_workspace, part, percent, within},
};
use crate::{
    error::BenchError,
    judge::CallRecord,
    load::{Flow, What, steady_flow},
    measure::{RunReport, answered, attainment, ratio},
    world::{Shape, Timing, World, standard_spec},
};

const BURSTING: &str = "large-a";
const SMALL: [&str; 3] = ["small-a", "small-b", "small-c"];
/// Engines hold 200 calls a second in all, so a fifth of it is each workspace's share.
const SHARE_PER_S: f64 = 40.0;
const BURST_FACTOR: f64 = 10.0;
const SMALL_PER_S: f64 = 14.0;
const LARGE_PER_S: f64 = 36.0;
const DEADLINE_MS: u64 = 800;
/// Most the small workspaces' 99th percentile may grow.
const MAX_P99_RATIO: f64 = 1.25;
const MIN_ATTAINMENT: f64 = 0.99;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "burst",
    about: "one workspace sends ten times its share; the others notice nothing",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(18.0);
    let half = part(length, 0.5);
    let shape = Shape {
        engines: 4,
        engine_slots: 2,
        engine: Timing::micros(20_000, 1_000),
        answer_tokens: 20,
        large_weight: 1,
        ..settings.shape()
    };
    let mut world = World::start(standard_spec(&shape)?).await?;
    let run = world
        .run_quiet("burst", settings.seed, flows(half, length))
        .await;
    let mut report = run.report(BURSTING);
    report.claim_clean();
    let alone = small_p99(&run.records, Duration::ZERO, half);
    let beside = small_p99(&run.records, half, length);
    report.claim(
        "the small workspaces' p99 grows to at most 1.25 times",
        format!(
            "{:.2} times ({alone:.0} ms alone, {beside:.0} ms beside)",
            ratio(beside, alone)
        ),
        ratio(beside, alone) <= MAX_P99_RATIO,
    );
    for name in SMALL {
        let attained = attainment(of_workspace(within(&run.records, half, length), name));
        report.claim(
            &format!("{name} attains at least 99 % beside the burst"),
            percent(attained),
            attained >= MIN_ATTAINMENT,
        );
    }
    Ok(report)
}

fn flows(half: Duration, length: Duration) -> Vec<Flow> {
    let answer = || What::Pipeline("answer".into());
    let mut flows: Vec<Flow> = SMALL
        .iter()
        .map(|name| steady_flow(name, answer(), SMALL_PER_S, length))
        .collect();
    flows.push(steady_flow("large-b", answer(), LARGE_PER_S, length));
    flows.push(
        Flow::new(BURSTING, answer())
            .rate(Duration::ZERO, half, LARGE_PER_S)
            .rate(half, length, SHARE_PER_S * BURST_FACTOR),
    );
    flows
        .into_iter()
        .map(|f| f.timeout_ms(DEADLINE_MS))
        .collect()
}

fn small_p99(records: &[CallRecord], from: Duration, to: Duration) -> f64 {
    let small = within(records, from, to).filter(|r| SMALL.contains(&r.workspace.as_str()));
    answered(small).quantile_ms(0.99)
}
