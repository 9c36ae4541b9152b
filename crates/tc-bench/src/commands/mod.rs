//! The command line.

mod compare;
mod demo;
mod list;
mod output;
mod report;
mod run;
mod soak;
mod sweep;

use std::process::ExitCode;

use pico_args::Arguments;

use crate::error::BenchError;

/// One command.
struct Command {
    name: &'static str,
    usage: &'static str,
    about: &'static str,
    /// Returns whether everything held.
    run: fn(Arguments) -> Result<bool, BenchError>,
}

const COMMANDS: &[Command] = &[
    demo::COMMAND,
    list::COMMAND,
    run::COMMAND,
    sweep::COMMAND,
    soak::COMMAND,
    compare::COMMAND,
    report::COMMAND,
];

/// Runs the tool; exit code 0 when everything held, 1 when a claim failed, 2 when it could not be run.
#[must_use]
pub fn run() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let mut args = Arguments::from_env();
    let outcome = match args.subcommand() {
        Ok(Some(name)) => dispatch(&name, args),
        Ok(None) => {
            print_help();
            Ok(true)
        }
        Err(e) => Err(BenchError::Usage(e.to_string())),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{:?}", miette::Report::new(e));
            ExitCode::from(2)
        }
    }
}

fn dispatch(name: &str, args: Arguments) -> Result<bool, BenchError> {
    let command = COMMANDS
        .iter()
        .find(|c| c.name == name)
        .ok_or_else(|| BenchError::Usage(format!("no command is called {name}")))?;
    (command.run)(args)
}

fn print_help() {
    println!("Load and experiment tool of tanagercroft.\n");
    for command in COMMANDS {
        println!("tc-bench {}\n    {}", command.usage, command.about);
    }
}

/// Refuses words that no option took.
fn finish(args: Arguments) -> Result<(), BenchError> {
    let rest = args.finish();
    match rest.first() {
        None => Ok(()),
        Some(word) => Err(BenchError::Usage(format!(
            "unknown word {}",
            word.to_string_lossy()
        ))),
    }
}

/// Runs `work` to its end, or ends it on Ctrl-C or a termination; dropping it ends every process it started.
fn block_on<T>(work: impl Future<Output = Result<T, BenchError>>) -> Result<T, BenchError> {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| BenchError::world("runtime", e))?;
    runtime.block_on(async {
        let mut terminated =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
                .map_err(|e| BenchError::world("signals", e))?;
        tokio::select! {
            done = work => done,
            _ = tokio::signal::ctrl_c() => Err(BenchError::Interrupted),
            _ = terminated.recv() => Err(BenchError::Interrupted),
        }
    })
}
