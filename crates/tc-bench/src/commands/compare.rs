//! `tc-bench compare`

use std::path::PathBuf;

use pico_args::Arguments;

use super::{
    Command, block_on, finish,
    output::{print_pair, print_run},
    run::{option, scenario_name, settings},
};
use crate::{
    error::BenchError,
    report::comparison_svg,
    scenario::{Settings, find},
    world::PolicyChoice,
};

pub(super) const COMMAND: Command = Command {
    name: "compare",
    usage: "compare SCENARIO [--seed N] [--json FILE] [--svg FILE] [--seconds N] [--instances N]",
    about: "Runs a scenario under both policies, one after the other on equal stand-ins, and shows both.",
    run,
};

fn run(mut args: Arguments) -> Result<bool, BenchError> {
    let json: Option<PathBuf> = option(&mut args, "--json")?;
    let svg: Option<PathBuf> = option(&mut args, "--svg")?;
    let home = settings(&mut args)?;
    let scenario = find(&scenario_name(&mut args)?)?;
    finish(args)?;
    let baseline = Settings {
        policy: PolicyChoice::Baseline,
        ..home
    };
    let pair = block_on(async {
        let first = scenario.run(home).await?;
        Ok([first, scenario.run(baseline).await?])
    })?;
    print_run(&pair[0]);
    println!();
    print_pair(&pair[0], &pair[1]);
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&pair).map_err(|e| BenchError::json(&e))?;
        std::fs::write(&path, text + "\n").map_err(|e| BenchError::file(&path, &e))?;
    }
    if let Some(path) = svg {
        let text = comparison_svg(&pair[0], &pair[1])?;
        std::fs::write(&path, text).map_err(|e| BenchError::file(&path, &e))?;
    }
    // The baseline is there to be compared with; only the system's own policy has to hold.
    Ok(pair[0].passed())
}
