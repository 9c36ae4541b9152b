//! Errors of telemetry initialization.

use miette::Diagnostic;
use thiserror::Error;

/// Why logs, metrics or traces could not be initialized.
#[derive(Debug, Error, Diagnostic)]
pub enum TelemetryError {
    /// A directive of the log level is invalid.
    #[error("invalid log level directive {directive:?}")]
    #[diagnostic(
        code(tc::telemetry::log_level),
        help(
            "use off, error, warn, info, debug or trace; for one module `tc_caller=debug`; separate with commas"
        )
    )]
    LogLevel {
        /// The invalid directive.
        directive: String,
    },
    /// The process has already initialized this part of telemetry.
    #[error("{what} are already initialized: {problem}")]
    #[diagnostic(code(tc::telemetry::twice))]
    AlreadyInitialized {
        /// `logs`, `metrics` or `traces`.
        what: &'static str,
        /// Error of the library.
        problem: String,
    },
    /// The metrics recorder could not be built or its upkeep thread could not be started.
    #[error("cannot initialize metrics: {problem}")]
    #[diagnostic(code(tc::telemetry::metrics))]
    Metrics {
        /// Error of the library.
        problem: String,
    },
    /// The trace exporter could not be built.
    #[error("cannot export traces to {endpoint}: {problem}")]
    #[diagnostic(
        code(tc::telemetry::traces),
        help("set the collector's OTLP/gRPC address, such as http://127.0.0.1:4317")
    )]
    Traces {
        /// Configured address of the collector.
        endpoint: String,
        /// Error of the runtime or the exporter.
        problem: String,
    },
}
