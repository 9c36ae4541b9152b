//! One request crashes every engine that runs it, and its caller sends it again and again.

use std::{collections::BTreeSet, time::Duration};

use super::{
    Scenario,
    settings::{Settings, percent},
};
use crate::{
    error::BenchError,
    judge::{Ended, SeenCall, Told},
    load::{Flow, What, steady_flow},
    measure::{RunReport, attainment},
    world::{World, standard_spec},
};

/// Passes through the pools and crashes the engine.
const MARKER: &str = "#CRASH-UPSTREAM@generate";
const CRASHER: &str = "small-c";
const RESENDS_PER_S: f64 = 4.0;
const RESTART_AFTER: Duration = Duration::from_secs(1);
const MAX_CRASHES: usize = 2;
const MIN_ATTAINMENT: f64 = 0.99;
/// Calls that one crash ends do so within this time.
const SAME_CRASH_MS: f64 = 100.0;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "crashing-request",
    about: "one request crashes every engine that runs it, and is sent again and again",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(12.0);
    let mut world = World::start(standard_spec(&settings.shape())?).await?;
    for engine in world.service("engines") {
        engine.faults().set_restart_after(Some(RESTART_AFTER));
    }
    let run = world
        .run_quiet("crashing-request", settings.seed, flows(length))
        .await;
    let mut report = run.report("");
    report.claim_clean();
    let crashes = crashes(&run.calls);
    report.claim(
        "one or two engines are lost, no more",
        crashes.to_string(),
        (1..=MAX_CRASHES).contains(&crashes),
    );
    let innocents = || {
        run.records
            .iter()
            .filter(|r| r.workspace.as_str() != CRASHER)
    };
    let refused = innocents()
        .filter(|r| matches!(&r.told, Told::Failed { why, .. } if why == "quarantined"))
        .count();
    report.claim(
        "no innocent request is refused as a crasher",
        refused.to_string(),
        refused == 0,
    );
    let share = attainment(innocents());
    report.claim(
        "the others attain at least 99 %",
        percent(share),
        share >= MIN_ATTAINMENT,
    );
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    let answer = || What::Pipeline("answer".into());
    let crasher = Flow {
        marker: MARKER,
        same_input: true,
        ..steady_flow(CRASHER, answer(), RESENDS_PER_S, length)
    };
    vec![
        crasher,
        steady_flow("large-a", answer(), 60.0, length),
        steady_flow("large-b", What::Stream("timeline".into()), 20.0, length),
        steady_flow("small-a", answer(), 20.0, length),
        steady_flow("small-b", answer(), 20.0, length),
    ]
}

/// Crashes of engines: calls that ended by a crash, each engine's close ones taken together.
fn crashes(calls: &[SeenCall]) -> usize {
    calls
        .iter()
        .filter(|c| c.ended == Ended::Crashed)
        .map(|c| {
            (
                c.upstream.as_str(),
                (c.ended_ms / SAME_CRASH_MS).round() as i64,
            )
        })
        .collect::<BTreeSet<_>>()
        .len()
}
