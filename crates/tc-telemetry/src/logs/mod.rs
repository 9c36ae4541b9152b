//! Logging as JSON lines.

mod line;
mod mask;
mod queue;
mod rate_limiter;
mod suppressed;

pub use queue::QueueWriter;
pub use rate_limiter::{LogDecision, LogRateLimiter};
use suppressed::SuppressedSites;

use std::{
    hash::Hasher,
    io::{self, Write},
    str::FromStr,
};

use env_logger::{Builder, Logger, Target};
use log::{LevelFilter, Record, kv::Key};
use tc_protocol::MonoTime;
use xxhash_rust::xxh3::Xxh3;

use crate::error::TelemetryError;

/// Maximum number of lines per second for each call site and group of statuses.
const LINES_PER_SECOND: u32 = 20;

/// State of the logger between lines.
struct LogState {
    limiter: LogRateLimiter,
    suppressed_sites: SuppressedSites,
}

/// Installs a logger that writes one JSON object per line to standard error.
///
/// `level` is a level or a list of levels by module, such as `info,tc_caller=debug`. Returns an error if a level is
/// invalid or a logger is already installed.
pub fn init_logs(level: &str) -> Result<(), TelemetryError> {
    builder(level)?
        .target(Target::Stderr)
        .try_init()
        .map_err(|e| TelemetryError::AlreadyInitialized {
            what: "logs",
            problem: e.to_string(),
        })
}

/// Installs a logger that writes the same lines to standard output without blocking the logging thread. Lines are
/// dropped while the output is not read.
///
/// Returns an error in the same cases as [`init_logs`], and if the writer thread cannot be started.
pub fn init_logs_on_stdout(level: &str) -> Result<(), TelemetryError> {
    let init_error = |problem: String| TelemetryError::AlreadyInitialized {
        what: "logs",
        problem,
    };
    let writer = QueueWriter::start(io::stdout()).map_err(|e| init_error(e.to_string()))?;
    builder(level)?
        .target(Target::Pipe(Box::new(writer)))
        .try_init()
        .map_err(|e| init_error(e.to_string()))
}

/// Returns a logger that writes the same lines to `out`, without installing it as the process's logger.
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
    let state = LogState {
        limiter: LogRateLimiter::new(LINES_PER_SECOND),
        suppressed_sites: SuppressedSites::default(),
    };
    let mut builder = Builder::new();
    builder
        .parse_filters(level)
        .format(move |buf, record| state.write_rate_limited(buf, record));
    Ok(builder)
}

/// Returns an error if a directive has an invalid level.
///
/// The logging library only prints a warning about an invalid directive and then logs nothing, so a mistyped level
/// would go unnoticed until the lines are needed.
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

impl LogState {
    /// Writes a record if the limit of its call site allows it, after reports of other call sites that are overdue.
    fn write_rate_limited(
        &self,
        buf: &mut env_logger::fmt::Formatter,
        record: &Record<'_>,
    ) -> io::Result<()> {
        let now = MonoTime::now();
        let call_site = call_site(record);
        let decision = self.limiter.admit(call_site, now);
        for (call_site, suppressed) in self.limiter.take_overdue(now) {
            let time = buf.timestamp_millis().to_string();
            self.suppressed_sites
                .write_report(buf, &time, call_site, suppressed)?;
        }
        match decision {
            LogDecision::Suppress => {
                metrics::counter!("tc_log_lines_suppressed_total").increment(1);
                self.suppressed_sites.record(call_site, record);
                Ok(())
            }
            LogDecision::Write { suppressed } => {
                if suppressed > 0 {
                    self.suppressed_sites.forget(call_site);
                }
                let time = buf.timestamp_millis().to_string();
                line::write_line(buf, &time, record, suppressed)
            }
        }
    }
}

/// Returns a hash that identifies the call site of a record and the group of its status.
///
/// A place that reports each answer or refusal would otherwise use up its budget with those that are common, and a
/// failed request would leave no line.
fn call_site(record: &Record<'_>) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(record.target().as_bytes());
    hasher.write_u32(record.line().unwrap_or_default());
    let status = record.key_values().get(Key::from("status"));
    if let Some(status) = status.and_then(|status| status.to_u64()) {
        hasher.write_u64(status_group(status));
    }
    hasher.finish()
}

/// Returns the status itself for those that a gateway sends for its upstreams, and otherwise the class of the status.
/// The groups are few, as an upstream may send any status.
fn status_group(status: u64) -> u64 {
    match status {
        502..=504 => status,
        0..600 => status / 100,
        _ => 6,
    }
}
