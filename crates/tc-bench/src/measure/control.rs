//! Control cost: what an instance spends on being part of the fleet.

use std::{collections::BTreeMap, fs, time::Instant};

use serde::{Deserialize, Serialize};

use super::cost::ratio;

/// Clock ticks a second of `/proc/PID/stat`, fixed by the kernel's interface to programs.
const TICKS_PER_S: f64 = 100.0;
/// Index of `utime` among the fields after the command's closing bracket.
const UTIME_FIELD: usize = 11;
/// Counter of bytes of gossip, labelled with their way.
const GOSSIP_BYTES: &str = "tc_gossip_bytes_total";
const SENT: &str = "way=\"sent\"";
const RECEIVED: &str = "way=\"received\"";
/// Counter of bytes of asks, answers and releases, labelled with the `role` of the instance that writes them.
const STREAM_BYTES: &str = "tc_fleet_stream_bytes_total";
/// Metric that counts calls to the platform, labelled with `purpose`.
const CONFIG_REVISION: &str = "tc_config_revision";
const PLATFORM_CALLS: &str = "tc_platform_calls_total";
const MAYBE_APPLIED: &str = "result=\"maybe_applied\"";

/// Resources that one instance spends per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ControlCost {
    /// Bytes of gossip sent to other instances.
    pub bytes_per_s: f64,
    /// Bytes of gossip received from other instances.
    pub received_bytes_per_s: f64,
    /// Bytes written to permit streams, by the writer's role: `entry` asks and releases, `home` answers.
    pub stream_bytes_per_s: BTreeMap<String, f64>,
    /// Processor time, in per cent of one core.
    pub cpu_percent: f64,
    /// Resident memory, in MB.
    pub rss_mb: f64,
    /// Calls to the platform by purpose.
    pub platform_calls_per_s: BTreeMap<String, f64>,
}

/// Cost of one request for the whole fleet beyond what the fleet spends without requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestCost {
    /// Processor time, in milliseconds.
    pub cpu_ms: f64,
    /// Bytes written to permit streams by entries and homes.
    pub stream_bytes: f64,
    /// Bytes of gossip sent; near zero where gossip is paced by time.
    pub gossip_bytes: f64,
    /// Calls to the platform.
    pub platform_calls: f64,
}

impl RequestCost {
    /// The difference between a fleet of `instances` under `requests_per_s` and the same fleet idle.
    ///
    /// ```
    /// use tc_bench::{ControlCost, RequestCost};
    /// let idle = ControlCost { cpu_percent: 1.0, ..ControlCost::default() };
    /// let loaded = ControlCost { cpu_percent: 6.0, ..ControlCost::default() };
    /// let cost = RequestCost::between(&idle, &loaded, 4, 100.0);
    /// assert!((cost.cpu_ms - 2.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn between(
        idle: &ControlCost,
        loaded: &ControlCost,
        instances: usize,
        requests_per_s: f64,
    ) -> Self {
        let per_request =
            |pick: &dyn Fn(&ControlCost) -> f64| ratio(pick(loaded) - pick(idle), requests_per_s);
        let fleet = instances as f64;
        Self {
            // One per cent of a core is 10 ms of processor time a second.
            cpu_ms: per_request(&|c| c.cpu_percent) * fleet * 10.0,
            stream_bytes: per_request(&|c| c.stream_bytes_per_s.values().sum()) * fleet,
            gossip_bytes: per_request(&|c| c.bytes_per_s) * fleet,
            platform_calls: per_request(&|c| c.platform_calls_per_s.values().sum()) * fleet,
        }
    }
}

/// A straight line through points.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Value at zero instances.
    pub at_zero: f64,
    /// Growth per instance.
    pub per_instance: f64,
}

/// Least-squares line through (x, y) points; level when there are fewer than two different x.
///
/// ```
/// let line = tc_bench::slope(&[(4.0, 10.0), (8.0, 12.0), (16.0, 16.0)]);
/// assert!((line.per_instance - 0.5).abs() < 1e-9 && (line.at_zero - 8.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn slope(points: &[(f64, f64)]) -> Slope {
    let n = points.len() as f64;
    if points.is_empty() {
        return Slope::default();
    }
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let joint: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let per_instance = ratio(joint, spread);
    Slope {
        at_zero: mean_y - per_instance * mean_x,
        per_instance,
    }
}

/// Counters of one process at one moment.
pub(crate) struct ControlProbe {
    at: Instant,
    cpu_s: f64,
    rss_mb: f64,
    bytes: f64,
    received_bytes: f64,
    stream_bytes: BTreeMap<String, f64>,
    platform_calls: BTreeMap<String, f64>,
}

