//! Why a command failed, and which exit code that gives.

use miette::Diagnostic;
use tc_config::ConfigError;
use tc_protocol::TcError;
use thiserror::Error;

use crate::Exit;

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CommandError {
    /// One of the errors all of the system shares.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Central(#[from] Box<TcError>),
    /// The configuration, with all its faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Config(#[from] ConfigError),
    /// Several settings are missing or wrong.
    #[error("{} settings are missing or wrong", errors.len())]
    #[diagnostic(code(tc::settings::invalid))]
    Settings {
        /// All of them.
        #[related]
        errors: Vec<TcError>,
    },
    /// A write may have taken effect.
    #[error("{problem}")]
    #[diagnostic(code(tc::command::outcome_unknown))]
    OutcomeUnknown {
        /// Possible outcomes.
        problem: String,
        /// Instructions to find the outcome.
        #[help]
        help: String,
    },
    /// The object of the command does not exist, or does not allow it.
    #[error("{problem}")]
    #[diagnostic(code(tc::command::failed))]
    Failed {
        /// Description of the problem.
        problem: String,
        /// Help text.
        #[help]
        help: String,
    },
    /// A routing configuration that instances would reject, or that cannot serve what it allows.
    #[error("{file}: {problem}")]
    #[diagnostic(code(tc::routing::invalid))]
    RoutingConfig {
        /// File of the configuration.
        file: String,
        /// Description of the problem.
        problem: String,
    },
    /// The output or a file of ours cannot be written.
    #[error("cannot write: {0}")]
    #[diagnostic(code(tc::command::output))]
    Output(#[from] std::io::Error),
}

impl From<TcError> for CommandError {
    fn from(error: TcError) -> Self {
        Self::Central(Box::new(error))
    }
}

impl CommandError {
    /// The exit code that tells a script what happened.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Central(central) => exit_of(central),
            Self::Config(_) | Self::RoutingConfig { .. } => Exit::InvalidConfig,
            Self::Settings { .. } => Exit::Usage,
            Self::OutcomeUnknown { .. } => Exit::OutcomeUnknown,
            Self::Failed { .. } | Self::Output(_) => Exit::Failed,
        }
    }

    /// Whether whoever reads the output closed it, as `head` does: nothing to report.
    pub(crate) fn is_closed_pipe(&self) -> bool {
        matches!(self, Self::Output(e) if e.kind() == std::io::ErrorKind::BrokenPipe)
    }
}

fn exit_of(error: &TcError) -> Exit {
    match error {
        TcError::Setting { .. } | TcError::Usage { .. } => Exit::Usage,
        TcError::Config { .. } | TcError::Folder { .. } => Exit::InvalidConfig,
        TcError::Conflict { .. } => Exit::Conflict,
        TcError::Peer { .. } => Exit::Unreachable,
        TcError::Listen { .. } | TcError::Internal { .. } => Exit::Failed,
    }
}

/// A wrong command line.
pub(crate) fn usage(problem: impl Into<String>, help: impl Into<String>) -> CommandError {
    let (problem, help) = (problem.into(), help.into());
    TcError::Usage { problem, help }.into()
}
