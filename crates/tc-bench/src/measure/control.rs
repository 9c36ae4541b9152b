//! Control cost: what an instance spends on being part of the fleet.

use std::{collections::BTreeMap, fs, time::Instant};

use serde::{Deserialize, Serialize};

use super::cost::ratio;

/// Clock ticks a second of `/proc/PID/stat`, fixed by the kernel's interface to programs.
const TICKS_PER_S: f64 = 100.0;
/// Index of `utime` among the fields after the command's closing bracket.
const UTIME_FIELD: usize = 11;
/// Counter of bytes of gossip, labelled with their way; what one instance sends another receives, so only sent ones count.
const GOSSIP_BYTES: &str = "tc_gossip_bytes_total";
const SENT: &str = "way=\"sent\"";
/// Metric that counts calls to the platform, labelled with `purpose`.
const PLATFORM_CALLS: &str = "tc_platform_calls_total";
const MAYBE_APPLIED: &str = "result=\"maybe_applied\"";

/// What one instance spends, a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlCost {
    /// Bytes of gossip sent to other instances.
    pub bytes_per_s: f64,
    /// Processor time, in per cent of one core.
    pub cpu_percent: f64,
    /// Resident memory, in MB.
    pub rss_mb: f64,
    /// Calls to the platform by purpose.
    pub platform_calls_per_s: BTreeMap<String, f64>,
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
            bytes: gossip_bytes(metrics),
            platform_calls: platform_calls(metrics),
        })
    }

    /// What was spent from `self` to `later`.
    pub(crate) fn cost_until(&self, later: &Self) -> ControlCost {
        let seconds = later.at.duration_since(self.at).as_secs_f64();
        let platform_calls_per_s = later
            .platform_calls
            .iter()
            .map(|(purpose, count)| {
                let before = self.platform_calls.get(purpose).copied().unwrap_or(0.0);
                (purpose.clone(), ratio(count - before, seconds))
            })
            .collect();
        ControlCost {
            bytes_per_s: ratio(later.bytes - self.bytes, seconds),
            cpu_percent: 100.0 * ratio(later.cpu_s - self.cpu_s, seconds),
            rss_mb: later.rss_mb,
            platform_calls_per_s,
        }
    }
}

/// Mean over instances.
pub(crate) fn mean_control(costs: &[ControlCost]) -> ControlCost {
    let n = costs.len() as f64;
    let mean = |pick: fn(&ControlCost) -> f64| ratio(costs.iter().map(pick).sum(), n);
    let mut calls: BTreeMap<String, f64> = BTreeMap::new();
    for cost in costs {
        for (purpose, rate) in &cost.platform_calls_per_s {
            *calls.entry(purpose.clone()).or_default() += rate / n;
        }
    }
    ControlCost {
        bytes_per_s: mean(|c| c.bytes_per_s),
        cpu_percent: mean(|c| c.cpu_percent),
        rss_mb: mean(|c| c.rss_mb),
        platform_calls_per_s: calls,
    }
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

fn gossip_bytes(metrics: &str) -> f64 {
    sum_of(metrics, GOSSIP_BYTES, SENT)
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

fn platform_calls(metrics: &str) -> BTreeMap<String, f64> {
    let mut calls = BTreeMap::new();
    for (name, value) in samples(metrics).filter(|(n, _)| n.starts_with(PLATFORM_CALLS)) {
        let purpose = name
            .split_once("purpose=\"")
            .and_then(|(_, rest)| rest.split('"').next())
            .unwrap_or("all");
        *calls.entry(purpose.to_owned()).or_default() += value;
    }
    calls
}
