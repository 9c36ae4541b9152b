//! Releases the inputs of jobs as soon as the upstreams that make the pieces have fetched them.
//!
//! An upstream fetches the inputs of a piece when it begins the call and then works for a third of a second. Inputs that
//! are held until the call ends occupy memory at their upstreams for no purpose. When memory is the bottleneck, as with
//! 35 results of 60 KB per upstream, calls of the preceding stage stay half empty despite a queue, and each result is
//! held for a second although its reader needs it for a few milliseconds.

use std::time::Duration;

use tc_protocol::{
    MonoTime,
    routing::{PieceInput, ResultHandle, StageRefusal},
};

use super::{
    completion::PlannerEffects,
    job::{InputState, Job, JobKey},
    overdue::overdue_after,
    planner::BatchPlanner,
    released::ReleasedResults,
};

/// Time besides the transfer until an upstream has the inputs of a call: a new connection, the request latency and,
/// occasionally, the end of a call from another home.
const FETCH_OVERHEAD: Duration = Duration::from_millis(40);
/// Worst-case multiple of the plain transfer time: the bytes pass one link at their source and one at their reader,
/// each shared with another call.
const LINK_TRANSFERS: f64 = 4.0;
/// Factor applied to the hold time each time inputs were released too early.
const LENGTHEN_FACTOR: f64 = 2.0;
/// Factor applied with each job that found its inputs. With `LENGTHEN_FACTOR`, one job in seventy may lose its inputs
/// before the hold time grows; after a restart of all instances it returns to normal within a few hundred jobs.
const SHORTEN_FACTOR: f64 = 0.99;
/// Bounds of the resulting factor, so that the effect of a brief overload does not outlast it.
const FACTOR_BOUNDS: (f64, f64) = (1.0, 16.0);
/// Maximum hold time, as a multiple of a typical call; beyond it, inputs are held until the call ends.
const MAX_HOLD_CALLS: f64 = 2.0;

/// Number of typical calls for which a job needs time left so that the preceding stages are made again.
const REMAKE_CALLS: f64 = 4.0;
/// Number of typical calls within which a call that replaces an overdue one has fetched the inputs.
const REPLACEMENT_CALLS: f64 = 2.0;

/// Estimates how long inputs are held after the last call that reads them has started.
#[derive(Debug)]
pub(super) struct InputHoldTime {
    factor: f64,
}

impl Default for InputHoldTime {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl InputHoldTime {
    /// Hold time for a call whose pieces read `bytes` in total.
    fn hold_time(&self, bytes: u64, bytes_per_s: f64) -> Duration {
        let transfer = bytes as f64 * LINK_TRANSFERS / bytes_per_s.max(1.0);
        (FETCH_OVERHEAD + Duration::from_secs_f64(transfer)).mul_f64(self.factor)
    }

    /// Lengthens the hold time after a reader did not find its inputs.
    fn lengthen(&mut self) {
        self.scale(LENGTHEN_FACTOR);
    }

    /// Shortens the hold time after a job found its inputs.
    fn shorten(&mut self) {
        self.scale(SHORTEN_FACTOR);
    }

    fn scale(&mut self, factor: f64) {
        self.factor = (self.factor * factor).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
    }
}

impl BatchPlanner {
    /// Schedules the release of inputs of these jobs, whose pieces are in a call that starts now.
    pub(super) fn schedule_input_release(&mut self, now: MonoTime, jobs: &[JobKey]) {
        let bytes = jobs
            .iter()
            .map(|key| self.jobs[*key].params.held_bytes)
            .sum();
        let hold_time = self
            .input_hold_time
            .hold_time(bytes, self.spec.link_bytes_per_s);
        if hold_time > self.typical_call().mul_f64(MAX_HOLD_CALLS) {
            return;
        }
        for key in jobs {
            let job = &mut self.jobs[*key];
            let is_last_read = job.params.is_last_reader && job.waiting.is_empty();
            // A request's own input is not stored by an upstream, so it is never gone.
            let reads_results = matches!(job.params.input, PieceInput::Results(_));
            if is_last_read && reads_results && !job.inputs_released() {
                job.inputs = InputState::ReleaseAt(now.after(hold_time));
            }
        }
    }

    /// Returns the inputs that every reader should have fetched by now; each is returned once. They are freed at once,
    /// so that no piece that reads them can be made again.
    pub fn take_read_inputs(&mut self, now: MonoTime) -> Vec<ResultHandle> {
        self.take_inputs(now, InputState::Released)
    }

    /// Returns the inputs that every reader should have fetched by now, to be kept for late readers while there is room.
    /// A piece that fails meanwhile is made again from the same inputs.
    pub fn take_fetched_inputs(&mut self, now: MonoTime) -> ReleasedResults {
        let hold_for = self.input_hold();
        let results = self.take_inputs(now, InputState::KeptUntil(now.after(hold_for)));
        ReleasedResults { results, hold_for }
    }

