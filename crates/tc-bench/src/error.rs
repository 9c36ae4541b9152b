//! Errors that end a command of this tool.

use std::path::Path;

use miette::Diagnostic;
use thiserror::Error;

/// Why a command could not do its work.
#[derive(Debug, Error, Diagnostic)]
pub enum BenchError {
    /// The command line is wrong.
    #[error("{0}")]
    #[diagnostic(
        code(tc::bench::usage),
        help("`tc-bench list` names the scenarios; `tc-bench --help` the commands")
    )]
    Usage(String),
    /// The system's binary cannot be found or built.
    #[error("the tanagercroft binary: {0}")]
    #[diagnostic(
        code(tc::bench::binary),
        help("build it with `cargo build --release --bin tanagercroft`")
    )]
    Binary(String),
    /// A file cannot be read or written.
    #[error("{path}: {problem}")]
    #[diagnostic(code(tc::bench::file))]
    File {
        /// The file.
        path: String,
        /// Message of the operating system.
        problem: String,
    },
    /// A JSON file is not a run's.
    #[error("not the JSON of a run: {0}")]
    #[diagnostic(code(tc::bench::json))]
    Json(String),
    /// A plot cannot be drawn.
    #[error("plot: {0}")]
    #[diagnostic(code(tc::bench::plot))]
    Plot(String),
    /// The world of a scenario cannot be set up.
    #[error("{0}")]
    #[diagnostic(code(tc::bench::world))]
    World(String),
    /// The run was interrupted.
    #[error("interrupted; every process that was started has been ended")]
    #[diagnostic(code(tc::bench::interrupted))]
    Interrupted,
}

impl BenchError {
    pub(crate) fn file(path: &Path, problem: &std::io::Error) -> Self {
        Self::File {
            path: path.display().to_string(),
            problem: problem.to_string(),
        }
    }

    pub(crate) fn json(problem: &serde_json::Error) -> Self {
        Self::Json(problem.to_string())
    }

    pub(crate) fn world(what: &str, problem: impl std::fmt::Display) -> Self {
        Self::World(format!("{what}: {problem}"))
    }
}
