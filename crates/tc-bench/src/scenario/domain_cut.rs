//! Two failure domains are cut from the other two under load and healed later; callers, upstreams and the platform
//! reach all of them throughout.

use std::time::{Duration, Instant};

use tc_protocol::{FailureDomain, Limits};

use super::{
    Scenario,
    settings::{Settings, ms, of_workspace, part, percent, sleep_until, within},
};
use crate::{
    error::BenchError,
    judge::CallRecord,
    load::{Flow, What, steady_flow},
    measure::{RunReport, attainment, revision_in_force},
    world::{Applied, DomainCuts, Shape, World, standard_flows, standard_spec},
};

/// Two in each of the four failure domains.
const INSTANCES: usize = 8;
const SIDES: [[&str; 2]; 2] = [["kl-1", "kl-2"], ["kl-3", "kl-4"]];
const CUT_FOR: Duration = Duration::from_secs(5);
/// Time from cut to apply; both sides have taken the other for dead by then.
const APPLY_AFTER: Duration = Duration::from_secs(2);
/// Time after the cut, and after the heal, that the attainment claimed leaves out.
const UNSETTLED: Duration = Duration::from_secs(2);
const MIN_ATTAINMENT: f64 = 0.99;
/// Longest until all instances see all others alive after the heal.
const HEAL_LIMIT: Duration = Duration::from_secs(5);
/// Longest until a change is in force at an instance that watches the platform. With two instances to a domain every
/// instance is a watcher.
const WATCHED_LIMIT: Duration = Duration::from_secs(1);
const REVISION_CHECK: Duration = Duration::from_millis(20);
/// The workspace whose limit each side enforces on its own during the cut; it offers more than that.
const LIMITED: &str = "large-a";
const LIMIT_PER_S: f64 = 60.0;
/// Rate added to the standard load, so that each side alone is offered more than the limit.
const EXTRA_PER_S: f64 = 120.0;
const EDIT_FILE: &str = "60-cut.toml";
const EDIT: &str = "[policy]\nqueue_per_workspace = 200\n";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "domain-cut",
    about: "two failure domains are cut from the other two for 5 s; a configuration is applied meanwhile",
    run: |settings| Box::pin(run(settings)),
};

/// Observations while the domains were cut off from each other and afterwards.
struct Seen {
    /// Number of instances that each saw alive, once the change was in force or late.
    alive_during: Vec<usize>,
    /// Time from the apply until its revision was in force at each instance.
    in_force: Option<Duration>,
    /// Time from the heal until every instance saw all alive with the new revision.
    healed: Result<Duration, BenchError>,
}

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(18.0);
    let cut_at = part(length, 0.3);
    let heal_at = cut_at + CUT_FOR;
    let shape = Shape {
        instances: settings.instances.unwrap_or(INSTANCES),
        limits: Limits {
            requests_per_s: Some(LIMIT_PER_S),
            ..Limits::default()
        },
        ..settings.shape()
    };
    let (mut world, cuts) = World::start_cuttable(standard_spec(&shape)?).await?;
    let run = world
        .run(
            "domain-cut",
            settings.seed,
            flows(length),
            &[],
            async |world, start| cut_and_heal(world, &cuts, start, cut_at).await,
        )
        .await;
    let mut report = run.report("");
    let seen = run.fault?;
    report.claim_clean();
    claim_cut(&mut report, &seen);
    let settled = without_unsettled(&run.records, [cut_at, heal_at]);
    let settled = attainment(settled.filter(|r| r.workspace.as_str() != LIMITED));
    report.claim(
        "workspaces within their limits attain at least 99 % but for 2 s after the cut and after the heal",
        percent(settled),
        settled >= MIN_ATTAINMENT,
    );
    note_limit(&mut report, &run.records, [cut_at, heal_at, length]);
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    let mut flows = standard_flows(length, 1.0);
    let lookups = What::Read("lookup".into());
    flows.push(steady_flow(LIMITED, lookups, EXTRA_PER_S, length));
    flows
}

