//! `config history`

use std::collections::BTreeMap;

use serde::Serialize;
use tc_protocol::wire::ConfigObject;

use crate::{
    Exit, apply,
    command::{Command, Context, Example, JSON, PLATFORM, Signature, block_on},
    commands::{age, or_dash},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["config", "history"],
    signature: Signature {
        positionals: &[],
        flags: &[PLATFORM, JSON],
    },
    description: "Show the revision in force and which revision last changed each file",
    help: "
The newest revision comes first, with who applied it and how long ago. For older revisions only the
files are known which no later one changed: texts of the past are kept in your version control, not in
the platform.",
    examples: &[
        Example::new(
            "config history --platform 127.0.0.1:9400",
            "revisions and the files they last changed",
        ),
        Example::new(
            "config history --platform 127.0.0.1:9400 --json",
            "the same for a script",
        ),
    ],
    exits: &[Exit::Unreachable],
    run,
};

/// One revision that is still visible in the files.
#[derive(Serialize)]
struct RevisionReport {
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    applied_by: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    applied_at_ms: Option<u64>,
    /// Files it changed that no later one did.
    files: Vec<String>,
}

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let store = apply::store(cx)?;
    let current = block_on(apply::read_existing(&store))?;
    let revisions = revisions(&current.value);
    if cx.arguments.has(&JSON) {
        return cx.output.json(&revisions);
    }
    let rows: Vec<Vec<String>> = revisions.iter().map(row).collect();
    cx.output.table(&["REVISION", "BY", "AGE", "FILES"], &rows)
}

fn revisions(object: &ConfigObject) -> Vec<RevisionReport> {
    let mut files: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    files.entry(object.revision).or_default();
    for (name, file) in &object.files {
        files.entry(file.revision).or_default().push(name.clone());
    }
    let newest_first = files.into_iter().rev();
    newest_first
        .map(|(revision, files)| {
            let is_in_force = revision == object.revision;
            RevisionReport {
                revision,
                applied_by: is_in_force.then(|| object.applied_by.clone()),
                applied_at_ms: is_in_force.then_some(object.applied_at_ms),
                files,
            }
        })
        .collect()
}

fn row(revision: &RevisionReport) -> Vec<String> {
    vec![
        revision.revision.to_string(),
        or_dash(revision.applied_by.as_ref()),
        or_dash(revision.applied_at_ms.and_then(age)),
        revision.files.join(" "),
    ]
}
