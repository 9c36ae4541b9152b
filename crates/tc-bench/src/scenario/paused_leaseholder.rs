//! The holder of the engines' order lease is paused past its lease, and goes on after another has taken over.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde_json::Value;
use tc_protocol::{InstanceId, UpstreamId};
use tc_stand_ins::OrderRecord;

use super::{
    Scenario,
    settings::{Settings, ms, part, sleep_until},
};
use crate::{
    error::BenchError,
    judge::Evidence,
    measure::RunReport,
    world::{Applied, Shape, World, standard_flows, standard_spec},
};

/// Kind of the platform's lease objects; the name is the service.
const LEASE_KIND: &str = "tanagercroft-lease";
const SERVICE: &str = "engines";
/// Engines; few, because loads are paced.
const ENGINES: usize = 4;
/// Long enough for the others to miss the holder, to wait out its lease and to take it over.
const PAUSE: Duration = Duration::from_secs(7);
/// Longest until every engine is ordered to the last version: the lease of whoever took over has to end first.
const LAST_LIMIT: Duration = Duration::from_secs(9);
/// Interval at which the orders are checked.
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// Models a second that the weight store serves, so that orders are due for some seconds after each new version.
const WEIGHTS_PER_S: f64 = 1.0;
/// The lease is held only while orders are due; this is how often its object is looked at, to catch the holder.
const CATCH_EVERY: Duration = Duration::from_millis(20);
/// Longest until the lease names a holder after a new version was ordered.
const CATCH_LIMIT: Duration = Duration::from_secs(5);
/// Versions of the model ordered before, during and after the pause.
const BEFORE: &str = "2";
const DURING: &str = "3";
const LAST: &str = "4";
/// Orders told in words, so that a failed run can be looked into.
const MAX_ORDER_NOTES: usize = 40;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "paused-leaseholder",
    about: "the holder of the order lease is paused past its lease, and goes on after another took over",
    run: |settings| Box::pin(run(settings)),
};

/// Fault injected into the holder.
struct Paused {
    /// The instance paused; `None` when no lease named one.
    holder: Option<usize>,
    from: Duration,
    to: Duration,
    /// Time until every engine was ordered to the last version; `None` when that took too long.
    last_took: Option<Duration>,
}

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(20.0);
    let shape = Shape {
        engines: ENGINES,
        weights_per_s: Some(WEIGHTS_PER_S),
        ..settings.shape()
    };
    let mut world = World::start(standard_spec(&shape)?).await?;
    let flows = standard_flows(length, 0.5);
    let run = world
        .run(
            "paused-leaseholder",
            settings.seed,
            flows,
            &[],
            async |world, start| pause_holder(world, start, length).await,
        )
        .await;
    let paused = run
        .fault
        .as_ref()
        .map_err(|e| BenchError::World(e.to_string()))?;
    // The paused instance is known only now, so the judge's view is created again with that instance impaired.
    let disturbed = paused.holder.map(|at| world.instances[at].id.clone());
    let evidence = Evidence {
        calls: run.calls.clone(),
        once_services: ["billing".to_owned()].into(),
        disturbed: disturbed.into_iter().collect(),
    };
    let verdict = crate::judge::judge(&run.records, &evidence);
    let mut report = RunReport {
        control: run.control.clone(),
        ..RunReport::of(&run.records, &run.calls, verdict, "")
    };
    report.claim_clean();
    let orders = world.recorder.orders();
    report.claim(
        "a lease names its holder, who was paused",
        match paused.holder {
            Some(at) => format!(
                "{} from {:.0} to {:.0} ms",
                world.instances[at].id,
                ms(paused.from),
                ms(paused.to)
            ),
            None => "no lease object names an instance".to_owned(),
        },
        paused.holder.is_some(),
    );
    let during = orders
        .iter()
        .filter(|o| o.accepted && (run.start + paused.from..run.start + paused.to).contains(&o.at))
        .filter(|o| o.order.models.contains(&loaded(DURING)))
        .count();
    report.claim(
        "another instance took the lease over and gave orders during the pause",
        format!("{during} orders for version {DURING}"),
        during > 0,
    );
    claim_orders(&mut report, &orders, paused.last_took);
    report.notes.extend(
        orders
            .iter()
            .take(MAX_ORDER_NOTES)
            .map(|order| describe(order, run.start)),
    );
    Ok(report)
}

