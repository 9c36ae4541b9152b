//! The state machine of a batch service's home.

use std::{collections::BTreeMap, time::Duration};

use slotmap::SlotMap;
use tc_protocol::{
    FailureDomain, MonoTime, UpstreamId,
    routing::{BatchSpec, PieceFailure, PieceOrder, PieceResult, PiecesRefusal, ResultHandle},
};

use super::{
    demand::Demand,
    job::{Job, JobKey, NewJob},
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
/// A call that takes this many times its expected time is given up.
const GIVE_UP_FACTOR: f64 = 3.0;
/// What a call is taken to last before any has ended, as a multiple of its fixed time.
const FIRST_TYPICAL: f64 = 1.3;
/// Weight of the newest call in the average: a dozen calls, half a second of one service, move it by most.
const TYPICAL_WEIGHT: f64 = 0.1;
/// Added to that: a call may wait for another home's call at the upstream.
const GIVE_UP_EXTRA: Duration = Duration::from_millis(500);
/// Part of an upstream's room that is planned with: sizes of results are told as an average only, and a result that
/// was given up takes room until its upstream hears of it.
const ROOM_PART: f64 = 0.95;
/// Part of the upstreams' time that is left for late work at least, for an estimate that stays finite.
const LEAST_FREE: f64 = 0.02;
/// A job that waits for nobody is done after its own call and a part of the one that its upstream is at.
const NEXT_CALL: f64 = 1.2;
/// How often results that ran out are looked for.
const EXPIRE_EVERY: Duration = Duration::from_millis(250);

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
struct Call {
    upstream: UpstreamId,
    pieces: Vec<(JobKey, u32)>,
    /// Kinds of the pieces, by size of result.
    kinds: Vec<u64>,
    started: MonoTime,
    expected: Duration,
}

/// Decides for one service. See the module.
#[derive(Debug)]
pub struct BatchPlanner {
    spec: BatchSpec,
    jobs: SlotMap<JobKey, Job>,
    calls: SlotMap<CallKey, Call>,
    makers: BTreeMap<UpstreamId, Maker>,
    results: Results,
    times: PieceTimes,
    repeats: RepeatBudget,
    /// Running average of the time of a call, in seconds.
    typical_call_s: f64,
    /// Work that comes in time to be done in time.
    demand: Demand,
    next_expiry: MonoTime,
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

    /// Expected time until everything that waits has been taken into a call.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        self.time_of(self.jobs.values().map(|job| self.work_of(job)).sum())
    }

    /// Seconds of one ordinary upstream that what waits of a job takes.
    fn work_of(&self, job: &Job) -> f64 {
        job.waiting.len() as f64 * self.share_of_call(job.new.result_bytes)
    }

    /// How long all upstreams together take for so many seconds of work.
    fn time_of(&self, work: f64) -> Duration {
        let speed = self.total_speed() * f64::from(self.spec.slots);
        if speed > 0.0 {
            Duration::from_secs_f64(work / speed)
        } else if work > 0.0 {
            // All fail at the moment; one more call tells.
            self.spec.call_time
        } else {
            Duration::ZERO
        }
    }

    /// How long what can still be in time is expected to wait; what is late waits for it.
    #[must_use]
    pub fn expected_wait_in_time(&self, now: MonoTime) -> Duration {
        let ends = self.typical_end(now);
        let in_time = self.jobs.values().filter(|job| !job.place(ends).0);
        self.time_of(in_time.map(|job| self.work_of(job)).sum())
    }

    fn typical_call(&self) -> Duration {
        Duration::from_secs_f64(self.typical_call_s)
    }

    /// When a call that is begun now would end.
    fn typical_end(&self, now: MonoTime) -> MonoTime {
        now.after(self.typical_call())
    }

    /// Expected time until a job is taken into a call, behind those that go before it.
    fn wait_of(&self, now: MonoTime, job: &Job) -> Duration {
        let place = job.place(self.typical_end(now));
        let ends = self.typical_end(now);
        let before = self
            .jobs
            .values()
            .filter(|other| other.place(ends) <= place);
        let work = before.map(|other| self.work_of(other)).sum();
        if place.0 {
            self.time_of_late(now, work)
        } else {
            self.time_of(work)
        }
    }

    /// How long so many seconds of work take that is done only when nothing else is to be done.
    fn time_of_late(&self, now: MonoTime, work: f64) -> Duration {
        let speed = self.total_speed() * f64::from(self.spec.slots);
        let free = 1.0 - self.demand.per_second(now) / speed.max(f64::MIN_POSITIVE);
        self.time_of(work).div_f64(free.max(LEAST_FREE))
    }

    /// Seconds that one piece takes of a full call.
    fn share_of_call(&self, kind: u64) -> f64 {
        let call = self.spec.call_time.as_secs_f64() / self.spec.max_pieces.max(1) as f64;
        call + self.times.of(&self.spec, kind)
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
        let in_time = self.wait_of(now, &job) + self.typical_call().mul_f64(NEXT_CALL);
        job.expected_late = job.new.in_time_until < now.after(in_time);
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

    /// Whether a job will most likely be done before nobody waits for it any more.
    fn is_worth_waiting(&self, now: MonoTime, job: &Job, wait: Duration, part: f64) -> bool {
        let most = job.new.deadline.since(now).mul_f64(part);
        wait.is_zero() || wait + self.spec.call_time <= most
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
        let mut queue: Vec<((bool, MonoTime), JobKey)> = self
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
            let wait = if place.0 {
                self.time_of_late(now, before)
            } else {
                self.time_of(before)
            };
            if job.is_untouched() && !self.is_worth_waiting(now, job, wait, MOST_WAIT_QUEUED) {
                let refusal = self.overloaded();
                self.refuse(key, refusal, &mut settled);
                continue;
            }
            before += work;
        }
        settled
    }

    /// The next call to be made, if an upstream is free and something waits; asked again until there is none.
    pub fn next_call(&mut self, now: MonoTime) -> Option<BatchCall> {
        self.expire_results(now);
        let mut free: Vec<(UpstreamId, f64)> = self
            .makers
            .iter()
            .filter(|(_, maker)| maker.is_free(now, self.spec.slots))
            .map(|(id, maker)| (id.clone(), maker.speed))
            .collect();
        free.sort_by(|a, b| a.1.total_cmp(&b.1));
        free.into_iter().find_map(|(id, _)| self.call_on(now, &id))
    }

    /// When something may be possible that is not now, if that is known.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let paused = self
            .makers
            .values()
            .filter(|maker| maker.ready && maker.not_before > now)
            .map(|maker| maker.not_before);
        let deadlines = self.jobs.values().map(|job| job.new.deadline);
        let stays = self
            .jobs
            .values()
            .filter(|job| !job.waiting.is_empty() && job.stays_until > now)
            .map(|job| job.stays_until);
        let room = (!self.jobs.is_empty()).then_some(now.after(EXPIRE_EVERY));
        paused.chain(deadlines).chain(stays).chain(room).min()
    }

    fn call_on(&mut self, now: MonoTime, id: &UpstreamId) -> Option<BatchCall> {
        let maker = self.makers.get(id)?;
        if self.is_better_left_idle(now, maker) {
            return None;
        }
        let pieces = self.choose(now, maker);
        if pieces.is_empty() {
            return None;
        }
        let kinds: Vec<u64> = pieces
            .iter()
            .map(|(job, _)| self.jobs[*job].new.result_bytes)
            .collect();
        let expected = self.times.expect(&self.spec, &kinds).mul_f64(maker.speed);
        let domain = maker.domain.clone();
        let orders = self.take(now, &pieces, &domain);
        if let Some(maker) = self.makers.get_mut(id) {
            maker.calls += 1;
            maker.room_used += kinds.iter().sum::<u64>();
            maker.busy_until = now.after(expected);
        }
        let key = self.calls.insert(Call {
            upstream: id.clone(),
            pieces,
            kinds,
            started: now,
            expected,
        });
        Some(BatchCall {
            key,
            upstream: id.clone(),
            pieces: orders,
            limit: expected.mul_f64(GIVE_UP_FACTOR) + GIVE_UP_EXTRA,
        })
    }

    /// Whether what waits is done sooner by faster upstreams alone.
    ///
    /// Work given to a slow upstream only because it is free is late there, although the others would have come to it
    /// in time.
    fn is_better_left_idle(&self, now: MonoTime, maker: &Maker) -> bool {
        let own = self.spec.call_time.mul_f64(maker.speed);
        let faster: Vec<&Maker> = self
            .makers
            .values()
            .filter(|other| other.ready && other.failures == 0 && other.speed * 1.5 < maker.speed)
            .collect();
        let Some(soonest) = faster
            .iter()
            .map(|other| {
                let start = if other.calls < self.spec.slots {
                    Duration::ZERO
                } else {
                    other.busy_until.since(now)
                };
                start + self.spec.call_time.mul_f64(other.speed)
            })
            .min()
        else {
            return false;
        };
        let speed: f64 = faster.iter().map(|other| 1.0 / other.speed).sum();
        let all = self.expected_wait().as_secs_f64() * self.total_speed() / speed;
        own > soonest + Duration::from_secs_f64(all)
    }

    fn total_speed(&self) -> f64 {
        let ready = self.makers.values().filter(|m| m.ready && m.failures == 0);
        ready.map(|m| 1.0 / m.speed).sum()
    }

    /// Pieces for a call on this upstream, best first.
    fn choose(&self, now: MonoTime, maker: &Maker) -> Vec<(JobKey, u32)> {
        let ends = now.after(self.typical_call().mul_f64(maker.speed));
        let mut jobs: Vec<(JobKey, &Job)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.waiting.is_empty() && job.new.deadline > now)
            .filter(|(_, job)| job.may_go_to(now, &maker.domain))
            .collect();
        jobs.sort_by_key(|(_, job)| job.order(ends, &maker.domain));
        let usable = (self.spec.room_bytes as f64 * ROOM_PART) as u64;
        let mut room = usable.saturating_sub(maker.room_used);
        let mut chosen = Vec::with_capacity(self.spec.max_pieces);
        for (key, job) in jobs {
            for piece in &job.waiting {
                if chosen.len() >= self.spec.max_pieces {
                    return chosen;
                }
                if job.new.result_bytes > room {
                    break;
                }
                room -= job.new.result_bytes;
                chosen.push((key, *piece));
            }
        }
        chosen
    }

    fn take(
        &mut self,
        now: MonoTime,
        pieces: &[(JobKey, u32)],
        domain: &FailureDomain,
    ) -> Vec<PieceOrder> {
        let mut orders = Vec::with_capacity(pieces.len());
        for (key, piece) in pieces {
            let job = &mut self.jobs[*key];
            job.waiting.retain(|waiting| waiting != piece);
            job.placed_in(now, domain, self.spec.call_time);
            orders.push(PieceOrder {
                request: job.new.request.clone(),
                stage: job.new.stage,
                piece: *piece,
                remaining: job.new.deadline.since(now),
                input: job.new.input.clone(),
            });
        }
        orders
    }

    /// Takes up how a call ended.
    pub fn end_call(&mut self, now: MonoTime, key: CallKey, end: CallEnd) -> Settled {
        let mut settled = Settled::default();
        let Some(call) = self.calls.remove(key) else {
            return settled;
        };
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

    fn expire_results(&mut self, now: MonoTime) {
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
