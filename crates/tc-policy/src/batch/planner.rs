//! The state machine of a batch service's home.

use std::{collections::BTreeMap, time::Duration};

use slotmap::SlotMap;
use tc_protocol::{
    FailureDomain, MonoTime, UpstreamId,
    routing::{BatchSpec, PieceFailure, PieceOrder, PieceResult, PiecesRefusal, ResultHandle},
};

use super::{
    demand::Demand,
    job::{Job, JobKey, NewJob, Place},
    maker::{BatchUpstream, Maker},
    piece_times::PieceTimes,
    results::Results,
};
use crate::RepeatBudget;

slotmap::new_key_type! {
    /// A call to an upstream that has not ended.
    pub struct CallKey;
}

/// Failed calls after which a job is given up: its pieces may be what fails them.
const MOST_FAILURES: u32 = 3;
/// Part of a job's remaining time that its expected wait may use up; beyond it the job is refused at once, as it
/// would most likely be held to its deadline for nothing.
const MOST_WAIT: f64 = 0.3;
/// The same for a job that waits already: it is kept for longer, as a refusal now is later than one at its arrival.
const MOST_WAIT_QUEUED: f64 = 0.8;
/// What a call is taken to last before any has ended, as a multiple of its fixed time.
const FIRST_TYPICAL: f64 = 1.3;
/// Weight of the newest call in the average: a dozen calls, half a second of one service, move it by most.
const TYPICAL_WEIGHT: f64 = 0.1;
/// A job that waits for nobody is done after its own call and a part of the one that its upstream is at.
const NEXT_CALL: f64 = 1.2;
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
    pub pieces: Vec<PieceOrder>,
    /// When to give it up.
    pub limit: Duration,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The upstream answered, one result a piece.
    Answered(Vec<PieceResult>),
    /// The upstream said that it has not taken the call, or it was never sent.
    NotRun,
    /// No connection could be made.
    Unreachable,
    /// It broke, was given up, or its answer cannot be read.
    Failed,
}

/// A job that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// Which one.
    pub job: JobKey,
    /// The results in the order of the pieces, or why there are none.
    pub result: Result<Vec<ResultHandle>, PiecesRefusal>,
}

