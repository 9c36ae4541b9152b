//! One stage of one request, waiting for its pieces.

use std::collections::VecDeque;

use std::time::Duration;

use tc_protocol::{
    FailureDomain, MonoTime, ServiceName,
    routing::{PieceInput, ResultHandle},
};

slotmap::new_key_type! {
    /// A stage of a request at its home.
    pub struct JobKey;
}

/// How much later a job of the next lower rank may be due and still go first, in the order of jobs.
///
/// About half a call of the services met so far (200 to 370 ms): a more urgent request overtakes what would start one
/// call before it, and no rank waits behind a stream of more urgent ones for ever.
pub(super) const RANK_STEP: Duration = Duration::from_millis(250);
/// How much earlier a job counts as due once some of its pieces are made: more than what lies between any two jobs of
/// one service, so that started jobs are finished first.
const START_STEP: Duration = Duration::from_secs(5);
/// By how much a job yields on an upstream outside the failure domain where its results are wanted: more than a call, so
/// that an upstream which becomes free first takes what is wanted beside it.
const AWAY_STEP: Duration = Duration::from_millis(500);
/// Results of a job from this size on are worth keeping in one failure domain; smaller ones cost less than a wait.
const LARGE_RESULTS_BYTES: u64 = 256 << 10;
/// Longest time for which a job waits for an upstream in the domain where it is wanted, though another is free, in fixed
/// times of a call: within a whole call each upstream there has become free once. A third of a call left four in ten of
/// the bytes between domains, a whole one two in ten; twice that makes more requests late than it saves.
const WAIT_FOR_DOMAIN_CALLS: f64 = 1.25;
/// Part of the time to spare that such a wait may use.
const WAIT_PART: f64 = 0.5;
/// Time to spare that is kept for waits still to come: a queue and a longer call at each of two stages.
const KEPT_SPARE: Duration = Duration::from_millis(300);

/// A stage of a request as it comes to its home.
#[derive(Clone, Debug, PartialEq)]
pub struct NewJob {
    /// The request it is for, as its caller named it.
    pub request: std::sync::Arc<str>,
    /// The stage's index in the route.
    pub stage: u32,
    /// How many pieces it has; at least one.
    pub pieces: u32,
    /// What they are made from.
    pub input: PieceInput,
    /// About the size of one result, in bytes.
    pub result_bytes: u64,
    /// Rank, 0 first.
    pub rank: u8,
    /// When it must be done for the request to be answered in time.
    pub in_time_until: MonoTime,
    /// When nobody waits any more.
    pub deadline: MonoTime,
    /// Where its results are wanted.
    pub preferred_domain: Option<FailureDomain>,
    /// Bytes of inputs that are kept at their makers until its pieces have them.
    pub held_bytes: u64,
    /// Whether its inputs are given up as soon as its pieces have them.
    pub is_last_reader: bool,
    /// Pieces of the stages that read its results, by their service.
    pub following: Vec<(ServiceName, u32)>,
}

/// Place of a job in the queue; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// What is late goes after all that can be in time.
    pub(super) is_late: bool,
    /// When it should be done, moved by rank and distance.
    pub(super) due: MonoTime,
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) new: NewJob,
    /// Pieces not in any call.
    pub(super) waiting: VecDeque<u32>,
    /// One a piece.
    pub(super) results: Vec<Option<ResultHandle>>,
    /// Calls that failed with pieces of it.
    pub(super) failures: u32,
    /// Until then only upstreams in the preferred domain get it.
    pub(super) stays_until: MonoTime,
    /// Whether it was expected to be late when it came; see [`Job::place`].
    pub(super) expected_late: bool,
    /// Whether its inputs are still kept for it.
    pub(super) inputs: Inputs,
}

/// What becomes of a job's inputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Inputs {
    /// They are kept for pieces that are to be made.
    Kept,
    /// Every piece is in a call; they are given up at this time.
    ReadBy(MonoTime),
    /// They were given up.
    GivenUp,
}

impl Job {
    pub(super) fn new(new: NewJob) -> Self {
        Self {
            waiting: (0..new.pieces).collect(),
            results: vec![None; new.pieces as usize],
            failures: 0,
            stays_until: MonoTime::default(),
            expected_late: false,
            inputs: Inputs::Kept,
            new,
        }
    }

