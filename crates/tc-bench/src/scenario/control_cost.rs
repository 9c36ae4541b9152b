//! What being part of the fleet costs each instance, at several fleet sizes: first without requests, then under the
//! same light load, so that what requests cost can be told from what the fleet costs by itself.

use std::{collections::BTreeMap, time::Duration};

use super::{Scenario, settings::Settings};
use crate::{
    error::BenchError,
    load::{What, steady_flow},
    measure::{ControlCost, RequestCost, RunReport, Slope, slope},
    world::{Shape, World, standard_spec},
};

/// Fleet sizes measured, unless the command line names a largest one.
const SIZES: [usize; 4] = [4, 8, 16, 32];
/// Requests a second to the whole fleet at every size; each runs the four stages of the pipeline `answer`.
const PER_S: f64 = 60.0;
/// Time a fleet is left alone before it is measured: the news of a start rides on the gossip of the first seconds.
const SETTLE: Duration = Duration::from_secs(3);
/// A slope this many times the cost at the smallest size, over the sizes measured, is not flat.
const FLAT_FACTOR: f64 = 4.0;
/// Parts of the time for one size: without requests, and with them.
const PHASES: u32 = 2;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "control-cost",
    about: "bytes, processor time, memory and platform calls per instance at 4, 8, 16 and 32 instances, idle and per request",
    run: |settings| Box::pin(run(settings)),
};

/// The costs of one fleet size.
struct SizeCost {
    instances: usize,
    idle: ControlCost,
    loaded: ControlCost,
    per_request: RequestCost,
}

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let largest = settings.instances.unwrap_or(SIZES[SIZES.len() - 1]);
    let length = settings.length(16.0) / (SIZES.len() as u32 * PHASES);
    let mut costs: Vec<SizeCost> = Vec::new();
    let mut report = RunReport::default();
    for size in SIZES.into_iter().filter(|s| *s <= largest) {
        let (cost, figures) = measure(settings, size, length).await?;
        costs.push(cost);
        report = RunReport {
            doubled: report.doubled + figures.doubled,
            lost: report.lost + figures.lost,
            mixed: report.mixed + figures.mixed,
            false_not_run: report.false_not_run + figures.false_not_run,
            ..figures
        };
    }
    report.slopes = slopes(&costs);
    for cost in costs {
        let size = cost.instances;
        report.control_by_instances.insert(size, cost.loaded);
        report.idle_by_instances.insert(size, cost.idle);
        report
            .per_request_by_instances
            .insert(size, cost.per_request);
    }
    report.claim_clean();
    claim_flat(&mut report);
    Ok(report)
}

async fn measure(
    settings: Settings,
    instances: usize,
    length: Duration,
) -> Result<(SizeCost, RunReport), BenchError> {
    let shape = Shape {
        instances,
        ..settings.shape()
    };
    let mut world = World::start(standard_spec(&shape)?).await?;
    tokio::time::sleep(SETTLE).await;
    let idle = world.idle_cost(length).await;
    let flow = steady_flow("large-a", What::Pipeline("answer".into()), PER_S, length);
    let label = format!("control-cost-{instances}");
    let run = world.run_quiet(&label, settings.seed, vec![flow]).await;
    let report = run.report("");
    let sent_per_s = report.requests as f64 / run.measured_for.as_secs_f64();
    let loaded = report.control.clone();
    let per_request = RequestCost::between(&idle, &loaded, instances, sent_per_s);
    let cost = SizeCost {
        instances,
        idle,
        loaded,
        per_request,
    };
    Ok((cost, report))
}

fn slopes(costs: &[SizeCost]) -> BTreeMap<String, Slope> {
    let line = |name: &str, pick: &dyn Fn(&SizeCost) -> f64| {
        let points: Vec<(f64, f64)> = costs
            .iter()
            .map(|c| (c.instances as f64, pick(c)))
            .collect();
        (name.to_owned(), slope(&points))
    };
    BTreeMap::from([
        line("bytes_per_s", &|c| c.loaded.bytes_per_s),
        line("cpu_percent", &|c| c.loaded.cpu_percent),
        line("rss_mb", &|c| c.loaded.rss_mb),
        line("platform_calls_per_s", &|c| {
            c.loaded.platform_calls_per_s.values().sum()
        }),
        line("idle_bytes_per_s", &|c| c.idle.bytes_per_s),
        line("idle_received_bytes_per_s", &|c| {
            c.idle.received_bytes_per_s
        }),
        line("idle_cpu_percent", &|c| c.idle.cpu_percent),
        line("idle_rss_mb", &|c| c.idle.rss_mb),
        line("idle_platform_calls_per_s", &|c| {
            c.idle.platform_calls_per_s.values().sum()
        }),
        line("request_cpu_ms", &|c| c.per_request.cpu_ms),
        line("request_stream_bytes", &|c| c.per_request.stream_bytes),
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
