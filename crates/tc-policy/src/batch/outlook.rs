//! The load report that a home sends with each answer.

use std::{collections::BTreeMap, time::Duration};

use tc_protocol::{MonoTime, ServiceName, WorkspaceName};

use super::{
    due_histogram::{DueHistogram, PiecesByPriority},
    job::QueueClass,
    planner::BatchPlanner,
    queue_order::PRIORITY_LEVELS,
    queue_time::NEXT_CALL_FACTOR,
    workspace_shares::UsedShares,
};

/// Load of a home.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomeOutlook {
    /// Time of a job that does not wait: its own call and part of the call before it.
    pub base_latency: Duration,
    /// Waiting pieces that can be on time, by due time.
    pub in_time: DueHistogram,
    /// Those of them that are less urgent, of workspaces within their share.
    pub less_urgent: PiecesByPriority,
    /// Those of them whose workspaces use more than their share, regardless of priority.
    pub over_share: DueHistogram,
    /// Least urgent level with a job that has hardly any slack; less urgent requests go after it.
    pub tight_level: Option<usize>,
    /// For each level, whether it got less than its minimum share and goes first for now.
    pub below_min_share: [bool; PRIORITY_LEVELS],
    /// Upstream time used by workspaces while the service is short.
    pub shares: UsedShares,
    /// Number of all waiting pieces.
    pub waiting: u32,
    /// Pieces per second that all upstreams together make in full calls.
    pub pieces_per_s: f64,
    /// Fraction of that rate left over by the incoming on-time work.
    pub spare_capacity: f64,
    /// Pieces that will be submitted to other services, at once or later, after the jobs here are done.
    pub dependent_pieces: BTreeMap<ServiceName, DependentPieces>,
}

/// Pieces on their way to the home of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DependentPieces {
    /// Pieces of requests that can be on time, by the due time of their current stage.
    pub in_time: DueHistogram,
    /// Those of them that are less urgent.
    pub less_urgent: PiecesByPriority,
    /// Pieces of all requests.
    pub total: u32,
}

/// Pieces that run before those of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct PiecesAhead {
    /// By due time, while all can be on time.
    pub(super) by_due: f64,
    /// Those of them that the request may displace.
    pub(super) displaceable: f64,
}

impl HomeOutlook {
    /// Returns the waiting pieces ahead of a request of a workspace that is due after `due`.
    pub(super) fn pieces_ahead(
        &self,
        level: usize,
        workspace: &WorkspaceName,
        due: Duration,
    ) -> PiecesAhead {
        let is_over_share = self.shares.over_share.contains(workspace);
        let (limit, over) = if is_over_share {
            (Duration::MAX, self.over_share.due_before(due))
        } else {
            (due, 0.0)
        };
        let within = self.in_time.due_before(limit) - self.over_share.due_before(limit);
        let less_urgent = self.less_urgent.below(level);
        PiecesAhead {
            by_due: within.max(0.0) + over,
            displaceable: less_urgent.map(|level| level.due_before(limit)).sum(),
        }
    }

    /// Returns the pieces due after `due` that a request of a level goes behind because they have hardly any slack.
    pub(super) fn tight_after(&self, level: usize, due: Duration) -> f64 {
        let Some(tight) = self.tight_level.filter(|tight| *tight < level) else {
            return 0.0;
        };
        let after = |pieces: &DueHistogram| f64::from(pieces.total()) - pieces.due_before(due);
        let below: f64 = self.less_urgent.below(tight).map(after).sum();
        (after(&self.in_time) - after(&self.over_share) - below).max(0.0)
    }

    /// Returns whether requests of a level go first for now.
    pub(super) fn goes_first(&self, level: usize) -> bool {
        level > 0 && self.below_min_share[level]
    }
}

impl BatchPlanner {
    /// Returns the current load of this home.
    #[must_use]
    pub fn outlook(&self, now: MonoTime) -> HomeOutlook {
        let call_end = self.typical_end(now);
        let mut outlook = HomeOutlook {
            base_latency: self.typical_call().mul_f64(NEXT_CALL_FACTOR),
            pieces_per_s: self.pieces_per_s(),
            spare_capacity: self.spare_capacity(now),
            tight_level: self.order.tight_level,
            below_min_share: std::array::from_fn(|level| self.is_below_min_share(level)),
            shares: self.used_shares(now),
            ..HomeOutlook::default()
        };
        for job in self.jobs.values() {
            let waiting = job.waiting.len() as u32;
            outlook.waiting += waiting;
            let position = job.position(call_end);
            let due = position.due.since(now);
            let priority = job.params.priority;
            if !position.is_late() {
                outlook.in_time.add(due, waiting);
                match position.class {
                    QueueClass::OverShare => outlook.over_share.add(due, waiting),
                    QueueClass::OnTime => outlook.less_urgent.add(priority, due, waiting),
                    _ => {}
                }
            }
            let is_late = position.is_late() || job.expected_late;
            let following = job.params.dependent_pieces.iter();
            for (service, pieces) in following.chain(&job.params.later_pieces) {
                let dependent_pieces = outlook.dependent_pieces.entry(service.clone()).or_default();
                dependent_pieces.total = dependent_pieces.total.saturating_add(*pieces);
                if !is_late {
                    dependent_pieces.in_time.add(due, *pieces);
                    dependent_pieces.less_urgent.add(priority, due, *pieces);
                }
            }
        }
        outlook
    }

    /// Returns the shares for a report, empty unless a workspace is over its share.
    fn used_shares(&self, now: MonoTime) -> UsedShares {
        let over_share = &self.order.over_share;
        if over_share.is_empty() {
            return UsedShares::default();
        }
        let seconds = self.order.shares.report(now);
        let is_listed = |name: &&WorkspaceName| seconds.iter().any(|(listed, _)| listed == *name);
        UsedShares {
            over_share: over_share.iter().filter(is_listed).cloned().collect(),
            age: Duration::ZERO,
            seconds,
        }
    }

    /// Pieces per second that all upstreams make in full calls, given the current mix of waiting pieces.
    fn pieces_per_s(&self) -> f64 {
        let waiting: usize = self.jobs.values().map(|job| job.waiting.len()).sum();
        let work: f64 = self.jobs.values().map(|job| self.remaining_work(job)).sum();
        let piece_share = if waiting > 0 {
            work / waiting as f64
        } else {
            self.piece_share(0)
        };
        self.capacity() / piece_share.max(f64::MIN_POSITIVE)
    }
}
