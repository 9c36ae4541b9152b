//! Order of all that waits at the home of a batch service. Answers bursts in which less urgent work with a shorter
//! latency target crowds out more urgent work.
//!
//! While everything can be on time, jobs go by due time. When a job would be late behind less urgent ones, the least
//! urgent of these are displaced: they go after all jobs that can be on time, and are refused if they can then no longer
//! meet their deadline. Only jobs that have not started are displaced, and none for a job that is late by more than a call
//! even then.

use std::{
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use tc_protocol::{MonoTime, WorkspaceName};

use super::{
    job::{JobKey, OrderMarks, QueueClass, QueuePosition},
    planner::BatchPlanner,
    queue_time::NEXT_CALL_FACTOR,
    workspace_shares::{UsedShares, WorkspaceShares},
};

/// Number of priorities that are told apart; less urgent ones share the last.
pub const PRIORITY_LEVELS: usize = 4;
/// Fraction of upstream time that each priority with waiting work gets at least, so that none starves.
pub(super) const MIN_PRIORITY_SHARE: f64 = 0.02;
/// Time constant of the window over which this fraction is measured.
const PRIORITY_WINDOW: Duration = Duration::from_secs(5);
/// Fraction of this window for which the service must have been busy; nothing has starved before.
const MIN_BUSY: f64 = 0.5;
/// Wait from which on the service is short, as a multiple of a typical call. A job that finds all upstreams busy waits
/// half a call on average without any queue.
const SHORT_WAIT_CALLS: f64 = 0.5;
/// Upstream time that is shared among workspaces, as multiples of a typical call. The shortest is used that leaves most
/// workspaces within their share; after a home is lost, all of them have a backlog.
const SHARE_HORIZON_CALLS: [f64; 4] = [0.5, 1.0, 2.0, 4.0];
/// Slack below which a priority is tight, as a multiple of a typical call.
const TIGHT_SLACK_CALLS: f64 = 0.25;
/// Maximum number of displaced jobs kept for the log.
const MAX_LOGGED: usize = 32;

/// A job that was displaced by more urgent ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DisplacedJob {
    /// Request ID given by the caller.
    pub request: Arc<str>,
    /// Priority of the displaced job.
    pub priority: u8,
    /// Whether its workspace was over its share.
    pub is_over_share: bool,
}

/// Urgency of a job in a shortage; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    level: usize,
    is_over_share: bool,
}

/// State of the order at one home.
#[derive(Debug, Default)]
pub(super) struct QueueOrder {
    pub(super) shares: WorkspaceShares,
    /// Upstream time used by each priority, in seconds, decaying over [`PRIORITY_WINDOW`].
    used_s: [f64; PRIORITY_LEVELS],
    used_at: MonoTime,
    /// Least urgent level with a job that has hardly any slack.
    pub(super) tight_level: Option<usize>,
    /// Workspaces that are over their share.
    pub(super) over_share: Vec<WorkspaceName>,
    /// Whether any job is marked.
    has_marks: bool,
    /// Newly displaced jobs, for the log.
    displaced: Vec<DisplacedJob>,
}

/// Returns the level of a priority.
pub(super) fn level_of(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}

impl BatchPlanner {
    /// Sets the used shares of workspaces to those that the previous home of the service reported.
    pub fn seed_shares(&mut self, now: MonoTime, shares: &UsedShares) {
        self.order.shares.seed(now, shares);
    }

    /// Returns and clears the jobs displaced since the last call.
    pub fn take_displaced(&mut self) -> Vec<DisplacedJob> {
        std::mem::take(&mut self.order.displaced)
    }

