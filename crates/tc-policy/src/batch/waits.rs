//! How long jobs will wait: what admission and refusals go by.

use std::time::Duration;

use tc_protocol::MonoTime;

use super::{
    job::{Job, Place},
    planner::BatchPlanner,
};

/// Part of the upstreams' time that is left for late work at least, for an estimate that stays finite.
const LEAST_FREE: f64 = 0.02;

/// A job that waits for nobody is done after its own call and a part of the one that its upstream is at.
pub(super) const NEXT_CALL: f64 = 1.2;

impl BatchPlanner {
    /// Expected time until everything that waits has been taken into a call.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        self.time_of(self.jobs.values().map(|job| self.work_of(job)).sum())
    }

    /// Seconds of one ordinary upstream that what waits of a job takes.
    pub(super) fn work_of(&self, job: &Job) -> f64 {
        job.waiting.len() as f64 * self.share_of_call(job.new.result_bytes)
    }

    /// How long all upstreams together take for so many seconds of work.
    pub(super) fn time_of(&self, work: f64) -> Duration {
        let speed = self.speed();
        if speed > 0.0 {
            Duration::from_secs_f64(work / speed)
        } else if work > 0.0 {
            // All fail at the moment; one more call tells.
            self.spec.call_overhead
        } else {
            Duration::ZERO
        }
    }

    pub(super) fn typical_call(&self) -> Duration {
        Duration::from_secs_f64(self.typical_call_s)
    }

    /// When a call that is begun now would end.
    pub(super) fn typical_end(&self, now: MonoTime) -> MonoTime {
        now.after(self.typical_call())
    }

    /// Expected time until a job is taken into a call, behind those that go before it.
    pub(super) fn wait_of(&self, now: MonoTime, job: &Job) -> Duration {
        let ends = self.typical_end(now);
        let place = job.place(ends);
        let before = self
            .jobs
            .values()
            .filter(|other| other.place(ends) <= place);
        let work = before.map(|other| self.work_of(other)).sum();
        self.time_behind(now, place, work)
    }

    /// How long a job in this place waits for so many seconds of work before it.
    pub(super) fn time_behind(&self, now: MonoTime, place: Place, work: f64) -> Duration {
        let behind_work = if place.is_late {
            self.time_of_late(now, work)
        } else {
            self.time_of(work)
        };
        behind_work + self.shortest_backoff(now)
    }

    /// Time until the first backoff of a ready upstream expires; zero if any ready upstream has none.
    pub(super) fn shortest_backoff(&self, now: MonoTime) -> Duration {
        let ready = self.makers.values().filter(|maker| maker.ready);
        let backoffs = ready.map(|maker| maker.backoff_until.since(now));
        backoffs.min().unwrap_or_default()
    }

    /// How long so many seconds of work take that is done only when nothing else is to be done.
    fn time_of_late(&self, now: MonoTime, work: f64) -> Duration {
        self.time_of(work).div_f64(self.free_for_late(now))
    }

    /// Part of the upstreams' time that work which comes to be done in time leaves.
    pub(super) fn free_for_late(&self, now: MonoTime) -> f64 {
        let free = 1.0 - self.demand.per_second(now) / self.speed().max(f64::MIN_POSITIVE);
        free.max(LEAST_FREE)
    }

    /// Seconds of one ordinary upstream's time that all together give in a second.
    pub(super) fn speed(&self) -> f64 {
        self.total_speed() * f64::from(self.spec.slots)
    }

    /// Seconds that one piece takes of a full call.
    pub(super) fn share_of_call(&self, kind: u64) -> f64 {
        let call = self.spec.call_overhead.as_secs_f64() / self.spec.max_pieces.max(1) as f64;
        call + self.times.of(&self.spec, kind)
    }

    /// Whether a job will most likely be done before nobody waits for it any more.
    pub(super) fn is_worth_waiting(
        &self,
        now: MonoTime,
        job: &Job,
        wait: Duration,
        part: f64,
    ) -> bool {
        let most = job.new.deadline.since(now).mul_f64(part);
        wait.is_zero() || wait + self.spec.call_overhead <= most
    }
}
