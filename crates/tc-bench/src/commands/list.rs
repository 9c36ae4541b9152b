//! `tc-bench list`

use pico_args::Arguments;

use super::{Command, finish};
use crate::{error::BenchError, scenario::SCENARIOS};

pub(super) const COMMAND: Command = Command {
    name: "list",
    usage: "list",
    about: "Names the scenarios.",
    run,
};

fn run(args: Arguments) -> Result<bool, BenchError> {
    finish(args)?;
    for scenario in SCENARIOS {
        println!("{:<20} {}", scenario.name, scenario.about);
    }
    Ok(true)
}
