//! Every instance is stopped as planned and started again, one after the other.

use std::time::Duration;

use super::{
    Scenario,
    settings::{Settings, part, percent, sleep_until},
};
use crate::{
    error::BenchError,
    judge::Told,
    measure::RunReport,
    world::{World, standard_flows, standard_spec},
};

/// Longest one planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// Longest a restarted instance may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(10);
const MIN_ATTAINMENT: f64 = 0.99;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "rolling-restart",
    about: "every instance stops as planned and starts again, one after the other",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(19.0);
    let begin = part(length, 0.1);
    let mut world = World::start(standard_spec(&settings.shape())?).await?;
    let count = world.instances.len();
    let run = world
        .run(
            "rolling-restart",
            settings.seed,
            standard_flows(length, 0.6),
            &[],
            async |world, start| {
                sleep_until(start, begin).await;
                let mut restarted = 0;
                for at in 0..count {
                    if restart(world, at, count).await && start.elapsed() < length {
                        restarted += 1;
                    }
                }
                restarted
            },
        )
        .await;
    let mut report = run.report("");
    report.claim_clean();
    report.claim(
        "every instance was restarted, each with exit code 0, while the load lasted",
        format!("{} of {count}", run.fault),
        run.fault == count,
    );
    let broken = run
        .records
        .iter()
        .filter(|r| matches!(r.told, Told::Broken | Told::NotSent | Told::Silent))
        .count();
    report.claim("no connection broke", broken.to_string(), broken == 0);
    report.claim(
        "attainment of at least 99 %",
        percent(report.attainment),
        report.attainment >= MIN_ATTAINMENT,
    );
    Ok(report)
}

/// Whether the instance stopped with exit code 0 and came back.
async fn restart(world: &mut World, at: usize, count: usize) -> bool {
    let code = world.stop_planned(at, STOP_LIMIT).await;
    if code != Some(0) {
        log::warn!("{} stopped with {code:?}", world.instances[at].id);
        world.instances[at].kill();
    }
    if let Err(e) = world.start_instance(at) {
        log::warn!("restart: {e}");
        return false;
    }
    match world.wait_revision(count, 1, READY_LIMIT).await {
        Ok(_) => code == Some(0),
        Err(e) => {
            log::warn!("restart of {}: {e}", world.instances[at].id);
            false
        }
    }
}
