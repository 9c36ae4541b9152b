//! All workspaces together send twice what the engines hold.

use std::time::Duration;

use super::{
    Scenario,
    settings::{Settings, ms, part, percent, within},
};
use crate::{
    error::BenchError,
    judge::{Ended, SeenCall},
    load::{Flow, What, steady_flow},
    measure::{RunReport, ratio},
    world::{Shape, Timing, World, standard_spec},
};

const ENGINES: usize = 4;
const SLOTS: u32 = 4;
/// Engines take 80 ms a call, so they hold about 200 a second in all; twice that is sent.
const OFFERED_PER_S: [(&str, f64); 5] = [
    ("large-a", 130.0),
    ("large-b", 130.0),
    ("small-a", 47.0),
    ("small-b", 47.0),
    ("small-c", 46.0),
];
const DEADLINE_MS: u64 = 800;
const MIN_GOODPUT: f64 = 0.9;
const MAX_WASTED: f64 = 0.05;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "overload",
    about: "twice what the engines hold; answers in deadline stay near capacity",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(14.0);
    let shape = Shape {
        engines: ENGINES,
        engine_slots: SLOTS,
        engine: Timing::micros(40_000, 1_000),
        answer_tokens: 41,
        ..settings.shape()
    };
    let mut world = World::start(standard_spec(&shape)?).await?;
    let run = world
        .run_quiet("overload", settings.seed, flows(length))
        .await;
    let mut report = run.report("");
    // Queues fill and estimators learn in the first seventh; the last answers need their deadline's time.
    let (from, to) = (part(length, 1.0 / 7.0), length);
    let met = within(&run.records, from, to).filter(|r| r.met()).count() as u64;
    let allowed = capacity_per_s(&run.calls) * to.saturating_sub(from).as_secs_f64();
    report.set_goodput(met, allowed);
    report.claim_clean();
    report.claim(
        "answers in deadline reach 90 % of capacity",
        format!("{} ({met} of {allowed:.0})", percent(report.goodput_ratio)),
        report.goodput_ratio >= MIN_GOODPUT,
    );
    report.claim(
        "at most 5 % of cost is wasted",
        percent(report.wasted_ratio),
        report.wasted_ratio <= MAX_WASTED,
    );
    let longest = run.records.iter().map(|r| r.took_ms).fold(0.0, f64::max);
    report.claim(
        "nobody waits longer than deadline and a second",
        format!("{longest:.0} ms"),
        longest <= DEADLINE_MS as f64 + ms(Duration::from_secs(1)),
    );
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    OFFERED_PER_S
        .iter()
        .map(|(name, rate)| {
            steady_flow(name, What::Pipeline("answer".into()), *rate, length)
                .timeout_ms(DEADLINE_MS)
        })
        .collect()
}

/// Calls a second that the engines hold: slots over the time an answered call held its slot, as measured.
fn capacity_per_s(calls: &[SeenCall]) -> f64 {
    let busy: Vec<f64> = calls
        .iter()
        .filter(|c| c.service == "engines" && c.ended == Ended::Answered)
        .map(|c| c.busy_ms / 1_000.0)
        .collect();
    let mean = ratio(busy.iter().sum(), busy.len() as f64);
    ratio(ENGINES as f64 * f64::from(SLOTS), mean)
}
