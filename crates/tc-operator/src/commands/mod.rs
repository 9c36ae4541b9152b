//! All commands, one file each.

mod config;
mod drain;
mod explain;
mod gateway;
mod quarantine;
mod serve;
mod status;
mod undrain;
mod upstreams;
mod workspaces;

use std::time::{Duration, SystemTime};

use tc_config::nearest;

use crate::{
    Exit,
    admin::paths,
    command::{ADMIN, BINARY, Command, Context, Flag, JSON},
    error::{CommandError, usage},
};

pub(crate) use config::OPERATOR_NAME;

/// The table of commands, in the order the help lists them.
pub(crate) const ALL: &[Command] = &[
    serve::COMMAND,
    gateway::COMMAND,
    config::check::COMMAND,
    config::check_routing::COMMAND,
    config::apply::COMMAND,
    config::show::COMMAND,
    config::diff::COMMAND,
    config::history::COMMAND,
    status::COMMAND,
    upstreams::COMMAND,
    workspaces::COMMAND,
    explain::COMMAND,
    drain::COMMAND,
    undrain::COMMAND,
    quarantine::list::COMMAND,
    quarantine::lift::COMMAND,
];

/// An example of a command, as its help shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShownExample {
    /// The whole command line.
    pub line: String,
    /// Outcome if the named object exists.
    pub exit: Exit,
}

/// The examples of all commands.
///
/// ```
/// assert!(tc_operator::examples().iter().any(|e| e.line.starts_with("tanagercroft config apply")));
/// ```
#[must_use]
pub fn examples() -> Vec<ShownExample> {
    let examples = ALL.iter().flat_map(|command| command.examples);
    examples
        .map(|example| ShownExample {
            line: format!("{BINARY} {}", example.line),
            exit: example.exit,
        })
        .collect()
}

/// Text of a cell for something that may not be known.
fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Text of a cell for a switch.
fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Text of a cell for milliseconds.
fn millis(value: f64) -> String {
    format!("{value:.1}")
}

/// Time since a moment given by another machine's clock, for people only.
fn age(unix_ms: u64) -> Option<String> {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms);
    let seconds = SystemTime::now().duration_since(at).ok()?.as_secs();
    Some(match seconds {
        0..60 => format!("{seconds}s"),
        60..3600 => format!("{}m", seconds / 60),
        3600..86_400 => format!("{}h", seconds / 3600),
        _ => format!("{}d", seconds / 86_400),
    })
}

/// The word under which a value is serialised, such as `alive`.
fn word(value: impl serde::Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        _ => "-".to_owned(),
    }
}

/// Flags of every command that reads from an instance.
const READ_FLAGS: &[Flag] = &[ADMIN, JSON];

/// An identifier as it is put into a path of the admin interface.
fn identifier<'a>(text: &'a str, what: &str) -> Result<&'a str, CommandError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !text.is_empty() && text.chars().all(plain) {
        return Ok(text);
    }
    let help = "identifiers are made of letters, digits, `-`, `_` and `.`";
    Err(usage(
        format!("{text:?} cannot be the id of a {what}"),
        help,
    ))
}

/// Path and description of what `drain` and `undrain` are about.
fn drain_path(cx: &Context<'_>) -> Result<(String, String), CommandError> {
    const KINDS: [(&str, &str); 2] = [
        ("upstream", paths::DRAIN_UPSTREAM),
        ("instance", paths::DRAIN_INSTANCE),
    ];
    let kind = cx.arguments.positional(0);
    let Some((_, path)) = KINDS.iter().find(|(word, _)| *word == kind) else {
        let help = match nearest(kind, KINDS.iter().map(|(word, _)| *word)) {
            Some(nearest) => format!("did you mean {nearest}?"),
            None => "write `upstream` or `instance`, then its id".to_owned(),
        };
        return Err(usage(format!("{kind:?} cannot be drained"), help));
    };
    let id = identifier(cx.arguments.positional(1), kind)?;
    Ok((format!("{path}{id}"), format!("{kind} {id}")))
}
