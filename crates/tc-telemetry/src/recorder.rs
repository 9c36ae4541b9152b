//! Metrics recorder that renders the Prometheus text format on demand.

use std::{
    sync::{Arc, Weak},
    thread,
    time::Duration,
};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::{error::TelemetryError, metric_table::describe_all};

/// Interval at which histogram samples are aggregated into buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Name suffix of histograms in milliseconds.
const MILLISECONDS_SUFFIX: &str = "_ms";
/// Upper bounds of the buckets of millisecond histograms. They span the durations from a control message to the
/// longest pipeline.
const MILLISECOND_BUCKETS: [f64; 17] = [
    0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0,
    5_000.0, 20_000.0,
];

/// Handle that renders the metrics of this process. Cheap to clone.
#[derive(Clone)]
pub struct MetricsHandle {
    prometheus: Arc<PrometheusHandle>,
}

impl MetricsHandle {
    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.prometheus.run_upkeep();
        self.prometheus.render()
    }
}

/// Installs the global recorder of the `metrics` macros.
///
/// Returns an error if a recorder is already installed.
pub fn init_metrics() -> Result<MetricsHandle, TelemetryError> {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(
            Matcher::Suffix(MILLISECONDS_SUFFIX.to_owned()),
            &MILLISECOND_BUCKETS,
        )
        .map_err(|e| TelemetryError::Metrics {
            problem: e.to_string(),
        })?
        .build_recorder();
    let prometheus = Arc::new(recorder.handle());
    metrics::set_global_recorder(recorder).map_err(|e| TelemetryError::AlreadyInitialized {
        what: "metrics",
        problem: e.to_string(),
    })?;
    describe_all();
    start_upkeep(Arc::downgrade(&prometheus))?;
    Ok(MetricsHandle { prometheus })
}

/// Starts a thread that periodically aggregates histogram samples into buckets.
///
/// The recorder stores every sample until it is aggregated. Without this thread, memory grows with each call and
/// shrinks only at a scrape, so a process that is never scraped grows without bound.
fn start_upkeep(prometheus: Weak<PrometheusHandle>) -> Result<(), TelemetryError> {
    thread::Builder::new()
        .name("metrics-upkeep".to_owned())
        .spawn(move || {
            while let Some(prometheus) = prometheus.upgrade() {
                prometheus.run_upkeep();
                drop(prometheus);
                thread::sleep(UPKEEP_INTERVAL);
            }
        })
        .map(drop)
        .map_err(|e| TelemetryError::Metrics {
            problem: e.to_string(),
        })
}
