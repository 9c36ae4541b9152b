//! State machine of the home of a batch service.

use std::{collections::BTreeMap, time::Duration};

use slotmap::SlotMap;
use tc_protocol::{
    FailureDomain, MonoTime, UpstreamId,
    routing::{BatchSpec, PieceRequest, RateLimit, ResultHandle, StageRefusal},
};

use super::{
    completion::PlannerEffects,
    demand::Demand,
    inputs::InputHoldTime,
    job::{Job, JobKey, NewJob, QueuePosition},
    piece_limit::max_stage_pieces,
    piece_times::PieceTimes,
    queue_order::QueueOrder,
    queue_time::NEXT_CALL_FACTOR,
    result_memory::ResultMemory,
    upstream::{BatchUpstream, UpstreamState},
};
use crate::{RetryBudget, RetryLimits, SendPacer};

slotmap::new_key_type! {
    /// Identifies a call in progress.
    pub struct CallKey;
}

/// Maximum expected wait of a new job, as a fraction of its remaining time. Beyond it the job is refused at once, since
/// it would most likely be held until its deadline in vain.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// The same for a job that is already queued. The bound is higher, since a refusal now comes later than one on arrival.
const MAX_QUEUED_WAIT_FRACTION: f64 = 0.9;
/// Initial estimate of a call's duration, as a multiple of its fixed time, until the first call has ended.
const INITIAL_CALL_FACTOR: f64 = 1.3;
/// Interval between two checks for expired results.
pub(super) const RESULT_EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// A call for the driver to make.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchCall {
    /// Key to pass to [`BatchPlanner::end_call`].
    pub key: CallKey,
    /// Upstream to call.
    pub upstream: UpstreamId,
    /// Pieces in the order in which they must be sent.
    pub pieces: Vec<PieceRequest>,
    /// Time after which the call is overdue, so that other upstreams may make its pieces as well.
    pub overdue_after: Duration,
    /// Time after which the driver must abandon the call.
    pub timeout: Duration,
}

/// State of a service as its planner knows it, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannerLoad {
    /// Waiting pieces of jobs that can be on time.
    pub on_time_pieces: usize,
    /// Waiting pieces of other jobs.
    pub late_pieces: usize,
    /// Calls in progress.
    pub calls: usize,
    /// Upstreams that may get a call now.
    pub free_upstreams: usize,
    /// Upstreams that take work.
    pub upstreams: usize,
    /// Bytes of results that were made and not released.
    pub result_bytes: u64,
    /// Bytes of results that all upstreams that take work can hold.
    pub result_capacity_bytes: u64,
    /// Average duration of a call.
    pub typical_call: Duration,
    /// Waiting jobs that gave way to more urgent ones.
    pub displaced_jobs: usize,
    /// Workspaces with waiting work that use more than their share.
    pub workspaces_over_share: usize,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) upstream: UpstreamId,
    pub(super) pieces: Vec<(JobKey, u32)>,
    /// Result size of each piece, in bytes.
    pub(super) result_sizes: Vec<u64>,
    pub(super) started: MonoTime,
    pub(super) expected: Duration,
    pub(super) overdue_at: MonoTime,
    pub(super) is_overdue: bool,
}

/// Schedules the jobs of one service.
#[derive(Debug)]
pub struct BatchPlanner {
    pub(super) spec: BatchSpec,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) calls: SlotMap<CallKey, Call>,
    pub(super) upstreams: BTreeMap<UpstreamId, UpstreamState>,
    pub(super) result_memory: ResultMemory,
    pub(super) input_hold_time: InputHoldTime,
    pub(super) piece_times: PieceTimes,
    pub(super) retry_budget: RetryBudget,
    /// Moving average of the duration of a call, in seconds.
    pub(super) typical_call_s: f64,
    /// Arrival rate of work that can be done on time.
    pub(super) demand: Demand,
    /// Whether the last call to end was refused because the upstream was full.
    pub(super) last_refused: bool,
    /// Whether the last answered call found no room for any of its pieces.
    pub(super) last_without_room: bool,
    pub(super) next_expiry: MonoTime,
    pub(super) order: QueueOrder,
}

impl BatchPlanner {
    /// Creates a planner without upstreams. `retry_budget` limits how often pieces are sent again.
    #[must_use]
    pub fn new(spec: BatchSpec, retry_budget: RetryBudget) -> Self {
        Self {
            spec,
            jobs: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            upstreams: BTreeMap::new(),
            result_memory: ResultMemory::default(),
            input_hold_time: InputHoldTime::default(),
            piece_times: PieceTimes::default(),
            retry_budget,
            demand: Demand::default(),
            last_refused: false,
            last_without_room: false,
            typical_call_s: spec.call_overhead.as_secs_f64() * INITIAL_CALL_FACTOR,
            next_expiry: MonoTime::default(),
            order: QueueOrder::default(),
        }
    }