    /// Records pieces that start now as use of their workspaces and priorities.
    pub(super) fn record_use(&mut self, now: MonoTime, pieces: &[(JobKey, u32)]) {
        let elapsed = now.since(self.order.used_at).as_secs_f64();
        let remaining = (-elapsed / PRIORITY_WINDOW.as_secs_f64()).exp();
        self.order.used_at = now;
        for used in &mut self.order.used_s {
            *used *= remaining;
        }
        let mut by_job: BTreeMap<JobKey, f64> = BTreeMap::new();
        for (key, _) in pieces {
            let work = self.piece_share(self.jobs[*key].params.result_bytes);
            *by_job.entry(*key).or_default() += work;
        }
        for (key, work) in by_job {
            let params = &self.jobs[key].params;
            self.order.used_s[level_of(params.priority)] += work;
            if !params.workspace.as_str().is_empty() {
                self.order.shares.record(now, &params.workspace, work);
            }
        }
    }

    /// Updates the marks on the waiting jobs that determine their order.
    pub(super) fn update_order(&mut self, now: MonoTime) {
        self.order.tight_level = None;
        self.clear_marks();
        if self.expected_wait() <= self.typical_call().mul_f64(SHORT_WAIT_CALLS) {
            return;
        }
        self.mark_over_share(now);
        (1..PRIORITY_LEVELS).for_each(|level| self.mark_min_share(level));
        self.mark_displaced(now);
    }

    fn clear_marks(&mut self) {
        if !std::mem::take(&mut self.order.has_marks) {
            return;
        }
        self.order.over_share.clear();
        for job in self.jobs.values_mut() {
            job.marks = OrderMarks::default();
        }
    }

    fn mark_over_share(&mut self, now: MonoTime) {
        let mut waiting_s: BTreeMap<&WorkspaceName, f64> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.waiting.is_empty()) {
            let work = self.remaining_work(job);
            *waiting_s.entry(&job.params.workspace).or_default() += work;
        }
        if waiting_s.len() < 2 {
            return;
        }
        let call = self.capacity() * self.typical_call_s;
        let over: Vec<WorkspaceName> = SHARE_HORIZON_CALLS
            .iter()
            .map(|calls| self.order.shares.over_share(now, &waiting_s, call * calls))
            .find(|over| over.len() * 2 <= waiting_s.len())
            .unwrap_or_default()
            .into_iter()
            .cloned()
            .collect();
        for job in self.jobs.values_mut() {
            job.marks.is_over_share = over.contains(&job.params.workspace);
        }
        self.order.has_marks |= !over.is_empty();
        self.order.over_share = over;
    }

    /// Returns the time in seconds that a level may still use within its minimum share.
    fn min_share_left(&self, level: usize) -> f64 {
        let total: f64 = self.order.used_s.iter().sum();
        let busy = MIN_BUSY * PRIORITY_WINDOW.as_secs_f64() * self.capacity();
        if total < busy {
            return 0.0;
        }
        (total * MIN_PRIORITY_SHARE - self.order.used_s[level]).max(0.0)
    }

    /// Returns whether jobs of a level go first for now because it got less than its minimum share.
    pub(super) fn is_below_min_share(&self, level: usize) -> bool {
        self.min_share_left(level) > 0.0
    }

    /// Marks the jobs of a level, by due time, with which it gets its minimum share.
    fn mark_min_share(&mut self, level: usize) {
        let mut left = self.min_share_left(level);
        if left <= 0.0 {
            return;
        }
        let jobs = self.jobs.iter();
        let mut queue: Vec<(MonoTime, JobKey)> = jobs
            .filter(|(_, job)| !job.waiting.is_empty() && level_of(job.params.priority) == level)
            .filter(|(_, job)| !job.expected_late)
            .map(|(key, job)| (job.params.in_time_until, key))
            .collect();
        queue.sort_unstable();
        for (_, key) in queue {
            left -= self.remaining_work(&self.jobs[key]);
            if left < 0.0 {
                return;
            }
            self.jobs[key].marks.is_min_share = true;
            self.order.has_marks = true;
        }
    }

    /// Displaces less urgent jobs that would make more urgent ones late, going through the queue in its order.
    fn mark_displaced(&mut self, now: MonoTime) {
        let call_end = self.typical_end(now);
        let mut queue: Vec<(QueuePosition, JobKey)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.waiting.is_empty())
            .map(|(key, job)| (job.position(call_end), key))
            .filter(|(position, _)| !position.is_late())
            .collect();
        queue.sort_unstable();
        let own_time = self.typical_call().mul_f64(NEXT_CALL_FACTOR) + self.shortest_backoff(now);
        let tight_slack = self.typical_call().mul_f64(TIGHT_SLACK_CALLS);
        let capacity = self.capacity();
        // The time of a job is known to about a call.
        let tolerance = work_done_within(self.typical_call(), capacity);
        let tight_work = work_done_within(tight_slack, capacity);
        let mut ahead = Ahead::default();
        for (position, key) in queue {
            let job = &self.jobs[key];
            let work = self.remaining_work(job);
            if position.class < QueueClass::OnTime {
                ahead.work += work;
                continue;
            }
            let level = level_of(job.params.priority);
            let rank = Rank {
                level,
                is_over_share: job.marks.is_over_share,
            };
            let until_due = job.params.in_time_until.since(now).saturating_sub(own_time);
            let max_work_ahead = work_done_within(until_due, capacity);
            ahead.displace(rank, ahead.work - max_work_ahead, tolerance);
            if ahead.work + tight_work > max_work_ahead {
                self.order.tight_level = self.order.tight_level.max(Some(level));
            }
            ahead.add(rank, position.due, key, work);
        }
        self.order.has_marks |= !ahead.displaced.is_empty();
        for key in ahead.displaced {
            self.jobs[key].marks.is_displaced = true;
        }
    }

    /// Collects the jobs that are displaced for the first time, for the log.
    pub(super) fn note_displaced(&mut self) {
        if !self.order.has_marks {
            return;
        }
        for job in self.jobs.values_mut() {
            if !job.marks.is_displaced || self.order.displaced.len() >= MAX_LOGGED {
                continue;
            }
            if !std::mem::replace(&mut job.was_displaced, true) {
                self.order.displaced.push(DisplacedJob {
                    request: Arc::clone(&job.params.request),
                    priority: job.params.priority,
                    is_over_share: job.marks.is_over_share,
                });
            }
        }
    }
}

