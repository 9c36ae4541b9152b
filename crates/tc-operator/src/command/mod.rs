//! Definition of a command: its words, signature, help, examples and the function that runs it.

mod arguments;
mod context;
mod help;
mod signature;

pub(crate) use arguments::{Arguments, Origin};
pub(crate) use context::{Context, block_on};
pub(crate) use help::{command_help, group_help, overview};
pub(crate) use signature::{ADMIN, Flag, JSON, PLATFORM, Signature};

use crate::{Exit, error::CommandError};

/// Name of the binary in usage lines.
pub(crate) const BINARY: &str = "tanagercroft";

/// One command.
pub(crate) struct Command {
    /// The words that name it, such as `config apply`.
    pub(crate) words: &'static [&'static str],
    pub(crate) signature: Signature,
    /// One line for the list of commands.
    pub(crate) description: &'static str,
    /// Everything else there is to say.
    pub(crate) help: &'static str,
    /// Run as tests.
    pub(crate) examples: &'static [Example],
    /// Exit codes beside 0, 1 and 2.
    pub(crate) exits: &'static [Exit],
    pub(crate) run: fn(&mut Context<'_>) -> Result<(), CommandError>,
}

impl Command {
    /// Its words as typed.
    pub(crate) fn name(&self) -> String {
        self.words.join(" ")
    }
}

/// An invocation shown in the help.
pub(crate) struct Example {
    /// The command line without the binary's name.
    pub(crate) line: &'static str,
    /// Description.
    pub(crate) description: &'static str,
    /// Outcome if the named object exists.
    pub(crate) exit: Exit,
}

impl Example {
    /// An example that succeeds.
    pub(crate) const fn new(line: &'static str, description: &'static str) -> Self {
        Self {
            line,
            description,
            exit: Exit::Done,
        }
    }
}