    /// Replaces the configuration of the service.
    pub fn set_spec(&mut self, spec: BatchSpec) {
        self.spec = spec;
    }

    /// Changes the limits of the retry budget and keeps its counts.
    pub fn set_retry_limits(&mut self, now: MonoTime, limits: RetryLimits) {
        self.retry_budget.set_limits(now, limits);
    }

    /// Replaces the list of upstreams that may get new work.
    ///
    /// Upstreams that are no longer listed get no further calls; calls in progress continue.
    pub fn set_upstreams(&mut self, upstreams: &[BatchUpstream]) {
        for upstream in self.upstreams.values_mut() {
            upstream.ready = false;
        }
        for upstream in upstreams {
            let state = self
                .upstreams
                .entry(upstream.id.clone())
                .or_insert_with(|| UpstreamState::new(upstream.domain.clone()));
            state.ready = true;
        }
        self.upstreams
            .retain(|_, upstream| upstream.ready || upstream.calls > 0);
    }

    /// Updates the rate limits that upstreams announce.
    pub fn set_limits(
        &mut self,
        now: MonoTime,
        limit_of: impl Fn(&UpstreamId) -> Option<RateLimit>,
    ) {
        for (id, upstream) in &mut self.upstreams {
            SendPacer::update_limit(&mut upstream.rate_limit, now, limit_of(id));
        }
    }

    /// Whether any upstream may get work.
    #[must_use]
    pub fn has_upstreams(&self) -> bool {
        self.upstreams.values().any(|upstream| upstream.ready)
    }

    /// Number of open jobs and of waiting pieces.
    #[must_use]
    pub fn backlog(&self) -> (usize, usize) {
        let pieces = self.jobs.values().map(|job| job.waiting.len()).sum();
        (self.jobs.len(), pieces)
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self, now: MonoTime) -> PlannerLoad {
        let call_end = self.typical_end(now);
        let waiting = |is_late: bool| {
            let jobs = self.jobs.values();
            jobs.filter(|job| job.position(call_end).is_late() == is_late)
                .map(|job| job.waiting.len())
                .sum()
        };
        let ready = || self.upstreams.values().filter(|upstream| upstream.ready);
        let upstreams = ready().count();
        PlannerLoad {
            on_time_pieces: waiting(false),
            late_pieces: waiting(true),
            calls: self.calls.len(),
            free_upstreams: ready()
                .filter(|upstream| upstream.is_free(now, self.spec.slots))
                .count(),
            upstreams,
            result_bytes: self.result_memory.bytes(),
            result_capacity_bytes: self.spec.result_capacity_bytes * upstreams as u64,
            typical_call: self.typical_call(),
            displaced_jobs: self
                .jobs
                .values()
                .filter(|job| job.marks.is_displaced)
                .count(),
            workspaces_over_share: self.order.over_share.len(),
        }
    }

    /// Adds a job, or refuses it at once if it would probably miss its deadline.
    pub fn push(&mut self, now: MonoTime, new: NewJob) -> Result<JobKey, StageRefusal> {
        let key = self.queue(now, new)?;
        self.retry_budget.record_request(now);
        Ok(key)
    }

    /// Adds a job whose pieces may have been sent before; refuses it if the retry budget does not allow all of them.
    pub fn push_repeat(&mut self, now: MonoTime, new: NewJob) -> Result<JobKey, StageRefusal> {
        let pieces = new.pieces;
        let usage = self.retry_budget.usage(now);
        if usage.earned + usage.saved < f64::from(pieces) {
            return Err(StageRefusal::Failed);
        }
        let key = self.queue(now, new)?;
        for _ in 0..pieces {
            // The budget was checked for all of them.
            let _ = self.retry_budget.try_spend(now);
        }
        Ok(key)
    }

    fn queue(&mut self, now: MonoTime, new: NewJob) -> Result<JobKey, StageRefusal> {
        if !self.has_upstreams() {
            return Err(StageRefusal::NoUpstream);
        }
        let remaining = new.deadline.since(now);
        if remaining < self.spec.call_overhead {
            return Err(StageRefusal::Late);
        }
        self.check_pieces(new.pieces, remaining)?;
        let key = self.jobs.insert(Job::new(new));
        self.update_order(now);
        let done_after = self.queue_wait(now, key) + self.typical_call().mul_f64(NEXT_CALL_FACTOR);
        if self.jobs[key].params.in_time_until < now.after(done_after) {
            self.jobs[key].expected_late = true;
            // Jobs that it displaced go back to their places.
            self.update_order(now);
        }
        let wait = self.queue_wait(now, key);
        if !self.can_meet_deadline(now, &self.jobs[key], wait, MAX_WAIT_FRACTION) {
            self.jobs.remove(key);
            self.update_order(now);
            return Err(self.overloaded(now));
        }
        let job = &self.jobs[key];
        if !job.expected_late {
            self.demand.add(now, self.remaining_work(job));
        }
        if self.has_healthy_upstream_in(job.params.preferred_domain.as_ref()) {
            self.jobs[key].hold_for_domain(now, self.spec.call_overhead);
        }
        self.note_displaced();
        Ok(key)
    }

