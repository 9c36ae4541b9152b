//! Calls that take much longer than expected.
//!
//! Their upstream may only be silent for a moment, so such a call is kept: while it is in progress, other upstreams make its
//! pieces as well, and the first result counts.

use std::{collections::BTreeSet, time::Duration};

use tc_protocol::{MonoTime, UpstreamId, routing::StageRefusal};

use super::{
    completion::{MAX_FAILURES, PlannerEffects},
    job::JobKey,
    planner::{BatchPlanner, CallKey},
};

/// Time after which a call is overdue, as a multiple of its expected duration.
const OVERDUE_FACTOR: f64 = 3.0;
/// Added to this time, since a call may wait at the upstream for a call from another home.
const OVERDUE_MARGIN: Duration = Duration::from_millis(500);

/// Time after which a call that was expected to take `expected` is overdue.
pub(super) fn overdue_after(expected: Duration) -> Duration {
    expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_MARGIN
}

impl BatchPlanner {
    /// Queues pieces of overdue calls for other upstreams, as far as one is free and the retry budget allows it.
    pub(super) fn replace_overdue(&mut self, now: MonoTime) {
        self.mark_overdue(now);
        let overdue = self.calls.iter().filter(|(_, call)| call.is_overdue);
        let overdue: Vec<CallKey> = overdue.map(|(key, _)| key).collect();
        for key in overdue {
            let call = &self.calls[key];
            if !self.has_free_upstream(now, &call.upstream) {
                continue;
            }
            for (job, piece) in call.pieces.clone() {
                self.queue_replacement(now, job, piece);
            }
        }
    }

    /// Counts calls that have become overdue as failures of their upstreams, which get other calls after a backoff.
    pub(super) fn mark_overdue(&mut self, now: MonoTime) {
        for call in self.calls.values_mut() {
            if call.is_overdue || call.overdue_at > now {
                continue;
            }
            call.is_overdue = true;
            for (key, piece) in &call.pieces {
                if let Some(job) = self.jobs.get_mut(*key) {
                    job.calls[*piece as usize].overdue += 1;
                }
            }
            if let Some(upstream) = self.upstreams.get_mut(&call.upstream) {
                upstream.overdue_calls += 1;
                let expected = call.expected.div_f64(upstream.slowdown);
                upstream.record_failure(now, now.since(call.started), expected);
            }
        }
    }

    /// Returns the time at which the next call becomes overdue.
    pub(super) fn next_overdue(&self) -> Option<MonoTime> {
        let in_time = self.calls.values().filter(|call| !call.is_overdue);
        in_time.map(|call| call.overdue_at).min()
    }

    /// Refuses jobs with an overdue piece that cannot be made again because its inputs are gone.
    pub(super) fn refuse_irreplaceable(&mut self, now: MonoTime, effects: &mut PlannerEffects) {
        let irreplaceable: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.inputs_gone(now) && job.has_overdue_piece())
            .map(|(key, _)| key)
            .collect();
        for key in irreplaceable {
            self.refuse(key, StageRefusal::InputGone, effects);
        }
    }

    /// Returns the jobs with pieces in an overdue call to the upstream.
    pub(super) fn jobs_overdue_at(&self, id: &UpstreamId) -> BTreeSet<JobKey> {
        let calls = self.calls.values();
        calls
            .filter(|call| call.is_overdue && call.upstream == *id)
            .flat_map(|call| call.pieces.iter().map(|(key, _)| *key))
            .collect()
    }

    /// Whether an upstream besides `excluded` that has no overdue call may get a call now.
    fn has_free_upstream(&self, now: MonoTime, excluded: &UpstreamId) -> bool {
        self.upstreams.iter().any(|(id, upstream)| {
            id != excluded && upstream.overdue_calls == 0 && upstream.is_free(now, self.spec.slots)
        })
    }

    fn queue_replacement(&mut self, now: MonoTime, key: JobKey, piece: u32) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let is_replaceable = job.is_overdue(piece)
            && job.calls[piece as usize].open <= MAX_FAILURES
            && !job.waiting.contains(&piece)
            && !job.inputs_gone(now)
            && job.params.deadline > now;
        if is_replaceable && self.retry_budget.try_spend(now).is_some() {
            self.jobs[key].make_again(piece);
        }
    }
}
