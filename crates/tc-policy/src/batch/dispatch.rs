//! Selects the next call: its upstream and its pieces.

use std::{collections::HashMap, time::Duration};

use tc_protocol::{FailureDomain, MonoTime, UpstreamId, routing::PieceRequest};

use super::{
    job::{Job, JobKey},
    overdue::overdue_after,
    planner::{BatchCall, BatchPlanner, Call, RESULT_EXPIRY_INTERVAL},
    upstream::UpstreamState,
};

/// Maximum number of pieces in a call after a refused one; it probes whether upstreams accept calls again. Each refused
/// piece spends a retry, so full calls to full upstreams would use up several seconds of the retry budget at once.
const PROBE_PIECES: usize = 1;
/// Interval of checks whether there are retries for refused pieces.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of an upstream's result memory that is used for planning. Result sizes are only known as averages, and a
/// released result occupies memory until its upstream is notified.
const USABLE_RESULT_MEMORY: f64 = 0.95;

/// Size of the smallest waiting result, by the domain in which it may be made; `None` if nothing waits.
#[derive(Default)]
struct SmallestResults<'a> {
    anywhere: Option<u64>,
    by_domain: HashMap<&'a FailureDomain, Option<u64>>,
}

impl SmallestResults<'_> {
    /// Returns true if nothing waits.
    fn is_empty(&self) -> bool {
        self.anywhere.is_none() && self.by_domain.is_empty()
    }

    fn in_domain(&self, domain: &FailureDomain) -> Option<u64> {
        let local = self.by_domain.get(domain).copied().flatten();
        let candidates = [local, self.anywhere].into_iter().flatten();
        candidates.min()
    }
}

fn retain<T>(items: &mut Vec<T>, is_kept: &[bool]) {
    let mut is_kept = is_kept.iter();
    items.retain(|_| is_kept.next().copied().unwrap_or_default());
}

