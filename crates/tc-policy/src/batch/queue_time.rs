//! Estimates of queueing time, used for admission, refusals and outlooks.

use std::time::Duration;

use tc_protocol::MonoTime;

use super::{
    job::{Job, JobKey, QueuePosition},
    planner::BatchPlanner,
};

/// Lower bound of the fraction of upstream time available to late work; keeps estimates finite.
const MIN_SPARE_CAPACITY: f64 = 0.02;

/// Time of a job with an empty queue, as a multiple of a typical call: its own call and part of the call already
/// running on its upstream.
pub(super) const NEXT_CALL_FACTOR: f64 = 1.2;

impl BatchPlanner {
    /// Expected time until every waiting piece is in a call.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        self.processing_time(self.jobs.values().map(|job| self.remaining_work(job)).sum())
    }

    /// Upstream time needed for the waiting pieces of a job, in seconds at nominal speed.
    pub(super) fn remaining_work(&self, job: &Job) -> f64 {
        job.waiting.len() as f64 * self.piece_share(job.params.result_bytes)
    }

    /// Time in which all upstreams together do `work` seconds of upstream time.
    pub(super) fn processing_time(&self, work: f64) -> Duration {
        let capacity = self.capacity();
        if capacity > 0.0 {
            Duration::from_secs_f64(work / capacity)
        } else if work > 0.0 {
            // All upstreams are failing; the next call shows whether one has recovered.
            self.spec.call_overhead
        } else {
            Duration::ZERO
        }
    }

    pub(super) fn typical_call(&self) -> Duration {
        Duration::from_secs_f64(self.typical_call_s)
    }

    /// Expected end of a call that starts now.
    pub(super) fn typical_end(&self, now: MonoTime) -> MonoTime {
        now.after(self.typical_call())
    }

    /// Expected time until a job is in a call, behind the jobs that go before it.
    pub(super) fn queue_wait(&self, now: MonoTime, key: JobKey) -> Duration {
        let call_end = self.typical_end(now);
        let position = self.jobs[key].position(call_end);
        let ahead = self
            .jobs
            .iter()
            .filter(|(other, job)| *other != key && job.position(call_end) <= position);
        let work = ahead.map(|(_, job)| self.remaining_work(job)).sum();
        self.wait_behind(now, position, work)
    }

    /// Wait of a job at `position` with `work` seconds of upstream time queued before it.
    pub(super) fn wait_behind(
        &self,
        now: MonoTime,
        position: QueuePosition,
        work: f64,
    ) -> Duration {
        let wait = if position.is_late() {
            self.late_processing_time(now, work)
        } else {
            self.processing_time(work)
        };
        wait + self.shortest_backoff(now)
    }

    /// Time until the first backoff of a ready upstream expires; zero if any ready upstream has none.
    pub(super) fn shortest_backoff(&self, now: MonoTime) -> Duration {
        let ready = self.upstreams.values().filter(|upstream| upstream.ready);
        let backoffs = ready.map(|upstream| upstream.backoff_until.since(now));
        backoffs.min().unwrap_or_default()
    }

    /// Time for `work` seconds of upstream time that runs only when no on-time work is queued.
    fn late_processing_time(&self, now: MonoTime, work: f64) -> Duration {
        self.processing_time(work).div_f64(self.spare_capacity(now))
    }

    /// Fraction of upstream time left over by the incoming on-time work.
    pub(super) fn spare_capacity(&self, now: MonoTime) -> f64 {
        let fraction = 1.0 - self.demand.per_second(now) / self.capacity().max(f64::MIN_POSITIVE);
        fraction.max(MIN_SPARE_CAPACITY)
    }

    /// Total capacity: seconds of nominal upstream time that all slots provide per second.
    pub(super) fn capacity(&self) -> f64 {
        self.total_throughput() * f64::from(self.spec.slots)
    }

    /// Upstream time of one piece in a full call, in seconds, including its share of the fixed time.
    pub(super) fn piece_share(&self, result_size: u64) -> f64 {
        let fixed = self.spec.call_overhead.as_secs_f64() / self.spec.max_pieces.max(1) as f64;
        fixed + self.piece_times.piece_seconds(&self.spec, result_size)
    }

    /// Whether a job with this expected wait will probably finish within `max_fraction` of the time until its deadline.
    pub(super) fn can_meet_deadline(
        &self,
        now: MonoTime,
        job: &Job,
        wait: Duration,
        max_fraction: f64,
    ) -> bool {
        let max_wait = job.params.deadline.since(now).mul_f64(max_fraction);
        wait.is_zero() || wait + self.spec.call_overhead <= max_wait
    }
}
