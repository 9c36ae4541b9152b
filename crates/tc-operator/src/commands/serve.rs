//! `serve`

use crate::{
    Exit,
    command::{Command, Context, Signature},
    error::CommandError,
    settings::{SERVE_FLAGS, Settings},
};

pub(crate) const COMMAND: Command = Command {
    words: &["serve"],
    signature: Signature {
        positionals: &[],
        flags: SERVE_FLAGS,
    },
    description: "Run one instance until it is told to stop",
    help: "
Every setting can be given as a flag or as a variable; the flag wins. Two are given as variables only:
TANAGERCROFT_FLEET_KEY, the shared key between instances (several separated by commas while it is
rotated: the first signs, all verify), and TANAGERCROFT_OPERATOR_TOKEN, which operators authenticate with.

SIGTERM or SIGINT begins a planned stop: the instance leaves the address answers, serves until nobody may
have its address any more, finishes every request and stream, and exits 0. A second signal, or
--drain-limit-ms, ends it at once with exit code 1 and a log line that says how many requests were cut off.",
    // Runs until it is stopped, so it is tried by the demo and not by the examples' test.
    examples: &[],
    exits: &[Exit::Failed],
    run,
};

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let settings = Settings::from_arguments(&cx.arguments)?;
    crate::serve::run(&settings).map_err(CommandError::from)
}
