//! A workspace with a fleet-wide limit sends three times as much, to all instances.

use std::time::Duration;

use tc_protocol::Limits;

use super::{
    Scenario,
    settings::{Settings, of_workspace, part, percent, within},
};
use crate::{
    error::BenchError,
    judge::{CallRecord, Told},
    load::{Flow, What, steady_flow},
    measure::{RunReport, attainment},
    world::{Shape, World, standard_spec},
};

const LIMITED: &str = "large-a";
const LIMIT_PER_S: f64 = 60.0;
const OFFERED_PER_S: f64 = 180.0;
/// Answered rate / limit that is allowed, once shares have settled.
const ALLOWED: std::ops::RangeInclusive<f64> = 0.85..=1.1;
const MIN_ATTAINMENT: f64 = 0.99;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "limits",
    about: "a workspace sends three times its fleet-wide rate limit, spread over all instances",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(12.0);
    let shape = Shape {
        limits: Limits {
            requests_per_s: Some(LIMIT_PER_S),
            ..Limits::default()
        },
        ..settings.shape()
    };
    let mut world = World::start(standard_spec(&shape)?).await?;
    let run = world
        .run_quiet("limits", settings.seed, flows(length))
        .await;
    let mut report = run.report(LIMITED);
    report.claim_clean();
    let settled = part(length, 0.3);
    let limited = of_workspace(within(&run.records, settled, length), LIMITED);
    let answered = limited.filter(|r| r.met()).count() as f64;
    let rate = answered / length.saturating_sub(settled).as_secs_f64();
    report.claim(
        "the limited workspace gets its limit, fleet-wide",
        format!("{rate:.1} of {LIMIT_PER_S} requests/s"),
        ALLOWED.contains(&(rate / LIMIT_PER_S)),
    );
    let refused_otherwise = of_workspace(run.records.iter(), LIMITED)
        .filter(|r| !is_limit_refusal(r) && !r.met())
        .count();
    report.claim(
        "what is not answered is refused with 429 and \"not run\"",
        format!("{refused_otherwise} ended otherwise"),
        refused_otherwise == 0,
    );
    let others = attainment(
        run.records
            .iter()
            .filter(|r| r.workspace.as_str() != LIMITED),
    );
    report.claim(
        "the other workspaces attain at least 99 %",
        percent(others),
        others >= MIN_ATTAINMENT,
    );
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    let answer = || What::Pipeline("answer".into());
    vec![
        steady_flow(LIMITED, answer(), OFFERED_PER_S, length),
        steady_flow("large-b", answer(), 40.0, length),
        steady_flow("small-a", answer(), 15.0, length),
        steady_flow("small-b", answer(), 15.0, length),
    ]
}

fn is_limit_refusal(record: &CallRecord) -> bool {
    matches!(
        record.told,
        Told::Failed {
            status: 429,
            run_state: Some(tc_protocol::RunState::NotRun),
            ..
        }
    )
}
