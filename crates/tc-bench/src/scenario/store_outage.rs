//! The platform's store is down for most of the run; a fresh instance joins meanwhile.

use std::time::{Duration, Instant};

use tc_protocol::{InstanceId, RunState};

use super::{
    Scenario,
    settings::{Settings, attainment_in, part, percent, sleep_until, within},
};
use crate::{
    error::BenchError,
    judge::{CallRecord, Told},
    load::{Flow, Resend, What, steady_flow},
    measure::RunReport,
    world::{World, standard_flows, standard_spec},
};

/// Most that attainment may fall during the outage.
const TOLERANCE: f64 = 0.01;
/// Longest a fresh instance may take to join, store or no store.
const JOIN_LIMIT: Duration = Duration::from_secs(8);
/// The store counts as lost after a second of failing calls; this is how long after its end the claim starts.
const NOTICED_AFTER: Duration = Duration::from_millis(2_500);
/// Longest until a request that needs the store is refused while it counts as lost. Far below the deadline of such
/// requests, and above that of a request whose instance makes its first call to the store that was lost before.
const MAX_REFUSAL_MS: f64 = 1_500.0;
/// Least time with the store back, also in a short run.
const AFTERWARDS: Duration = Duration::from_secs(2);
/// Time for the instances to notice that the store is back.
const BACK_AFTER: Duration = Duration::from_millis(900);
/// Target of the requests whose key needs the store.
const CLAIMED_WORKSPACE: &str = "small-c";

pub(super) const SCENARIO: Scenario = Scenario {
    name: "store-outage",
    about: "the store is down for most of the run; a fresh instance joins meanwhile",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(18.0);
    let up_at = part(length, 0.85).min(length.saturating_sub(AFTERWARDS));
    let down_at = part(length, 0.25);
    let mut world = World::start(standard_spec(&settings.shape())?).await?;
    let run = world
        .run(
            "store-outage",
            settings.seed,
            flows(length),
            &[],
            async |world, start| {
                sleep_until(start, down_at).await;
                world.platform.faults().set_down(true);
                let joined = join_fresh(world).await;
                sleep_until(start, up_at).await;
                world.platform.faults().set_down(false);
                joined
            },
        )
        .await;
    let mut report = run.report("");
    report.claim_clean();
    let (claimed, others): (Vec<CallRecord>, Vec<CallRecord>) =
        run.records.iter().cloned().partition(needs_store);
    let before = attainment_in(&others, Duration::ZERO, down_at);
    let during = attainment_in(&others, down_at, up_at);
    report.claim(
        "idempotent and bound-key attainment is unchanged by the outage",
        format!("{} before, {} during", percent(before), percent(during)),
        during >= before - TOLERANCE,
    );
    let refused = claimed.iter().filter(|r| is_store_refusal(r)).count();
    report.claim(
        "keys without binding are refused with \"not run\" during the outage",
        format!("{refused} of {}", within(&claimed, down_at, up_at).count()),
        refused > 0,
    );
    let slowest = within(&claimed, down_at + NOTICED_AFTER, up_at)
        .map(|r| r.took_ms)
        .fold(0.0, f64::max);
    report.claim(
        "they are refused long before their deadline",
        format!("after {slowest:.0} ms at most"),
        refused > 0 && slowest <= MAX_REFUSAL_MS,
    );
    report.claim(
        "keys without binding are served again after the outage",
        percent(attainment_in(&claimed, up_at + BACK_AFTER, length)),
        attainment_in(&claimed, up_at + BACK_AFTER, length) > 0.5,
    );
    let served = run
        .fault
        .as_ref()
        .map_or(0, |(id, _)| served_by(&run.records, id));
    report.claim(
        "a fresh instance joins during the outage and serves",
        match &run.fault {
            Ok((_, took)) => format!("joined in {:.1} s, answered {served}", took.as_secs_f64()),
            Err(e) => e.to_string(),
        },
        served > 0,
    );
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    let mut flows: Vec<Flow> = standard_flows(length, 0.8);
    flows.retain(|f| !matches!(f.what, What::Once(_, resend) if !resend.bound));
    let claimed = What::Once("billing".into(), Resend::CLAIMED);
    flows
        .retain(|f| f.workspace.as_str() != CLAIMED_WORKSPACE || !matches!(f.what, What::Once(..)));
    flows.push(steady_flow(CLAIMED_WORKSPACE, claimed, 5.0, length));
    flows
}

fn needs_store(record: &CallRecord) -> bool {
    record.workspace.as_str() == CLAIMED_WORKSPACE && record.key.is_some()
}

fn is_store_refusal(record: &CallRecord) -> bool {
    matches!(
        record.told,
        Told::Failed {
            run_state: Some(RunState::NotRun),
            ..
        }
    )
}

/// Starts an instance that has never been there; the platform cannot tell anyone of it.
async fn join_fresh(world: &mut World) -> Result<(InstanceId, Duration), BenchError> {
    let place = world.instances[0].place.clone();
    let at = world.prepare_instance(place)?;
    let start = Instant::now();
    world.start_instance(at)?;
    let count = world.instances.len();
    world.wait_revision(count, 1, JOIN_LIMIT).await?;
    Ok((world.instances[at].id.clone(), start.elapsed()))
}

fn served_by(records: &[CallRecord], id: &InstanceId) -> usize {
    records
        .iter()
        .filter(|r| r.instance.as_ref() == Some(id) && r.met())
        .count()
}
