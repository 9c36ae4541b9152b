//! A configuration of the size the users want to reach, on eight instances: how long it takes and what it costs.

use std::time::{Duration, Instant};

use tc_protocol::wire::{CONFIG_KIND, CONFIG_NAME};

use super::{
    Scenario,
    settings::{Settings, percent},
    target_files::target_file,
};
use crate::{
    error::BenchError,
    load::{What, steady_flow},
    measure::{ControlCost, RunReport, ratio},
    world::{Applied, Shape, World, WorldSpec, standard_spec, target_places},
};

const INSTANCES: usize = 8;
/// Small changes made after the large one.
const SMALL_CHANGES: u32 = 20;
/// Longest a change may take until it is in force everywhere, from the start of the apply.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(19);
const MAX_RSS_MB: f64 = 128.0;
const CHECK_EVERY: Duration = Duration::from_millis(10);
/// Time over which an instance's cost without requests is taken.
const IDLE: Duration = Duration::from_secs(3);
/// Light traffic through the real upstreams while the small changes are made.
const PER_S: f64 = 40.0;
const TARGET_FILE: &str = "50-target.toml";
const CONFIG_REVISION: &str = "tc_config_revision ";
const SMALL_FILE: &str = "60-small.toml";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "target-config",
    about: "610 workspaces, 26 pipelines, 700 engines and 10 models in one configuration, then twenty small changes",
    run: |settings| Box::pin(run(settings)),
};

/// One change, from the start of the apply.
#[derive(Clone, Copy, Default)]
struct Change {
    applied: Duration,
    everywhere: Duration,
}

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(10.0);
    let instances = settings.instances.unwrap_or(INSTANCES);
    let spec = standard_spec(&Shape {
        instances,
        ..settings.shape()
    })?;
    let mut world = World::start(WorldSpec {
        places: target_places(instances),
        ..spec
    })
    .await?;
    let small = world.idle_cost(IDLE).await;
    world.folder.write(TARGET_FILE, &target_file())?;
    let large = change(&world).await?;
    let size = object_bytes(&world);
    tokio::time::sleep(IDLE).await;
    let target = world.idle_cost(IDLE).await;
    let flow = steady_flow("large-a", What::Pipeline("answer".into()), PER_S, length);
    let run = world
        .run(
            "target-config",
            settings.seed,
            vec![flow],
            &[],
            async |world, _| small_changes(world).await,
        )
        .await;
    let mut report = run.report("");
    let changes = run.fault?;
    report.claim_clean();
    claim(&mut report, large, &changes, &target);
    add_figures(&mut report, size, large, &changes, &small, &target);
    Ok(report)
}

async fn small_changes(world: &World) -> Result<Vec<Change>, BenchError> {
    let mut changes = Vec::new();
    for number in 0..SMALL_CHANGES {
        let text = format!("[policy]\nqueue_per_workspace = {}\n", 200 + number);
        world.folder.write(SMALL_FILE, &text)?;
        changes.push(change(world).await?);
    }
    Ok(changes)
}

/// Applies the folder and waits until every instance has it in force.
async fn change(world: &World) -> Result<Change, BenchError> {
    let start = Instant::now();
    let platform = world.platform.address();
    let outcome = world.folder.apply(&world.binary, platform, "bench").await?;
    if outcome != Applied::Done {
        return Err(BenchError::World(format!("config apply: {outcome:?}")));
    }
    let applied = start.elapsed();
    let revision = newest_revision(world);
    while start.elapsed() < IN_FORCE_LIMIT {
        if in_force_everywhere(world, revision).await {
            return Ok(Change {
                applied,
                everywhere: start.elapsed(),
            });
        }
        tokio::time::sleep(CHECK_EVERY).await;
    }
    Err(BenchError::World(format!(
        "revision {revision} is not in force everywhere after {} s",
        IN_FORCE_LIMIT.as_secs()
    )))
}

async fn in_force_everywhere(world: &World, revision: u64) -> bool {
    for at in 0..world.instances.len() {
        if revision_in_force(&world.metrics(at).await) < revision {
            return false;
        }
    }
    true
}

/// Revision in force at the instance with these metrics; 0 before the first.
fn revision_in_force(metrics: &str) -> u64 {
    let value = metrics
        .lines()
        .find_map(|line| line.strip_prefix(CONFIG_REVISION))
        .and_then(|value| value.trim().parse().ok());
    value.unwrap_or(0)
}

fn newest_revision(world: &World) -> u64 {
    let history = world.platform.history(CONFIG_KIND, CONFIG_NAME);
    let newest = history.last().map(|(_, object)| &object["revision"]);
    newest.and_then(serde_json::Value::as_u64).unwrap_or(0)
}

fn object_bytes(world: &World) -> usize {
    let history = world.platform.history(CONFIG_KIND, CONFIG_NAME);
    history
        .last()
        .map_or(0, |(_, object)| object.to_string().len())
}

fn worst(changes: &[Change]) -> Duration {
    changes
        .iter()
        .map(|c| c.everywhere)
        .max()
        .unwrap_or_default()
}

fn claim(report: &mut RunReport, large: Change, changes: &[Change], target: &ControlCost) {
    report.claim(
        "a configuration of the target's size is in force everywhere within 19 s",
        format!("{:.2} s", large.everywhere.as_secs_f64()),
        large.everywhere <= IN_FORCE_LIMIT,
    );
    report.claim(
        "each of twenty small changes is in force everywhere within 19 s",
        format!(
            "{} changes, worst {:.2} s",
            changes.len(),
            worst(changes).as_secs_f64()
        ),
        changes.len() == SMALL_CHANGES as usize && worst(changes) <= IN_FORCE_LIMIT,
    );
    report.claim(
        "an instance with it stays within 128 MB",
        format!("{:.1} MB", target.rss_mb),
        target.rss_mb > 0.0 && target.rss_mb <= MAX_RSS_MB,
    );
    report.claim(
        "requests during the small changes attain at least 99 %",
        percent(report.attainment),
        report.attainment >= 0.99,
    );
}

fn add_figures(
    report: &mut RunReport,
    size: usize,
    large: Change,
    changes: &[Change],
    small: &ControlCost,
    target: &ControlCost,
) {
    let everywhere: f64 = changes.iter().map(|c| c.everywhere.as_secs_f64()).sum();
    let calls = |cost: &ControlCost| cost.platform_calls_per_s.values().sum::<f64>();
    let mut add = |name: &str, value: f64| report.figures.insert(name.to_owned(), value);
    add("object_bytes", size as f64);
    add("large_apply_s", large.applied.as_secs_f64());
    add("large_everywhere_s", large.everywhere.as_secs_f64());
    add(
        "small_everywhere_mean_s",
        ratio(everywhere, changes.len() as f64),
    );
    add("small_everywhere_worst_s", worst(changes).as_secs_f64());
    for (when, cost) in [("small", small), ("target", target)] {
        add(&format!("{when}_rss_mb"), cost.rss_mb);
        add(&format!("{when}_idle_cpu_percent"), cost.cpu_percent);
        add(
            &format!("{when}_idle_gossip_bytes_per_s"),
            cost.bytes_per_s + cost.received_bytes_per_s,
        );
        add(&format!("{when}_idle_platform_calls_per_s"), calls(cost));
    }
}
