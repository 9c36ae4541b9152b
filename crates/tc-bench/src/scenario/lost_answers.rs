//! Answers of the store are lost after their writes took effect, while keys are claimed in it.

use std::time::Duration;

use super::{
    Scenario,
    settings::{Settings, percent, sleep_until},
};
use crate::{
    error::BenchError,
    load::{Flow, Resend, What, steady_flow},
    measure::{RunReport, attainment, lost_answers},
    world::{World, standard_spec},
};

/// Time between two losses.
const LOSE_EVERY: Duration = Duration::from_millis(150);
/// Every how manieth loss is of a request before it takes effect instead.
const REQUEST_LOST_EVERY: u32 = 3;
/// Least writes with a lost answer for the run to say anything.
const MIN_LOST: f64 = 10.0;
const PER_S: f64 = 10.0;
/// Least share of claimed requests that still get their answer.
const MIN_ATTAINMENT: f64 = 0.95;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "lost-answers",
    about: "answers of the store are lost after their writes took effect, while keys are claimed",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(12.0);
    let mut world = World::start(standard_spec(&settings.shape())?).await?;
    let run = world
        .run(
            "lost-answers",
            settings.seed,
            flows(length),
            &[],
            async |world, start| {
                let mut at = LOSE_EVERY;
                let mut number = 0;
                while at < length {
                    sleep_until(start, at).await;
                    if number % REQUEST_LOST_EVERY == 0 {
                        world.platform.faults().lose_requests(1);
                    } else {
                        world.platform.faults().lose_answers(1);
                    }
                    number += 1;
                    at += LOSE_EVERY;
                }
                world.platform.faults().lose_answers(0);
                world.platform.faults().lose_requests(0);
            },
        )
        .await;
    let mut report = run.report("");
    report.claim_clean();
    let lost = lost_writes(&world).await;
    report.claim(
        "answers of the store were lost meanwhile",
        format!("{lost:.0} writes whose answer was lost"),
        lost >= MIN_LOST,
    );
    let claimed = attainment(run.records.iter().filter(|r| r.key.is_some()));
    report.claim(
        "claimed requests attain at least 95 % though answers of the store are lost",
        percent(claimed),
        claimed >= MIN_ATTAINMENT,
    );
    Ok(report)
}

/// Writes of all instances whose answer was lost, by their own count.
async fn lost_writes(world: &World) -> f64 {
    let mut lost = 0.0;
    for at in 0..world.instances.len() {
        lost += lost_answers(&world.metrics(at).await);
    }
    lost
}

fn flows(length: Duration) -> Vec<Flow> {
    let claimed = || What::Once("billing".into(), Resend::CLAIMED.again(4));
    let twice = || {
        What::Once(
            "billing".into(),
            Resend {
                twice: true,
                ..Resend::CLAIMED
            },
        )
    };
    vec![
        steady_flow("large-a", claimed(), PER_S, length),
        steady_flow("small-a", claimed(), PER_S, length),
        steady_flow("small-b", twice(), PER_S / 2.0, length),
        steady_flow(
            "large-b",
            What::Pipeline("answer".into()),
            PER_S * 3.0,
            length,
        ),
    ]
}
