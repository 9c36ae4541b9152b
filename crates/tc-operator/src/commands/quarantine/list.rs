//! `quarantine list`

use serde::Serialize;
use tc_platform::{Quarantined, list_quarantined};
use tc_protocol::{ServiceName, WorkspaceName};

use super::digits;
use crate::{
    Exit, apply,
    command::{Command, Context, Example, JSON, PLATFORM, Signature, block_on},
    commands::age,
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["quarantine", "list"],
    signature: Signature {
        positionals: &[],
        flags: &[PLATFORM, JSON],
    },
    description: "Show the requests that crashed upstreams and are not run any more",
    help: "
A request is known by its fingerprint: a hash of its workspace, service and input, never the input itself.
Whose it was is shown where the instance that found it knew.",
    examples: &[
        Example::new(
            "quarantine list --platform 127.0.0.1:9400",
            "fingerprints, whose they are, and since when",
        ),
        Example::new(
            "quarantine list --platform 127.0.0.1:9400 --json",
            "the same for a script",
        ),
    ],
    exits: &[Exit::Unreachable],
    run,
};

const HEADER: &[&str] = &["FINGERPRINT", "WORKSPACE", "SERVICE", "AGE"];

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let store = apply::store(cx)?;
    let listed = async {
        let listed = list_quarantined(&store).await;
        listed.map_err(|e| apply::store_error(&e))
    };
    let quarantined: Vec<QuarantineReport> = block_on(listed)?.into_iter().map(report).collect();
    if cx.arguments.has(&JSON) {
        return cx.output.json(&quarantined);
    }
    let rows: Vec<Vec<String>> = quarantined.iter().map(row).collect();
    cx.output.table(HEADER, &rows)
}

/// One quarantine. The fingerprint is text: as a number it would lose digits in many readers of JSON.
#[derive(Serialize)]
struct QuarantineReport {
    fingerprint: String,
    workspace: WorkspaceName,
    service: ServiceName,
    added_at_ms: u64,
}

fn report(entry: Quarantined) -> QuarantineReport {
    QuarantineReport {
        fingerprint: digits(entry.fingerprint),
        workspace: entry.workspace,
        service: entry.service,
        added_at_ms: entry.added_at_ms,
    }
}

fn row(entry: &QuarantineReport) -> Vec<String> {
    let known = |name: &str| if name.is_empty() { "-" } else { name }.to_owned();
    vec![
        entry.fingerprint.clone(),
        known(entry.workspace.as_str()),
        known(entry.service.as_str()),
        age(entry.added_at_ms).unwrap_or_else(|| "-".to_owned()),
    ]
}