    fn take_inputs(&mut self, now: MonoTime, released: InputState) -> Vec<ResultHandle> {
        let mut read = Vec::new();
        for job in self.jobs.values_mut() {
            if matches!(job.inputs, InputState::ReleaseAt(at) if at <= now) {
                job.inputs = released;
                read.extend(job.input_results());
            }
        }
        read
    }

    /// Time for which fetched inputs are kept for a late reader: until its call is overdue and has been replaced.
    fn input_hold(&self) -> Duration {
        let call = self.typical_call();
        overdue_after(call) + call.mul_f64(REPLACEMENT_CALLS)
    }

    /// Earliest time at which [`BatchPlanner::take_read_inputs`] has something to return, as far as known.
    pub(super) fn next_input_release(&self) -> Option<MonoTime> {
        let times = self.jobs.values().filter_map(|job| match job.inputs {
            InputState::ReleaseAt(at) => Some(at),
            InputState::Held | InputState::KeptUntil(_) | InputState::Released => None,
        });
        times.min()
    }

    /// Earliest time at which waiting pieces can no longer fetch their inputs.
    pub(super) fn next_input_expiry(&self, now: MonoTime) -> Option<MonoTime> {
        let waiting = self.jobs.values().filter(|job| !job.waiting.is_empty());
        let expiries = waiting.filter_map(|job| job.inputs_expire_at);
        expiries.map(|at| at.before(FETCH_OVERHEAD).max(now)).min()
    }

    /// Sets the time at which the first input of a job expires at its upstream, if known.
    pub fn set_input_expiry(&mut self, key: JobKey, expires_at: Option<MonoTime>) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.inputs_expire_at = expires_at;
        }
    }

    /// Refuses jobs whose inputs expire before a call could fetch them, unless all their pieces are in calls.
    ///
    /// The preceding stages are made again if the queue has time for it; otherwise they would expire again.
    pub(super) fn refuse_expiring(&mut self, now: MonoTime, effects: &mut PlannerEffects) {
        let is_expiring = |job: &Job| !job.waiting.is_empty() && job.inputs_expire(now);
        let expiring = self.jobs.iter().filter(|(_, job)| is_expiring(job));
        let expiring: Vec<JobKey> = expiring.map(|(key, _)| key).collect();
        for key in expiring {
            let wait = self.queue_wait(now, key);
            let remake = wait + self.typical_call().mul_f64(REMAKE_CALLS);
            let refusal = if now.after(remake) <= self.jobs[key].params.deadline {
                StageRefusal::InputGone
            } else {
                StageRefusal::Overloaded { retry_after: wait }
            };
            self.refuse(key, refusal, effects);
        }
    }

    /// Records that a job found its inputs and was completed.
    pub(super) fn record_inputs_found(&mut self, job: &Job) {
        if job.params.is_last_reader {
            self.input_hold_time.shorten();
        }
    }

    /// Records that an input of this job was missing at its upstream.
    pub(super) fn record_input_gone(&mut self, key: JobKey) {
        let released = self.jobs.get(key).is_some_and(Job::inputs_released);
        if released {
            self.input_hold_time.lengthen();
        }
    }
}

impl Job {
    /// Whether the inputs were released.
    pub(super) fn inputs_released(&self) -> bool {
        matches!(self.inputs, InputState::KeptUntil(_) | InputState::Released)
    }

    /// Whether the inputs are probably gone, so that no piece of the job can be made again.
    pub(super) fn inputs_gone(&self, now: MonoTime) -> bool {
        match self.inputs {
            InputState::Held | InputState::ReleaseAt(_) => false,
            InputState::KeptUntil(until) => until <= now.after(FETCH_OVERHEAD),
            InputState::Released => true,
        }
    }

    /// Queues a piece for another call, which has to start before the inputs are freed.
    pub(super) fn make_again(&mut self, piece: u32) {
        if let InputState::KeptUntil(until) = self.inputs {
            let expires_at = self.inputs_expire_at.map_or(until, |at| at.min(until));
            self.inputs_expire_at = Some(expires_at);
        }
        self.wait_again(piece);
    }

    /// Whether an input expires before an upstream that gets a call now has fetched it.
    pub(super) fn inputs_expire(&self, now: MonoTime) -> bool {
        let expires_at = self.inputs_expire_at;
        expires_at.is_some_and(|expires_at| expires_at <= now.after(FETCH_OVERHEAD))
    }

    /// Returns the inputs still to be released, if this job is their last reader.
    pub(super) fn unreleased_inputs(&self) -> Vec<ResultHandle> {
        if self.params.is_last_reader && !self.inputs_released() {
            self.input_results()
        } else {
            Vec::new()
        }
    }

    fn input_results(&self) -> Vec<ResultHandle> {
        match &self.params.input {
            PieceInput::Request(_) => Vec::new(),
            PieceInput::Results(results) => results.to_vec(),
        }
    }
}
