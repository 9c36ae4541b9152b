//! The state machine of a batch service's home.

use std::{collections::BTreeMap, time::Duration};

use slotmap::SlotMap;
use tc_protocol::{
    FailureDomain, MonoTime, UpstreamId,
    routing::{BatchSpec, PieceRequest, RateLimit, ResultHandle, StageRefusal},
};

use super::{
    demand::Demand,
    ends::Settled,
    inputs::FetchTime,
    job::{Job, JobKey, NewJob, Place},
    maker::{BatchUpstream, Maker},
    piece_times::PieceTimes,
    results::Results,
    waits::NEXT_CALL,
};
use crate::{PacedSends, RepeatBudget};

slotmap::new_key_type! {
    /// A call to an upstream that has not ended.
    pub struct CallKey;
}

/// Part of a job's remaining time that its expected wait may use up; beyond it the job is refused at once, as it
/// would most likely be held to its deadline for nothing.
const MOST_WAIT: f64 = 0.5;
/// The same for a job that waits already: it is kept for longer, as a refusal now is later than one at its arrival.
const MOST_WAIT_QUEUED: f64 = 0.9;
/// What a call is taken to last before any has ended, as a multiple of its fixed time.
const FIRST_TYPICAL: f64 = 1.3;
/// How often results that ran out are looked for.
pub(super) const EXPIRE_EVERY: Duration = Duration::from_millis(250);

/// A call to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchCall {
    /// What to end it with.
    pub key: CallKey,
    /// Who is to be called.
    pub upstream: UpstreamId,
    /// The pieces, in the order in which they are to be sent.
    pub pieces: Vec<PieceRequest>,
    /// When to give it up.
    pub limit: Duration,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) upstream: UpstreamId,
    pub(super) pieces: Vec<(JobKey, u32)>,
    /// Kinds of the pieces, by size of result.
    pub(super) kinds: Vec<u64>,
    pub(super) started: MonoTime,
    pub(super) expected: Duration,
}

/// Decides for one service. See the module.
#[derive(Debug)]
pub struct BatchPlanner {
    pub(super) spec: BatchSpec,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) calls: SlotMap<CallKey, Call>,
    pub(super) makers: BTreeMap<UpstreamId, Maker>,
    pub(super) results: Results,
    pub(super) fetch_time: FetchTime,
    pub(super) times: PieceTimes,
    pub(super) repeats: RepeatBudget,
    /// Running average of the time of a call, in seconds.
    pub(super) typical_call_s: f64,
    /// Work that comes in time to be done in time.
    pub(super) demand: Demand,
    /// Whether the last call that ended was refused as the upstream was full.
    pub(super) last_refused: bool,
    pub(super) next_expiry: MonoTime,
}

impl BatchPlanner {
    /// A planner that knows no upstream yet. `repeats` bounds how often pieces are sent again.
    #[must_use]
    pub fn new(spec: BatchSpec, repeats: RepeatBudget) -> Self {
        Self {
            spec,
            jobs: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            makers: BTreeMap::new(),
            results: Results::default(),
            fetch_time: FetchTime::default(),
            times: PieceTimes::default(),
            repeats,
            demand: Demand::default(),
            last_refused: false,
            typical_call_s: spec.call_overhead.as_secs_f64() * FIRST_TYPICAL,
            next_expiry: MonoTime::default(),
        }
    }

    /// Takes up a changed description of the service.
    pub fn set_spec(&mut self, spec: BatchSpec) {
        self.spec = spec;
    }

    /// Takes up the list of upstreams that may get new work.
    ///
    /// One that is not on it gets no further call; calls in progress go on.
    pub fn set_upstreams(&mut self, upstreams: &[BatchUpstream]) {
        for maker in self.makers.values_mut() {
            maker.ready = false;
        }
        for upstream in upstreams {
            let maker = self
                .makers
                .entry(upstream.id.clone())
                .or_insert_with(|| Maker::new(upstream.domain.clone()));
            maker.ready = true;
        }
        self.makers
            .retain(|_, maker| maker.ready || maker.calls > 0);
    }

    /// Takes up the rate limits that upstreams announce.
    pub fn set_limits(
        &mut self,
        now: MonoTime,
        limit_of: impl Fn(&UpstreamId) -> Option<RateLimit>,
    ) {
        for (id, maker) in &mut self.makers {
            PacedSends::take_up(&mut maker.limited, now, limit_of(id));
        }
    }

