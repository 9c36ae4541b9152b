//! From a command line to its exit code.

use std::{collections::BTreeMap, io::IsTerminal, io::Write, path::PathBuf, process::ExitCode};

use miette::{GraphicalReportHandler, GraphicalTheme};
use tc_config::nearest;

use crate::{
    Exit,
    command::{self, Arguments, BINARY, Command, Context},
    commands,
    error::{CommandError, usage},
    output::Output,
};

const REPORT_WIDTH: usize = 100;

/// One call of the binary and its surroundings.
#[derive(Clone, Debug, Default)]
pub struct Invocation {
    /// The command line without the binary's name.
    pub words: Vec<String>,
    /// Environment variables.
    pub variables: BTreeMap<String, String>,
    /// Folder that relative paths start from; empty for the process's own.
    pub folder: PathBuf,
    /// Whether the output goes to a terminal.
    pub terminal: bool,
}

impl Invocation {
    /// This process's own.
    fn from_process() -> Self {
        let lossy = |word: std::ffi::OsString| word.to_string_lossy().into_owned();
        Self {
            words: std::env::args_os().skip(1).map(lossy).collect(),
            variables: std::env::vars_os()
                .map(|(name, value)| (lossy(name), lossy(value)))
                .collect(),
            folder: PathBuf::new(),
            terminal: std::io::stdout().is_terminal(),
        }
    }
}

/// Runs this process's command line.
#[must_use]
pub fn run() -> ExitCode {
    // Not locked: the threads of a long-running command write their logs there too.
    let exit = execute(
        Invocation::from_process(),
        &mut std::io::stdout(),
        &mut std::io::stderr(),
    );
    exit.code().into()
}

/// Runs one command line, writing results to `out` and everything else to `err`.
///
/// Must not be called from a tokio runtime: commands start their own.
///
/// ```
/// use tc_operator::{Exit, Invocation, execute};
/// let invocation = Invocation {
///     words: vec!["--help".to_owned()],
///     ..Invocation::default()
/// };
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// assert_eq!(execute(invocation, &mut out, &mut err), Exit::Done);
/// assert!(String::from_utf8(out).unwrap().contains("config apply"));
/// ```
pub fn execute(invocation: Invocation, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let terminal = invocation.terminal;
    let mut output = Output { out, err, terminal };
    match dispatch(invocation, &mut output) {
        Ok(()) => Exit::Done,
        Err(error) => {
            if !error.is_closed_pipe() {
                report(&error, &mut output);
            }
            error.exit()
        }
    }
}

fn dispatch(invocation: Invocation, output: &mut Output<'_>) -> Result<(), CommandError> {
    let all: Vec<&Command> = commands::ALL.iter().collect();
    let Some(first) = invocation.words.first().map(String::as_str) else {
        output.note(command::overview(&all))?;
        return Err(usage(
            "no command is given",
            "name one of the commands above",
        ));
    };
    match first {
        "-h" | "--help" | "help" => return output.line(command::overview(&all)),
        "-V" | "--version" => {
            return output.line(format!("{BINARY} {}", env!("CARGO_PKG_VERSION")));
        }
        _ => {}
    }
    if let Some(command) = all.iter().find(|c| is_named_by(c, &invocation.words)) {
        return run_command(command, invocation, output);
    }
    let group: Vec<&Command> = (all.iter().copied())
        .filter(|c| c.words.len() > 1 && c.words[0] == first)
        .collect();
    if group.is_empty() {
        return Err(unknown_command(first, &all, 0));
    }
    match invocation.words.get(1).map(String::as_str) {
        Some("-h" | "--help" | "help") => output.line(command::group_help(first, &group)),
        Some(second) => Err(unknown_command(second, &group, 1)),
        None => {
            output.note(command::group_help(first, &group))?;
            Err(usage(
                format!("{first} needs a command"),
                "name one of the commands above",
            ))
        }
    }
}

fn is_named_by(command: &Command, words: &[String]) -> bool {
    let named = command.words;
    words.len() >= named.len() && words.iter().zip(named).all(|(a, b)| a == b)
}

fn run_command(
    command: &Command,
    invocation: Invocation,
    output: &mut Output<'_>,
) -> Result<(), CommandError> {
    let rest = &invocation.words[command.words.len()..];
    let name = command.name();
    let arguments = Arguments::parse(&name, &command.signature, rest, invocation.variables)?;
    if arguments.help {
        return output.line(command::command_help(command));
    }
    let mut cx = Context {
        arguments,
        output: Output {
            out: &mut *output.out,
            err: &mut *output.err,
            terminal: output.terminal,
        },
        folder: invocation.folder,
    };
    (command.run)(&mut cx)
}

/// `depth` is the position of the word that is not known.
fn unknown_command(word: &str, commands: &[&Command], depth: usize) -> CommandError {
    let names = commands.iter().filter_map(|c| c.words.get(depth).copied());
    // `tanagercroft apply` means `config apply`.
    let last_words = commands.iter().filter_map(|c| c.words.last().copied());
    let help = match nearest(word, names.chain(last_words)) {
        Some(found) => {
            let meant = commands.iter().find(|c| c.words.contains(&found));
            let meant = meant.map_or_else(|| found.to_owned(), |c| c.name_up_to(found));
            format!("did you mean `{BINARY} {meant}`?")
        }
        None => format!("see {BINARY} --help"),
    };
    usage(format!("there is no command {word:?}"), help)
}

impl Command {
    /// Its words up to and with `last`.
    fn name_up_to(&self, last: &str) -> String {
        let end = self.words.iter().position(|word| *word == last);
        self.words[..=end.unwrap_or(self.words.len() - 1)].join(" ")
    }
}

/// Shows an error with its place and help.
fn report(error: &CommandError, output: &mut Output<'_>) {
    let theme = if output.terminal {
        GraphicalTheme::unicode()
    } else {
        GraphicalTheme::unicode_nocolor()
    };
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(theme).with_width(REPORT_WIDTH);
    if handler.render_report(&mut text, error).is_err() {
        text = error.to_string();
    }
    // An error that cannot be written to stderr can be told nowhere.
    let _ = writeln!(output.err, "{}", text.trim_end());
}
