//! Request counts, times and costs by workspace and stage.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use hdrhistogram::Histogram;
use metrics::SharedString;
use serde::Serialize;
use tc_protocol::{Cost, PipelineName, StageName, WorkspaceName};

use crate::limits::MAX_LABELLED_WORKSPACES;

/// Significant digits of the time histograms.
const HISTOGRAM_DIGITS: u8 = 2;
/// Largest value of the time histograms, in microseconds. Longer times are recorded as this value.
const HISTOGRAM_MAX_US: u64 = 3_600_000_000;

/// Cost of one stage, or of a plain service, for one workspace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StageCost {
    /// The pipeline, or `None` for a plain service.
    pub pipeline: Option<PipelineName>,
    /// The stage, or the name of the plain service.
    pub stage: StageName,
    /// Number of calls dispatched.
    pub calls: u64,
    /// Tokens read and generated.
    pub tokens: u64,
    /// Time that upstreams were busy, in milliseconds.
    pub ms: f64,
    /// Part of `ms` spent on calls whose results were not used, in milliseconds.
    pub wasted_ms: f64,
}

/// Statistics of one workspace since this instance started.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkspaceStats {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Number of accepted requests, including those refused later.
    pub requests: u64,
    /// Number of requests with a complete response within the deadline.
    pub answered_in_deadline: u64,
    /// Median response time of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the response time of answered requests, in milliseconds.
    pub p99_ms: f64,
    /// Cost by stage, sorted by pipeline and stage.
    pub cost: Vec<StageCost>,
}

/// Pipeline (`None` for a plain service) and stage that a cost belongs to.
pub(crate) type StageKey = (Option<PipelineName>, StageName);

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    Answered,
    Late,
    Failed(&'static str),
    CallerLeft,
}

impl RequestOutcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Late => "late",
            Self::Failed(kind) => kind,
            Self::CallerLeft => "caller-left",
        }
    }
}

/// Counters of one workspace.
pub(crate) struct WorkspaceRecord {
    workspace: WorkspaceName,
    label: SharedString,
    counts: Mutex<Counts>,
}

struct Counts {
    requests: u64,
    answered_in_deadline: u64,
    took_us: Histogram<u32>,
    stages: HashMap<StageKey, CostTotals>,
}

#[derive(Clone, Copy, Default)]
struct CostTotals {
    calls: u64,
    tokens: u64,
    ms: f64,
    wasted_ms: f64,
}

impl WorkspaceRecord {
    fn new(workspace: WorkspaceName, label: SharedString) -> Self {
        let took_us = Histogram::new_with_max(HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
            .expect("constant histogram bounds are valid");
        Self {
            workspace,
            label,
            counts: Mutex::new(Counts {
                requests: 0,
                answered_in_deadline: 0,
                took_us,
                stages: HashMap::new(),
            }),
        }
    }

    pub(crate) fn record_request(&self, outcome: RequestOutcome, took: Duration) {
        metrics::counter!("tc_requests_total", "workspace" => self.label.clone(), "result" => outcome.label())
            .increment(1);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.requests += 1;
        if outcome == RequestOutcome::Answered {
            counts.answered_in_deadline += 1;
        }
        if matches!(outcome, RequestOutcome::Answered | RequestOutcome::Late) {
            counts.took_us.saturating_record(took.as_micros() as u64);
        }
    }

    /// Adds the cost of one call. `wasted` states that its result was not used.
    pub(crate) fn record_cost(&self, key: &StageKey, cost: &Cost, wasted: bool) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if !counts.stages.contains_key(key) {
            counts.stages.insert(key.clone(), CostTotals::default());
        }
        if let Some(totals) = counts.stages.get_mut(key) {
            totals.calls += 1;
            totals.tokens += u64::from(cost.tokens_in) + u64::from(cost.tokens_out);
            totals.ms += cost.busy_ms;
            totals.wasted_ms += if wasted { cost.busy_ms } else { 0.0 };
        }
    }

    fn stats(&self) -> WorkspaceStats {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let millis = |quantile: f64| counts.took_us.value_at_quantile(quantile) as f64 / 1e3;
        let mut cost: Vec<StageCost> = counts
            .stages
            .iter()
            .map(|((pipeline, stage), totals)| StageCost {
                pipeline: pipeline.clone(),
                stage: stage.clone(),
                calls: totals.calls,
                tokens: totals.tokens,
                ms: totals.ms,
                wasted_ms: totals.wasted_ms,
            })
            .collect();
        cost.sort_by(|a, b| (&a.pipeline, &a.stage).cmp(&(&b.pipeline, &b.stage)));
        WorkspaceStats {
            workspace: self.workspace.clone(),
            requests: counts.requests,
            answered_in_deadline: counts.answered_in_deadline,
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            cost,
        }
    }
}

/// Counters of all workspaces that have sent requests. Entries are never removed: their number is bounded, because
/// workspaces come only from the configuration.
pub(crate) struct Stats {
    workspaces: ArcSwap<HashMap<WorkspaceName, Arc<WorkspaceRecord>>>,
}

impl Stats {
    pub(crate) fn new() -> Self {
        Self {
            workspaces: ArcSwap::default(),
        }
    }

    pub(crate) fn for_workspace(&self, workspace: &WorkspaceName) -> Arc<WorkspaceRecord> {
        if let Some(record) = self.workspaces.load().get(workspace) {
            return record.clone();
        }
        self.workspaces.rcu(|current| {
            let mut next = HashMap::clone(current);
            let label = if next.len() < MAX_LABELLED_WORKSPACES {
                SharedString::from(workspace.as_str().to_owned())
            } else {
                SharedString::const_str("other")
            };
            next.entry(workspace.clone())
                .or_insert_with(|| Arc::new(WorkspaceRecord::new(workspace.clone(), label)));
            next
        });
        self.workspaces.load()[workspace].clone()
    }

    pub(crate) fn all(&self) -> Vec<WorkspaceStats> {
        let mut all: Vec<_> = self.workspaces.load().values().map(|r| r.stats()).collect();
        all.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        all
    }
}
