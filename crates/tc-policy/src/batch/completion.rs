//! Handles the end of calls and jobs: stores results, requeues failed pieces and updates the upstreams.

use std::{collections::BTreeSet, time::Duration};

use tc_protocol::{
    MonoTime,
    routing::{PieceFailure, PieceResult, ResultHandle, StageRefusal},
};

use super::{
    job::JobKey,
    planner::{BatchPlanner, Call, CallKey},
};

/// Number of failed calls after which a job is refused, since its own pieces may cause the failures.
pub(super) const MAX_FAILURES: u32 = 3;
/// Weight of the latest call in the moving average: a dozen calls, half a second of a service, change most of it.
const CALL_TIME_WEIGHT: f64 = 0.1;

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The upstream answered, with one result for each piece.
    Answered(Vec<PieceResult>),
    /// The upstream reported that it did not run the call, or the call was never sent.
    NotRun,
    /// The upstream did not run the call and requested a backoff of this length.
    RefusedWithBackoff(Duration),
    /// The call was not sent because a backoff of the upstream has this much time remaining.
    BackingOff(Duration),
    /// The call was not sent because no request wants its pieces any more.
    Withdrawn,
    /// No connection could be established.
    Unreachable,
    /// The call failed, and the upstream made nothing.
    Failed,
    /// The answer was lost or is malformed, so that the upstream may hold results without known handles.
    AnswerLost,
}

/// Time for which a refused piece waits for a retry, as a multiple of a typical call. Its upstream may run a call of another
/// home and hold two more; as long again passes until requests have paid for the retry.
const MAX_RETRY_WAIT_CALLS: f64 = 6.0;

/// Progress of a piece that was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// It was not sent.
    NotSent,
    /// The upstream refused it.
    Refused,
    /// The upstream may have worked on it.
    Failed,
}

/// A job that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedJob {
    /// Key of the job.
    pub job: JobKey,
    /// Results in the order of the pieces, or the reason for a refusal.
    pub result: Result<Vec<ResultHandle>, StageRefusal>,
}

/// Changes that the driver must act on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerEffects {
    /// Jobs that ended.
    pub finished: Vec<FinishedJob>,
    /// Results that are no longer needed; the driver must free them at their upstreams.
    pub discarded_results: Vec<ResultHandle>,
    /// Inputs of finished jobs that have no further readers and were not released before.
    pub released_inputs: Vec<ResultHandle>,
    /// Number of discarded results by cause.
    pub unused: UnusedResults,
}

/// Number of results that were made and not used, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnusedResults {
    /// The request was cancelled or refused while the call was in progress.
    pub request_gone: usize,
    /// Another call made the piece first.
    pub duplicate: usize,
    /// The job was refused after some of its pieces were made.
    pub refused: usize,
}

impl BatchPlanner {
    /// Processes the end of a call.
    pub fn end_call(&mut self, now: MonoTime, key: CallKey, end: CallEnd) -> PlannerEffects {
        let mut effects = PlannerEffects::default();
        let Some(call) = self.calls.remove(key) else {
            return effects;
        };
        self.last_refused = matches!(end, CallEnd::NotRun | CallEnd::RefusedWithBackoff(_));
        self.update_upstream(now, &call, &end);
        self.remove_pieces(&call);
        self.count_failure(&call, &end);
        if end == CallEnd::AnswerLost {
            self.account_for_lost_answer(now, &call);
        }
        let has_no_room = matches!(&end, CallEnd::Answered(results)
            if results.contains(&Err(PieceFailure::ResultStoreFull)));
        match end {
            CallEnd::Answered(results) => {
                let no_room = Err(PieceFailure::ResultStoreFull);
                self.last_without_room = results.iter().all(|result| *result == no_room);
                self.store_results(now, &call, &results);
                for ((job, piece), result) in call.pieces.iter().zip(results) {
                    self.handle_piece_result(now, (*job, *piece), result, &mut effects);
                }
            }
            CallEnd::NotRun
            | CallEnd::RefusedWithBackoff(_)
            | CallEnd::BackingOff(_)
            | CallEnd::Withdrawn
            | CallEnd::Unreachable => {
                let reach = match end {
                    CallEnd::NotRun | CallEnd::RefusedWithBackoff(_) => Reach::Refused,
                    _ => Reach::NotSent,
                };
                self.requeue_call(now, &call, reach, &mut effects);
            }
            CallEnd::Failed | CallEnd::AnswerLost => {
                self.requeue_call(now, &call, Reach::Failed, &mut effects);
            }
        }
        if has_no_room {
            self.assume_full(now, &call.upstream);
        }
        effects
    }