/// What the end of a call brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settled {
    /// Jobs that ended.
    pub finished: Vec<Finished>,
    /// Results that nobody waits for; they are to be freed at their makers.
    pub unwanted: Vec<ResultHandle>,
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
            times: PieceTimes::default(),
            repeats,
            demand: Demand::default(),
            last_refused: false,
            typical_call_s: spec.call_time.as_secs_f64() * FIRST_TYPICAL,
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
    pub fn push(&mut self, now: MonoTime, new: NewJob) -> Result<JobKey, PiecesRefusal> {
        if !self.has_upstreams() {
            return Err(PiecesRefusal::NoUpstream);
        }
        if new.deadline.since(now) < self.spec.call_time {
            return Err(PiecesRefusal::Late);
        }
        let mut job = Job::new(new);
        let done_after = self.wait_of(now, &job) + self.typical_call().mul_f64(NEXT_CALL);
        job.expected_late = job.new.in_time_until < now.after(done_after);
        // Again, as a job that is expected to be late has another place.
        let wait = self.wait_of(now, &job);
        if !self.is_worth_waiting(now, &job, wait, MOST_WAIT) {
            return Err(self.overloaded());
        }
        self.repeats.note_request(now);
        if !job.expected_late {
            self.demand.add(now, self.work_of(&job));
        }
        if self.makes_in(job.new.prefer.as_ref()) {
            job.stay(now, self.spec.call_time);
        }
        Ok(self.jobs.insert(job))
    }

    /// A refusal with the time until what waits now is worked off: then a request that comes has the queue to itself.
    fn overloaded(&self) -> PiecesRefusal {
        PiecesRefusal::Overloaded {
            retry_after: self.expected_wait(),
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
                self.refuse(key, PiecesRefusal::Late, &mut settled);
                continue;
            }
            let wait = self.time_behind(now, place, before);
            if job.is_untouched() && !self.is_worth_waiting(now, job, wait, MOST_WAIT_QUEUED) {
                let refusal = self.overloaded();
                self.refuse(key, refusal, &mut settled);
                continue;
            }
            before += work;
        }
        settled
    }

    /// Takes up how a call ended.
    pub fn end_call(&mut self, now: MonoTime, key: CallKey, end: CallEnd) -> Settled {
        let mut settled = Settled::default();
        let Some(call) = self.calls.remove(key) else {
            return settled;
        };
        self.last_refused = end == CallEnd::NotRun;
        self.note_maker(now, &call, &end);
        match end {
            CallEnd::Answered(results) => {
                for ((job, piece), result) in call.pieces.iter().zip(results) {
                    self.piece_ended(now, &call.upstream, (*job, *piece), result, &mut settled);
                }
            }
            CallEnd::NotRun | CallEnd::Unreachable => {
                let arrived = end == CallEnd::NotRun;
                self.send_again(now, &call, arrived, false, &mut settled);
            }
            CallEnd::Failed => self.send_again(now, &call, true, true, &mut settled),
        }
        settled
    }

    fn note_maker(&mut self, now: MonoTime, call: &Call, end: &CallEnd) {
        let Some(maker) = self.makers.get_mut(&call.upstream) else {
            return;
        };
        let took = now.since(call.started);
        maker.calls = maker.calls.saturating_sub(1);
        maker.room_used = maker
            .room_used
            .saturating_sub(call.kinds.iter().sum::<u64>());
        match end {
            CallEnd::Answered(results) => {
                if results.contains(&Err(PieceFailure::NoRoom)) {
                    maker.refused(now);
                }
                self.typical_call_s += TYPICAL_WEIGHT * (took.as_secs_f64() - self.typical_call_s);
                self.times.learn(&self.spec, &call.kinds, took, maker.speed);
                maker.answered(took, call.expected.div_f64(maker.speed));
            }
            CallEnd::NotRun => maker.refused(now),
            CallEnd::Unreachable | CallEnd::Failed => {
                maker.failed(now, took, call.expected.div_f64(maker.speed));
            }
        }
        let is_gone = !maker.ready && maker.calls == 0;
        if is_gone {
            self.makers.remove(&call.upstream);
        }
    }

    fn piece_ended(
        &mut self,
        now: MonoTime,
        maker: &UpstreamId,
        (key, piece): (JobKey, u32),
        result: PieceResult,
        settled: &mut Settled,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            settled.unwanted.extend(result.ok());
            return;
        };
        match result {
            Ok(handle) => {
                let bytes = job.new.result_bytes;
                job.results[piece as usize] = Some(handle.clone());
                let until = now.after(self.spec.result_life);
                self.results.keep(handle, maker, bytes, until);
                if let Some(maker) = self.makers.get_mut(maker) {
                    maker.room_used += bytes;
                }
                self.finish_if_done(key, settled);
            }
            Err(PieceFailure::Late) => self.refuse(key, PiecesRefusal::Late, settled),
            Err(PieceFailure::InputGone) => self.refuse(key, PiecesRefusal::InputGone, settled),
            Err(PieceFailure::NoRoom) => self.wait_again(now, key, piece, false, settled),
            Err(PieceFailure::Failed) => self.wait_again(now, key, piece, true, settled),
        }
    }

    fn finish_if_done(&mut self, key: JobKey, settled: &mut Settled) {
        if !self.jobs[key].is_done() {
            return;
        }
        if let Some(job) = self.jobs.remove(key) {
            settled.finished.push(Finished {
                job: key,
                result: Ok(job.results.into_iter().flatten().collect()),
            });
        }
    }

    /// Puts the pieces of a call that brought nothing back into the queue.
    fn send_again(
        &mut self,
        now: MonoTime,
        call: &Call,
        arrived: bool,
        failed: bool,
        settled: &mut Settled,
    ) {
        for (key, piece) in &call.pieces {
            if !self.jobs.contains_key(*key) {
                continue;
            }
            if arrived {
                self.wait_again(now, *key, *piece, failed, settled);
            } else {
                self.jobs[*key].waiting.push_front(*piece);
            }
        }
    }

    /// A piece that reached an upstream and was not made waits for another call, while the budget allows it.
    fn wait_again(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: u32,
        failed: bool,
        settled: &mut Settled,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.failures += u32::from(failed);
        if job.failures > MOST_FAILURES || !self.repeats.try_spend(now) {
            self.refuse(key, PiecesRefusal::Failed, settled);
            return;
        }
        job.waiting.push_front(piece);
    }

    fn refuse(&mut self, key: JobKey, refusal: PiecesRefusal, settled: &mut Settled) {
        settled.unwanted.extend(self.cancel(key));
        settled.finished.push(Finished {
            job: key,
            result: Err(refusal),
        });
    }

    /// A result is no longer needed, or was freed.
    pub fn freed(&mut self, handle: &ResultHandle) {
        if let Some((maker, bytes)) = self.results.give_up(handle) {
            self.take_room_back(&maker, bytes);
        }
    }

    pub(super) fn expire_results(&mut self, now: MonoTime) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now.after(EXPIRE_EVERY);
        for (maker, bytes) in self.results.expire(now) {
            self.take_room_back(&maker, bytes);
        }
    }

    fn take_room_back(&mut self, maker: &UpstreamId, bytes: u64) {
        if let Some(maker) = self.makers.get_mut(maker) {
            maker.room_used = maker.room_used.saturating_sub(bytes);
        }
    }
}
