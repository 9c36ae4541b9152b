//! Every metric of the system, with its unit and meaning.

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};

/// How a metric behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Only rises.
    Counter,
    /// Rises and falls.
    Gauge,
    /// A distribution.
    Histogram,
}

/// What one step of a metric is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricUnit {
    /// Things.
    Count,
    /// Bytes.
    Bytes,
    /// Milliseconds.
    Milliseconds,
}

/// One metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// How it behaves.
    pub kind: MetricKind,
    /// What one step is.
    pub unit: MetricUnit,
    /// What it tells, and its labels.
    pub meaning: &'static str,
}

/// All metrics, in order of name.
#[rustfmt::skip]
pub const METRICS: &[Metric] = &[
    count("tc_admin_requests_total", "Requests to the admin interface, by status."),
    count("tc_caller_resumes_total", "Streams that a caller came back to with Last-Event-ID."),
    count("tc_claims_total", "Claims on idempotency keys, by verdict."),
    count("tc_config_rejected_total", "Configurations that were read and refused as invalid."),
    gauge("tc_config_revision", "Revision of the configuration in force."),
    count("tc_expired_permits_total", "Permits that ended because their holder never released them."),
    count("tc_failures_total", "Problems told to callers, by kind."),
    count("tc_fleet_calls_refused_total", "Calls between instances refused for a wrong fleet token."),
    count("tc_forwarded_total", "Requests forwarded to the instance their key is bound to."),
    Metric { unit: MetricUnit::Bytes, ..count("tc_gossip_bytes_total", "Bytes of gossip, by way (sent, received).") },
    count("tc_gossip_oversized_total", "Gossip messages not sent because they were too large."),
    count("tc_gossip_refused_total", "Gossip messages dropped because they were not authentic or not understood."),
    count("tc_gossip_send_failures_total", "Gossip messages the kernel refused to send."),
    count("tc_hedges_total", "Second calls made beside a slow one, by service."),
    count("tc_late_results_total", "Results dropped because another attempt had won or nobody waited."),
    count("tc_log_lines_suppressed_total", "Log lines left out by the rate gate."),
    count("tc_outcomes_not_recorded_total", "Claims whose outcome could not be recorded."),
    count("tc_pauses_total", "Times this process found that it had been paused."),
    count("tc_platform_calls", "Calls to the platform as counted by the store client, by purpose."),
    count("tc_platform_calls_total", "Calls to the platform, by purpose and result."),
    count("tc_redirects_total", "Asks that a home redirected to another upstream."),
    count("tc_requests_total", "Requests, by workspace and result."),
    count("tc_retries_total", "Calls repeated after a failure, by service."),
    millis("tc_stage_ms", "Time of a stage's call, by stage."),
    count("tc_stream_resumes_total", "Streams resumed at an engine after a broken connection."),
    count("tc_suspects_total", "Inputs that became suspects because an upstream died under them."),
    count("tc_unknown_releases_total", "Releases of permits that the home did not know."),
    count("tc_unreachable_homes_total", "Asks whose home could not be reached."),
    millis("tc_upstream_call_ms", "Time of a call to an upstream, by kind."),
    count("tc_upstream_calls_total", "Calls to upstreams, by kind and outcome."),
    count("tc_upstream_connects_total", "Connections made to upstreams."),
];

const fn count(name: &'static str, meaning: &'static str) -> Metric {
    Metric {
        name,
        kind: MetricKind::Counter,
        unit: MetricUnit::Count,
        meaning,
    }
}

const fn gauge(name: &'static str, meaning: &'static str) -> Metric {
    Metric {
        kind: MetricKind::Gauge,
        ..count(name, meaning)
    }
}

const fn millis(name: &'static str, meaning: &'static str) -> Metric {
    Metric {
        kind: MetricKind::Histogram,
        unit: MetricUnit::Milliseconds,
        ..count(name, meaning)
    }
}

/// Tells the recorder about all of them.
pub(crate) fn describe_all() {
    for metric in METRICS {
        let unit = match metric.unit {
            MetricUnit::Count => Unit::Count,
            MetricUnit::Bytes => Unit::Bytes,
            MetricUnit::Milliseconds => Unit::Milliseconds,
        };
        match metric.kind {
            MetricKind::Counter => describe_counter!(metric.name, unit, metric.meaning),
            MetricKind::Gauge => describe_gauge!(metric.name, unit, metric.meaning),
            MetricKind::Histogram => describe_histogram!(metric.name, unit, metric.meaning),
        }
    }
}
