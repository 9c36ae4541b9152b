//! Which call comes next: on which upstream, with which pieces.

use std::{collections::HashMap, time::Duration};

use tc_protocol::{FailureDomain, MonoTime, UpstreamId, routing::PieceRequest};

use super::{
    job::{Job, JobKey},
    maker::Maker,
    planner::{BatchCall, BatchPlanner, Call, EXPIRE_EVERY},
};

/// A call that takes this many times its expected time is given up.
const GIVE_UP_FACTOR: f64 = 3.0;
/// Added to that: a call may wait for another home's call at the upstream.
const GIVE_UP_EXTRA: Duration = Duration::from_millis(500);
/// Pieces in a call after one that was refused: it finds out whether upstreams take calls again. Each refused piece spends
/// a repeat, and full calls to upstreams that are all full would use up the budget of seconds at once.
const PROBE_PIECES: usize = 1;
/// Part of an upstream's room that is planned with: sizes of results are told as an average only, and a result that
/// was given up takes room until its upstream hears of it.
const ROOM_PART: f64 = 0.95;

/// Bytes of the smallest result that waits to be made, by where it may be made; none where nothing waits.
#[derive(Default)]
struct LeastRoom<'a> {
    anywhere: Option<u64>,
    by_domain: HashMap<&'a FailureDomain, Option<u64>>,
}

impl LeastRoom<'_> {
    fn in_domain(&self, domain: &FailureDomain) -> Option<u64> {
        let here = self.by_domain.get(domain).copied().flatten();
        let both = [here, self.anywhere].into_iter().flatten();
        both.min()
    }
}

impl BatchPlanner {
    /// The next call to be made, if an upstream is free and something waits; asked again until there is none.
    pub fn next_call(&mut self, now: MonoTime) -> Option<BatchCall> {
        self.expire_results(now);
        let mut free: Vec<(UpstreamId, f64)> = self
            .makers
            .iter()
            .filter(|(_, maker)| maker.is_free(now, self.spec.slots))
            .map(|(id, maker)| (id.clone(), maker.speed))
            .collect();
        if free.is_empty() {
            return None;
        }
        let least = self.least_room(now);
        free.retain(|(id, _)| {
            let least = self.makers.get(id).and_then(|m| least.in_domain(&m.domain));
            least.is_some_and(|bytes| bytes <= self.room_at(id))
        });
        free.sort_by(|a, b| a.1.total_cmp(&b.1));
        free.into_iter().find_map(|(id, _)| self.call_on(now, &id))
    }

