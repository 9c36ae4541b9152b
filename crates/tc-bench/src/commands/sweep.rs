//! `tc-bench sweep`

use pico_args::Arguments;

use super::{
    Command, block_on, finish,
    run::{option, scenario_name, settings},
};
use crate::{
    error::BenchError,
    measure::RunReport,
    scenario::{Scenario, Settings, find},
};

/// Seeds unless the command line says otherwise.
const USUAL_SEEDS: u64 = 20;

pub(super) const COMMAND: Command = Command {
    name: "sweep",
    usage: "sweep SCENARIO [--seeds N] [--seed FIRST] [--seconds N] [--instances N]",
    about: "Runs a scenario with many seeds, one after the other; fails when any run broke a promise.",
    run,
};

/// Promises broken in all runs so far.
#[derive(Default)]
struct Totals {
    runs: u64,
    requests: u64,
    doubled: u64,
    lost: u64,
    mixed: u64,
    false_not_run: u64,
    /// Claims that did not hold, whatever they are about.
    failed_claims: usize,
    least_attainment: f64,
}

impl Totals {
    fn add(&mut self, report: &RunReport) {
        self.least_attainment = if self.runs == 0 {
            report.attainment
        } else {
            self.least_attainment.min(report.attainment)
        };
        self.runs += 1;
        self.requests += report.requests;
        self.doubled += report.doubled;
        self.lost += report.lost;
        self.mixed += report.mixed;
        self.false_not_run += report.false_not_run;
        self.failed_claims += failed_claims(report);
    }

    const fn is_clean(&self) -> bool {
        self.doubled + self.lost + self.mixed + self.false_not_run == 0
    }
}

fn run(mut args: Arguments) -> Result<bool, BenchError> {
    let seeds: u64 = option(&mut args, "--seeds")?.unwrap_or(USUAL_SEEDS);
    let settings = settings(&mut args)?;
    let scenario = find(&scenario_name(&mut args)?)?;
    finish(args)?;
    if seeds == 0 {
        return Err(BenchError::Usage("--seeds must be above 0".to_owned()));
    }
    let totals = block_on(sweep(scenario, settings, seeds))?;
    println!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {:.2} % |",
        scenario.name,
        totals.runs,
        totals.requests,
        totals.doubled,
        totals.lost,
        totals.mixed,
        totals.false_not_run,
        totals.failed_claims,
        totals.least_attainment * 100.0
    );
    Ok(totals.is_clean())
}

async fn sweep(scenario: &Scenario, first: Settings, seeds: u64) -> Result<Totals, BenchError> {
    println!(
        "| scenario | seeds | requests | doubled | lost | mixed | false not_run | failed claims | least attainment |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut totals = Totals::default();
    for seed in first.seed..first.seed + seeds {
        let report = scenario.run(Settings { seed, ..first }).await?;
        totals.add(&report);
        tell_broken(&report);
    }
    Ok(totals)
}

/// Tells on stderr what did not hold in a run, so that its seed can be run again alone.
fn tell_broken(report: &RunReport) {
    for claim in report.claims.iter().filter(|claim| !claim.pass) {
        eprintln!("seed {}: {}: {}", report.seed, claim.text, claim.measured);
    }
    if report.doubled + report.lost + report.mixed + report.false_not_run > 0 {
        for note in &report.notes {
            eprintln!("seed {}: {note}", report.seed);
        }
    }
}

fn failed_claims(report: &RunReport) -> usize {
    report.claims.iter().filter(|claim| !claim.pass).count()
}
