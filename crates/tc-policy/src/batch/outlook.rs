//! What a home tells of itself with each answer.

use std::{collections::BTreeMap, time::Duration};

use tc_protocol::{MonoTime, ServiceName};

use super::{due_histogram::DueHistogram, planner::BatchPlanner, queue_time::NEXT_CALL};

/// How a home stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomeOutlook {
    /// Time of a job that waits for nobody: its own call and a part of the one before it.
    pub base_latency: Duration,
    /// Pieces that wait and can be in time, by when they are due.
    pub in_time: DueHistogram,
    /// All pieces that wait.
    pub waiting: u32,
    /// Pieces that all upstreams together make in a second in full calls.
    pub pieces_per_s: f64,
    /// Part of that which work that comes to be done in time leaves free.
    pub spare_capacity: f64,
    /// Pieces that will be asked of other services once what is here is made.
    pub incoming: BTreeMap<ServiceName, IncomingPieces>,
}

/// Pieces of a service that are on their way to its home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncomingPieces {
    /// Those of requests that can be in time, by when they are due where they are now.
    pub in_time: DueHistogram,
    /// Those of all requests.
    pub total: u32,
}

impl BatchPlanner {
    /// How this home stands.
    #[must_use]
    pub fn outlook(&self, now: MonoTime) -> HomeOutlook {
        let ends = self.typical_end(now);
        let mut outlook = HomeOutlook {
            base_latency: self.typical_call().mul_f64(NEXT_CALL),
            pieces_per_s: self.pieces_per_s(),
            spare_capacity: self.free_for_late(now),
            ..HomeOutlook::default()
        };
        for job in self.jobs.values() {
            let waiting = job.waiting.len() as u32;
            outlook.waiting += waiting;
            let place = job.place(ends);
            let due = place.due.since(now);
            if !place.is_late {
                outlook.in_time.add(due, waiting);
            }
            let is_late = place.is_late || job.expected_late;
            for (service, pieces) in &job.new.following {
                let incoming = outlook.incoming.entry(service.clone()).or_default();
                incoming.total = incoming.total.saturating_add(*pieces);
                if !is_late {
                    incoming.in_time.add(due, *pieces);
                }
            }
        }
        outlook
    }

    /// Pieces of the kinds that wait now that all upstreams make in a second, in full calls.
    fn pieces_per_s(&self) -> f64 {
        let waiting: usize = self.jobs.values().map(|job| job.waiting.len()).sum();
        let work: f64 = self.jobs.values().map(|job| self.work_of(job)).sum();
        let of_one = if waiting > 0 {
            work / waiting as f64
        } else {
            self.share_of_call(0)
        };
        self.speed() / of_one.max(f64::MIN_POSITIVE)
    }
}
