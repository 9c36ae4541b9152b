//! Help texts, made from the signatures.

use super::{BINARY, Command, Flag};
use crate::Exit;

/// Exit codes every command may give.
const COMMON_EXITS: [Exit; 3] = [Exit::Done, Exit::Failed, Exit::Usage];
const NAME_WIDTH: usize = 18;

/// The help of one command.
pub(crate) fn command_help(command: &Command) -> String {
    let mut lines = vec![
        command.description.to_owned(),
        String::new(),
        format!("Usage: {}", command.signature.usage(&command.name())),
    ];
    if !command.help.is_empty() {
        lines.extend([String::new(), command.help.trim().to_owned()]);
    }
    if !command.signature.flags.is_empty() {
        lines.extend([String::new(), "Flags:".to_owned()]);
        lines.extend(command.signature.flags.iter().map(flag_line));
    }
    if !command.examples.is_empty() {
        lines.extend([String::new(), "Examples:".to_owned()]);
        for example in command.examples {
            lines.push(format!("  # {}", example.description));
            lines.push(format!("  {BINARY} {}", example.line));
        }
    }
    lines.extend([String::new(), "Exit codes:".to_owned()]);
    for exit in Exit::ALL {
        if COMMON_EXITS.contains(&exit) || command.exits.contains(&exit) {
            lines.push(format!("  {}  {}", exit.code(), exit.describe()));
        }
    }
    lines.join("\n")
}

fn flag_line(flag: &Flag) -> String {
    let name = match flag.value {
        Some(value) => format!("{} {value}", flag.name),
        None => flag.name.to_owned(),
    };
    let variable = flag.variable.map(|v| format!(" [{v}]")).unwrap_or_default();
    format!("  {name:<28} {}{variable}", flag.help)
}

/// The help of a group such as `config`.
pub(crate) fn group_help(group: &str, commands: &[&Command]) -> String {
    let usage = format!("Usage: {BINARY} {group} COMMAND [--help]");
    list(vec![usage], commands)
}

/// The help of the binary.
pub(crate) fn overview(commands: &[&Command]) -> String {
    let lines = vec![
        "Serves multi-stage model pipelines to many workspaces.".to_owned(),
        String::new(),
        format!("Usage: {BINARY} COMMAND [--help]"),
    ];
    list(lines, commands)
}

fn list(mut lines: Vec<String>, commands: &[&Command]) -> String {
    lines.extend([String::new(), "Commands:".to_owned()]);
    for command in commands {
        let name = command.name();
        lines.push(format!("  {name:<NAME_WIDTH$} {}", command.description));
    }
    lines.join("\n")
}