/// Returns the seconds of upstream time that all upstreams together provide in `time`; without limit if none is healthy,
/// since no order makes up for that.
fn work_done_within(time: Duration, capacity: f64) -> f64 {
    if capacity > 0.0 {
        time.as_secs_f64() * capacity
    } else {
        f64::INFINITY
    }
}

/// The unstarted jobs ahead of the one that is looked at.
#[derive(Default)]
struct Ahead {
    /// Work of all jobs ahead, in seconds of upstream time.
    work: f64,
    by_rank: BTreeMap<Rank, f64>,
    /// The least urgent job, due last, is at the top.
    jobs: BinaryHeap<(Rank, MonoTime, JobKey, u64)>,
    displaced: Vec<JobKey>,
}

impl Ahead {
    fn add(&mut self, rank: Rank, due: MonoTime, key: JobKey, work: f64) {
        self.work += work;
        *self.by_rank.entry(rank).or_default() += work;
        self.jobs.push((rank, due, key, work.to_bits()));
    }

    /// Displaces jobs less urgent than `rank` until `excess` of their work is gone, or none if they are short of it by
    /// more than `tolerance`.
    fn displace(&mut self, rank: Rank, mut excess: f64, tolerance: f64) {
        if excess <= 0.0 {
            return;
        }
        let less_urgent: f64 = self
            .by_rank
            .iter()
            .filter(|(other, _)| **other > rank)
            .map(|(_, work)| work)
            .sum();
        if less_urgent + tolerance < excess {
            return;
        }
        while excess > 0.0 {
            let top = self.jobs.peek().filter(|(other, ..)| *other > rank);
            let Some((other, _, key, bits)) = top.copied() else {
                return;
            };
            self.jobs.pop();
            let work = f64::from_bits(bits);
            if let Some(sum) = self.by_rank.get_mut(&other) {
                *sum -= work;
            }
            self.work -= work;
            excess -= work;
            self.displaced.push(key);
        }
    }
}