    /// Whether none of its pieces was made or is in a call.
    pub(super) fn is_untouched(&self) -> bool {
        !self.is_started()
    }

    /// Whether some of its pieces are made or in a call.
    fn is_started(&self) -> bool {
        self.waiting.len() < self.results.len()
    }

    /// How many of the waiting pieces fit into so many places and so much room for results.
    pub(super) fn pieces_that_fit(&self, places: usize, room: u64) -> usize {
        let by_room = room.checked_div(self.new.result_bytes);
        let by_room = by_room.map_or(places, |pieces| pieces as usize);
        self.waiting.len().min(places).min(by_room)
    }

    pub(super) fn is_done(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    /// Place for a call that would end at `ends` on an upstream in `domain`.
    pub(super) fn place_in(&self, ends: MonoTime, domain: &FailureDomain) -> Place {
        let place = self.place(ends);
        let is_away = self
            .new
            .preferred_domain
            .as_ref()
            .is_some_and(|d| d != domain);
        let away = if is_away { AWAY_STEP } else { Duration::ZERO };
        Place {
            due: place.due.after(away),
            ..place
        }
    }

    /// Place in the queue wherever it is made, for a call that would end at `ends`.
    ///
    /// What can be in time goes before what cannot: a late answer is worth a fraction, and work on it would make the next
    /// ones late too, seen as a whole burst answered just after its aim. For the same reason what was expected to be late
    /// when it came never joins the others: by time alone each job would be done at the last moment, and one longer call
    /// later all of them late.
    pub(super) fn place(&self, ends: MonoTime) -> Place {
        if self.is_started() {
            // What is made of it takes room until the rest is made too.
            return Place {
                is_late: false,
                due: self.new.in_time_until.before(START_STEP),
            };
        }
        // One whose inputs take much room is not left for last: the stage before could not go on meanwhile.
        let is_late = (self.expected_late || self.new.in_time_until < ends)
            && self.new.held_bytes < LARGE_RESULTS_BYTES;
        let due = if is_late {
            self.new.deadline
        } else {
            self.new.in_time_until
        };
        Place {
            is_late,
            due: due.after(RANK_STEP * u32::from(self.new.rank)),
        }
    }

    /// The first piece of a stage with large results decides where the others are wanted, unless that is known.
    pub(super) fn placed_in(&mut self, now: MonoTime, domain: &FailureDomain, call_time: Duration) {
        if self.new.preferred_domain.is_none() && self.bytes_to_be_read() >= LARGE_RESULTS_BYTES {
            self.new.preferred_domain = Some(domain.clone());
            self.stay(now, call_time);
        }
    }

    /// Bytes that all readers of its results fetch together: each piece of a following stage reads all of them.
    ///
    /// Four results of 60 KB that six pieces read are 1.4 MB on the way, more than two results of 500 KB that one engine
    /// reads.
    fn bytes_to_be_read(&self) -> u64 {
        let results = self.new.result_bytes * u64::from(self.new.pieces);
        let readers: u32 = self.new.following.iter().map(|(_, pieces)| pieces).sum();
        results.saturating_mul(u64::from(readers.max(1)))
    }

    /// Holds the job for the preferred domain while it has time to spare.
    ///
    /// Bytes between domains cost as much as a late answer: ten pieces that each read 360 KB move 3.6 MB.
    pub(super) fn stay(&mut self, now: MonoTime, call_time: Duration) {
        if self.new.preferred_domain.is_none() {
            return;
        }
        let spare = self
            .new
            .in_time_until
            .since(now)
            .saturating_sub(call_time + KEPT_SPARE);
        let longest = call_time.mul_f64(WAIT_FOR_DOMAIN_CALLS);
        self.stays_until = now.after(spare.mul_f64(WAIT_PART).min(longest));
    }

    /// The only domain whose upstreams may get it now, if it waits for one.
    pub(super) fn waits_for(&self, now: MonoTime) -> Option<&FailureDomain> {
        let prefer = self.new.preferred_domain.as_ref();
        prefer.filter(|_| now < self.stays_until)
    }

    /// Whether an upstream in `domain` may get it.
    pub(super) fn may_go_to(&self, now: MonoTime, domain: &FailureDomain) -> bool {
        self.waits_for(now).is_none_or(|only| only == domain)
    }
}
