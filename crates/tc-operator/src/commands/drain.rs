//! `drain`

use http::Method;

use super::drain_path;
use crate::{
    Exit,
    admin_client::AdminClient,
    command::{ADMIN, Command, Context, Example, Signature, block_on},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["drain"],
    signature: Signature {
        positionals: &["upstream|instance", "ID"],
        flags: &[ADMIN],
    },
    description: "Give an upstream or an instance no new work",
    help: "
What runs there goes on to its end. An upstream gets no new calls; callers are sent to other instances
than a drained one. `undrain` ends it. To drain what is drained already changes nothing.",
    examples: &[
        Example::new(
            "drain upstream gen-1 --admin 127.0.0.1:9300",
            "no new calls to the upstream gen-1",
        ),
        Example::new(
            "drain instance kl-a-2 --admin 127.0.0.1:9300",
            "no new callers for the instance kl-a-2",
        ),
    ],
    exits: &[Exit::OutcomeUnknown, Exit::Unreachable],
    run,
};

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let (path, name) = drain_path(cx)?;
    let admin = AdminClient::from_context(cx)?;
    block_on(admin.call(Method::POST, &path))?;
    cx.output.line(format!("{name} gets no new work"))
}