impl ControlProbe {
    /// Reads the counters of process `pid` whose metrics text is `metrics`; `None` when the process is gone.
    pub(crate) fn read(pid: u32, metrics: &str) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Some(Self {
            at: Instant::now(),
            cpu_s: cpu_seconds(&stat)?,
            rss_mb: rss_mb(&status)?,
            bytes: sum_of(metrics, GOSSIP_BYTES, SENT),
            received_bytes: sum_of(metrics, GOSSIP_BYTES, RECEIVED),
            stream_bytes: by_label(metrics, STREAM_BYTES, "role"),
            platform_calls: by_label(metrics, PLATFORM_CALLS, "purpose"),
        })
    }

    /// Returns the resources spent from `self` to `later`.
    pub(crate) fn cost_until(&self, later: &Self) -> ControlCost {
        let seconds = later.at.duration_since(self.at).as_secs_f64();
        ControlCost {
            bytes_per_s: ratio(later.bytes - self.bytes, seconds),
            received_bytes_per_s: ratio(later.received_bytes - self.received_bytes, seconds),
            stream_bytes_per_s: rates(&self.stream_bytes, &later.stream_bytes, seconds),
            cpu_percent: 100.0 * ratio(later.cpu_s - self.cpu_s, seconds),
            rss_mb: later.rss_mb,
            platform_calls_per_s: rates(&self.platform_calls, &later.platform_calls, seconds),
        }
    }
}

/// Mean over instances.
pub(crate) fn mean_control(costs: &[ControlCost]) -> ControlCost {
    let n = costs.len() as f64;
    let mean = |pick: fn(&ControlCost) -> f64| ratio(costs.iter().map(pick).sum(), n);
    let mean_by = |pick: fn(&ControlCost) -> &BTreeMap<String, f64>| {
        let mut rates: BTreeMap<String, f64> = BTreeMap::new();
        for (label, rate) in costs.iter().flat_map(pick) {
            *rates.entry(label.clone()).or_default() += rate / n;
        }
        rates
    };
    ControlCost {
        bytes_per_s: mean(|c| c.bytes_per_s),
        received_bytes_per_s: mean(|c| c.received_bytes_per_s),
        stream_bytes_per_s: mean_by(|c| &c.stream_bytes_per_s),
        cpu_percent: mean(|c| c.cpu_percent),
        rss_mb: mean(|c| c.rss_mb),
        platform_calls_per_s: mean_by(|c| &c.platform_calls_per_s),
    }
}

/// Growth a second of each counter.
fn rates(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    seconds: f64,
) -> BTreeMap<String, f64> {
    after
        .iter()
        .map(|(label, count)| {
            let start = before.get(label).copied().unwrap_or(0.0);
            (label.clone(), ratio(count - start, seconds))
        })
        .collect()
}

fn cpu_seconds(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(UTIME_FIELD);
    let utime: f64 = fields.next()?.parse().ok()?;
    let stime: f64 = fields.next()?.parse().ok()?;
    Some((utime + stime) / TICKS_PER_S)
}

fn rss_mb(status: &str) -> Option<f64> {
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1024.0)
}

/// Samples of a metrics text as (name with labels, value).
fn samples(metrics: &str) -> impl Iterator<Item = (&str, f64)> {
    metrics
        .lines()
        .filter(|l| !l.starts_with('#'))
        .filter_map(|l| l.rsplit_once(' '))
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
}

/// Revision of the configuration in force at an instance with these metrics; 0 before the first.
pub(crate) fn revision_in_force(metrics: &str) -> u64 {
    sum_of(metrics, CONFIG_REVISION, "") as u64
}

/// Calls to the platform whose write may have taken effect though its answer was lost.
pub(crate) fn lost_answers(metrics: &str) -> f64 {
    sum_of(metrics, PLATFORM_CALLS, MAYBE_APPLIED)
}

/// Sum of a counter over all label sets that have this label.
fn sum_of(metrics: &str, counter: &str, label: &str) -> f64 {
    samples(metrics)
        .filter(|(name, _)| name.starts_with(counter) && name.contains(label))
        .map(|(_, value)| value)
        .sum()
}

/// A counter's values by one of its labels.
fn by_label(metrics: &str, counter: &str, label: &str) -> BTreeMap<String, f64> {
    let opening = format!("{label}=\"");
    let mut counts = BTreeMap::new();
    for (name, value) in samples(metrics).filter(|(n, _)| n.starts_with(counter)) {
        let word = name
            .split_once(&opening)
            .and_then(|(_, rest)| rest.split('"').next())
            .unwrap_or("all");
        *counts.entry(word.to_owned()).or_default() += value;
    }
    counts
}
