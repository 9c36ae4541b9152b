//! Attainment: the share of requests answered whole and right within their deadline.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{cost::ratio, quantile::Latencies};
use crate::judge::{CallRecord, Told};

/// Width of a point of the timeline, in milliseconds.
const BUCKET_MS: f64 = 500.0;
/// Width of the steps in which recovery is looked for, in milliseconds.
const RECOVERY_STEP_MS: f64 = 250.0;
/// A step counts as back to the level before when it is at most this far below it.
const RECOVERY_TOLERANCE: f64 = 0.02;

/// One workspace over a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceResult {
    /// Requests sent.
    pub requests: u64,
    /// Share answered whole in deadline.
    pub attainment: f64,
    /// Median latency of whole answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of whole answers, in milliseconds.
    pub p99_ms: f64,
    /// Whether it sent far more than its share.
    pub bursting: bool,
}

/// Share of requests answered whole in deadline; 1 when there were none.
///
/// ```
/// assert_eq!(tc_bench::attainment([].iter()), 1.0);
/// ```
#[must_use]
pub fn attainment<'a>(records: impl Iterator<Item = &'a CallRecord>) -> f64 {
    let (mut sent, mut met) = (0u64, 0u64);
    for record in records {
        sent += 1;
        met += u64::from(record.met());
    }
    if sent == 0 {
        return 1.0;
    }
    ratio(met as f64, sent as f64)
}

/// Results of each workspace.
#[must_use]
pub fn by_workspace(records: &[CallRecord], bursting: &str) -> BTreeMap<String, WorkspaceResult> {
    let mut groups: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
    for record in records {
        groups
            .entry(record.workspace.as_str())
            .or_default()
            .push(record);
    }
    groups
        .into_iter()
        .map(|(name, group)| {
            let latencies = answered(group.iter().copied());
            let result = WorkspaceResult {
                requests: group.len() as u64,
                attainment: attainment(group.iter().copied()),
                p50_ms: latencies.quantile_ms(0.5),
                p99_ms: latencies.quantile_ms(0.99),
                bursting: name == bursting,
            };
            (name.to_owned(), result)
        })
        .collect()
}

/// Latencies of whole answers.
pub(crate) fn answered<'a>(records: impl Iterator<Item = &'a CallRecord>) -> Latencies {
    Latencies::of(
        records
            .filter(|r| matches!(r.told, Told::Answered { .. }))
            .map(|r| r.took_ms),
    )
}

/// Attainment over time by workspace: points of (milliseconds, share), one every half second with requests in it.
#[must_use]
pub fn timeline(records: &[CallRecord]) -> BTreeMap<String, Vec<(f64, f64)>> {
    let mut buckets: BTreeMap<(&str, u64), (u64, u64)> = BTreeMap::new();
    for record in records {
        let bucket = (record.due_ms.max(0.0) / BUCKET_MS) as u64;
        let counts = buckets
            .entry((record.workspace.as_str(), bucket))
            .or_default();
        counts.0 += 1;
        counts.1 += u64::from(record.met());
    }
    let mut lines: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for ((name, bucket), (sent, met)) in buckets {
        let point = (bucket as f64 * BUCKET_MS, ratio(met as f64, sent as f64));
        lines.entry(name.to_owned()).or_default().push(point);
    }
    lines
}

/// Time from a fault until attainment was back to the level before it for good, in milliseconds.
///
/// `until_ms` is the end of the time looked at. Zero when the level never fell.
#[must_use]
pub fn recovery_ms(records: &[CallRecord], fault_ms: f64, until_ms: f64) -> f64 {
    let before = attainment(records.iter().filter(|r| r.due_ms < fault_ms));
    let mut recovered_at = fault_ms;
    let mut step = fault_ms;
    while step < until_ms {
        let end = step + RECOVERY_STEP_MS;
        let level = attainment(
            records
                .iter()
                .filter(|r| r.due_ms >= step && r.due_ms < end.min(until_ms)),
        );
        if level < before - RECOVERY_TOLERANCE {
            recovered_at = end;
        }
        step = end;
    }
    recovered_at - fault_ms
}
