//! Jobs: one stage of one request, queued until its pieces are made.

use std::collections::VecDeque;

use std::time::Duration;

use tc_protocol::{
    FailureDomain, MonoTime, ServiceName, WorkspaceName,
    routing::{PieceInput, ResultHandle},
};

slotmap::new_key_type! {
    /// Identifies a job of a [`BatchPlanner`](super::BatchPlanner).
    pub struct JobKey;
}

/// Offset added to the due time of a job for each priority below the most urgent.
///
/// About half a call of typical services (200 to 370 ms): a more urgent request overtakes jobs that would start up to
/// one call before it. Less urgent jobs that are still ahead may be displaced; see [`queue_order`](super::queue_order).
pub(super) const PRIORITY_OFFSET: Duration = Duration::from_millis(250);
/// Subtracted from the due time of a job that has started. It exceeds the spread of due times within a service, so
/// started jobs are finished first.
const STARTED_ADVANCE: Duration = Duration::from_secs(5);
/// Added to the due time of a job on upstreams outside its preferred domain. It is longer than a call, so an upstream
/// that becomes free first serves the jobs that prefer its own domain.
const REMOTE_PENALTY: Duration = Duration::from_millis(500);
/// Minimum size of a job's results for which the failure domain matters; moving less than this between domains costs
/// less than waiting.
const LARGE_RESULTS_BYTES: u64 = 256 << 10;
/// Maximum time that a job waits for an upstream in its preferred domain while others are free, as a multiple of the
/// fixed time of a call. Within a whole call, each upstream in the domain has become free once. With a third of a call,
/// 40% of the bytes crossed domains; with a whole call, 20%. Doubling it makes more requests late than it saves.
const MAX_DOMAIN_WAIT_CALLS: f64 = 1.25;
/// Fraction of a job's slack that it may spend waiting for its preferred domain.
const DOMAIN_WAIT_FRACTION: f64 = 0.5;
/// Slack reserved for later delays: queueing and a longer call at each of two stages.
const RESERVED_SLACK: Duration = Duration::from_millis(300);

/// A stage of a request as submitted to [`BatchPlanner::push`](super::BatchPlanner::push).
#[derive(Clone, Debug, PartialEq)]
pub struct NewJob {
    /// Request ID given by the caller.
    pub request: std::sync::Arc<str>,
    /// Workspace of the request; empty if requests need no key.
    pub workspace: WorkspaceName,
    /// Index of the stage in the route.
    pub stage: u32,
    /// Number of pieces; at least one.
    pub pieces: u32,
    /// Input of all pieces.
    pub input: PieceInput,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Latest time at which the job can finish for the request to be answered on time.
    pub in_time_until: MonoTime,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: MonoTime,
    /// Failure domain in which the results will be read, if known.
    pub preferred_domain: Option<FailureDomain>,
    /// Bytes of inputs that their upstreams hold until the pieces of this job have fetched them.
    pub held_bytes: u64,
    /// Whether this job is the last reader of its inputs, so that they are released as soon as its pieces have fetched
    /// them.
    pub is_last_reader: bool,
    /// Number of pieces of the stages that read its results, by service.
    pub dependent_pieces: Vec<(ServiceName, u32)>,
    /// Number of pieces of the stages after those, by service.
    pub later_pieces: Vec<(ServiceName, u32)>,
}

/// Groups of jobs, in the order in which they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueClass {
    /// Some pieces are made or in a call.
    Started,
    /// Can be on time, of a priority that got less than its minimum share.
    MinShare,
    /// Can be on time.
    OnTime,
    /// Can be on time, of a workspace that uses more than its share of a service that is short.
    OverShare,
    /// Gave way to more urgent jobs.
    Displaced,
    /// Cannot be on time.
    Late,
}

/// Sort key of a job in the queue; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) class: QueueClass,
    /// Due time, adjusted by priority and failure domain.
    pub(super) due: MonoTime,
}

impl QueuePosition {
    /// Returns whether the job runs only with the capacity that on-time jobs leave over.
    pub(super) fn is_late(self) -> bool {
        self.class >= QueueClass::Displaced
    }
}