    /// Refuses a stage that its upstreams cannot make within `remaining` even if they have nothing else to do.
    pub fn check_pieces(&self, pieces: u32, remaining: Duration) -> Result<(), StageRefusal> {
        let upstreams = self.upstreams.values().filter(|upstream| upstream.ready);
        // Whether there are any is checked elsewhere.
        let upstreams = upstreams.count().max(1);
        if pieces > max_stage_pieces(&self.spec, upstreams, remaining) {
            return Err(StageRefusal::TooManyPieces);
        }
        Ok(())
    }

    /// Refusal with the time until the current backlog is done; a retry at that time has the queue to itself.
    fn overloaded(&self, now: MonoTime) -> StageRefusal {
        StageRefusal::Overloaded {
            retry_after: self.expected_wait() + self.shortest_backoff(now),
        }
    }

    /// Whether any upstream in the domain may get work and is not failing.
    fn has_healthy_upstream_in(&self, domain: Option<&FailureDomain>) -> bool {
        self.upstreams.values().any(|upstream| {
            upstream.ready && upstream.failures == 0 && Some(&upstream.domain) == domain
        })
    }

    /// Removes a job that is no longer needed and returns the results to free.
    pub fn cancel(&mut self, job: JobKey) -> Vec<ResultHandle> {
        let Some(job) = self.jobs.remove(job) else {
            return Vec::new();
        };
        job.results.into_iter().flatten().collect()
    }

    /// Refuses jobs that are past their deadline, will probably miss it, or have lost their inputs.
    ///
    /// Those that will probably miss it, which more urgent jobs have overtaken, are refused before their deadline so that their callers can
    /// still turn elsewhere and the memory that they hold is freed.
    pub fn refuse_late_jobs(&mut self, now: MonoTime) -> PlannerEffects {
        let mut effects = PlannerEffects::default();
        self.mark_overdue(now);
        self.refuse_irreplaceable(now, &mut effects);
        self.refuse_expiring(now, &mut effects);
        self.update_order(now);
        self.note_displaced();
        let call_end = self.typical_end(now);
        let mut queue: Vec<(QueuePosition, JobKey)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.waiting.is_empty() || job.params.deadline <= now)
            .map(|(key, job)| (job.position(call_end), key))
            .collect();
        queue.sort_unstable();
        let mut work_ahead = 0.0;
        for (position, key) in queue {
            let job = &self.jobs[key];
            let work = self.remaining_work(job);
            if job.params.deadline <= now {
                self.refuse(key, StageRefusal::Late, &mut effects);
                continue;
            }
            if job.retry_until.is_some_and(|until| until <= now) && job.waits_for_retry() {
                self.refuse(key, StageRefusal::Failed, &mut effects);
                continue;
            }
            let wait = self.wait_behind(now, position, work_ahead);
            if job.is_unstarted()
                && !self.can_meet_deadline(now, job, wait, MAX_QUEUED_WAIT_FRACTION)
            {
                let refusal = self.overloaded(now);
                self.refuse(key, refusal, &mut effects);
                continue;
            }
            work_ahead += work;
        }
        effects
    }

    /// Refuses every job that has not started, after another home has taken over the service.
    ///
    /// If two homes worked off a backlog at the same time, each upstream would get twice the calls that it can run.
    /// Each call then waits at the upstream for one of the other home, so that calls take twice their usual time until
    /// the old home is done, seconds later.
    pub fn hand_over(&mut self) -> PlannerEffects {
        let mut effects = PlannerEffects::default();
        let unstarted: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_unstarted())
            .map(|(key, _)| key)
            .collect();
        for key in unstarted {
            self.refuse(key, StageRefusal::Moved, &mut effects);
        }
        effects
    }

    /// Records that a result was freed or is no longer needed.
    pub fn result_freed(&mut self, handle: &ResultHandle) {
        self.result_memory.remove(handle);
    }

    pub(super) fn expire_results(&mut self, now: MonoTime) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now.after(RESULT_EXPIRY_INTERVAL);
        self.result_memory.remove_expired(now);
    }
}
