//! `config diff`

use serde::Serialize;
use tc_config::{Change, merge, read_folder};
use tc_protocol::FleetConfig;

use crate::{
    Exit,
    apply::{self, Base, Current, FORCE_BASE},
    command::{Command, Context, Example, JSON, PLATFORM, Signature, block_on},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["config", "diff"],
    signature: Signature {
        positionals: &["FOLDER"],
        flags: &[PLATFORM, FORCE_BASE, JSON],
    },
    description: "Show what applying a folder would change",
    help: "
Compares the configuration in force with what `config apply FOLDER` would bring into force now, key by
key: `+` is added, `-` removed, `~` changed. Ends with 0 whether there are differences or not, and with
4 where the apply would be refused.",
    examples: &[
        Example::new(
            "config diff fleet --platform 127.0.0.1:9400",
            "what applying `fleet` would change",
        ),
        Example::new(
            "config diff fleet --platform 127.0.0.1:9400 --json",
            "the same for a script",
        ),
    ],
    exits: &[Exit::InvalidConfig, Exit::Conflict, Exit::Unreachable],
    run,
};

/// Differences, as JSON.
#[derive(Serialize)]
struct DiffReport {
    /// Revision in force; 0 when there is none.
    revision: u64,
    changes: Vec<Change>,
}

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let folder = cx.path(cx.arguments.positional(0));
    let forced = super::apply::forced_base(cx)?;
    let ours = apply::by_name(&read_folder(&folder)?);
    let store = apply::store(cx)?;
    let current = block_on(apply::read(&store))?;
    let base = Base::find(&folder, forced, &ours, &current)?;
    let reconciled = apply::reconcile(&base.files, &ours, &apply::in_force(&current))
        .map_err(|files| apply::both_changed(&files, &current))?;
    let new = merge(&apply::sources(&reconciled.files), 0)?;
    let report = DiffReport {
        revision: current.as_ref().map_or(0, |c| c.value.revision),
        changes: tc_config::diff(&old(&current)?, &new),
    };
    if cx.arguments.has(&JSON) {
        return cx.output.json(&report);
    }
    if report.changes.is_empty() {
        let revision = report.revision;
        return cx
            .output
            .line(format!("no difference from revision {revision}"));
    }
    for change in &report.changes {
        cx.output.line(change.to_string())?;
    }
    Ok(())
}

fn old(current: &Current) -> Result<FleetConfig, CommandError> {
    if current.is_none() {
        return Ok(FleetConfig::default());
    }
    Ok(merge(&apply::sources(&apply::in_force(current)), 0)?)
}