async fn cut_and_heal(
    world: &mut World,
    cuts: &DomainCuts,
    start: Instant,
    cut_at: Duration,
) -> Result<Seen, BenchError> {
    let sides = SIDES.map(|side| side.map(FailureDomain::from));
    sleep_until(start, cut_at).await;
    cuts.cut(&sides[0], &sides[1]);
    sleep_until(start, cut_at + APPLY_AFTER).await;
    let revision = apply(world).await?;
    let in_force = wait_in_force(world, revision).await;
    let alive_during = world.alive_counts().await;
    sleep_until(start, cut_at + CUT_FOR).await;
    cuts.heal();
    let count = world.instances.len();
    let healed = world.wait_revision(count, revision, HEAL_LIMIT).await;
    Ok(Seen {
        alive_during,
        in_force,
        healed,
    })
}

/// Applies a small change; returns its revision.
async fn apply(world: &World) -> Result<u64, BenchError> {
    let before = revision_in_force(&world.metrics(0).await);
    world.folder.write(EDIT_FILE, EDIT)?;
    let platform = world.platform.address();
    match world.folder.apply(&world.binary, platform, "bench").await? {
        Applied::Done => Ok(before + 1),
        other => Err(BenchError::World(format!("config apply: {other:?}"))),
    }
}

/// Waits until each instance on its own has the revision in force; `None` when one has not in time.
async fn wait_in_force(world: &World, revision: u64) -> Option<Duration> {
    let start = Instant::now();
    for at in 0..world.instances.len() {
        while revision_in_force(&world.metrics(at).await) < revision {
            if start.elapsed() > WATCHED_LIMIT {
                return None;
            }
            tokio::time::sleep(REVISION_CHECK).await;
        }
    }
    Some(start.elapsed())
}

fn claim_cut(report: &mut RunReport, seen: &Seen) {
    let half = seen.alive_during.len() / 2;
    report.claim(
        "during the cut each instance sees its own side alive only",
        format!("{:?} alive", seen.alive_during),
        half > 0 && seen.alive_during.iter().all(|alive| *alive == half),
    );
    report.claim(
        "a configuration applied during the cut is in force on both sides within 1 s",
        seen.in_force.map_or_else(
            || "not in force everywhere".to_owned(),
            |took| format!("{:.0} ms", ms(took)),
        ),
        seen.in_force.is_some(),
    );
    report.claim(
        "within 5 s of the heal every instance sees all alive with that configuration",
        match &seen.healed {
            Ok(took) => format!("{:.0} ms", ms(*took)),
            Err(e) => e.to_string(),
        },
        seen.healed.is_ok(),
    );
}

/// The records but those due in the first seconds after each of these times.
fn without_unsettled(
    records: &[CallRecord],
    times: [Duration; 2],
) -> impl Iterator<Item = &CallRecord> {
    let is_unsettled = move |due_ms: f64| {
        times
            .iter()
            .any(|at| (ms(*at)..ms(*at + UNSETTLED)).contains(&due_ms))
    };
    records.iter().filter(move |r| !is_unsettled(r.due_ms))
}

/// Notes what the limited workspace got; while both sides have a limit home of their own, that may be twice its limit.
fn note_limit(report: &mut RunReport, records: &[CallRecord], times: [Duration; 3]) {
    let [cut_at, heal_at, end] = times;
    let spans = [
        ("before the cut", cut_at.mul_f64(0.5), cut_at),
        ("during the cut", cut_at, heal_at),
        ("after the heal", heal_at, end),
    ];
    for (when, from, to) in spans {
        let met = of_workspace(within(records, from, to), LIMITED).filter(|r| r.met());
        let rate = met.count() as f64 / to.saturating_sub(from).as_secs_f64();
        report.notes.push(format!(
            "{when} {LIMITED} got {rate:.1} requests/s, limit {LIMIT_PER_S}"
        ));
    }
}
