//! Both users' examples at once: long and short inputs, streams, reads and non-idempotent calls.

use std::time::Duration;

use super::{
    Scenario,
    settings::{Settings, percent},
};
use crate::{
    error::BenchError,
    load::{Flow, Resend, What, steady_flow},
    measure::RunReport,
    world::{World, example_spec},
};

const MIN_ATTAINMENT: f64 = 0.99;
const TIMEOUT_MS: u64 = 3_000;
/// A long probe log or a thick dossier.
const LONG_INPUT_BYTES: usize = 60_000;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "mixed",
    about: "both users' examples on eight instances: long and short inputs, streams, non-idempotent calls",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(12.0);
    let mut world = World::start(example_spec(settings.policy)?).await?;
    let run = world
        .run_quiet("mixed", settings.seed, flows(length, 1.0))
        .await;
    let mut report = run.report("");
    report.claim_clean();
    report.claim(
        "attainment of at least 99 %",
        percent(report.attainment),
        report.attainment >= MIN_ATTAINMENT,
    );
    Ok(report)
}

/// Returns the load of the callers of both users, multiplied by `scale`.
pub(crate) fn flows(length: Duration, scale: f64) -> Vec<Flow> {
    let pipeline = |name: &str| What::Pipeline(name.into());
    let stream = |name: &str| What::Stream(name.into());
    let read = |name: &str| What::Read(name.into());
    let bound = |name: &str| What::Once(name.into(), Resend::BOUND.again(2));
    let claimed = |name: &str| What::Once(name.into(), Resend::CLAIMED.again(2));
    let flow = |who: &str, what: What, per_s: f64| {
        steady_flow(who, what, per_s * scale, length).timeout_ms(TIMEOUT_MS)
    };
    let long = |flow: Flow| Flow {
        input_bytes: LONG_INPUT_BYTES,
        ..flow
    };
    vec![
        long(flow("lintas-noc", pipeline("incident-summary"), 8.0)),
        flow("lintas-noc", stream("live-timeline"), 12.0),
        flow("lintas-noc", read("status-pages"), 40.0),
        flow("lintas-noc", bound("notifications"), 5.0),
        flow("lintas-telko-utara", pipeline("customer-notice"), 20.0),
        flow("lintas-telko-utara", stream("live-timeline"), 8.0),
        flow("lintas-pulau-net", stream("live-timeline"), 3.0),
        flow("lintas-klang-dc", pipeline("customer-notice"), 5.0),
        flow("lintas-borneo-fibre", read("status-pages"), 10.0),
        long(flow("trinacria-desk", pipeline("damage-appraisal"), 8.0)),
        flow("trinacria-desk", read("auction-hall"), 40.0),
        flow("trinacria-desk", claimed("member-invoicing"), 3.0),
        flow("trinacria-insurers", pipeline("title-summary"), 15.0),
        flow("trinacria-scrapyards", pipeline("lot-description"), 10.0),
        flow("trinacria-mechanics", read("auction-hall"), 10.0),
        flow("trinacria-mechanics", bound("member-invoicing"), 3.0),
        flow("trinacria-adjusters", pipeline("damage-appraisal"), 3.0),
    ]
}
