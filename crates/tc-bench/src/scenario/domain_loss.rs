//! Everything in one failure domain is killed at once under load, instances and upstreams, and later started again.

use std::time::{Duration, Instant};

use tc_protocol::FailureDomain;

use super::{
    Scenario,
    settings::{Settings, ms, part, sleep_until},
};
use crate::{
    error::BenchError,
    judge::CallRecord,
    measure::{RunReport, recovery_ms},
    world::{Shape, World, standard_flows, standard_spec},
};

/// Two in each of the four failure domains.
const INSTANCES: usize = 8;
const LOST_DOMAIN: &str = "kl-2";
const MAX_RECOVERY_MS: f64 = 3_000.0;
/// Calls that were accepted before the kill may be read this much later.
const GRACE: Duration = Duration::from_millis(100);
/// Load of the standard world; three domains of four have to carry it.
const SCALE: f64 = 0.6;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "domain-loss",
    about: "all instances and upstreams of one failure domain are killed at once, later started again",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(18.0);
    let (loss_at, return_at) = (part(length, 0.25), part(length, 0.6));
    let shape = Shape {
        instances: settings.instances.unwrap_or(INSTANCES),
        ..settings.shape()
    };
    let mut world = World::start(standard_spec(&shape)?).await?;
    let domain = FailureDomain::from(LOST_DOMAIN);
    let lost: Vec<usize> = (0..world.instances.len())
        .filter(|at| world.instances[*at].place.failure_domain == domain)
        .collect();
    let run = world
        .run(
            "domain-loss",
            settings.seed,
            standard_flows(length, SCALE),
            &lost,
            async |world, start| {
                sleep_until(start, loss_at).await;
                let upstreams = kill_domain(world, &domain, &lost);
                sleep_until(start, return_at).await;
                start_domain(world, &domain, &lost, start)
                    .await
                    .map(|back| (upstreams, back))
            },
        )
        .await;
    let mut report = run.report("");
    let (upstreams, back) = run.fault?;
    report.recovery_ms = recovery_ms(&run.records, ms(loss_at), ms(return_at));
    report.claim_clean();
    report.claim(
        "a domain of instances and upstreams was lost",
        format!("{} instances, {upstreams} upstreams", lost.len()),
        !lost.is_empty() && upstreams > 0,
    );
    report.claim(
        "attainment is back to the level before within 3 s of the loss",
        format!("{:.0} ms", report.recovery_ms),
        report.recovery_ms <= MAX_RECOVERY_MS,
    );
    let calls_at_lost = |from: Duration, to: Duration| {
        let lost = world
            .upstreams
            .iter()
            .filter(|u| u.upstream.failure_domain == domain);
        let names: Vec<&str> = lost.map(|u| u.upstream.id.as_str()).collect();
        run.calls
            .iter()
            .filter(|c| names.contains(&c.upstream.as_str()))
            .filter(|c| c.arrived_ms >= ms(from) && c.arrived_ms < ms(to))
            .count()
    };
    let (during, after) = (
        calls_at_lost(loss_at + GRACE, return_at),
        calls_at_lost(return_at, length),
    );
    report.claim(
        "the lost upstreams ran nothing while they were gone, and work again since",
        format!("{during} calls while gone, {after} since the return"),
        during == 0 && after > 0,
    );
    let after_return = recovery_after(&run.records, loss_at, return_at, length);
    report.claim(
        "attainment is at the level before within 3 s of the return",
        format!("{after_return:.0} ms, started within {:.0} ms", ms(back)),
        after_return <= MAX_RECOVERY_MS,
    );
    Ok(report)
}

/// Kills all of the domain at once; returns how many upstreams that were.
fn kill_domain(world: &mut World, domain: &FailureDomain, instances: &[usize]) -> usize {
    for at in instances {
        world.instances[*at].kill();
    }
    let lost = world
        .upstreams
        .iter()
        .filter(|u| u.upstream.failure_domain == *domain);
    lost.map(|upstream| upstream.faults().crash()).count()
}

/// Starts all of the domain again; returns how long after the start of the return that was done.
async fn start_domain(
    world: &mut World,
    domain: &FailureDomain,
    instances: &[usize],
    start: Instant,
) -> Result<Duration, BenchError> {
    let began = start.elapsed();
    for upstream in &world.upstreams {
        if upstream.upstream.failure_domain == *domain {
            let restarted = upstream.faults().restart().await;
            restarted.map_err(|e| BenchError::world("an upstream cannot start again", e))?;
        }
    }
    for at in instances {
        world.start_instance(*at)?;
    }
    Ok(start.elapsed().saturating_sub(began))
}

/// Time from the return until attainment was at the level before the loss for good, in milliseconds.
fn recovery_after(
    records: &[CallRecord],
    loss_at: Duration,
    return_at: Duration,
    end: Duration,
) -> f64 {
    let without_gap: Vec<CallRecord> = records
        .iter()
        .filter(|r| r.due_ms < ms(loss_at) || r.due_ms >= ms(return_at))
        .cloned()
        .collect();
    recovery_ms(&without_gap, ms(return_at), ms(end))
}