impl BatchPlanner {
    /// Returns the next call to make, if an upstream is free and pieces wait. The driver repeats this until it returns
    /// `None`.
    pub fn next_call(&mut self, now: MonoTime) -> Option<BatchCall> {
        self.expire_results(now);
        self.replace_overdue(now);
        let slots = self.spec.slots;
        if !self
            .upstreams
            .values()
            .any(|upstream| upstream.is_free(now, slots))
        {
            return None;
        }
        let retries = self.available_retries(now);
        let smallest = self.smallest_results(now, retries);
        if smallest.is_empty() {
            return None;
        }
        let mut free: Vec<(&UpstreamId, f64)> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.is_free(now, self.spec.slots))
            .filter(|(id, upstream)| {
                let smallest = smallest.in_domain(&upstream.domain);
                smallest.is_some_and(|bytes| bytes <= self.free_result_bytes(id))
            })
            .map(|(id, upstream)| (id, upstream.expected_slowdown(now)))
            .collect();
        free.sort_by(|a, b| a.1.total_cmp(&b.1));
        let free: Vec<UpstreamId> = free.into_iter().map(|(id, _)| id.clone()).collect();
        free.iter().find_map(|id| self.build_call(now, id, retries))
    }

    /// Finds the smallest result of all waiting jobs, by domain.
    ///
    /// When result memory is the bottleneck, most upstreams are free but have no memory left on every event. Sorting
    /// all jobs for each of them just to find that out took 12 ms per request at a home with 100 upstreams and 1,000
    /// waiting jobs, so this check comes first.
    fn smallest_results(&self, now: MonoTime, retries: usize) -> SmallestResults<'_> {
        let mut smallest = SmallestResults::default();
        for job in self.jobs.values() {
            let has_ended = job.params.deadline <= now || job.inputs_expire(now);
            if has_ended || !job.has_sendable(retries) {
                continue;
            }
            let bytes = job.params.result_bytes;
            let smallest_bytes = match job.required_domain(now) {
                None => &mut smallest.anywhere,
                Some(domain) => smallest.by_domain.entry(domain).or_default(),
            };
            *smallest_bytes = Some(smallest_bytes.map_or(bytes, |known| known.min(bytes)));
        }
        smallest
    }

    /// Number of pieces that were refused and that the retry budget allows to be sent again.
    fn available_retries(&mut self, now: MonoTime) -> usize {
        if !self.jobs.values().any(Job::waits_for_retry) {
            return 0;
        }
        let usage = self.retry_budget.usage(now);
        (usage.earned.max(0.0) + usage.saved) as usize
    }

    /// Bytes of result memory available at an upstream.
    pub(super) fn free_result_bytes(&self, id: &UpstreamId) -> u64 {
        let usable = (self.spec.result_capacity_bytes as f64 * USABLE_RESULT_MEMORY) as u64;
        let reserved_bytes = self
            .upstreams
            .get(id)
            .map_or(0, |upstream| upstream.reserved_bytes);
        usable.saturating_sub(reserved_bytes + self.result_memory.occupied_at(id))
    }

    /// Returns the next time at which the state may change without an event, if known.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let paused = self
            .upstreams
            .values()
            .filter(|upstream| upstream.ready && upstream.not_before > now)
            .map(|upstream| upstream.not_before);
        let overdue = self.next_overdue();
        let rate_limit = self
            .upstreams
            .values()
            .filter(|upstream| upstream.ready && !self.jobs.is_empty())
            .map(|upstream| upstream.rate_limit_wait(now))
            .filter(|wait| !wait.is_zero())
            .map(|wait| now.after(wait));
        let deadlines = self.jobs.values().map(|job| job.params.deadline);
        let domain_waits = self
            .jobs
            .values()
            .filter(|job| !job.waiting.is_empty() && job.domain_wait_until > now)
            .map(|job| job.domain_wait_until);
        let result_expiry = (!self.jobs.is_empty()).then_some(now.after(RESULT_EXPIRY_INTERVAL));
        let retry = self.jobs.values().any(Job::waits_for_retry);
        let retry = retry.then_some(now.after(RETRY_CHECK_INTERVAL));
        let input_release = self.next_input_release();
        let input_expiry = self.next_input_expiry(now);
        paused
            .chain(overdue)
            .chain(rate_limit)
            .chain(deadlines)
            .chain(domain_waits)
            .chain(result_expiry)
            .chain(input_release)
            .chain(input_expiry)
            .chain(retry)
            .min()
    }

    fn build_call(&mut self, now: MonoTime, id: &UpstreamId, retries: usize) -> Option<BatchCall> {
        let upstream = self.upstreams.get(id)?;
        if self.should_stay_idle(now, upstream) {
            return None;
        }
        let pieces = self.select_pieces(now, id, upstream, retries);
        if pieces.is_empty() {
            return None;
        }
        let result_sizes: Vec<u64> = pieces
            .iter()
            .map(|(job, _)| self.jobs[*job].params.result_bytes)
            .collect();
        let expected = self
            .piece_times
            .expected_call(&self.spec, &result_sizes)
            .mul_f64(upstream.slowdown);
        let domain = upstream.domain.clone();
        let momentary = upstream.momentary.at(now).max(1.0);
        let orders = self.take_pieces(now, &pieces, &domain);
        self.record_use(now, &pieces);
        let mut jobs: Vec<JobKey> = pieces.iter().map(|(job, _)| *job).collect();
        jobs.dedup();
        self.schedule_input_release(now, &jobs);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.calls += 1;
            if let Some(paced) = &mut upstream.rate_limit {
                paced.record(now);
            }
            upstream.reserved_bytes += result_sizes.iter().sum::<u64>();
            upstream.busy_until = now.after(expected);
        }
        let overdue_after = overdue_after(expected.mul_f64(momentary));
        let latest_deadline = jobs.iter().map(|key| self.jobs[*key].params.deadline).max();
        let remaining = latest_deadline.unwrap_or_default().since(now);
        let key = self.calls.insert(Call {
            upstream: id.clone(),
            pieces,
            result_sizes,
            started: now,
            expected,
            overdue_at: now.after(overdue_after),
            is_overdue: false,
        });
        Some(BatchCall {
            key,
            upstream: id.clone(),
            pieces: orders,
            overdue_after,
            timeout: remaining.max(overdue_after),
        })
    }

    /// Takes the pieces that no request wants any more out of a call that has not been sent.
    pub fn withdraw_unwanted(&mut self, call: &mut BatchCall) {
        let Some(open) = self.calls.get_mut(call.key) else {
            return;
        };
        let is_wanted: Vec<bool> = open
            .pieces
            .iter()
            .map(|(job, _)| self.jobs.contains_key(*job))
            .collect();
        if is_wanted.iter().all(|wanted| *wanted) {
            return;
        }
        let sizes = || open.result_sizes.iter().zip(&is_wanted);
        let unwanted_bytes: u64 = sizes()
            .filter(|(_, wanted)| !**wanted)
            .map(|(s, _)| s)
            .sum();
        if let Some(upstream) = self.upstreams.get_mut(&open.upstream) {
            upstream.reserved_bytes = upstream.reserved_bytes.saturating_sub(unwanted_bytes);
        }
        retain(&mut open.pieces, &is_wanted);
        retain(&mut open.result_sizes, &is_wanted);
        retain(&mut call.pieces, &is_wanted);
    }

    /// Whether the waiting work finishes sooner on faster upstreams alone.
    ///
    /// Work given to a slow upstream just because it is free ends late, although faster upstreams would have done it on
    /// time.
    fn should_stay_idle(&self, now: MonoTime, upstream: &UpstreamState) -> bool {
        let own_call = self.spec.call_overhead.mul_f64(upstream.slowdown);
        let faster: Vec<&UpstreamState> = self
            .upstreams
            .values()
            .filter(|other| {
                other.ready && other.failures == 0 && other.slowdown * 1.5 < upstream.slowdown
            })
            .collect();
        let Some(soonest) = faster
            .iter()
            .map(|other| {
                let start = if other.has_free_slot(self.spec.slots) {
                    Duration::ZERO
                } else {
                    other.busy_until.since(now)
                };
                let start = start.max(other.rate_limit_wait(now));
                let start = start.max(other.not_before.since(now));
                start + self.spec.call_overhead.mul_f64(other.slowdown)
            })
            .min()
        else {
            return false;
        };
        let faster_throughput: f64 = faster
            .iter()
            .map(|other| other.throughput(self.typical_call_s))
            .sum();
        let backlog =
            self.expected_wait().as_secs_f64() * self.total_throughput() / faster_throughput;
        own_call > soonest + Duration::from_secs_f64(backlog)
    }

    pub(super) fn total_throughput(&self) -> f64 {
        let ready = self
            .upstreams
            .values()
            .filter(|upstream| upstream.ready && upstream.failures == 0);
        ready
            .map(|upstream| upstream.throughput(self.typical_call_s))
            .sum()
    }

    /// Selects the pieces for a call on this upstream, most urgent first and grouped by job.
    ///
    /// A request waits for the last piece of a stage. If calls were always filled completely, the last job of each call
    /// would be split: it would take two calls, a third of a second longer, and its first results would occupy memory
    /// meanwhile. With four jobs per call, this affects every fourth request.
    fn select_pieces(
        &self,
        now: MonoTime,
        id: &UpstreamId,
        upstream: &UpstreamState,
        mut retries: usize,
    ) -> Vec<(JobKey, u32)> {
        let call_end = now.after(self.typical_call().mul_f64(upstream.slowdown));
        let overdue_here = self.jobs_overdue_at(id);
        let mut jobs: Vec<(JobKey, &Job)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.waiting.is_empty() && job.params.deadline > now)
            .filter(|(_, job)| !job.inputs_expire(now))
            .filter(|(key, job)| {
                job.can_run_in(now, &upstream.domain) && !overdue_here.contains(key)
            })
            .collect();
        jobs.sort_by_key(|(_, job)| job.position_in(call_end, &upstream.domain));
        let mut free_bytes = self.free_result_bytes(id);
        let max_pieces = if self.last_refused || self.is_room_doubtful(id) {
            PROBE_PIECES
        } else {
            self.spec.max_pieces
        };
        let mut chosen = Vec::new();
        for (key, job) in jobs {
            let sendable = job.sendable(retries);
            let places = max_pieces - chosen.len();
            let count = job.pieces_that_fit(sendable.len(), places, free_bytes);
            let is_split = count < sendable.len();
            // A job that does not fit whole is left for another call, unless it is the first of this one.
            if count == 0 || (is_split && !chosen.is_empty()) {
                continue;
            }
            free_bytes -= job.params.result_bytes * count as u64;
            let taken = &sendable[..count];
            let repeated = taken.iter().filter(|piece| job.needs_retry(**piece));
            retries = retries.saturating_sub(repeated.count());
            chosen.extend(taken.iter().map(|piece| (key, *piece)));
        }
        chosen
    }

    /// Whether the room of an upstream is probably occupied by results of another home, as that of the last one was.
    ///
    /// An upstream that is accounted for as full has only the room that was freed there since.
    fn is_room_doubtful(&self, id: &UpstreamId) -> bool {
        self.last_without_room && self.result_memory.unaccounted.bytes_at(id) == 0
    }

    fn take_pieces(
        &mut self,
        now: MonoTime,
        pieces: &[(JobKey, u32)],
        domain: &FailureDomain,
    ) -> Vec<PieceRequest> {
        let mut orders = Vec::with_capacity(pieces.len());
        for (key, piece) in pieces {
            let job = &mut self.jobs[*key];
            job.waiting.retain(|waiting| waiting != piece);
            let calls = &mut job.calls[*piece as usize];
            calls.open += 1;
            if std::mem::take(&mut calls.needs_retry) {
                let _ = self.retry_budget.try_spend(now);
            }
            job.set_preferred_domain(now, domain, self.spec.call_overhead);
            orders.push(PieceRequest {
                request: job.params.request.clone(),
                stage: job.params.stage,
                piece: *piece,
                remaining: job.params.deadline.since(now),
                input: job.params.input.clone(),
            });
        }
        orders
    }
}
