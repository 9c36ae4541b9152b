//! Load reports of the stages' homes as known to one instance, and estimates of stage times derived from them.

use std::{collections::BTreeMap, time::Duration};

use tc_protocol::{MonoTime, ServiceName, WorkspaceName};

use super::{
    due_histogram::PiecesByPriority,
    job::PRIORITY_OFFSET,
    outlook::{DependentPieces, HomeOutlook},
    queue_order::{MIN_PRIORITY_SHARE, level_of},
};
use crate::StageGraph;

/// Maximum age of an outlook that is still used; within this time a backlog can change by its own length.
const MAX_AGE: Duration = Duration::from_millis(500);
/// Time of a stage without a recent outlook, as a multiple of a call's fixed time: a call with some pieces, and half of
/// another one spent waiting.
const UNKNOWN_STAGE_FACTOR: f64 = 1.6;

/// Fraction of the work that a service can do before a request arrives which is expected to shorten the queue ahead of
/// it. The rest goes to requests that arrive in between and are due earlier, and to calls that are not full. With 0.5,
/// a seventh of the requests that could be on time are refused in a burst of twice the usual load; with 1.0, four times
/// as many are late in a burst of 2.6 times.
const DRAIN_FRACTION: f64 = 0.7;

/// Time by which later stages may take longer than estimated, as a fraction of their time. A request that is admitted
/// by displacing others keeps it in reserve: displacing them for a late answer helps nobody.
const LATER_STAGE_MARGIN: f64 = 0.5;

/// Upper bound of an estimated wait, in seconds; no request waits this long.
const MAX_WAIT_S: f64 = 3_600.0;

/// The latest outlook of each home.
///
/// The most loaded stage limits the whole chain. Without outlooks, a request would pass its first stages, use their
/// capacity and memory, and be refused at the last stage, wasting work under overload. A home sees a burst only after
/// the stage before it, half a second later, so each home also reports the pieces on their way to the dependent stages.
#[derive(Clone, Debug, Default)]
pub struct StageOutlooks {
    latest: BTreeMap<ServiceName, (MonoTime, HomeOutlook)>,
}

/// A request whose stage times are to be estimated.
#[derive(Clone, Copy, Debug)]
pub struct ChainQuery<'a> {
    /// Stages of the request.
    pub graph: &'a StageGraph<'a>,
    /// Fixed time of a call, for each stage.
    pub call_times: &'a [Duration],
    /// Time until the last stage must be done for the request to be answered on time.
    pub until_latency_target: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Workspace of the request; empty if requests need no key.
    pub workspace: &'a WorkspaceName,
}

/// Expected times of a request's stages, including queueing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedStageTimes {
    /// Times if the request is scheduled among the on-time work.
    pub in_time: Vec<Duration>,
    /// Times if the request is scheduled among the late work.
    pub late: Vec<Duration>,
}

impl StageOutlooks {
    /// Stores the latest outlook of a home.
    pub fn record(&mut self, now: MonoTime, service: &ServiceName, outlook: HomeOutlook) {
        self.latest.insert(service.clone(), (now, outlook));
    }

    /// Returns whether the home of a service recently reported that a workspace is over its share.
    #[must_use]
    pub fn is_over_share(
        &self,
        now: MonoTime,
        service: &ServiceName,
        workspace: &WorkspaceName,
    ) -> bool {
        self.latest.get(service).is_some_and(|(at, outlook)| {
            now.since(*at) + outlook.shares.age < MAX_AGE
                && outlook.shares.over_share.contains(workspace)
        })
    }

    /// Estimates the stage times of a request that starts or continues now.
    #[must_use]
    pub fn estimate(&self, now: MonoTime, request: &ChainQuery<'_>) -> ExpectedStageTimes {
        let stages = request.graph.stages().len();
        let mut expected = ExpectedStageTimes {
            in_time: vec![Duration::ZERO; stages],
            late: vec![Duration::ZERO; stages],
        };
        let base_latencies: Vec<Duration> = (0..stages)
            .map(|stage| self.base_latency(now, request, stage))
            .collect();
        for &stage in request.graph.order() {
            if request.graph.is_complete(stage) {
                continue;
            }
            let outlook = self.outlook_of(now, request.graph, stage);
            let until_arrival =
                |times: &[Duration]| request.graph.critical_path_before(stage, times);
            let (in_time, late) = match outlook {
                Some(outlook) => (
                    self.in_time_wait(
                        now,
                        request,
                        stage,
                        outlook,
                        &base_latencies,
                        until_arrival(&expected.in_time),
                    ),
                    self.late_wait(now, request, stage, outlook, until_arrival(&expected.late)),
                ),
                None => Default::default(),
            };
            expected.in_time[stage] = base_latencies[stage] + in_time;
            expected.late[stage] = base_latencies[stage] + late;
        }
        expected
    }

    fn outlook_of(
        &self,
        now: MonoTime,
        graph: &StageGraph<'_>,
        stage: usize,
    ) -> Option<&HomeOutlook> {
        let (at, outlook) = self.latest.get(&graph.stages()[stage].service)?;
        (now.since(*at) < MAX_AGE).then_some(outlook)
    }

