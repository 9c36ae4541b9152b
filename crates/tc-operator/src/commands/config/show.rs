//! `config show`

use serde::Serialize;
use tc_config::merge;
use tc_protocol::FleetConfig;

use crate::{
    Exit,
    apply::{self, Files},
    command::{Command, Context, Example, Flag, JSON, PLATFORM, Signature, block_on},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["config", "show"],
    signature: Signature {
        positionals: &[],
        flags: &[PLATFORM, FILES, JSON],
    },
    description: "Show the configuration in force, or pull its files",
    help: "
Writes the merged configuration as TOML, with every default filled in. With --files, writes the files
as they were applied into a folder, which can then be changed and applied. Files in that folder which
were changed and never applied are not overwritten: the command is refused.",
    examples: &[
        Example::new(
            "config show --platform 127.0.0.1:9400",
            "the merged configuration in force",
        ),
        Example::new(
            "config show --platform 127.0.0.1:9400 --files pulled",
            "its files, into the folder `pulled`",
        ),
        Example::new(
            "config show --platform 127.0.0.1:9400 --json",
            "files and merged configuration for a script",
        ),
    ],
    exits: &[Exit::InvalidConfig, Exit::Conflict, Exit::Unreachable],
    run,
};

const FILES: Flag = Flag {
    name: "--files",
    value: Some("FOLDER"),
    variable: None,
    help: "write the files into this folder",
};

/// The configuration in force, as JSON.
#[derive(Serialize)]
struct ShownConfig {
    revision: u64,
    applied_by: String,
    applied_at_ms: u64,
    files: Files,
    merged: FleetConfig,
}

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let store = apply::store(cx)?;
    let current = Some(block_on(apply::read_existing(&store))?);
    let Some(object) = current.as_ref().map(|current| &current.value) else {
        return Ok(());
    };
    if let Some((folder, _)) = cx.arguments.value(&FILES) {
        let files = apply::pull(&cx.path(folder), &current)?;
        let line = format!(
            "pulled {} files of revision {} into {folder}",
            files.len(),
            object.revision
        );
        return cx.output.line(line);
    }
    let files = apply::in_force(&current);
    let merged = merge(&apply::sources(&files), object.revision)?;
    if cx.arguments.has(&JSON) {
        return cx.output.json(&ShownConfig {
            revision: object.revision,
            applied_by: object.applied_by.clone(),
            applied_at_ms: object.applied_at_ms,
            files,
            merged,
        });
    }
    cx.output.line(format!(
        "# revision {}, applied by {}",
        object.revision, object.applied_by
    ))?;
    cx.output.line(as_toml(&merged)?.trim_end())
}

fn as_toml(config: &FleetConfig) -> Result<String, CommandError> {
    let unwritable = |e: toml::ser::Error| CommandError::Failed {
        problem: format!("the configuration cannot be written as TOML: {e}"),
        help: "use --json".to_owned(),
    };
    let mut table = toml::Table::try_from(config).map_err(unwritable)?;
    // Not a key of the files.
    table.remove("revision");
    toml::to_string_pretty(&table).map_err(unwritable)
}
