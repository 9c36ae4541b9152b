//! Cost by stage: what upstreams spent, and how much of it served no answer in time.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::judge::{CallRecord, Ended, SeenCall};

/// Cost of one stage over a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageCost {
    /// Calls that reached an upstream.
    pub calls: u64,
    /// Tokens read and generated.
    pub tokens: u64,
    /// Time upstreams were busy, in milliseconds.
    pub ms: f64,
    /// Part of `ms` that served no answer in time: cancelled, beaten by another attempt, late or for nothing.
    pub wasted_ms: f64,
}

/// Cost by stage and two ratios over all stages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Costs {
    /// Stage or service name to its cost.
    pub by_stage: BTreeMap<String, StageCost>,
    /// Wasted busy time / busy time.
    pub wasted_ratio: f64,
    /// Calls beyond the first of each (request, stage) / calls.
    pub extra_calls_ratio: f64,
}

/// Adds up what upstreams saw.
///
/// Of each (request, stage) whose request was answered in time, the call that ended first with an answer was useful;
/// everything else was wasted.
#[must_use]
pub fn costs(records: &[CallRecord], calls: &[SeenCall]) -> Costs {
    let met: BTreeSet<&str> = records
        .iter()
        .filter(|r| r.met())
        .filter_map(|r| r.request_id.as_deref())
        .collect();
    let winners = winners(calls, &met);
    let mut costs = Costs::default();
    let mut firsts = BTreeSet::new();
    for (at, call) in calls.iter().enumerate() {
        firsts.insert((call.request_id.as_str(), call.stage.as_str()));
        let stage = costs.by_stage.entry(stage_name(call)).or_default();
        stage.calls += 1;
        stage.tokens += call.tokens;
        stage.ms += call.busy_ms;
        if !winners.contains(&at) {
            stage.wasted_ms += call.busy_ms;
        }
    }
    let busy: f64 = costs.by_stage.values().map(|s| s.ms).sum();
    let wasted: f64 = costs.by_stage.values().map(|s| s.wasted_ms).sum();
    costs.wasted_ratio = ratio(wasted, busy);
    costs.extra_calls_ratio = ratio((calls.len() - firsts.len()) as f64, calls.len() as f64);
    costs
}

/// Plain services have no stage; their calls count under the service's name.
fn stage_name(call: &SeenCall) -> String {
    if call.stage.is_empty() {
        call.service.clone()
    } else {
        call.stage.clone()
    }
}

fn winners(calls: &[SeenCall], met: &BTreeSet<&str>) -> BTreeSet<usize> {
    let mut first: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (at, call) in calls.iter().enumerate() {
        if call.ended != Ended::Answered || !met.contains(call.request_id.as_str()) {
            continue;
        }
        let winner = first.entry((&call.request_id, &call.stage)).or_insert(at);
        if call.ended_ms < calls[*winner].ended_ms {
            *winner = at;
        }
    }
    first.into_values().collect()
}

/// `part / whole`, zero for an empty whole.
#[must_use]
pub(crate) fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
