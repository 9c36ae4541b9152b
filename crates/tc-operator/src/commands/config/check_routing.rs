//! `config check-routing`

use std::path::Path;

use serde::Serialize;
use tc_config::{Finding, RoutingChange, Severity, check_routing, compare_routing};
use tc_platform_adapter::platform_codec;
use tc_protocol::routing::RoutingConfig;

use crate::{
    Exit,
    command::{Command, Context, Example, Flag, JSON, Signature},
    error::CommandError,
};

/// The configuration to compare with.
const IN_FORCE: Flag = Flag::value(
    "--in-force",
    "FILE",
    "TANAGERCROFT_ROUTING_IN_FORCE",
    "the configuration in force, to show what differs from it",
);

pub(crate) const COMMAND: Command = Command {
    words: &["config", "check-routing"],
    signature: Signature {
        positionals: &["FILE"],
        flags: &[IN_FORCE, JSON],
    },
    description: "Check a configuration for `gateway` instances before it is sent to the platform's store",
    help: "
Reads the configuration as the platform's store holds it (JSON) and reports errors, entries that no
request can match and limits that contradict each other. With --in-force it also shows what changes for
callers. Nothing is contacted. Warnings do not change the exit code.",
    examples: &[
        Example::new("config check-routing routing.json", "check a configuration"),
        Example::new(
            "config check-routing routing.json --in-force current.json --json",
            "the same for a script, with what differs from the one in force",
        ),
    ],
    exits: &[Exit::InvalidConfig],
    run,
};

/// Result of a check, as JSON.
#[derive(Serialize)]
struct RoutingReport {
    valid: bool,
    version: u64,
    findings: Vec<Finding>,
    /// Differences from the configuration in force, if one is given.
    changes: Vec<RoutingChange>,
}

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let file = cx.path(cx.arguments.positional(0));
    let config = read(&file)?;
    let in_force = match cx.arguments.value(&IN_FORCE) {
        Some((path, _)) => Some(read(&cx.path(path))?),
        None => None,
    };
    let findings = check_routing(&config);
    let errors = findings.iter().filter(|f| f.severity == Severity::Error);
    let errors = errors.count();
    let changes = in_force.map(|in_force| compare_routing(&in_force, &config));
    if cx.arguments.has(&JSON) {
        cx.output.json(&RoutingReport {
            valid: errors == 0,
            version: config.version,
            findings,
            changes: changes.unwrap_or_default(),
        })?;
    } else {
        write_text(cx, &config, &findings, changes.as_deref())?;
    }
    if errors > 0 {
        let file = file.display().to_string();
        let problem = format!("{errors} errors");
        return Err(CommandError::RoutingConfig { file, problem });
    }
    Ok(())
}

fn write_text(
    cx: &mut Context<'_>,
    config: &RoutingConfig,
    findings: &[Finding],
    changes: Option<&[RoutingChange]>,
) -> Result<(), CommandError> {
    for finding in findings {
        let word = super::super::word(finding.severity);
        let (subject, problem, code) = (&finding.subject, &finding.problem, finding.code);
        cx.output
            .line(format!("{word}: {subject}: {problem} ({code})"))?;
    }
    for change in changes.unwrap_or_default() {
        cx.output.line(format!("change: {change}"))?;
    }
    if changes.is_some_and(<[_]>::is_empty) {
        cx.output.line("no difference from the version in force")?;
    }
    cx.output.line(format!(
        "version {}: {} routes, {} services, {} keys, {} findings",
        config.version,
        config.routes.len(),
        config.services.len(),
        config.keys.len(),
        findings.len()
    ))
}

fn read(file: &Path) -> Result<RoutingConfig, CommandError> {
    let invalid = |problem: String| CommandError::RoutingConfig {
        file: file.display().to_string(),
        problem,
    };
    let text = std::fs::read_to_string(file).map_err(|error| invalid(error.to_string()))?;
    let value = serde_json::from_str(&text).map_err(|error| invalid(error.to_string()))?;
    (platform_codec().read_config)(&value).map_err(invalid)
}
