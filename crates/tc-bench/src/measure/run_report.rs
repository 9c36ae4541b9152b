//! The JSON of a run: the same keys in every scenario, so that runs compare.

use std::{collections::BTreeMap, path::Path};

use serde::{Deserialize, Serialize};

use super::{
    attainment::{WorkspaceResult, answered, attainment, by_workspace, timeline},
    control::{ControlCost, RequestCost, Slope},
    cost::{StageCost, costs, ratio},
    quantile::Latencies,
};
use crate::{
    error::BenchError,
    judge::{CallRecord, Verdict},
};

/// Quantiles of the latency curve kept in a report.
const CURVE: [f64; 8] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999];

/// One thing a scenario has to show, with its figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Description of the expectation.
    pub text: String,
    /// The measured figure, in words.
    pub measured: String,
    /// Whether it held.
    pub pass: bool,
}

/// Result of one run of one scenario under one policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RunReport {
    /// Name of the scenario.
    pub scenario: String,
    /// `home` or `baseline`.
    pub policy: String,
    /// Seed of the load.
    pub seed: u64,
    /// Requests sent.
    pub requests: u64,
    /// Share answered whole in deadline; truthful refusals count as missed.
    pub attainment: f64,
    /// Workspace to its result.
    pub by_workspace: BTreeMap<String, WorkspaceResult>,
    /// Stage to its cost.
    pub cost_by_stage: BTreeMap<String, StageCost>,
    /// Non-idempotent keys run more than once.
    pub doubled: u64,
    /// Requests without answer or truthful failure.
    pub lost: u64,
    /// Answers of another input.
    pub mixed: u64,
    /// Requests told `not_run` that an upstream saw.
    pub false_not_run: u64,
    /// Answers in deadline / what capacity allows; zero where capacity was not the limit.
    pub goodput_ratio: f64,
    /// Wasted busy time / busy time.
    pub wasted_ratio: f64,
    /// Hedges and retries / calls.
    pub extra_calls_ratio: f64,
    /// Median time added over calling the stand-ins directly, in milliseconds; scenario `overhead` only.
    pub added_latency_p50_ms: f64,
    /// 95th percentile of the time to a stream's first event, in milliseconds.
    pub first_token_p95_ms: f64,
    /// 95th percentile of the time between a stream's events, in milliseconds.
    pub between_tokens_p95_ms: f64,
    /// Time from the fault until attainment was back to the level before, in milliseconds; fault scenarios only.
    pub recovery_ms: f64,
    /// Control cost per instance, the mean over instances.
    pub control: ControlCost,
    /// Control cost per instance by number of instances; scenario `control-cost` only.
    pub control_by_instances: BTreeMap<usize, ControlCost>,
    /// Control cost per instance without requests, by number of instances; scenario `control-cost` only.
    pub idle_by_instances: BTreeMap<usize, ControlCost>,
    /// Cost that a request adds for the whole fleet, by number of instances; scenario `control-cost` only.
    pub per_request_by_instances: BTreeMap<usize, RequestCost>,
    /// Further figures of one scenario, by name with unit.
    pub figures: BTreeMap<String, f64>,
    /// Growth of control cost with the number of instances; scenario `control-cost` only.
    pub slopes: BTreeMap<String, Slope>,
    /// Attainment over time by workspace: (milliseconds, share).
    pub timeline: BTreeMap<String, Vec<(f64, f64)>>,
    /// Latency curve of whole answers: (quantile, milliseconds).
    pub latency_curve: Vec<(f64, f64)>,
    /// Number of requests by outcome, in words.
    pub endings: BTreeMap<String, u64>,
    /// Expectations of the scenario.
    pub claims: Vec<Claim>,
    /// The judge's first findings in words.
    pub notes: Vec<String>,
}

impl RunReport {
    /// Fills in everything that follows from records, calls and verdict.
    #[must_use]
    pub fn of(
        records: &[CallRecord],
        calls: &[crate::judge::SeenCall],
        verdict: Verdict,
        bursting: &str,
    ) -> Self {
        let costs = costs(records, calls);
        let latencies = answered(records.iter());
        Self {
            requests: records.len() as u64,
            attainment: attainment(records.iter()),
            by_workspace: by_workspace(records, bursting),
            cost_by_stage: costs.by_stage,
            wasted_ratio: costs.wasted_ratio,
            extra_calls_ratio: costs.extra_calls_ratio,
            doubled: verdict.doubled,
            lost: verdict.lost,
            mixed: verdict.mixed,
            false_not_run: verdict.false_not_run,
            notes: verdict.notes,
            first_token_p95_ms: Latencies::of(records.iter().filter_map(|r| r.first_token_ms))
                .quantile_ms(0.95),
            between_tokens_p95_ms: Latencies::of(
                records
                    .iter()
                    .flat_map(|r| r.between_tokens_ms.iter().copied()),
            )
            .quantile_ms(0.95),
            timeline: timeline(records),
            latency_curve: CURVE.map(|q| (q, latencies.quantile_ms(q))).to_vec(),
            endings: endings(records),
            ..Self::default()
        }
    }

    /// Sets `goodput_ratio` from the answers in deadline that capacity allowed.
    pub(crate) fn set_goodput(&mut self, met: u64, allowed: f64) {
        self.goodput_ratio = ratio(met as f64, allowed);
    }

    /// Adds a claim.
    pub(crate) fn claim(&mut self, text: &str, measured: String, pass: bool) {
        self.claims.push(Claim {
            text: text.to_owned(),
            measured,
            pass,
        });
    }

    /// Adds the claims that every scenario makes: no promise was broken.
    pub(crate) fn claim_clean(&mut self) {
        let counts = [
            ("no non-idempotent request ran twice", self.doubled),
            ("no request was lost", self.lost),
            ("no answer was mixed up", self.mixed),
            ("every \"not run\" was true", self.false_not_run),
        ];
        for (text, count) in counts {
            self.claim(text, count.to_string(), count == 0);
        }
    }

    /// Whether every claim held.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.claims.iter().all(|c| c.pass)
    }

    /// Writes it as JSON.
    pub(crate) fn write(&self, path: &Path) -> Result<(), BenchError> {
        let text = serde_json::to_string_pretty(self).map_err(|e| BenchError::json(&e))?;
        std::fs::write(path, text + "\n").map_err(|e| BenchError::file(path, &e))
    }

    /// Reads what a run or a comparison wrote.
    pub(crate) fn read_all(path: &Path) -> Result<Vec<Self>, BenchError> {
        let text = std::fs::read_to_string(path).map_err(|e| BenchError::file(path, &e))?;
        let read = if text.trim_start().starts_with('[') {
            serde_json::from_str(&text)
        } else {
            serde_json::from_str(&text).map(|run| vec![run])
        };
        read.map_err(|e| BenchError::Json(format!("{}: {e}", path.display())))
    }
}

fn endings(records: &[CallRecord]) -> BTreeMap<String, u64> {
    use crate::judge::Told;
    let mut counts = BTreeMap::new();
    for record in records {
        let word = match &record.told {
            Told::Answered { right: false } => "answered wrong".to_owned(),
            Told::Answered { .. } if !record.met() => "answered late".to_owned(),
            Told::Answered { .. } => "answered in deadline".to_owned(),
            Told::Failed { why, run_state, .. } => format!(
                "{why}, {}",
                run_state.map_or("no run state", tc_protocol::RunState::as_str)
            ),
            Told::Broken => "connection broken".to_owned(),
            Told::NotSent => "no instance reachable".to_owned(),
            Told::Silent => "no answer".to_owned(),
        };
        *counts.entry(word).or_default() += 1;
    }
    counts
}
