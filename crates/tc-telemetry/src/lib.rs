//! Initializes JSON logging, metrics and traces.

mod error;
mod logs;
mod metric_table;
mod recorder;
mod trace_context;
mod traces;

pub use error::TelemetryError;
pub use logs::{
    LogDecision, LogRateLimiter, QueueWriter, init_logs, init_logs_on_stdout, json_logger,
};
pub use metric_table::{Label, LabelBound, METRICS, Metric, MetricKind, MetricUnit};
pub use recorder::{MetricsHandle, init_metrics};
pub use trace_context::TraceContext;
pub use traces::{TraceGuard, init_traces, set_parent, traceparent_of_current_span};
