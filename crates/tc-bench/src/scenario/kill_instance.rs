//! One instance is killed under load; later another is paused for three seconds and goes on.

use std::time::Duration;

use tc_protocol::{InstanceId, RunState};

use super::{
    Scenario,
    settings::{Settings, ms, part, sleep_until},
};
use crate::{
    error::BenchError,
    judge::{CallRecord, Told},
    load::{Flow, Resend, What, steady_flow},
    measure::{RunReport, recovery_ms},
    world::{Shape, Timing, World, standard_flows, standard_spec},
};

const PAUSE: Duration = Duration::from_secs(3);
const MAX_RECOVERY_MS: f64 = 2_000.0;
/// Requests due so shortly before the pause are still running when it comes, so their fate is not the kill's doing. All
/// of a healthy fleet's answers take less.
const BEFORE_PAUSE: Duration = Duration::from_millis(500);
/// Calls that must not be repeated take so long that some run on the killed instance when it dies.
const ONCE_CALL_US: u64 = 150_000;
/// Tokens of a streamed answer, for streams to be live when the instance dies.
const STREAM_TOKENS: u32 = 400;
/// Calls a second that must not be repeated, beside those of the standard load.
const BOUND_PER_S: f64 = 100.0;
const CLAIMED_PER_S: f64 = 30.0;
/// Resends of a key whose outcome its caller does not know.
const RESENDS: u32 = 3;
const KILLED: usize = 0;
const PAUSED: usize = 1;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "kill-instance",
    about: "one instance is killed under load, then another is paused for three seconds",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(18.0);
    let (kill_at, pause_at) = (part(length, 0.25), part(length, 0.55));
    let shape = Shape {
        timeline_tokens: STREAM_TOKENS,
        ..settings.shape()
    };
    let mut spec = standard_spec(&shape)?;
    spec.timings
        .insert("billing".into(), Timing::micros(ONCE_CALL_US, 0));
    let mut world = World::start(spec).await?;
    let run = world
        .run(
            "kill-instance",
            settings.seed,
            flows(length),
            &[KILLED, PAUSED],
            async |world, start| {
                sleep_until(start, kill_at).await;
                world.instances[KILLED].kill();
                sleep_until(start, pause_at).await;
                world.instances[PAUSED].pause();
                sleep_until(start, pause_at + PAUSE).await;
                world.instances[PAUSED].resume();
            },
        )
        .await;
    let mut report = run.report("");
    report.recovery_ms = recovery_ms(
        &run.records,
        ms(kill_at),
        ms(pause_at.saturating_sub(BEFORE_PAUSE)),
    );
    report.claim_clean();
    claim_kill(&mut report, &run.records, &world.instances[KILLED].id);
    report.claim(
        "attainment is back to the level before within 2 s of the kill",
        format!("{:.0} ms", report.recovery_ms),
        report.recovery_ms <= MAX_RECOVERY_MS,
    );
    let resumed_at = pause_at + PAUSE;
    let after: Vec<_> = run
        .records
        .iter()
        .filter(|r| r.due_ms < ms(kill_at) || r.due_ms >= ms(resumed_at))
        .cloned()
        .collect();
    let after_pause = recovery_ms(&after, ms(resumed_at), ms(length));
    report.claim(
        "attainment is back within 2 s of the paused instance's return",
        format!("{after_pause:.0} ms"),
        after_pause <= MAX_RECOVERY_MS,
    );
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    let once = |resend: Resend| What::Once("billing".into(), resend.again(RESENDS));
    let mut flows = standard_flows(length, 1.0);
    flows.extend([
        steady_flow("large-a", once(Resend::BOUND), BOUND_PER_S, length),
        steady_flow("large-b", once(Resend::CLAIMED), CLAIMED_PER_S, length),
    ]);
    flows
}

/// What must hold for requests that ran on the instance when it was killed: a stream ends, and whoever sends a bound key
/// again elsewhere learns that its outcome is unknown, since nobody but the dead process could tell.
fn claim_kill(report: &mut RunReport, records: &[CallRecord], killed: &InstanceId) {
    let streams = records.iter().filter(|r| is_cut_stream(r, killed)).count();
    let resent: Vec<&CallRecord> = records
        .iter()
        .filter(|r| r.bound && is_resent_elsewhere(r, killed))
        .collect();
    report.claim(
        "streams and calls that must not be repeated ran on the instance when it was killed",
        format!("{streams} streams cut, {} bound keys resent", resent.len()),
        streams > 0 && !resent.is_empty(),
    );
    let otherwise = resent.iter().filter(|r| !is_told_unknown(r)).count();
    report.claim(
        "every bound key sent again elsewhere was told \"unknown\"",
        format!("{otherwise} told otherwise"),
        otherwise == 0,
    );
}

fn is_cut_stream(record: &CallRecord, killed: &InstanceId) -> bool {
    record.target.starts_with("stream/")
        && record.told == Told::Broken
        && record.instance.as_ref() == Some(killed)
}

fn is_resent_elsewhere(record: &CallRecord, killed: &InstanceId) -> bool {
    let elsewhere = record.instance.as_ref().is_some_and(|id| id != killed);
    elsewhere && record.first_instance.as_ref() == Some(killed)
}

fn is_told_unknown(record: &CallRecord) -> bool {
    let Told::Failed { run_state, .. } = record.told else {
        return false;
    };
    run_state == Some(RunState::Unknown)
}