/// Place of a job in a shortage; see [`queue_order`](super::queue_order).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OrderMarks {
    /// Whether it is within the minimum share of its priority.
    pub(super) is_min_share: bool,
    /// Whether its workspace uses more than its share.
    pub(super) is_over_share: bool,
    /// Whether it gives way to more urgent jobs.
    pub(super) is_displaced: bool,
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) params: NewJob,
    /// Pieces that are neither made nor in a call.
    pub(super) waiting: VecDeque<u32>,
    /// One entry for each piece.
    pub(super) results: Vec<Option<ResultHandle>>,
    /// One entry for each piece.
    pub(super) calls: Vec<PieceCalls>,
    /// Number of failed calls that included a piece of the job.
    pub(super) failures: u32,
    /// Until this time, only upstreams in the preferred domain may run the job.
    pub(super) domain_wait_until: MonoTime,
    /// Whether the job was expected to be late when it arrived; see [`Job::position`].
    pub(super) expected_late: bool,
    pub(super) marks: OrderMarks,
    /// Time until which refused pieces may wait for a retry, if any does.
    pub(super) retry_until: Option<MonoTime>,
    /// Whether its displacement was collected for the log.
    pub(super) was_displaced: bool,
    /// State of the job's inputs.
    pub(super) inputs: InputState,
    /// Time at which the first input expires, if known.
    pub(super) inputs_expire_at: Option<MonoTime>,
}

/// The calls that include a piece.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PieceCalls {
    /// Number of calls in progress.
    pub(super) open: u32,
    /// Those of them that are overdue.
    pub(super) overdue: u32,
    /// Whether an upstream refused the piece when there was no retry left; the next call with it takes one.
    pub(super) needs_retry: bool,
}

/// State of a job's inputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputState {
    /// Held for pieces that are still to be made.
    Held,
    /// Every piece is in a call; the inputs are released at this time.
    ReleaseAt(MonoTime),
    /// The inputs were released; their producers keep them until this time while they have room.
    KeptUntil(MonoTime),
    /// The inputs were released.
    Released,
}

impl Job {
    pub(super) fn new(params: NewJob) -> Self {
        Self {
            waiting: (0..params.pieces).collect(),
            results: vec![None; params.pieces as usize],
            calls: vec![PieceCalls::default(); params.pieces as usize],
            failures: 0,
            domain_wait_until: MonoTime::default(),
            expected_late: false,
            marks: OrderMarks::default(),
            retry_until: None,
            was_displaced: false,
            inputs: InputState::Held,
            inputs_expire_at: None,
            params,
        }
    }

    /// Whether no piece is made or in a call.
    pub(super) fn is_unstarted(&self) -> bool {
        !self.is_started()
    }

    /// Whether some pieces are made or in a call.
    fn is_started(&self) -> bool {
        self.results.iter().any(Option::is_some) || self.calls.iter().any(|calls| calls.open > 0)
    }

    /// Whether every call with the piece is overdue.
    pub(super) fn is_overdue(&self, piece: u32) -> bool {
        let calls = self.calls[piece as usize];
        self.results[piece as usize].is_none() && calls.open > 0 && calls.open == calls.overdue
    }

    pub(super) fn has_overdue_piece(&self) -> bool {
        (0..self.params.pieces).any(|piece| self.is_overdue(piece))
    }

    /// Whether the piece has a result, or is in a call that may return one.
    pub(super) fn is_made_elsewhere(&self, piece: u32) -> bool {
        self.results[piece as usize].is_some() || self.calls[piece as usize].open > 0
    }

    /// Queues a piece for another call, which reads the inputs again.
    pub(super) fn wait_again(&mut self, piece: u32) {
        self.inputs = InputState::Held;
        self.waiting.push_front(piece);
    }

    pub(super) fn needs_retry(&self, piece: u32) -> bool {
        self.calls[piece as usize].needs_retry
    }

    /// Whether a refused piece waits until the retry budget allows another call with it.
    pub(super) fn waits_for_retry(&self) -> bool {
        self.waiting.iter().any(|piece| self.needs_retry(*piece))
    }

    /// Returns the waiting pieces that may be sent with this many retries.
    pub(super) fn sendable(&self, mut retries: usize) -> Vec<u32> {
        let mut is_sendable = |piece: &u32| {
            if !self.needs_retry(*piece) {
                return true;
            }
            let is_paid = retries > 0;
            retries = retries.saturating_sub(1);
            is_paid
        };
        let waiting = self.waiting.iter().copied();
        waiting.filter(|piece| is_sendable(piece)).collect()
    }

