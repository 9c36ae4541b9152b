//! How calls and jobs end: results go to their jobs, failed pieces wait again, makers are judged by what they did.

use std::time::Duration;

use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{PieceFailure, PieceResult, ResultHandle, StageRefusal},
};

use super::{
    job::{Inputs, JobKey},
    planner::{BatchPlanner, Call, CallKey},
};

/// Failed calls after which a job is given up: its pieces may be what fails them.
const MOST_FAILURES: u32 = 3;
/// Weight of the newest call in the average: a dozen calls, half a second of one service, move it by most.
const TYPICAL_WEIGHT: f64 = 0.1;

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The upstream answered, one result a piece.
    Answered(Vec<PieceResult>),
    /// The upstream said that it has not taken the call, or it was never sent.
    NotRun,
    /// The upstream has not taken the call and requested a backoff of this length.
    RefusedWithBackoff(Duration),
    /// The call was not sent because a backoff of the upstream has this much time remaining.
    BackingOff(Duration),
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
    pub result: Result<Vec<ResultHandle>, StageRefusal>,
}

/// What the end of a call brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settled {
    /// Jobs that ended.
    pub finished: Vec<Finished>,
    /// Results that nobody waits for; they are to be freed at their makers.
    pub unwanted: Vec<ResultHandle>,
    /// Inputs of finished jobs that nobody reads any more and that were not given up before.
    pub read: Vec<ResultHandle>,
}

impl BatchPlanner {
    /// Takes up how a call ended.
    pub fn end_call(&mut self, now: MonoTime, key: CallKey, end: CallEnd) -> Settled {
        let mut settled = Settled::default();
        let Some(call) = self.calls.remove(key) else {
            return settled;
        };
        self.last_refused = matches!(end, CallEnd::NotRun | CallEnd::RefusedWithBackoff(_));
        self.note_maker(now, &call, &end);
        match end {
            CallEnd::Answered(results) => {
                for ((job, piece), result) in call.pieces.iter().zip(results) {
                    self.piece_ended(now, &call.upstream, (*job, *piece), result, &mut settled);
                }
            }
            CallEnd::NotRun
            | CallEnd::RefusedWithBackoff(_)
            | CallEnd::BackingOff(_)
            | CallEnd::Unreachable => {
                let arrived = matches!(end, CallEnd::NotRun | CallEnd::RefusedWithBackoff(_));
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
        maker.reserved = maker
            .reserved
            .saturating_sub(call.kinds.iter().sum::<u64>());
        match end {
            CallEnd::Answered(results) => {
                if results.contains(&Err(PieceFailure::ResultStoreFull)) {
                    maker.refused(now);
                }
                self.typical_call_s += TYPICAL_WEIGHT * (took.as_secs_f64() - self.typical_call_s);
                self.times.learn(&self.spec, &call.kinds, took, maker.speed);
                maker.answered(took, call.expected.div_f64(maker.speed));
            }
            CallEnd::NotRun => maker.refused(now),
            CallEnd::RefusedWithBackoff(backoff) | CallEnd::BackingOff(backoff) => {
                maker.back_off(now, *backoff);
            }
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
                let until = now.after(self.spec.result_ttl);
                self.results.keep(handle, maker, bytes, until);
                self.finish_if_done(key, settled);
            }
            Err(PieceFailure::Late) => self.refuse(key, StageRefusal::Late, settled),
            Err(PieceFailure::InputGone) => {
                self.note_input_gone(key);
                self.refuse(key, StageRefusal::InputGone, settled);
            }
            Err(PieceFailure::ResultStoreFull) => self.wait_again(now, key, piece, false, settled),
            Err(PieceFailure::Failed) => self.wait_again(now, key, piece, true, settled),
        }
    }

    fn finish_if_done(&mut self, key: JobKey, settled: &mut Settled) {
        if !self.jobs[key].is_done() {
            return;
        }
        if let Some(job) = self.jobs.remove(key) {
            settled.read.extend(job.inputs_left());
            self.note_inputs_found(&job);
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
                self.put_back(*key, *piece, settled);
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
            self.refuse(key, StageRefusal::Failed, settled);
            return;
        }
        self.put_back(key, piece, settled);
    }

    /// Puts a piece back into the queue, unless its inputs were given up: then the stages before must be made again.
    fn put_back(&mut self, key: JobKey, piece: u32, settled: &mut Settled) {
        let job = &mut self.jobs[key];
        if job.has_no_inputs() {
            self.refuse(key, StageRefusal::InputGone, settled);
            return;
        }
        job.inputs = Inputs::Kept;
        job.waiting.push_front(piece);
    }

    pub(super) fn refuse(&mut self, key: JobKey, refusal: StageRefusal, settled: &mut Settled) {
        settled.unwanted.extend(self.cancel(key));
        settled.finished.push(Finished {
            job: key,
            result: Err(refusal),
        });
    }
}
