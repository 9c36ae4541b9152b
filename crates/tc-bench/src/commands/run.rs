//! `tc-bench run`

use std::path::PathBuf;

use pico_args::Arguments;

use super::{Command, block_on, finish, output::print_run};
use crate::{
    error::BenchError,
    scenario::{Settings, find},
    world::PolicyChoice,
};

/// Seed used when the command line gives none.
pub(super) const DEFAULT_SEED: u64 = 1;

pub(super) const COMMAND: Command = Command {
    name: "run",
    usage: "run SCENARIO [--seed N] [--policy home|baseline] [--json FILE] [--seconds N] [--instances N]",
    about: "Runs a scenario and says for each of its claims whether it held.",
    run,
};

fn run(mut args: Arguments) -> Result<bool, BenchError> {
    let policy = match option::<String>(&mut args, "--policy")?.as_deref() {
        None | Some("home") => PolicyChoice::Home,
        Some("baseline") => PolicyChoice::Baseline,
        Some(other) => return Err(BenchError::Usage(format!("no policy is called {other}"))),
    };
    let json: Option<PathBuf> = option(&mut args, "--json")?;
    let settings = Settings {
        policy,
        ..settings(&mut args)?
    };
    let scenario = find(&scenario_name(&mut args)?)?;
    finish(args)?;
    let report = block_on(scenario.run(settings))?;
    print_run(&report);
    if let Some(path) = json {
        report.write(&path)?;
    }
    Ok(report.passed())
}

/// The options that change a scenario.
pub(super) fn settings(args: &mut Arguments) -> Result<Settings, BenchError> {
    let seconds: Option<f64> = option(args, "--seconds")?;
    if seconds.is_some_and(|s| !(s.is_finite() && s > 0.0)) {
        return Err(BenchError::Usage("--seconds must be above zero".to_owned()));
    }
    let instances: Option<usize> = option(args, "--instances")?;
    if instances == Some(0) {
        return Err(BenchError::Usage(
            "--instances must be above zero".to_owned(),
        ));
    }
    Ok(Settings {
        seed: option(args, "--seed")?.unwrap_or(DEFAULT_SEED),
        policy: PolicyChoice::Home,
        seconds,
        instances,
    })
}

/// The name of the scenario, a word that is no option.
pub(super) fn scenario_name(args: &mut Arguments) -> Result<String, BenchError> {
    args.free_from_str()
        .map_err(|_| BenchError::Usage("which scenario?".to_owned()))
}

/// The value of an option.
pub(super) fn option<T>(args: &mut Arguments, name: &'static str) -> Result<Option<T>, BenchError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(name)
        .map_err(|e| BenchError::Usage(e.to_string()))
}
