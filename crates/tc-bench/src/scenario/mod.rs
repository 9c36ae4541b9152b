//! The scenarios: each sets up a world, sends a load, does something to the world, and says what has to hold.

mod bad_answers;
mod broken_streams;
mod burst;
mod config_race;
mod control_cost;
mod crashing_request;
mod domain_cut;
mod domain_loss;
mod kill_instance;
mod leaving_upstream;
mod limits;
mod lost_answers;
mod mixed;
mod overhead;
mod overload;
mod paused_leaseholder;
mod planned_stop;
mod rolling_restart;
mod settings;
mod steady;
mod store_outage;
mod straggler;
mod target_config;
mod target_files;

pub(crate) use mixed::flows as example_flows;
pub(crate) use settings::Settings;

use futures::future::LocalBoxFuture;

use crate::{error::BenchError, measure::RunReport};

/// One scenario.
pub(crate) struct Scenario {
    /// Its name on the command line.
    pub(crate) name: &'static str,
    /// Description.
    pub(crate) about: &'static str,
    run: fn(Settings) -> LocalBoxFuture<'static, Result<RunReport, BenchError>>,
}

impl Scenario {
    /// Runs it once.
    pub(crate) async fn run(&self, settings: Settings) -> Result<RunReport, BenchError> {
        let report = (self.run)(settings).await?;
        Ok(RunReport {
            scenario: self.name.to_owned(),
            policy: settings.policy.as_str().to_owned(),
            seed: settings.seed,
            ..report
        })
    }
}

/// Every scenario, in the order they are listed.
pub(crate) const SCENARIOS: &[Scenario] = &[
    steady::SCENARIO,
    overhead::SCENARIO,
    burst::SCENARIO,
    overload::SCENARIO,
    straggler::SCENARIO,
    mixed::SCENARIO,
    limits::SCENARIO,
    kill_instance::SCENARIO,
    domain_loss::SCENARIO,
    domain_cut::SCENARIO,
    store_outage::SCENARIO,
    lost_answers::SCENARIO,
    crashing_request::SCENARIO,
    broken_streams::SCENARIO,
    bad_answers::SCENARIO,
    config_race::SCENARIO,
    leaving_upstream::SCENARIO,
    planned_stop::SCENARIO,
    rolling_restart::SCENARIO,
    paused_leaseholder::SCENARIO,
    control_cost::SCENARIO,
    target_config::SCENARIO,
];

/// The scenario with this name.
pub(crate) fn find(name: &str) -> Result<&'static Scenario, BenchError> {
    SCENARIOS
        .iter()
        .find(|s| s.name == name)
        .ok_or_else(|| BenchError::Usage(format!("no scenario is called {name}")))
}