async fn pause_holder(
    world: &mut World,
    start: Instant,
    length: Duration,
) -> Result<Paused, BenchError> {
    sleep_until(start, part(length, 0.15)).await;
    order_version(world, BEFORE).await?;
    let holder = catch_holder(world).await;
    let from = start.elapsed();
    order_version(world, DURING).await?;
    let to = from + PAUSE;
    sleep_until(start, to).await;
    if let Some(at) = holder {
        world.instances[at].resume();
    }
    order_version(world, LAST).await?;
    let last_took = wait_last(world).await;
    Ok(Paused {
        holder,
        from,
        to,
        last_took,
    })
}

/// Waits until an instance holds the lease and pauses it at once; `None` when nobody holds it in time.
///
/// It is looked at again after the pause: had the holder given the lease up meanwhile, the run would show nothing.
async fn catch_holder(world: &World) -> Option<usize> {
    let begun = Instant::now();
    while begun.elapsed() < CATCH_LIMIT {
        if let Some(at) = lease_holder(world) {
            world.instances[at].pause();
            tokio::time::sleep(CATCH_EVERY).await;
            if lease_holder(world) == Some(at) {
                return Some(at);
            }
            world.instances[at].resume();
        }
        tokio::time::sleep(CATCH_EVERY).await;
    }
    None
}

/// Waits until every engine is ordered to the last version; returns how long that took.
async fn wait_last(world: &World) -> Option<Duration> {
    let begun = Instant::now();
    while begun.elapsed() < LAST_LIMIT {
        if at_last(&world.recorder.orders()) == ENGINES {
            return Some(begun.elapsed());
        }
        tokio::time::sleep(CHECK_EVERY).await;
    }
    None
}

/// Engines whose last accepted order is for the last version.
fn at_last(orders: &[OrderRecord]) -> usize {
    let last: BTreeMap<&UpstreamId, &OrderRecord> = orders
        .iter()
        .filter(|o| o.accepted)
        .map(|o| (&o.upstream, o))
        .collect();
    last.values()
        .filter(|o| o.order.models.contains(&loaded(LAST)))
        .count()
}

/// Has the engines ordered to load another version of their model.
async fn order_version(world: &World, version: &str) -> Result<(), BenchError> {
    let text = format!("[models.drafting]\nversion = \"{version}\"\n");
    world.folder.write("80-model.toml", &text)?;
    let platform = world.platform.address();
    match world.folder.apply(&world.binary, platform, "bench").await? {
        Applied::Done => Ok(()),
        other => Err(BenchError::World(format!("config apply: {other:?}"))),
    }
}

fn lease_holder(world: &World) -> Option<usize> {
    let (_, lease) = world.platform.object(LEASE_KIND, SERVICE)?;
    let holder = lease.get("holder").and_then(Value::as_str)?;
    world.index_of(&InstanceId::from(holder))
}

/// The model at a version, as orders name it.
fn loaded(version: &str) -> String {
    format!("drafting@{version}")
}

fn describe(order: &OrderRecord, start: Instant) -> String {
    let word = if order.accepted { "took" } else { "refused" };
    let sign = if order.at < start { "-" } else { "" };
    let at = if order.at < start {
        start.duration_since(order.at)
    } else {
        order.at.duration_since(start)
    };
    format!(
        "{sign}{:.0} ms: {} {word} {} with fence {}",
        ms(at),
        order.upstream,
        order.order.models.join(","),
        order.order.fence
    )
}

fn claim_orders(report: &mut RunReport, orders: &[OrderRecord], last_took: Option<Duration>) {
    let mut outdated = 0;
    for (at, order) in orders.iter().enumerate().filter(|(_, o)| o.accepted) {
        let newer_before = orders[..at].iter().any(|earlier| {
            earlier.accepted
                && earlier.upstream == order.upstream
                && earlier.order.fence > order.order.fence
        });
        outdated += usize::from(newer_before);
    }
    report.claim(
        "no engine took an order with a fencing number below one it had taken",
        format!("{outdated} of {} orders", orders.len()),
        outdated == 0 && !orders.is_empty(),
    );
    let right = at_last(orders);
    report.claim(
        "every engine was last ordered to the last version",
        match last_took {
            Some(took) => format!("{right} of {ENGINES} engines, after {:.0} ms", ms(took)),
            None => format!("{right} of {ENGINES} engines"),
        },
        right == ENGINES && last_took.is_some(),
    );
}