    /// The least room that any job which waits needs of an upstream.
    ///
    /// Where room binds, most upstreams are free and have none, each time that anything happens. Ordering all jobs for each of
    /// them only to find that out took a home of 100 upstreams 12 ms an ask with 1,000 jobs waiting; so it is found out first.
    fn least_room(&self, now: MonoTime) -> LeastRoom<'_> {
        let mut least = LeastRoom::default();
        for job in self.jobs.values() {
            if job.waiting.is_empty() || job.new.deadline <= now {
                continue;
            }
            let bytes = job.new.result_bytes;
            let of = match job.waits_for(now) {
                None => &mut least.anywhere,
                Some(domain) => least.by_domain.entry(domain).or_default(),
            };
            *of = Some(of.map_or(bytes, |known| known.min(bytes)));
        }
        least
    }

    /// Room for results that is left at an upstream.
    fn room_at(&self, id: &UpstreamId) -> u64 {
        let usable = (self.spec.result_capacity_bytes as f64 * ROOM_PART) as u64;
        let reserved = self.makers.get(id).map_or(0, |maker| maker.reserved);
        usable.saturating_sub(reserved + self.results.bytes_at(id))
    }

    /// When something may be possible that is not now, if that is known.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let paused = self
            .makers
            .values()
            .filter(|maker| maker.ready && maker.not_before > now)
            .map(|maker| maker.not_before);
        let limited = self
            .makers
            .values()
            .filter(|maker| maker.ready && !self.jobs.is_empty())
            .map(|maker| maker.wait_for_limit(now))
            .filter(|wait| !wait.is_zero())
            .map(|wait| now.after(wait));
        let deadlines = self.jobs.values().map(|job| job.new.deadline);
        let stays = self
            .jobs
            .values()
            .filter(|job| !job.waiting.is_empty() && job.stays_until > now)
            .map(|job| job.stays_until);
        let room = (!self.jobs.is_empty()).then_some(now.after(EXPIRE_EVERY));
        let read = self.next_read();
        paused
            .chain(limited)
            .chain(deadlines)
            .chain(stays)
            .chain(room)
            .chain(read)
            .min()
    }

    fn call_on(&mut self, now: MonoTime, id: &UpstreamId) -> Option<BatchCall> {
        let maker = self.makers.get(id)?;
        if self.is_better_left_idle(now, maker) {
            return None;
        }
        let pieces = self.choose(now, id, maker);
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
        let mut jobs: Vec<JobKey> = pieces.iter().map(|(job, _)| *job).collect();
        jobs.dedup();
        self.note_reading(now, &jobs);
        if let Some(maker) = self.makers.get_mut(id) {
            maker.calls += 1;
            if let Some(paced) = &mut maker.limited {
                paced.record(now);
            }
            maker.reserved += kinds.iter().sum::<u64>();
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
        let own = self.spec.call_overhead.mul_f64(maker.speed);
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
                let start = start.max(other.wait_for_limit(now));
                start + self.spec.call_overhead.mul_f64(other.speed)
            })
            .min()
        else {
            return false;
        };
        let speed: f64 = faster
            .iter()
            .map(|other| other.throughput(self.typical_call_s))
            .sum();
        let all = self.expected_wait().as_secs_f64() * self.total_speed() / speed;
        own > soonest + Duration::from_secs_f64(all)
    }

    pub(super) fn total_speed(&self) -> f64 {
        let ready = self.makers.values().filter(|m| m.ready && m.failures == 0);
        ready.map(|m| m.throughput(self.typical_call_s)).sum()
    }

    /// Pieces for a call on this upstream, best first; those of one job together.
    ///
    /// A request waits for the last of a stage's pieces. With calls filled to the last place, the job at the end of each one
    /// is split: it takes two calls, a third of a second more, and the results of its first part keep their room all the
    /// while. With four jobs in a call, that is every fourth request.
    fn choose(&self, now: MonoTime, id: &UpstreamId, maker: &Maker) -> Vec<(JobKey, u32)> {
        let ends = now.after(self.typical_call().mul_f64(maker.speed));
        let mut jobs: Vec<(JobKey, &Job)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.waiting.is_empty() && job.new.deadline > now)
            .filter(|(_, job)| job.may_go_to(now, &maker.domain))
            .collect();
        jobs.sort_by_key(|(_, job)| job.place_in(ends, &maker.domain));
        let mut room = self.room_at(id);
        let most = if self.last_refused {
            PROBE_PIECES
        } else {
            self.spec.max_pieces
        };
        let mut chosen = Vec::with_capacity(most);
        for (key, job) in jobs {
            let fit = job.pieces_that_fit(most - chosen.len(), room);
            let is_split = fit < job.waiting.len();
            // A job that another call would have to finish is left to that call, unless nothing goes before it.
            if fit == 0 || (is_split && !chosen.is_empty()) {
                continue;
            }
            room -= job.new.result_bytes * fit as u64;
            chosen.extend(job.waiting.iter().take(fit).map(|piece| (key, *piece)));
        }
        chosen
    }

    fn take(
        &mut self,
        now: MonoTime,
        pieces: &[(JobKey, u32)],
        domain: &FailureDomain,
    ) -> Vec<PieceRequest> {
        let mut orders = Vec::with_capacity(pieces.len());
        for (key, piece) in pieces {
            let job = &mut self.jobs[*key];
            job.waiting.retain(|waiting| waiting != piece);
            job.placed_in(now, domain, self.spec.call_overhead);
            orders.push(PieceRequest {
                request: job.new.request.clone(),
                stage: job.new.stage,
                piece: *piece,
                remaining: job.new.deadline.since(now),
                input: job.new.input.clone(),
            });
        }
        orders
    }
}
