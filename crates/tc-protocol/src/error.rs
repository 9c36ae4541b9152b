//! The top-level error type, which ends a command or a process.
//!
//! Each layer has its own error type and converts the errors of lower layers into it. [`TcError`] is the one that
//! reaches the command line.

use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// An error shown to an operator, with a code, help and, where available, a source location.
#[derive(Debug, Error, Diagnostic)]
pub enum TcError {
    /// A setting is missing, unknown or invalid.
    #[error("setting {name}: {problem}")]
    #[diagnostic(code(tc::settings::invalid))]
    Setting {
        /// Command line flag or environment variable.
        name: String,
        /// Description of the problem.
        problem: String,
        /// Instruction for resolving the problem.
        #[help]
        help: String,
    },
    /// A configuration file is invalid.
    #[error("{problem}")]
    #[diagnostic(code(tc::config::invalid))]
    Config {
        /// Description of the problem.
        problem: String,
        /// The file's text.
        #[source_code]
        file: NamedSource<String>,
        /// Location of the problem in the file.
        #[label("here")]
        at: Option<SourceSpan>,
        /// Instruction for resolving the problem.
        #[help]
        help: String,
    },
    /// A configuration folder cannot be used.
    #[error("folder {folder}: {problem}")]
    #[diagnostic(code(tc::config::folder))]
    Folder {
        /// Path of the folder.
        folder: String,
        /// Description of the problem.
        problem: String,
        /// Instruction for resolving the problem.
        #[help]
        help: String,
    },
    /// Another operator made a conflicting change first.
    #[error("{problem}")]
    #[diagnostic(code(tc::config::conflict))]
    Conflict {
        /// The file or object in conflict and who changed it.
        problem: String,
        /// Instruction for resolving the problem.
        #[help]
        help: String,
    },
    /// A peer is unreachable or sends unexpected responses.
    #[error("{peer}: {problem}")]
    #[diagnostic(code(tc::peer::unavailable))]
    Peer {
        /// Name or address of the peer.
        peer: String,
        /// Description of the problem.
        problem: String,
        /// Instruction for resolving the problem.
        #[help]
        help: String,
    },
    /// The command line is invalid.
    #[error("{problem}")]
    #[diagnostic(code(tc::command::usage))]
    Usage {
        /// Description of the problem.
        problem: String,
        /// Instruction for resolving the problem.
        #[help]
        help: String,
    },
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {problem}")]
    #[diagnostic(code(tc::serve::listen))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Error reported by the operating system.
        problem: String,
        /// Instruction for resolving the problem.
        #[help]
        help: String,
    },
    /// An internal error.
    #[error("{problem}")]
    #[diagnostic(code(tc::internal))]
    Internal {
        /// Description of the failure.
        problem: String,
    },
}
