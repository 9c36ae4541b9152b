//! Logs as JSON lines.

mod line;
mod mask;
mod queue;
mod rate_limiter;

pub use queue::QueueWriter;
pub use rate_limiter::{LogDecision, LogRateLimiter};

use std::{
    hash::Hasher,
    io::{self, Write},
    str::FromStr,
    sync::Arc,
};

use env_logger::{Builder, Logger, Target};
use log::{LevelFilter, Record};
use tc_protocol::MonoTime;
use xxhash_rust::xxh3::Xxh3;

use crate::error::TelemetryError;

/// Lines one place in the code may log in a second.
const LINES_PER_SECOND: u32 = 20;

/// Logs to standard error from now on, one JSON object a line.
///
/// `level` is a level, or levels by module: `info,tc_caller=debug`. Fails when a level is not understood or a logger
/// is set already.
pub fn init_logs(level: &str) -> Result<(), TelemetryError> {
    builder(level)?
        .target(Target::Stderr)
        .try_init()
        .map_err(|e| TelemetryError::AlreadyInitialized {
            what: "logs",
            problem: e.to_string(),
        })
}

/// Logs the same lines to standard output, never blocking whoever logs: lines that nobody reads are dropped.
///
/// Fails as [`init_logs`] does, and when the thread that writes cannot be started.
pub fn init_logs_on_stdout(level: &str) -> Result<(), TelemetryError> {
    let twice = |problem: String| TelemetryError::AlreadyInitialized {
        what: "logs",
        problem,
    };
    let writer = QueueWriter::start(io::stdout()).map_err(|e| twice(e.to_string()))?;
    builder(level)?
        .target(Target::Pipe(Box::new(writer)))
        .try_init()
        .map_err(|e| twice(e.to_string()))
}

/// A logger that writes the same lines to `out`, without making it the process's logger.
///
/// ```
/// use log::{Level, Log, Record};
/// let logger = tc_telemetry::json_logger("info", Box::new(std::io::sink())).unwrap();
/// assert!(logger.enabled(&log::Metadata::builder().level(Level::Info).build()));
/// assert!(!logger.enabled(&log::Metadata::builder().level(Level::Debug).build()));
/// assert!(tc_telemetry::json_logger("loud", Box::new(std::io::sink())).is_err());
/// ```
pub fn json_logger(level: &str, out: Box<dyn Write + Send>) -> Result<Logger, TelemetryError> {
    Ok(builder(level)?.target(Target::Pipe(out)).build())
}

fn builder(level: &str) -> Result<Builder, TelemetryError> {
    check_level(level)?;
    let gate = Arc::new(LogRateLimiter::new(LINES_PER_SECOND));
    let mut builder = Builder::new();
    builder
        .parse_filters(level)
        .format(move |buf, record| write_gated(&gate, buf, record));
    Ok(builder)
}

/// The logging library only prints what it does not understand, and logs nothing: a mistyped level would be noticed
/// when the lines are missed.
fn check_level(level: &str) -> Result<(), TelemetryError> {
    for directive in level.split(',') {
        let name = directive.rsplit('=').next().unwrap_or_default().trim();
        if LevelFilter::from_str(name).is_err() {
            return Err(TelemetryError::LogLevel {
                directive: directive.to_owned(),
            });
        }
    }
    Ok(())
}

fn write_gated(
    gate: &LogRateLimiter,
    buf: &mut env_logger::fmt::Formatter,
    record: &Record<'_>,
) -> io::Result<()> {
    match gate.admit(call_site(record), MonoTime::now()) {
        LogDecision::Suppress => {
            metrics::counter!("tc_log_lines_suppressed_total").increment(1);
            Ok(())
        }
        LogDecision::Write { suppressed } => {
            let time = buf.timestamp_millis().to_string();
            line::write_line(buf, &time, record, suppressed)
        }
    }
}

/// Identifies the place in the code that logs.
fn call_site(record: &Record<'_>) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(record.target().as_bytes());
    hasher.write_u32(record.line().unwrap_or_default());
    hasher.finish()
}
