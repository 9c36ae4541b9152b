//! The load report that a home sends with each answer.

use std::{collections::BTreeMap, time::Duration};

use tc_protocol::{MonoTime, ServiceName};

use super::{due_histogram::DueHistogram, planner::BatchPlanner, queue_time::NEXT_CALL_FACTOR};

/// Load of a home.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomeOutlook {
    /// Time of a job that does not wait: its own call and part of the call before it.
    pub base_latency: Duration,
    /// Waiting pieces that can be on time, by due time.
    pub in_time: DueHistogram,
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
    /// Pieces of all requests.
    pub total: u32,
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
            ..HomeOutlook::default()
        };
        for job in self.jobs.values() {
            let waiting = job.waiting.len() as u32;
            outlook.waiting += waiting;
            let position = job.position(call_end);
            let due = position.due.since(now);
            if !position.is_late {
                outlook.in_time.add(due, waiting);
            }
            let is_late = position.is_late || job.expected_late;
            let following = job.params.dependent_pieces.iter();
            for (service, pieces) in following.chain(&job.params.later_pieces) {
                let dependent_pieces = outlook.dependent_pieces.entry(service.clone()).or_default();
                dependent_pieces.total = dependent_pieces.total.saturating_add(*pieces);
                if !is_late {
                    dependent_pieces.in_time.add(due, *pieces);
                }
            }
        }
        outlook
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
