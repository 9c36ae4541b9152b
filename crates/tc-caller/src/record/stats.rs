//! Requests, times and cost by workspace and stage.

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

use crate::limits::LABELLED_WORKSPACES;

/// Significant digits of the time histograms.
const HISTOGRAM_DIGITS: u8 = 2;
/// Longest time the histograms tell apart, in microseconds.
const HISTOGRAM_MAX_US: u64 = 3_600_000_000;

/// What one stage cost a workspace, or a call to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StageCost {
    /// The pipeline, or `None` for a plain service.
    pub pipeline: Option<PipelineName>,
    /// The stage; the service's name for a plain service.
    pub stage: StageName,
    /// Calls dispatched.
    pub calls: u64,
    /// Tokens read and generated.
    pub tokens: u64,
    /// Time upstreams were busy, in milliseconds.
    pub ms: f64,
    /// Part of `ms` whose result was not used, in milliseconds.
    pub wasted_ms: f64,
}

/// What one workspace's requests came to since this instance started.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkspaceStats {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Requests accepted for it, refused ones included.
    pub requests: u64,
    /// Requests answered whole within their deadline.
    pub answered_in_deadline: u64,
    /// Median time of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time of answered requests, in milliseconds.
    pub p99_ms: f64,
    /// Cost by stage, in order of pipeline and stage.
    pub cost: Vec<StageCost>,
}

/// Which stage a cost belongs to.
pub(crate) type StageKey = (Option<PipelineName>, StageName);

/// How a request ended.
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

/// Counts of one workspace.
pub(crate) struct WorkspaceRecord {
    workspace: WorkspaceName,
    label: SharedString,
    counts: Mutex<Counts>,
}

struct Counts {
    requests: u64,
    answered_in_deadline: u64,
    took_us: Histogram<u32>,
    stages: HashMap<StageKey, Spent>,
}

#[derive(Clone, Copy, Default)]
struct Spent {
    calls: u64,
    tokens: u64,
    ms: f64,
    wasted_ms: f64,
}

impl WorkspaceRecord {
    fn new(workspace: WorkspaceName, label: SharedString) -> Self {
        let took_us = Histogram::new_with_max(HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
            .expect("the bounds are constants that the histogram takes");
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

    pub(crate) fn record_request(&self, ending: RequestOutcome, took: Duration) {
        metrics::counter!("tc_requests_total", "workspace" => self.label.clone(), "result" => ending.label())
            .increment(1);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.requests += 1;
        if ending == RequestOutcome::Answered {
            counts.answered_in_deadline += 1;
        }
        if matches!(ending, RequestOutcome::Answered | RequestOutcome::Late) {
            counts.took_us.saturating_record(took.as_micros() as u64);
        }
    }

    /// Adds one call's cost; `wasted` when its result was not used.
    pub(crate) fn record_cost(&self, key: &StageKey, cost: &Cost, wasted: bool) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if !counts.stages.contains_key(key) {
            counts.stages.insert(key.clone(), Spent::default());
        }
        if let Some(spent) = counts.stages.get_mut(key) {
            spent.calls += 1;
            spent.tokens += u64::from(cost.tokens_in) + u64::from(cost.tokens_out);
            spent.ms += cost.busy_ms;
            spent.wasted_ms += if wasted { cost.busy_ms } else { 0.0 };
        }
    }

    fn stats(&self) -> WorkspaceStats {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let millis = |q: f64| counts.took_us.value_at_quantile(q) as f64 / 1e3;
        let mut cost: Vec<StageCost> = counts
            .stages
            .iter()
            .map(|((pipeline, stage), spent)| StageCost {
                pipeline: pipeline.clone(),
                stage: stage.clone(),
                calls: spent.calls,
                tokens: spent.tokens,
                ms: spent.ms,
                wasted_ms: spent.wasted_ms,
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

/// Counts of all workspaces that ever called; workspaces come only from the configuration, so they are bounded.
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
        if let Some(known) = self.workspaces.load().get(workspace) {
            return known.clone();
        }
        self.workspaces.rcu(|current| {
            let mut next = HashMap::clone(current);
            let label = if next.len() < LABELLED_WORKSPACES {
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
