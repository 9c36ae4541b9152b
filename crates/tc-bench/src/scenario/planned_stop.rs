//! One instance is stopped as planned while it carries long streams.

use std::time::Duration;

use super::{
    Scenario,
    settings::{Settings, part, sleep_until},
};
use crate::{
    error::BenchError,
    judge::{CallRecord, Told},
    load::{Flow, Resend, What, steady_flow},
    measure::RunReport,
    world::{Shape, Timing, World, standard_spec},
};

const STOPPED: usize = 0;
/// Longest a planned stop may take with streams of about a second and a half.
const STOP_LIMIT: Duration = Duration::from_secs(12);
const STREAM_TIMEOUT_MS: u64 = 4_000;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "planned-stop",
    about: "one instance stops as planned while it carries long streams",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(14.0);
    let stop_at = part(length, 0.3);
    let shape = Shape {
        timeline_tokens: 70,
        engine: Timing::micros(20_000, 20_000),
        answer_tokens: 4,
        engine_slots: 16,
        ..settings.shape()
    };
    let mut world = World::start(standard_spec(&shape)?).await?;
    let stopped = world.instances[STOPPED].id.clone();
    let run = world
        .run(
            "planned-stop",
            settings.seed,
            flows(length),
            &[],
            async |world, start| {
                sleep_until(start, stop_at).await;
                world.stop_planned(STOPPED, STOP_LIMIT).await
            },
        )
        .await;
    let mut report = run.report("");
    report.claim_clean();
    let through = run
        .records
        .iter()
        .filter(|r| r.instance.as_ref() == Some(&stopped))
        .count();
    let cut = run.records.iter().filter(|r| is_cut(r)).count();
    report.claim(
        "no request or stream is cut off or fails",
        format!("{cut} ({through} went through the stopping instance)"),
        cut == 0 && through > 0,
    );
    report.claim(
        "the process ends by itself with exit code 0",
        run.fault.map_or_else(
            || "it was still running".to_owned(),
            |code| format!("exit code {code}"),
        ),
        run.fault == Some(0),
    );
    Ok(report)
}

fn flows(length: Duration) -> Vec<Flow> {
    let stream = || What::Stream("timeline".into());
    let long = |who: &str, rate: f64| {
        steady_flow(who, stream(), rate, length).timeout_ms(STREAM_TIMEOUT_MS)
    };
    vec![
        long("large-a", 10.0),
        long("large-b", 10.0),
        long("small-a", 5.0),
        long("small-b", 5.0),
        steady_flow("large-a", What::Pipeline("answer".into()), 30.0, length),
        steady_flow("small-c", What::Read("lookup".into()), 20.0, length),
        steady_flow(
            "large-b",
            What::Once("billing".into(), Resend::BOUND),
            5.0,
            length,
        ),
    ]
}

fn is_cut(record: &CallRecord) -> bool {
    !matches!(record.told, Told::Answered { right: true })
}