    /// Takes the pieces of a call that has ended out of it.
    fn remove_pieces(&mut self, call: &Call) {
        for (key, piece) in &call.pieces {
            if let Some(job) = self.jobs.get_mut(*key) {
                let calls = &mut job.calls[*piece as usize];
                calls.open -= 1;
                calls.overdue -= u32::from(call.is_overdue);
            }
        }
    }

    /// Counts a failed call once for each job that had a failed piece in it.
    fn count_failure(&mut self, call: &Call, end: &CallEnd) {
        let has_failed = |index: usize| match end {
            CallEnd::Answered(results) => {
                matches!(results.get(index), Some(Err(PieceFailure::Failed)))
            }
            _ => matches!(end, CallEnd::Failed | CallEnd::AnswerLost),
        };
        let pieces = call.pieces.iter().enumerate();
        let failed: BTreeSet<JobKey> = pieces
            .filter(|(index, _)| has_failed(*index))
            .map(|(_, (key, _))| *key)
            .collect();
        for key in failed {
            if let Some(job) = self.jobs.get_mut(key) {
                job.failures += 1;
            }
        }
    }

    fn update_upstream(&mut self, now: MonoTime, call: &Call, end: &CallEnd) {
        let Some(upstream) = self.upstreams.get_mut(&call.upstream) else {
            return;
        };
        let took = now.since(call.started);
        upstream.calls = upstream.calls.saturating_sub(1);
        let overdue_calls = u32::from(call.is_overdue);
        upstream.overdue_calls = upstream.overdue_calls.saturating_sub(overdue_calls);
        upstream.reserved_bytes = upstream
            .reserved_bytes
            .saturating_sub(call.result_sizes.iter().sum::<u64>());
        match end {
            CallEnd::Answered(results) => {
                if call.is_overdue {
                    upstream.record_late_answer();
                } else {
                    self.typical_call_s +=
                        CALL_TIME_WEIGHT * (took.as_secs_f64() - self.typical_call_s);
                    let took = upstream.momentary.usual_time(now, took);
                    self.piece_times.record(
                        &self.spec,
                        &call.result_sizes,
                        took,
                        upstream.slowdown,
                    );
                    upstream.record_success(took, call.expected.div_f64(upstream.slowdown));
                }
                if results.contains(&Err(PieceFailure::ResultStoreFull)) {
                    upstream.record_refusal(now);
                }
            }
            CallEnd::Withdrawn => {}
            CallEnd::NotRun => upstream.record_refusal(now),
            CallEnd::RefusedWithBackoff(backoff) | CallEnd::BackingOff(backoff) => {
                upstream.back_off(now, *backoff);
            }
            CallEnd::Unreachable | CallEnd::Failed | CallEnd::AnswerLost if call.is_overdue => {}
            CallEnd::Unreachable | CallEnd::Failed | CallEnd::AnswerLost => {
                upstream.record_failure(now, took, call.expected.div_f64(upstream.slowdown));
            }
        }
        let is_removable = !upstream.ready && upstream.calls == 0;
        if is_removable {
            self.upstreams.remove(&call.upstream);
        }
    }

    /// Accounts for the room of results until they are freed or expire, also of those that nobody needs.
    fn store_results(&mut self, now: MonoTime, call: &Call, results: &[PieceResult]) {
        let expires_at = now.after(self.spec.result_ttl);
        for (result, bytes) in results.iter().zip(&call.result_sizes) {
            if let Ok(handle) = result {
                let memory = &mut self.result_memory;
                memory.insert(handle.clone(), &call.upstream, *bytes, expires_at);
            }
        }
    }

