//! What being part of the fleet costs each instance, at several fleet sizes under the same light load.

use std::{collections::BTreeMap, time::Duration};

use super::{Scenario, settings::Settings};
use crate::{
    error::BenchError,
    load::{Flow, What, steady_flow},
    measure::{ControlCost, RunReport, slope},
    world::{Shape, World, standard_spec},
};

/// Fleet sizes measured, unless the command line names a largest one.
const SIZES: [usize; 4] = [4, 8, 16, 32];
/// Load of the whole fleet; light, so that control shows beside it.
const PER_S: f64 = 20.0;
/// Time a fleet is left alone before it is measured.
const SETTLE: Duration = Duration::from_millis(800);
/// A slope this many times the cost at the smallest size, over the sizes measured, is not flat.
const FLAT_FACTOR: f64 = 4.0;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "control-cost",
    about: "bytes, processor time, memory and platform calls per instance at 4, 8, 16 and 32 instances",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let largest = settings.instances.unwrap_or(SIZES[SIZES.len() - 1]);
    let length = settings.length(12.0) / SIZES.len() as u32;
    let mut costs: Vec<(usize, ControlCost)> = Vec::new();
    let mut report = RunReport::default();
    for size in SIZES.into_iter().filter(|s| *s <= largest) {
        let shape = Shape {
            instances: size,
            ..settings.shape()
        };
        let mut world = World::start(standard_spec(&shape)?).await?;
        tokio::time::sleep(SETTLE).await;
        let run = world
            .run_quiet(
                &format!("control-cost-{size}"),
                settings.seed,
                flows(length),
            )
            .await;
        let figures = run.report("");
        costs.push((size, figures.control.clone()));
        report = RunReport {
            doubled: report.doubled + figures.doubled,
            lost: report.lost + figures.lost,
            mixed: report.mixed + figures.mixed,
            false_not_run: report.false_not_run + figures.false_not_run,
            ..figures
        };
    }
    report.slopes = slopes(&costs);
    report.control_by_instances = costs.into_iter().collect();
    report.claim_clean();
    claim_flat(&mut report);
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    vec![
        steady_flow(
            "large-a",
            What::Pipeline("answer".into()),
            PER_S / 2.0,
            length,
        ),
        steady_flow("small-a", What::Read("lookup".into()), PER_S / 2.0, length),
    ]
}

fn slopes(costs: &[(usize, ControlCost)]) -> BTreeMap<String, crate::measure::Slope> {
    let line = |pick: &dyn Fn(&ControlCost) -> f64| {
        let points: Vec<(f64, f64)> = costs.iter().map(|(n, c)| (*n as f64, pick(c))).collect();
        slope(&points)
    };
    BTreeMap::from([
        ("bytes_per_s".to_owned(), line(&|c| c.bytes_per_s)),
        ("cpu_percent".to_owned(), line(&|c| c.cpu_percent)),
        ("rss_mb".to_owned(), line(&|c| c.rss_mb)),
        (
            "platform_calls_per_s".to_owned(),
            line(&|c| c.platform_calls_per_s.values().sum()),
        ),
    ])
}

/// What an instance sends must not grow with the fleet as it would if everyone told everyone.
fn claim_flat(report: &mut RunReport) {
    let figures: Vec<(usize, f64)> = report
        .control_by_instances
        .iter()
        .map(|(n, c)| (*n, c.bytes_per_s))
        .collect();
    let (Some((fewest, lowest)), Some((most, highest))) = (figures.first(), figures.last()) else {
        return;
    };
    report.claim(
        "bytes a second per instance do not grow as fast as the fleet",
        format!("{lowest:.0} at {fewest}, {highest:.0} at {most} instances"),
        *highest > 0.0
            && *highest <= lowest.max(1.0) * FLAT_FACTOR.min(*most as f64 / *fewest as f64),
    );
}