    /// Returns true if any waiting piece may be sent with this many retries.
    pub(super) fn has_sendable(&self, retries: usize) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|piece| retries > 0 || !self.needs_retry(*piece))
    }

    /// Returns how many of `pieces` fit into a call with `places` free places and `free_bytes` of result memory.
    pub(super) fn pieces_that_fit(&self, pieces: usize, places: usize, free_bytes: u64) -> usize {
        let by_memory = free_bytes.checked_div(self.params.result_bytes);
        let by_memory = by_memory.map_or(places, |pieces| pieces as usize);
        pieces.min(places).min(by_memory)
    }

    pub(super) fn is_done(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    /// Queue position on an upstream in `domain`, for a call that would end at `call_end`.
    pub(super) fn position_in(&self, call_end: MonoTime, domain: &FailureDomain) -> QueuePosition {
        let position = self.position(call_end);
        let is_remote = self
            .params
            .preferred_domain
            .as_ref()
            .is_some_and(|d| d != domain);
        let penalty = if is_remote {
            REMOTE_PENALTY
        } else {
            Duration::ZERO
        };
        QueuePosition {
            due: position.due.after(penalty),
            ..position
        }
    }

    /// Queue position regardless of the upstream, for a call that would end at `call_end`.
    ///
    /// Jobs that can be on time go before jobs that cannot: a late answer is worth only a fraction, and working on it
    /// makes the next ones late too, so that a whole burst is answered just after its target. For the same reason a job
    /// that was expected to be late on arrival stays late: sorted by due time alone, each job would be done at the last
    /// moment, and a single slow call would then make all of them late.
    pub(super) fn position(&self, call_end: MonoTime) -> QueuePosition {
        if self.is_started() {
            // The results made so far occupy memory until the remaining pieces are made.
            return QueuePosition {
                class: QueueClass::Started,
                due: self.params.in_time_until.before(STARTED_ADVANCE),
            };
        }
        let is_late = self.expected_late || self.params.in_time_until < call_end;
        let class = if is_late {
            QueueClass::Late
        } else if self.marks.is_displaced {
            QueueClass::Displaced
        } else if self.marks.is_min_share {
            QueueClass::MinShare
        } else if self.marks.is_over_share {
            QueueClass::OverShare
        } else {
            QueueClass::OnTime
        };
        let due = if is_late {
            self.params.deadline
        } else {
            self.params.in_time_until
        };
        QueuePosition {
            class,
            due: due.after(PRIORITY_OFFSET * u32::from(self.params.priority)),
        }
    }

    /// Sets the preferred domain to that of the first piece if the results are large and no domain is preferred yet.
    pub(super) fn set_preferred_domain(
        &mut self,
        now: MonoTime,
        domain: &FailureDomain,
        call_time: Duration,
    ) {
        if self.params.preferred_domain.is_none() && self.total_read_bytes() >= LARGE_RESULTS_BYTES
        {
            self.params.preferred_domain = Some(domain.clone());
            self.hold_for_domain(now, call_time);
        }
    }

    /// Bytes that all readers of the results fetch together: each piece of a dependent stage reads all results.
    ///
    /// Four results of 60 KB that six pieces read are 1.4 MB of transfers, more than two results of 500 KB that one
    /// engine reads.
    fn total_read_bytes(&self) -> u64 {
        let pieces = u64::from(self.params.pieces);
        let results = self.params.result_bytes.saturating_mul(pieces);
        let readers: u32 = self
            .params
            .dependent_pieces
            .iter()
            .map(|(_, pieces)| pieces)
            .sum();
        results.saturating_mul(u64::from(readers.max(1)))
    }

    /// Reserves the job for its preferred domain while it has slack.
    ///
    /// Transfers between domains cost as much as a late answer: ten pieces that each read 360 KB move 3.6 MB.
    pub(super) fn hold_for_domain(&mut self, now: MonoTime, call_time: Duration) {
        if self.params.preferred_domain.is_none() {
            return;
        }
        let slack = self
            .params
            .in_time_until
            .since(now)
            .saturating_sub(call_time + RESERVED_SLACK);
        let max_wait = call_time.mul_f64(MAX_DOMAIN_WAIT_CALLS);
        self.domain_wait_until = now.after(slack.mul_f64(DOMAIN_WAIT_FRACTION).min(max_wait));
    }

    /// Returns the only domain in which the job may run now, if it is waiting for one.
    pub(super) fn required_domain(&self, now: MonoTime) -> Option<&FailureDomain> {
        let preferred = self.params.preferred_domain.as_ref();
        preferred.filter(|_| now < self.domain_wait_until)
    }

    /// Whether an upstream in `domain` may run the job now.
    pub(super) fn can_run_in(&self, now: MonoTime, domain: &FailureDomain) -> bool {
        self.required_domain(now).is_none_or(|only| only == domain)
    }
}
