//! What can go wrong while telemetry is set up.

use miette::Diagnostic;
use thiserror::Error;

/// Logs, metrics or traces could not be set up.
#[derive(Debug, Error, Diagnostic)]
pub enum TelemetryError {
    /// A part of the log level is not understood.
    #[error("log level {directive:?} is not understood")]
    #[diagnostic(
        code(tc::telemetry::log_level),
        help(
            "use off, error, warn, info, debug or trace; for one module `tc_caller=debug`; join by commas"
        )
    )]
    LogLevel {
        /// The part that is wrong.
        directive: String,
    },
    /// Something of this process has set up the same before.
    #[error("{what} are already set up: {problem}")]
    #[diagnostic(code(tc::telemetry::twice))]
    AlreadyInitialized {
        /// Logs, metrics or traces.
        what: &'static str,
        /// What the library said.
        problem: String,
    },
    /// The settings of the metrics are wrong.
    #[error("metrics cannot be set up: {problem}")]
    #[diagnostic(code(tc::telemetry::metrics))]
    Metrics {
        /// What the library said.
        problem: String,
    },
    /// The exporter of traces could not be built.
    #[error("traces cannot be sent to {endpoint}: {problem}")]
    #[diagnostic(
        code(tc::telemetry::traces),
        help("give the collector's OTLP address over gRPC, such as http://127.0.0.1:4317")
    )]
    Traces {
        /// The collector's address as given.
        endpoint: String,
        /// What is wrong.
        problem: String,
    },
}
