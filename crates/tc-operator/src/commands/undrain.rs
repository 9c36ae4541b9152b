//! `undrain`

use http::Method;

use super::drain_path;
use crate::{
    Exit,
    admin_client::AdminClient,
    command::{ADMIN, Command, Context, Example, Signature, block_on},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["undrain"],
    signature: Signature {
        positionals: &["upstream|instance", "ID"],
        flags: &[ADMIN],
    },
    description: "Give a drained upstream or instance work again",
    help: "
Ends what `drain` began. An upstream that is listed as leaving, or says so itself, gets no work all the
same.",
    examples: &[
        Example::new(
            "undrain upstream gen-1 --admin 127.0.0.1:9300",
            "calls to the upstream gen-1 again",
        ),
        Example::new(
            "undrain instance kl-a-2 --admin 127.0.0.1:9300",
            "callers for the instance kl-a-2 again",
        ),
    ],
    exits: &[Exit::OutcomeUnknown, Exit::Unreachable],
    run,
};

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let (path, name) = drain_path(cx)?;
    let admin = AdminClient::from_context(cx)?;
    block_on(admin.call(Method::DELETE, &path))?;
    cx.output.line(format!("{name} gets work again"))
}