    fn base_latency(&self, now: MonoTime, request: &ChainQuery<'_>, stage: usize) -> Duration {
        let outlook = self.outlook_of(now, request.graph, stage);
        outlook.map_or(
            request.call_times[stage].mul_f64(UNKNOWN_STAGE_FACTOR),
            |outlook| outlook.base_latency,
        )
    }

    /// Pieces on their way to a stage from the homes of all stages before it, with the stage each comes from.
    fn incoming<'a>(
        &'a self,
        now: MonoTime,
        graph: &'a StageGraph<'a>,
        stage: usize,
    ) -> impl Iterator<Item = (usize, &'a DependentPieces)> + 'a {
        let stages = graph.stages();
        let service = &stages[stage].service;
        let mut seen: Vec<&ServiceName> = Vec::new();
        graph.predecessors(stage).filter_map(move |before| {
            // One outlook covers all stages of its service.
            let before_service = &stages[before].service;
            if seen.contains(&before_service) {
                return None;
            }
            seen.push(before_service);
            let outlook = self.outlook_of(now, graph, before)?;
            Some((before, outlook.dependent_pieces.get(service)?))
        })
    }

    /// Wait behind pieces that go first: those queued now and those on their way from the stages directly before, less
    /// what is made before the request arrives. [`DRAIN_FRACTION`] allows for those that are further away.
    ///
    /// Pieces go by due time while the request can be on time that way. Otherwise it displaces less urgent ones at the
    /// next stage.
    fn in_time_wait(
        &self,
        now: MonoTime,
        request: &ChainQuery<'_>,
        stage: usize,
        outlook: &HomeOutlook,
        base_latencies: &[Duration],
        until_arrival: Duration,
    ) -> Duration {
        let graph = request.graph;
        let priority_offset = PRIORITY_OFFSET * u32::from(request.priority);
        let until_due = |stage: usize| {
            let after = graph.critical_path_after(stage, base_latencies);
            request.until_latency_target.saturating_sub(after)
        };
        let level = level_of(request.priority);
        let due = until_due(stage) + priority_offset;
        if outlook.goes_first(level) {
            let own = |pieces: &PiecesByPriority| {
                pieces
                    .level(level)
                    .map_or(0.0, |own| f64::from(own.total()))
            };
            let incoming: f64 = self
                .incoming(now, graph, stage)
                .map(|(_, incoming)| own(&incoming.less_urgent))
                .sum();
            let pieces = own(&outlook.less_urgent) + incoming;
            return remaining_wait(
                pieces,
                outlook.pieces_per_s * MIN_PRIORITY_SHARE,
                until_arrival,
            );
        }
        // It is not known yet which of the pieces on their way will be displaced.
        let incoming: f64 = self
            .incoming(now, graph, stage)
            .filter(|(before, _)| graph.stages()[stage].depends_on.contains(before))
            .map(|(before, incoming)| {
                let due = until_due(before) + priority_offset;
                incoming.in_time.due_before(due)
            })
            .sum();
        let ahead = outlook.pieces_ahead(level, request.workspace, due);
        let by_due = ahead.by_due + incoming + outlook.tight_after(level, due);
        let wait = remaining_wait(by_due, outlook.pieces_per_s, until_arrival);
        if until_arrival + base_latencies[stage] + wait <= until_due(stage) {
            return wait;
        }
        // Only jobs that wait when the request arrives can be displaced, which is known for the next stage alone.
        if !until_arrival.is_zero() {
            return wait;
        }
        let displaceable = ahead.displaceable / by_due.max(f64::MIN_POSITIVE);
        let margin = graph
            .critical_path_after(stage, base_latencies)
            .mul_f64(LATER_STAGE_MARGIN);
        wait.min(wait.mul_f64(1.0 - displaceable.clamp(0.0, 1.0)) + margin)
    }

    /// Wait behind all other pieces, using the capacity that on-time work leaves over.
    ///
    /// Pieces that are two or more stages away count as well. They reach the home of the last stage only after several
    /// calls; until then, a shortage there would admit late requests without end.
    fn late_wait(
        &self,
        now: MonoTime,
        request: &ChainQuery<'_>,
        stage: usize,
        outlook: &HomeOutlook,
        until_arrival: Duration,
    ) -> Duration {
        let incoming = self.incoming(now, request.graph, stage);
        let incoming: f64 = incoming
            .map(|(_, incoming)| f64::from(incoming.total))
            .sum();
        let ahead = f64::from(outlook.waiting) + incoming;
        remaining_wait(
            ahead,
            outlook.pieces_per_s * outlook.spare_capacity,
            until_arrival,
        )
    }
}

/// Time that `pieces` still take once `until_arrival` has passed.
fn remaining_wait(pieces: f64, per_s: f64, until_arrival: Duration) -> Duration {
    if per_s <= 0.0 {
        return Duration::ZERO;
    }
    // A value from another instance may be NaN; `min` then returns the bound.
    let seconds = (pieces / per_s).min(MAX_WAIT_S);
    Duration::from_secs_f64(seconds).saturating_sub(until_arrival.mul_f64(DRAIN_FRACTION))
}
