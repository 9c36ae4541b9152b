//! `config check`

use miette::Diagnostic;
use serde::Serialize;
use tc_config::{ConfigError, FolderScan, Merged, Override, merge_with_overrides, scan_folder};

use crate::{
    Exit,
    command::{Command, Context, Example, JSON, Signature},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["config", "check"],
    signature: Signature {
        positionals: &["FOLDER"],
        flags: &[JSON],
    },
    description: "Check a configuration folder without applying it",
    help: "
Merges the folder's *.toml files in order of their names and reports everything that is wrong, each
with file, line and key. Notes tell which keys a later file overrides and which entries of the folder
are left out. Nothing is contacted.",
    examples: &[
        Example::new("config check fleet", "check the folder `fleet`"),
        Example::new("config check fleet --json", "the same for a script"),
    ],
    exits: &[Exit::InvalidConfig],
    run,
};

/// Result of a check, as JSON.
#[derive(Default, Serialize)]
struct CheckReport {
    valid: bool,
    files: Vec<String>,
    overrides: Vec<String>,
    ignored: Vec<String>,
    faults: Vec<FaultReport>,
}

#[derive(Serialize)]
struct FaultReport {
    file: String,
    line: usize,
    key: String,
    code: String,
    problem: String,
    help: String,
}

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let folder = cx.path(cx.arguments.positional(0));
    let scan = scan_folder(&folder)?;
    let merged = merge_with_overrides(&scan.files, 0);
    if cx.arguments.has(&JSON) {
        cx.output.json(&report(&scan, &merged))?;
        return merged.map(drop).map_err(CommandError::from);
    }
    let merged = merged?;
    for note in notes(&scan, &merged.overrides) {
        cx.output.line(format!("note: {note}"))?;
    }
    let config = &merged.config;
    cx.output.line(format!(
        "valid: {} files, {} pipelines, {} services, {} workspaces, {} models",
        scan.files.len(),
        config.pipelines.len(),
        config.services.len(),
        config.workspaces.len(),
        config.models.len()
    ))
}

fn notes(scan: &FolderScan, overrides: &[Override]) -> Vec<String> {
    let overrides = overrides.iter().map(ToString::to_string);
    let ignored = scan.ignored.iter();
    let ignored = ignored.map(|i| format!("{} is left out: {}", i.name, i.reason));
    overrides.chain(ignored).collect()
}

fn report(scan: &FolderScan, merged: &Result<Merged, ConfigError>) -> CheckReport {
    let mut report = CheckReport {
        valid: merged.is_ok(),
        files: scan.files.iter().map(|f| f.name.to_string()).collect(),
        ignored: scan.ignored.iter().map(|i| i.name.clone()).collect(),
        ..CheckReport::default()
    };
    match merged {
        Ok(merged) => {
            report.overrides = merged.overrides.iter().map(ToString::to_string).collect();
        }
        Err(error) => report.faults = error.faults().iter().map(fault_report).collect(),
    }
    report
}

fn fault_report(fault: &tc_config::Fault) -> FaultReport {
    let text = |part: Option<Box<dyn std::fmt::Display + '_>>| {
        part.map(|part| part.to_string()).unwrap_or_default()
    };
    FaultReport {
        file: fault.file().to_owned(),
        line: fault.line(),
        key: fault.key().to_owned(),
        code: text(fault.code()),
        problem: fault.kind().to_string(),
        help: text(fault.help()),
    }
}
