//! `tc-bench soak`

use std::time::{Duration, Instant};

use pico_args::Arguments;

use super::{Command, block_on, finish, run::option};
use crate::{
    error::BenchError,
    soak::{
        ConfigurationChanges, CrashingRequests, EngineVersions, LeavingUpstreams, OfferedLoad,
        Outcome, SilentUpstreams, SoakShape, SystemBinary, soak,
    },
};

/// Seeds unless the command line says otherwise.
const USUAL_SEEDS: u64 = 10;
/// Length of a seed's faults, in seconds, unless the command line says otherwise.
const USUAL_SECONDS: u64 = 10;
/// Instances of a soak unless the command line says otherwise.
const USUAL_INSTANCES: usize = 3;
/// Upstreams of each service.
const UPSTREAMS: usize = 3;
/// Callers for each instance.
const CALLERS: usize = 6;
/// Fewest callers when upstreams fall silent, for which most of them wait.
const MIN_CALLERS_IN_SILENCES: usize = 32;
/// Broken promises shown of a seed.
const SHOWN: usize = 12;

pub(super) const COMMAND: Command = Command {
    name: "soak",
    usage: "soak [--seeds N] [--seed FIRST] [--minutes M] [--seconds N] [--instances N] [--evacuations] [--limits] [--notices] [--departures] [--versions] [--crashes] [--silences] [--changes] [--hard-load]",
    about: "Faults by chance on gateway processes, with their promises checked; a seed gives the plan.",
    run,
};

fn run(mut args: Arguments) -> Result<bool, BenchError> {
    let seeds: u64 = option(&mut args, "--seeds")?.unwrap_or(USUAL_SEEDS);
    let first: u64 = option(&mut args, "--seed")?.unwrap_or(1);
    let minutes: Option<u64> = option(&mut args, "--minutes")?;
    let seconds: u64 = option(&mut args, "--seconds")?.unwrap_or(USUAL_SECONDS);
    let instances: usize = option(&mut args, "--instances")?.unwrap_or(USUAL_INSTANCES);
    let evacuations = args.contains("--evacuations");
    let limits = args.contains("--limits");
    let notices = args.contains("--notices");
    let leaving = if args.contains("--departures") {
        LeavingUpstreams::OfAllServices
    } else {
        LeavingUpstreams::Plain
    };
    let versions = if args.contains("--versions") {
        EngineVersions::Several
    } else {
        EngineVersions::One
    };
    let crashing = if args.contains("--crashes") {
        CrashingRequests::Sent
    } else {
        CrashingRequests::None
    };
    let silences = if args.contains("--silences") {
        SilentUpstreams::OfAllServices
    } else {
        SilentUpstreams::None
    };
    let changes = if args.contains("--changes") {
        ConfigurationChanges::InSeries
    } else {
        ConfigurationChanges::Usual
    };
    let load = if args.contains("--hard-load") {
        OfferedLoad::Hard
    } else {
        OfferedLoad::Steady
    };
    finish(args)?;
    if seeds == 0 || instances == 0 || seconds < 3 {
        let problem = "--seeds and --instances must be above 0, --seconds 3 or more";
        return Err(BenchError::Usage(problem.to_owned()));
    }
    let shape = SoakShape {
        instances,
        upstreams: UPSTREAMS,
        callers: if silences == SilentUpstreams::OfAllServices {
            MIN_CALLERS_IN_SILENCES.max(CALLERS * instances)
        } else {
            CALLERS * instances
        },
        length: Duration::from_secs(seconds),
        evacuations,
        limits,
        notices,
        leaving,
        versions,
        crashing,
        silences,
        changes,
        load,
    };
    let limit = minutes.map(|minutes| Instant::now() + Duration::from_secs(minutes * 60));
    let binary = SystemBinary::find()?;
    block_on(all_seeds(&binary, first, seeds, limit, shape))
}

async fn all_seeds(
    binary: &SystemBinary,
    first: u64,
    seeds: u64,
    limit: Option<Instant>,
    shape: SoakShape,
) -> Result<bool, BenchError> {
    println!("| seed | requests | served | broken promises |");
    println!("|---|---|---|---|");
    let mut clean = true;
    for seed in first..first + seeds {
        if limit.is_some_and(|limit| Instant::now() >= limit) {
            println!("the time is over before seed {seed}");
            break;
        }
        let outcome = soak(binary, seed, shape).await?;
        let Outcome {
            requests,
            served,
            broken,
            ..
        } = &outcome;
        println!("| {seed} | {requests} | {served} | {} |", broken.len());
        if !broken.is_empty() {
            clean = false;
            tell(&outcome);
        } else if (shape.silences, shape.changes, shape.load)
            != (
                SilentUpstreams::None,
                ConfigurationChanges::Usual,
                OfferedLoad::Steady,
            )
            && let Some(last) = outcome.timeline.last()
        {
            eprintln!("seed {seed}: {last}");
        }
    }
    Ok(clean)
}

/// All that is needed to look into a failure.
fn tell(outcome: &Outcome) {
    eprint!("{}", outcome.plan);
    for line in &outcome.timeline {
        eprintln!("{line}");
    }
    for what in outcome.broken.iter().take(SHOWN) {
        eprintln!("BROKEN {what}");
    }
    let folder = outcome.folder.display();
    eprintln!("logs: {folder} (tanagercroft explain REQUEST --logs FILE)");
}
