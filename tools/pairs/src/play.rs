//! Plays pairs of days, several at a time.

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

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program that plays a day.
    pub bench: PathBuf,
    /// Checkout without the change.
    pub before: PathBuf,
    /// Checkout with it.
    pub after: PathBuf,
    /// The deployment's file.
    pub site: PathBuf,
    /// Names of days.
    pub days: Vec<String>,
    /// Seeds of each day.
    pub seeds: Vec<u64>,
    /// Days played at the same time.
    pub jobs: usize,
    /// Whether processor time counts; it is not the same in two runs of one seed.
    pub with_processor_time: bool,
    /// The reason that the journal gets.
    pub why: String,
}

/// One day and seed, played twice.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    /// Name of the day.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// Figures without the change.
    pub before: Figures,
    /// Figures with it.
    pub after: Figures,
}

/// Why a day brought no figures.
#[derive(Debug, Error)]
pub enum PlayError {
    /// The program could not be started.
    #[error("{program} cannot be started: {error}")]
    Start {
        /// Its path.
        program: PathBuf,
        /// What went wrong.
        error: io::Error,
    },
    /// It ended without a report.
    #[error("day {day}, seed {seed} in {checkout}: no report; the program said: {said}")]
    NoReport {
        /// Name of the day.
        day: String,
        /// Its seed.
        seed: u64,
        /// Which checkout was played.
        checkout: PathBuf,
        /// Its last words.
        said: String,
    },
    /// The report cannot be read.
    #[error("day {day}, seed {seed}: the report cannot be read: {error}")]
    Report {
        /// Name of the day.
        day: String,
        /// Its seed.
        seed: u64,
        /// What went wrong.
        error: serde_json::Error,
    },
}

/// Plays all pairs of a plan.
///
/// # Errors
///
/// At the first day that brings no figures.
pub fn play_all(plan: &Plan) -> Result<Vec<Pair>, PlayError> {
    let wanted: Vec<(&str, u64)> = plan
        .days
        .iter()
        .flat_map(|day| plan.seeds.iter().map(|seed| (day.as_str(), *seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let played: Mutex<Vec<Result<Pair, PlayError>>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..plan.jobs.clamp(1, wanted.len().max(1)) {
            scope.spawn(|| {
                while let Some((day, seed)) = wanted.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let pair = play_pair(plan, day, *seed);
                    let mut played = played.lock().unwrap_or_else(PoisonError::into_inner);
                    eprintln!("{} of {} pairs", played.len() + 1, wanted.len());
                    played.push(pair);
                }
            });
        }
    });
    let played = played.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut pairs = played.into_iter().collect::<Result<Vec<Pair>, _>>()?;
    pairs.sort_by(|a, b| (&a.day, a.seed).cmp(&(&b.day, b.seed)));
    Ok(pairs)
}

fn play_pair(plan: &Plan, day: &str, seed: u64) -> Result<Pair, PlayError> {
    Ok(Pair {
        day: day.to_owned(),
        seed,
        before: play(plan, &plan.before, day, seed)?,
        after: play(plan, &plan.after, day, seed)?,
    })
}

fn play(plan: &Plan, checkout: &Path, day: &str, seed: u64) -> Result<Figures, PlayError> {
    // Each pair has files of its own, as several are played at a time.
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
        .args(["--seed", &seed.to_string(), "--why", &plan.why])
        .arg("--report")
        .arg(&file);
    if !plan.with_processor_time {
        command.arg("--no-cpu");
    }
    let output = command.output().map_err(|error| PlayError::Start {
        program: plan.bench.clone(),
        error,
    })?;
    let text = fs::read_to_string(&file).map_err(|_| PlayError::NoReport {
        day: day.to_owned(),
        seed,
        checkout: checkout.to_owned(),
        said: String::from_utf8_lossy(&output.stderr)
            .lines()
            .last()
            .unwrap_or_default()
            .to_owned(),
    })?;
    if let Err(error) = fs::remove_file(&file) {
        eprintln!("{} stays behind: {error}", file.display());
    }
    figures(&text).map_err(|error| PlayError::Report {
        day: day.to_owned(),
        seed,
        error,
    })
}
