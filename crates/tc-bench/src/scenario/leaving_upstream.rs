//! An engine says that it is leaving; the platform's instance list tells so ten seconds later.

use std::time::Duration;

use tc_protocol::wire::ListedState;

use super::{
    Scenario,
    settings::{Settings, ms, part, percent, sleep_until},
};
use crate::{
    error::BenchError,
    measure::RunReport,
    world::{World, standard_flows, standard_spec},
};

const LIST_LAG: Duration = Duration::from_secs(10);
/// Time after which a leaving upstream must get no new work.
const GRACE: Duration = Duration::from_secs(3);
const MIN_ATTAINMENT: f64 = 0.99;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "leaving-upstream",
    about: "an engine says that it is leaving while the instance list lags ten seconds",
    run: |settings| Box::pin(run(settings)),
};

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(12.0);
    let leave_at = part(length, 0.3);
    let mut world = World::start(standard_spec(&settings.shape())?).await?;
    let leaving = world.service("engines")[0].upstream.id.to_string();
    let run = world
        .run(
            "leaving-upstream",
            settings.seed,
            standard_flows(length, 1.0),
            &[],
            async |world, start| {
                sleep_until(start, leave_at).await;
                world.platform.faults().set_list_lag(LIST_LAG);
                let engine = world.service("engines")[0];
                engine.faults().set_leaving(true);
                world.list_upstream(engine, ListedState::Leaving);
            },
        )
        .await;
    let mut report = run.report("");
    report.claim_clean();
    let at_leaving = |from: f64, to: f64| {
        run.calls
            .iter()
            .filter(|c| c.upstream == leaving && c.arrived_ms >= from && c.arrived_ms < to)
            .count()
    };
    let before = at_leaving(0.0, ms(leave_at));
    let late = at_leaving(ms(leave_at + GRACE), f64::INFINITY);
    report.claim(
        "the leaving engine gets no new work after 3 s",
        format!("{late} calls after 3 s ({before} before it left)"),
        late == 0 && before > 0,
    );
    report.claim(
        "attainment of at least 99 %",
        percent(report.attainment),
        report.attainment >= MIN_ATTAINMENT,
    );
    Ok(report)
}
