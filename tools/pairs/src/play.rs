//! Runs pairs of benchmark days in parallel.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::Command,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use thiserror::Error;

use crate::report::{Figures, figures};

/// Days, seeds and checkouts to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Benchmark program that runs one day.
    pub bench: PathBuf,
    /// Checkout without the change.
    pub before: PathBuf,
    /// Checkout with the change.
    pub after: PathBuf,
    /// File that describes the deployment.
    pub site: PathBuf,
    /// Names of days.
    pub days: Vec<String>,
    /// Seeds of each day.
    pub seeds: Vec<u64>,
    /// Number of pairs run in parallel.
    pub jobs: usize,
    /// Whether to include processor time, which differs between two runs of one seed.
    pub include_cpu_time: bool,
    /// Reason that the benchmark program records in the journal.
    pub reason: String,
}

/// Results of one day and seed on both checkouts.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    /// Name of the day.
    pub day: String,
    /// Seed of the run.
    pub seed: u64,
    /// Figures without the change.
    pub before: Figures,
    /// Figures with the change.
    pub after: Figures,
}

/// Error of a run that gave no figures.
#[derive(Debug, Error)]
pub enum RunError {
    /// The benchmark program could not be started.
    #[error("cannot start {program}: {error}")]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// Cause of the failure.
        error: io::Error,
    },
    /// The program exited without writing a report.
    #[error(
        "day {day}, seed {seed} in {checkout}: no report; last line of stderr: {last_stderr_line}"
    )]
    NoReport {
        /// Name of the day.
        day: String,
        /// Seed of the run.
        seed: u64,
        /// Checkout in which the program ran.
        checkout: PathBuf,
        /// Last line that the program wrote to stderr.
        last_stderr_line: String,
    },
    /// The report could not be parsed.
    #[error("day {day}, seed {seed}: cannot parse the report: {error}")]
    Report {
        /// Name of the day.
        day: String,
        /// Seed of the run.
        seed: u64,
        /// Cause of the failure.
        error: serde_json::Error,
    },
}

/// Runs all pairs of a plan and returns them ordered by day and seed.
///
/// # Errors
///
/// Returns the first error that occurred, after all pairs have been run.
pub fn run_all(plan: &Plan) -> Result<Vec<Pair>, RunError> {
    let queue: Vec<(&str, u64)> = plan
        .days
        .iter()
        .flat_map(|day| plan.seeds.iter().map(|seed| (day.as_str(), *seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Result<Pair, RunError>>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..plan.jobs.clamp(1, queue.len().max(1)) {
            scope.spawn(|| {
                while let Some((day, seed)) = queue.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let pair = run_pair(plan, day, *seed);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    eprintln!("{} of {} pairs done", results.len() + 1, queue.len());
                    results.push(pair);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut pairs = results.into_iter().collect::<Result<Vec<Pair>, _>>()?;
    pairs.sort_by(|a, b| (&a.day, a.seed).cmp(&(&b.day, b.seed)));
    Ok(pairs)
}

fn run_pair(plan: &Plan, day: &str, seed: u64) -> Result<Pair, RunError> {
    Ok(Pair {
        day: day.to_owned(),
        seed,
        before: run_day(plan, &plan.before, day, seed)?,
        after: run_day(plan, &plan.after, day, seed)?,
    })
}

fn run_day(plan: &Plan, checkout: &Path, day: &str, seed: u64) -> Result<Figures, RunError> {
    // Pairs run in parallel, so each run writes its own report file.
    let side = if *checkout == plan.after {
        "after"
    } else {
        "before"
    };
    let name = format!("pairs-{}-{side}-{day}-{seed}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    let mut command = Command::new(&plan.bench);
    command
        .current_dir(checkout)
        .arg("run")
        .arg(&plan.site)
        .arg(day)
        .args(["--seed", &seed.to_string(), "--why", &plan.reason])
        .arg("--report")
        .arg(&file);
    if !plan.include_cpu_time {
        command.arg("--no-cpu");
    }
    let output = command.output().map_err(|error| RunError::Start {
        program: plan.bench.clone(),
        error,
    })?;
    let text = fs::read_to_string(&file).map_err(|_| RunError::NoReport {
        day: day.to_owned(),
        seed,
        checkout: checkout.to_owned(),
        last_stderr_line: String::from_utf8_lossy(&output.stderr)
            .lines()
            .last()
            .unwrap_or_default()
            .to_owned(),
    })?;
    if let Err(error) = fs::remove_file(&file) {
        eprintln!("cannot remove {}: {error}", file.display());
    }
    figures(&text).map_err(|error| RunError::Report {
        day: day.to_owned(),
        seed,
        error,
    })
}