    fn handle_piece_result(
        &mut self,
        now: MonoTime,
        (key, piece): (JobKey, u32),
        result: PieceResult,
        effects: &mut PlannerEffects,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            effects.unused.request_gone += usize::from(result.is_ok());
            effects.discarded_results.extend(result.ok());
            return;
        };
        match result {
            Ok(handle) if job.results[piece as usize].is_some() => {
                effects.unused.duplicate += 1;
                effects.discarded_results.push(handle);
            }
            Err(_) if job.is_made_elsewhere(piece) => {}
            Ok(handle) => {
                job.results[piece as usize] = Some(handle);
                job.waiting.retain(|waiting| *waiting != piece);
                self.finish_if_done(key, effects);
            }
            Err(PieceFailure::Late) => self.refuse(key, StageRefusal::Late, effects),
            Err(PieceFailure::InputGone) => {
                self.record_input_gone(key);
                self.refuse(key, StageRefusal::InputGone, effects);
            }
            Err(PieceFailure::ResultStoreFull) => {
                self.retry_piece(now, key, piece, Reach::Refused, effects);
            }
            Err(PieceFailure::Failed) => {
                self.retry_piece(now, key, piece, Reach::Failed, effects);
            }
        }
    }

    fn finish_if_done(&mut self, key: JobKey, effects: &mut PlannerEffects) {
        if !self.jobs[key].is_done() {
            return;
        }
        if let Some(job) = self.jobs.remove(key) {
            effects.released_inputs.extend(job.unreleased_inputs());
            self.record_inputs_found(&job);
            effects.finished.push(FinishedJob {
                job: key,
                result: Ok(job.results.into_iter().flatten().collect()),
            });
        }
    }

    /// Requeues the pieces of a call that produced no results.
    fn requeue_call(
        &mut self,
        now: MonoTime,
        call: &Call,
        reach: Reach,
        effects: &mut PlannerEffects,
    ) {
        for (key, piece) in &call.pieces {
            let job = self.jobs.get(*key);
            if job.is_none_or(|job| job.is_made_elsewhere(*piece)) {
                continue;
            }
            if reach == Reach::NotSent {
                self.requeue_piece(now, *key, *piece, effects);
            } else {
                self.retry_piece(now, *key, *piece, reach, effects);
            }
        }
    }

    /// Requeues a piece that reached an upstream and was not made, if the retry budget allows it.
    ///
    /// A piece that was refused waits for a retry instead, as long as calls of another home may take: a home that has just
    /// taken over has hardly any retries, and its upstreams still run the calls of the home before.
    fn retry_piece(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: u32,
        reach: Reach,
        effects: &mut PlannerEffects,
    ) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.waiting.contains(&piece) {
            return;
        }
        let has_failed_often = job.failures > MAX_FAILURES;
        if !has_failed_often && self.retry_budget.try_spend(now).is_some() {
            self.requeue_piece(now, key, piece, effects);
        } else if !has_failed_often && reach == Reach::Refused {
            let retry_until = now.after(self.typical_call().mul_f64(MAX_RETRY_WAIT_CALLS));
            let job = &mut self.jobs[key];
            job.calls[piece as usize].needs_retry = true;
            job.retry_until.get_or_insert(retry_until);
            self.requeue_piece(now, key, piece, effects);
        } else {
            self.refuse(key, StageRefusal::Failed, effects);
        }
    }

    /// Requeues a piece, unless its inputs are gone: then the preceding stages must run again.
    fn requeue_piece(
        &mut self,
        now: MonoTime,
        key: JobKey,
        piece: u32,
        effects: &mut PlannerEffects,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.inputs_gone(now) {
            self.refuse(key, StageRefusal::InputGone, effects);
            return;
        }
        if !job.waiting.contains(&piece) {
            job.make_again(piece);
        }
    }

    pub(super) fn refuse(
        &mut self,
        key: JobKey,
        refusal: StageRefusal,
        effects: &mut PlannerEffects,
    ) {
        let discarded = self.cancel(key);
        effects.unused.refused += discarded.len();
        effects.discarded_results.extend(discarded);
        effects.finished.push(FinishedJob {
            job: key,
            result: Err(refusal),
        });
    }
}
