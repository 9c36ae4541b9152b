//! `tc-bench report`

use std::path::{Path, PathBuf};

use pico_args::Arguments;

use super::{Command, finish, run::option};
use crate::{error::BenchError, measure::RunReport, report::page};

pub(super) const COMMAND: Command = Command {
    name: "report",
    usage: "report DIR --out FILE.html",
    about: "Makes one page of the JSON files that runs and comparisons wrote into a folder.",
    run,
};

fn run(mut args: Arguments) -> Result<bool, BenchError> {
    let out: PathBuf = option(&mut args, "--out")?
        .ok_or_else(|| BenchError::Usage("--out FILE.html is missing".to_owned()))?;
    let folder: PathBuf = args
        .free_from_str()
        .map_err(|_| BenchError::Usage("which folder?".to_owned()))?;
    finish(args)?;
    let runs = read_folder(&folder)?;
    if runs.is_empty() {
        return Err(BenchError::Usage(format!(
            "{} holds no JSON file of a run",
            folder.display()
        )));
    }
    std::fs::write(&out, page(&runs)?).map_err(|e| BenchError::file(&out, &e))?;
    println!("{} runs in {}", runs.len(), out.display());
    Ok(true)
}

fn read_folder(folder: &Path) -> Result<Vec<RunReport>, BenchError> {
    let entries = std::fs::read_dir(folder).map_err(|e| BenchError::file(folder, &e))?;
    let mut paths: Vec<PathBuf> = entries
        .flatten()
        .map(|e| e.path())
        .filter(|p| p.extension().is_some_and(|e| e == "json"))
        .collect();
    paths.sort();
    let mut runs = Vec::new();
    for path in paths {
        runs.extend(RunReport::read_all(&path)?);
    }
    Ok(runs)
}
