//! A fleet in simulated time: entries with requests, the homes of three services, and their upstreams.

use std::{collections::BTreeMap, time::Duration};

use rand_xoshiro::{Xoroshiro128PlusPlus, rand_core::SeedableRng};
use slotmap::SecondaryMap;
use tc_policy::{
    BatchCall, BatchPlanner, BatchUpstream, ChainJudge, JobKey, RepeatBudget, RepeatLimits,
    StageOutlooks,
};
use tc_protocol::{MonoTime, routing::ResultHandle};

use crate::{
    homes::domain_of,
    load::{Chance, Kind, MAKERS, SERVICES, kinds, spec},
};

/// Instances that requests come to; each knows of the homes only what its own asks brought.
pub(crate) const ENTRIES: usize = 78;
/// Time of a message between an entry and a home.
pub(crate) const WAY: Duration = Duration::from_millis(3);
/// Time of the request itself once its stages are made.
pub(crate) const PROMPT: Duration = Duration::from_millis(90);
/// Time of a call besides its work: a new connection, the way there and back, and fetching the inputs.
pub(crate) const CALL_OVERHEAD: Duration = Duration::from_millis(15);
pub(crate) const MEAN_SPEED: f64 = 1.05;
/// How often the homes look at their queues.
const LOOK_MS: u64 = 5;
/// How often homes hear of each other.
const TOLD_MS: u64 = 25;
pub(crate) const START: MonoTime = MonoTime::from_millis(10_000);

/// What became of the requests of one kind that came within the time looked at.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    pub(crate) in_aim: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Refused after pieces had been made for it.
    pub(crate) wasted: u32,
}

impl Tally {
    pub(crate) const fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_aim += other.in_aim;
        self.late += other.late;
        self.refused += other.refused;
        self.wasted += other.wasted;
    }
}

/// Time of a call with so many pieces of the full time, on an upstream of the mean speed.
pub(crate) fn call_time(service: usize, pieces: usize) -> Duration {
    let spec = spec(service);
    (spec.call_overhead + spec.piece_time * pieces as u32).mul_f64(MEAN_SPEED) + CALL_OVERHEAD
}

/// A request, or its second coming after a refusal.
pub(crate) struct Request {
    pub(crate) kind: usize,
    pub(crate) entry: usize,
    pub(crate) at: MonoTime,
    /// When its caller sent it first, before it was refused and came again.
    pub(crate) first_at: MonoTime,
    pub(crate) fingerprint: u64,
    pub(crate) is_late_return: bool,
    pub(crate) pieces: Vec<u32>,
    pub(crate) done: Vec<bool>,
    pub(crate) begun: Vec<bool>,
    pub(crate) results: Vec<Vec<ResultHandle>>,
    pub(crate) counts: bool,
}

pub(crate) enum Event {
    Asks {
        request: usize,
        stage: usize,
    },
    CallEnds {
        service: usize,
        call: BatchCall,
    },
    StageMade {
        request: usize,
        stage: usize,
        /// Or when to come back.
        results: Result<Vec<ResultHandle>, Duration>,
        outlook: tc_policy::HomeOutlook,
    },
    Returns {
        request: usize,
    },
    Freed(usize, Vec<ResultHandle>),
    Answered(usize),
}

pub(crate) struct World {
    pub(crate) kinds: Vec<Kind>,
    pub(crate) chance: Chance,
    pub(crate) events: BTreeMap<(MonoTime, u64), Event>,
    pub(crate) next: u64,
    pub(crate) homes: Vec<BatchPlanner>,
    pub(crate) jobs: Vec<SecondaryMap<JobKey, (usize, usize)>>,
    pub(crate) entries: Vec<StageOutlooks>,
    pub(crate) judges: Vec<ChainJudge>,
    pub(crate) requests: Vec<Request>,
    pub(crate) tallies: Vec<Tally>,
    pub(crate) results: u64,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let limits = RepeatLimits {
            ratio: 0.2,
            extra: 200.0,
            window: Duration::from_secs(10),
        };
        let home = |service: usize| {
            let mut home = BatchPlanner::new(spec(service), RepeatBudget::new(limits));
            let makers: Vec<BatchUpstream> = (0..MAKERS[service])
                .map(|number| BatchUpstream {
                    id: format!("{service}-{number}").into(),
                    domain: domain_of(number),
                })
                .collect();
            home.set_upstreams(&makers);
            home
        };
        let kinds = kinds();
        Self {
            chance: Chance(Xoroshiro128PlusPlus::seed_from_u64(seed)),
            events: BTreeMap::new(),
            next: 0,
            homes: (0..SERVICES.len()).map(home).collect(),
            jobs: vec![SecondaryMap::new(); SERVICES.len()],
            entries: vec![StageOutlooks::default(); ENTRIES],
            judges: vec![ChainJudge::default(); SERVICES.len()],
            requests: Vec::new(),
            tallies: vec![Tally::default(); kinds.len()],
            kinds,
            results: 0,
        }
    }

    /// Plays `length`; between `burst.0` and `burst.1` the first kind comes `times` as often, and only requests that come then
    /// are counted.
    pub(crate) fn play(&mut self, length: Duration, burst: (Duration, Duration), times: f64) {
        let end = START.after(length);
        let (from, until) = (START.after(burst.0), START.after(burst.1));
        let mut now = START;
        let mut due = vec![0.0; self.kinds.len()];
        while now < end.after(Duration::from_secs(8)) {
            let is_burst = from <= now && now < until;
            for (kind, due) in due.iter_mut().enumerate() {
                let times = if is_burst && kind == 0 { times } else { 1.0 };
                *due += self.kinds[kind].per_s * times / 1_000.0;
            }
            for (kind, due) in due.iter_mut().enumerate() {
                while now < end && *due >= 1.0 {
                    *due -= 0.5 + self.chance.part();
                    self.arrives(now, kind, is_burst);
                }
            }
            self.handle_due(now);
            let ms = now.since(START).as_millis() as u64;
            if ms.is_multiple_of(LOOK_MS) {
                self.look(now);
            }
            if ms.is_multiple_of(TOLD_MS) {
                self.homes_tell(now);
            }
            now = now.after(Duration::from_millis(1));
        }
    }

    pub(crate) fn at(&mut self, when: MonoTime, event: Event) {
        self.next += 1;
        self.events.insert((when, self.next), event);
    }

    fn handle_due(&mut self, now: MonoTime) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let event = entry.remove();
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: MonoTime, event: Event) {
        match event {
            Event::Asks { request, stage } => self.asked(now, request, stage),
            Event::CallEnds { service, call } => self.call_ends(now, service, &call),
            Event::StageMade {
                request,
                stage,
                results,
                outlook,
            } => {
                self.note_outlook(now, (request, stage), outlook);
                match results {
                    Ok(results) => self.stage_made(now, request, stage, results),
                    Err(retry_after) => self.refused(now, request, retry_after),
                }
            }
            Event::Returns { request } => self.returns(now, request),
            Event::Freed(service, results) => {
                for result in &results {
                    self.homes[service].freed(result);
                }
                self.drive(now, service);
            }
            Event::Answered(request) => self.answered(now, request),
        }
    }
}
