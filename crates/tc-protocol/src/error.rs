//! The central error: what ends a command or a process.
//!
//! Layers have their own error types and turn the errors of those below into their own; this one is what reaches
//! the command line.

use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// An error shown to an operator, with a code, a place where there is one, and what to do.
#[derive(Debug, Error, Diagnostic)]
pub enum TcError {
    /// A setting is missing, unknown or wrong.
    #[error("setting {name}: {problem}")]
    #[diagnostic(code(tc::settings::invalid))]
    Setting {
        /// The flag or variable.
        name: String,
        /// What is wrong with it.
        problem: String,
        /// What to do.
        #[help]
        help: String,
    },
    /// A configuration file is wrong.
    #[error("{problem}")]
    #[diagnostic(code(tc::config::invalid))]
    Config {
        /// What is wrong.
        problem: String,
        /// The file's text.
        #[source_code]
        file: NamedSource<String>,
        /// Where in it.
        #[label("here")]
        at: Option<SourceSpan>,
        /// What to do.
        #[help]
        help: String,
    },
    /// A configuration folder cannot be used as a whole.
    #[error("folder {folder}: {problem}")]
    #[diagnostic(code(tc::config::folder))]
    Folder {
        /// The folder.
        folder: String,
        /// What is wrong.
        problem: String,
        /// What to do.
        #[help]
        help: String,
    },
    /// Another operator changed the same thing first.
    #[error("{problem}")]
    #[diagnostic(code(tc::config::conflict))]
    Conflict {
        /// Which file or object, and who was first.
        problem: String,
        /// What to do.
        #[help]
        help: String,
    },
    /// A peer cannot be reached or does not answer as it should.
    #[error("{peer}: {problem}")]
    #[diagnostic(code(tc::peer::unavailable))]
    Peer {
        /// Which peer.
        peer: String,
        /// What is wrong.
        problem: String,
        /// What to do.
        #[help]
        help: String,
    },
    /// A command line is wrong.
    #[error("{problem}")]
    #[diagnostic(code(tc::command::usage))]
    Usage {
        /// What is wrong.
        problem: String,
        /// What to do.
        #[help]
        help: String,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {problem}")]
    #[diagnostic(code(tc::serve::listen))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system said.
        problem: String,
        /// What to do.
        #[help]
        help: String,
    },
    /// Something inside failed that should not.
    #[error("{problem}")]
    #[diagnostic(code(tc::internal))]
    Internal {
        /// What failed.
        problem: String,
    },
}