    /// Whether any upstream may get work.
    #[must_use]
    pub fn has_upstreams(&self) -> bool {
        self.makers.values().any(|maker| maker.ready)
    }

    /// Jobs and pieces that wait.
    #[must_use]
    pub fn backlog(&self) -> (usize, usize) {
        let pieces = self.jobs.values().map(|job| job.waiting.len()).sum();
        (self.jobs.len(), pieces)
    }

    /// Takes up a job, or refuses it at once when it would most likely wait in vain.
    pub fn push(&mut self, now: MonoTime, new: NewJob) -> Result<JobKey, StageRefusal> {
        if !self.has_upstreams() {
            return Err(StageRefusal::NoUpstream);
        }
        if new.deadline.since(now) < self.spec.call_overhead {
            return Err(StageRefusal::Late);
        }
        let mut job = Job::new(new);
        let done_after = self.wait_of(now, &job) + self.typical_call().mul_f64(NEXT_CALL);
        job.expected_late = job.new.in_time_until < now.after(done_after);
        // Again, as a job that is expected to be late has another place.
        let wait = self.wait_of(now, &job);
        if !self.is_worth_waiting(now, &job, wait, MOST_WAIT) {
            return Err(self.overloaded(now));
        }
        self.repeats.note_request(now);
        if !job.expected_late {
            self.demand.add(now, self.work_of(&job));
        }
        if self.makes_in(job.new.prefer.as_ref()) {
            job.stay(now, self.spec.call_overhead);
        }
        Ok(self.jobs.insert(job))
    }

    /// A refusal with the time until what waits now is worked off: then a request that comes has the queue to itself.
    fn overloaded(&self, now: MonoTime) -> StageRefusal {
        StageRefusal::Overloaded {
            retry_after: self.expected_wait() + self.shortest_backoff(now),
        }
    }

    /// Whether any upstream that may get work is in the domain.
    fn makes_in(&self, domain: Option<&FailureDomain>) -> bool {
        self.makers
            .values()
            .any(|maker| maker.ready && maker.failures == 0 && Some(&maker.domain) == domain)
    }

    /// Drops a job that nobody waits for any more; its results that were made already are to be freed.
    pub fn cancel(&mut self, job: JobKey) -> Vec<ResultHandle> {
        let Some(job) = self.jobs.remove(job) else {
            return Vec::new();
        };
        job.results.into_iter().flatten().collect()
    }

    /// Refuses jobs whose time is over, and those that will most likely not be done in their time any more.
    ///
    /// The latter are refused before their time is over, as more urgent ones went before them: their callers can still
    /// turn elsewhere, and the room that they hold is free for others.
    pub fn expire(&mut self, now: MonoTime) -> Settled {
        let mut settled = Settled::default();
        let ends = self.typical_end(now);
        let mut queue: Vec<(Place, JobKey)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.waiting.is_empty() || job.new.deadline <= now)
            .map(|(key, job)| (job.place(ends), key))
            .collect();
        queue.sort_unstable();
        let mut before = 0.0;
        for (place, key) in queue {
            let job = &self.jobs[key];
            let work = self.work_of(job);
            if job.new.deadline <= now {
                self.refuse(key, StageRefusal::Late, &mut settled);
                continue;
            }
            let wait = self.time_behind(now, place, before);
            if job.is_untouched() && !self.is_worth_waiting(now, job, wait, MOST_WAIT_QUEUED) {
                let refusal = self.overloaded(now);
                self.refuse(key, refusal, &mut settled);
                continue;
            }
            before += work;
        }
        settled
    }

    /// Sends away every job that was not begun: another home has the service now.
    ///
    /// Two homes that both work off a backlog send each upstream twice the calls it can make; each call then waits there
    /// for the other home's, seen as calls of twice their time until the old home is done, seconds later.
    pub fn hand_over(&mut self) -> Settled {
        let mut settled = Settled::default();
        let untouched: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_untouched())
            .map(|(key, _)| key)
            .collect();
        for key in untouched {
            self.refuse(key, StageRefusal::Moved, &mut settled);
        }
        settled
    }

    /// A result is no longer needed, or was freed.
    pub fn freed(&mut self, handle: &ResultHandle) {
        self.results.give_up(handle);
    }

    pub(super) fn expire_results(&mut self, now: MonoTime) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now.after(EXPIRE_EVERY);
        self.results.expire(now);
    }
}
