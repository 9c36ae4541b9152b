//! Context of a running command.

use std::{
    future::Future,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use tc_protocol::TcError;

use super::{Arguments, Flag};
use crate::{error::CommandError, output::Output, settings};

/// Arguments, output and the outside world of one command.
pub(crate) struct Context<'a> {
    pub(crate) arguments: Arguments,
    pub(crate) output: Output<'a>,
    /// Folder that relative paths start from.
    pub(crate) folder: PathBuf,
}

impl Context<'_> {
    /// A path argument.
    pub(crate) fn path(&self, argument: &str) -> PathBuf {
        self.folder.join(Path::new(argument))
    }

    /// The address a flag or its variable gives.
    pub(crate) fn address(&self, flag: &Flag) -> Result<SocketAddr, CommandError> {
        let Some((text, origin)) = self.arguments.value(flag) else {
            return Err(settings::missing(flag).into());
        };
        let address = settings::address(text);
        address.map_err(|problem| {
            let (name, help) = (origin.name().to_owned(), settings::ADDRESS_HELP.to_owned());
            TcError::Setting {
                name,
                problem,
                help,
            }
            .into()
        })
    }
}

/// Runs a future to its end on this thread.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, CommandError>>,
) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}
