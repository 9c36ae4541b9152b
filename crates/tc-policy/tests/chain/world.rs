//! A fleet in simulated time: entries with requests, the homes of three services, and their upstreams.

use std::{collections::BTreeMap, time::Duration};

use rand_xoshiro::{Xoroshiro128PlusPlus, rand_core::SeedableRng};
use slotmap::SecondaryMap;
use tc_policy::{
    BatchCall, BatchPlanner, BatchUpstream, Begun, CallEnd, ChainJudge, JobKey, JudgedRequest,
    NewJob, RepeatBudget, RepeatLimits, Settled, StageGraph, StageOutlooks,
};
use tc_protocol::{
    FailureDomain, Fingerprint, MonoTime,
    routing::{ChainAsk, PieceInput, PiecesRefusal, ResultHandle},
};

use crate::load::{Chance, Kind, MAKERS, SERVICES, kinds, piece_time, spec};

/// Instances that requests come to; each knows of the homes only what its own asks brought.
const ENTRIES: usize = 78;
/// Time of a message between an entry and a home.
pub(crate) const WAY: Duration = Duration::from_millis(3);
/// Time of the request itself once its stages are made.
pub(crate) const PROMPT: Duration = Duration::from_millis(90);
/// Time of a call besides its work: a new connection, the way there and back, and fetching the inputs.
const CALL_OVERHEAD: Duration = Duration::from_millis(15);
const MEAN_SPEED: f64 = 1.05;
const SPREAD: f64 = 0.3;
/// How often the homes look at their queues.
const LOOK_MS: u64 = 5;
/// How often homes hear of each other.
const TOLD_MS: u64 = 25;
const DOMAINS: usize = 4;
const START: MonoTime = MonoTime::from_millis(10_000);

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
    (spec.call_time + spec.piece_time * pieces as u32).mul_f64(MEAN_SPEED) + CALL_OVERHEAD
}

struct Request {
    kind: usize,
    entry: usize,
    at: MonoTime,
    /// When its caller sent it first, before it was refused and came again.
    first_at: MonoTime,
    fingerprint: u64,
    is_late_return: bool,
    pieces: Vec<u32>,
    done: Vec<bool>,
    begun: Vec<bool>,
    results: Vec<Vec<ResultHandle>>,
    counts: bool,
}

enum Event {
    Arrives,
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
    kinds: Vec<Kind>,
    chance: Chance,
    events: BTreeMap<(MonoTime, u64), Event>,
    next: u64,
    homes: Vec<BatchPlanner>,
    jobs: Vec<SecondaryMap<JobKey, (usize, usize)>>,
    entries: Vec<StageOutlooks>,
    judges: Vec<ChainJudge>,
    requests: Vec<Request>,
    pub(crate) tallies: Vec<Tally>,
    results: u64,
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

    fn homes_tell(&mut self, now: MonoTime) {
        for (home, service) in self.homes.iter().zip(SERVICES) {
            let outlook = home.outlook(now);
            for judge in &mut self.judges {
                judge.note(now, &service.into(), outlook.clone());
            }
        }
    }

    fn at(&mut self, when: MonoTime, event: Event) {
        self.next += 1;
        self.events.insert((when, self.next), event);
    }

    fn arrives(&mut self, now: MonoTime, kind: usize, counts: bool) {
        let means = self.kinds[kind].pieces.clone();
        let pieces: Vec<u32> = means.into_iter().map(|m| self.chance.pieces(m)).collect();
        let stages = pieces.len();
        let entry = self.chance.below(ENTRIES);
        self.requests.push(Request {
            kind,
            entry,
            at: now,
            first_at: now,
            fingerprint: self.requests.len() as u64 + 1,
            is_late_return: false,
            done: pieces.iter().map(|p| *p == 0).collect(),
            begun: vec![false; stages],
            results: vec![Vec::new(); stages],
            pieces,
            counts,
        });
        let request = self.requests.len() - 1;
        if counts {
            self.tallies[kind].asked += 1;
        }
        self.at(now, Event::Arrives);
        self.goes_on(now, request);
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
            Event::Arrives => {}
            Event::Asks { request, stage } => self.asked(now, request, stage),
            Event::CallEnds { service, call } => self.call_ends(now, service, &call),
            Event::StageMade {
                request,
                stage,
                results,
                outlook,
            } => {
                let entry = self.requests[request].entry;
                let service = &self.kinds[self.requests[request].kind].stages[stage].service;
                self.entries[entry].note(now, service, outlook);
                match results {
                    Ok(results) => {
                        self.requests[request].results[stage] = results;
                        self.requests[request].done[stage] = true;
                        self.free_read(now, request, stage);
                        self.goes_on(now, request);
                    }
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
            Event::Answered(request) => {
                self.free_all(now, request);
                let req = &self.requests[request];
                if req.counts {
                    let tally = &mut self.tallies[req.kind];
                    if now.since(req.first_at) <= self.kinds[req.kind].aim {
                        tally.in_aim += 1;
                    } else {
                        tally.late += 1;
                    }
                }
            }
        }
    }

    fn service_of(&self, request: usize, stage: usize) -> usize {
        let name = &self.kinds[self.requests[request].kind].stages[stage].service;
        SERVICES
            .iter()
            .position(|s| *s == name.as_str())
            .expect("a known service")
    }

    /// Callers come again once, when they are told to, but within a third of the time that they have left.
    fn refused(&mut self, now: MonoTime, request: usize, retry_after: Duration) {
        let req = &self.requests[request];
        let is_first = req.at == req.first_at;
        if is_first {
            let left = self.kinds[req.kind]
                .patience
                .saturating_sub(now.since(req.at));
            let when = now.after(retry_after.min(left / 3) + 2 * WAY);
            self.at(when, Event::Returns { request });
        } else if req.counts {
            let has_made = req.results.iter().any(|results| !results.is_empty());
            let tally = &mut self.tallies[req.kind];
            tally.refused += 1;
            tally.wasted += u32::from(has_made);
        }
        self.free_all(now, request);
    }

    fn returns(&mut self, now: MonoTime, request: usize) {
        let req = &self.requests[request];
        let again = Request {
            kind: req.kind,
            entry: self.chance.below(ENTRIES),
            at: now,
            first_at: req.first_at,
            fingerprint: req.fingerprint,
            is_late_return: false,
            done: req.pieces.iter().map(|p| *p == 0).collect(),
            begun: vec![false; req.pieces.len()],
            results: vec![Vec::new(); req.pieces.len()],
            pieces: req.pieces.clone(),
            counts: req.counts,
        };
        self.requests.push(again);
        self.goes_on(now, self.requests.len() - 1);
    }

    fn free_all(&mut self, now: MonoTime, request: usize) {
        for stage in 0..self.requests[request].pieces.len() {
            self.free(now, request, stage);
        }
    }

    fn free(&mut self, now: MonoTime, request: usize, stage: usize) {
        let results = std::mem::take(&mut self.requests[request].results[stage]);
        let service = self.service_of(request, stage);
        self.at(
            now.after(WAY + Duration::from_millis(5)),
            Event::Freed(service, results),
        );
    }

    /// Frees what nobody reads any more now that a stage is made.
    fn free_read(&mut self, now: MonoTime, request: usize, made: usize) {
        let before = self.kinds[self.requests[request].kind].stages[made]
            .after
            .clone();
        for stage in before {
            self.free(now, request, stage);
        }
    }

    /// Begins the stages that can be begun, or the request itself.
    fn goes_on(&mut self, now: MonoTime, request: usize) {
        let req = &self.requests[request];
        let kind = &self.kinds[req.kind];
        let mut graph = StageGraph::new(&kind.stages, &req.pieces);
        for stage in 0..req.pieces.len() {
            if req.begun[stage] {
                graph.begin(stage);
            }
            if req.done[stage] && req.pieces[stage] > 0 {
                graph.done(stage);
            }
        }
        let startable = graph.startable();
        let is_made = req.done.iter().all(|done| *done);
        for stage in startable {
            self.requests[request].begun[stage] = true;
            self.at(now.after(WAY), Event::Asks { request, stage });
        }
        if is_made {
            self.at(now.after(PROMPT), Event::Answered(request));
        }
    }

    fn asked(&mut self, now: MonoTime, request: usize, stage: usize) {
        let service = self.service_of(request, stage);
        let mut new = self.new_job(now, request, stage);
        let is_first = self.requests[request].begun.iter().filter(|b| **b).count() == 1;
        if is_first {
            match self.judge(now, service, request, stage) {
                Ok(begun) => {
                    new.in_time_until = now.after(begun.in_time_for);
                    self.requests[request].is_late_return = begun.is_late_return;
                }
                Err(retry_after) => {
                    self.tell(now, service, (request, stage), Err(retry_after));
                    return;
                }
            }
        }
        match self.homes[service].push(now, new) {
            Ok(job) => {
                self.jobs[service].insert(job, (request, stage));
                self.drive(now, service);
            }
            Err(refusal) => self.tell(now, service, (request, stage), Err(come_back(refusal))),
        }
    }

    fn judge(
        &mut self,
        now: MonoTime,
        service: usize,
        request: usize,
        stage: usize,
    ) -> Result<Begun, Duration> {
        let own = self.homes[service].outlook(now);
        self.judges[service].note(now, &SERVICES[service].into(), own);
        let req = &self.requests[request];
        let kind = &self.kinds[req.kind];
        let chain = ChainAsk {
            fingerprint: Fingerprint(req.fingerprint),
            stages: kind.stages.clone(),
            pieces: req.pieces.clone(),
            until_aim: kind.aim.saturating_sub(now.since(req.at) + PROMPT),
            until_left: kind.patience.saturating_sub(now.since(req.at)),
        };
        let call_times = vec![Duration::from_millis(200); kind.stages.len()];
        self.judges[service].judge(now, &chain, kind.rank, stage, &call_times)
    }

    fn new_job(&self, now: MonoTime, request: usize, stage: usize) -> NewJob {
        let req = &self.requests[request];
        let kind = &self.kinds[req.kind];
        let mut graph = StageGraph::new(&kind.stages, &req.pieces);
        for made in 0..req.pieces.len() {
            if req.done[made] && req.pieces[made] > 0 {
                graph.done(made);
            }
        }
        let until_aim = kind.aim.saturating_sub(now.since(req.at) + PROMPT);
        let expected = self.entries[req.entry].expect(
            now,
            &JudgedRequest {
                graph: &graph,
                call_times: &vec![Duration::from_millis(200); kind.stages.len()],
                until_aim,
                rank: kind.rank,
            },
        );
        let spec = &kind.stages[stage];
        let inputs: Vec<ResultHandle> = spec
            .after
            .iter()
            .flat_map(|before| req.results[*before].iter().cloned())
            .collect();
        let held_bytes: u64 = spec.after.iter().map(|b| graph.size_of(*b)).sum();
        let prefer = preferred(&inputs, held_bytes * u64::from(req.pieces[stage]));
        let until_aim = if req.is_late_return {
            Duration::ZERO
        } else {
            until_aim
        };
        let in_time_for = until_aim.saturating_sub(graph.time_after(stage, &expected.in_time));
        NewJob {
            request: format!("{request}").into(),
            stage: stage as u32,
            pieces: req.pieces[stage],
            input: PieceInput::Results(inputs.into()),
            result_bytes: spec.result_bytes,
            rank: kind.rank,
            in_time_until: now.after(in_time_for),
            deadline: req.at.after(kind.patience.saturating_sub(PROMPT)),
            prefer,
            held_bytes,
            is_last_reader: graph.is_last_reader(stage),
            following: graph.following(stage),
        }
    }

    fn tell(
        &mut self,
        now: MonoTime,
        service: usize,
        (request, stage): (usize, usize),
        results: Result<Vec<ResultHandle>, Duration>,
    ) {
        let outlook = self.homes[service].outlook(now);
        self.at(
            now.after(WAY),
            Event::StageMade {
                request,
                stage,
                results,
                outlook,
            },
        );
    }

    fn drive(&mut self, now: MonoTime, service: usize) {
        while let Some(call) = self.homes[service].next_call(now) {
            let pieces: Duration = call
                .pieces
                .iter()
                .map(|piece| {
                    let request: usize = piece.request.parse().expect("a number");
                    let kind = &self.kinds[self.requests[request].kind];
                    piece_time(service, kind.stages[piece.stage as usize].result_bytes)
                })
                .sum();
            let noise = 0.95 + 0.1 * self.chance.part();
            let speed = speed_of(call.upstream.as_str());
            let took = (spec(service).call_time + pieces).mul_f64(noise * speed) + CALL_OVERHEAD;
            self.at(now.after(took), Event::CallEnds { service, call });
        }
    }

    fn call_ends(&mut self, now: MonoTime, service: usize, call: &BatchCall) {
        let results = call.pieces.iter().map(|piece| {
            self.results += 1;
            let name = format!(
                "{}/{}-{}",
                call.upstream.as_str(),
                piece.request,
                self.results
            );
            Ok(ResultHandle(name.into()))
        });
        let end = CallEnd::Answered(results.collect());
        let settled = self.homes[service].end_call(now, call.key, end);
        self.settle(now, service, settled);
        self.drive(now, service);
    }

    fn look(&mut self, now: MonoTime) {
        for service in 0..SERVICES.len() {
            let settled = self.homes[service].expire(now);
            self.settle(now, service, settled);
            let read = self.homes[service].inputs_read(now);
            self.give_up(now, service, read);
            self.drive(now, service);
        }
    }

    /// Inputs that a home has read were made by the service before it.
    fn give_up(&mut self, now: MonoTime, service: usize, results: Vec<ResultHandle>) {
        if let Some(before) = service.checked_sub(1)
            && !results.is_empty()
        {
            self.at(now.after(WAY), Event::Freed(before, results));
        }
    }

    fn settle(&mut self, now: MonoTime, service: usize, settled: Settled) {
        for result in &settled.unwanted {
            self.homes[service].freed(result);
        }
        self.give_up(now, service, settled.read);
        for finished in settled.finished {
            if let Some(of) = self.jobs[service].remove(finished.job) {
                self.tell(now, service, of, finished.result.map_err(come_back));
            }
        }
    }
}

/// Bytes from which on it matters where they are read.
const LARGE_BYTES: u64 = 256 << 10;

/// Where most inputs lie, if what is read of them is large.
fn preferred(inputs: &[ResultHandle], bytes_read: u64) -> Option<FailureDomain> {
    if bytes_read < LARGE_BYTES {
        return None;
    }
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for input in inputs {
        let maker = input.maker()?;
        let number: usize = maker.split('-').nth(1)?.parse().ok()?;
        *counts.entry(number % DOMAINS).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(domain, _)| domain_of(domain))
}

fn domain_of(number: usize) -> FailureDomain {
    format!("d{}", number % DOMAINS).as_str().into()
}

/// Times that an upstream takes of the usual ones: they differ, evenly spread around the mean.
fn speed_of(upstream: &str) -> f64 {
    const STEPS: usize = 7;
    let number: usize = upstream.bytes().map(usize::from).sum();
    let step = (number % STEPS) as f64 / (STEPS - 1) as f64;
    MEAN_SPEED + SPREAD * (step - 0.5)
}

/// Time after which a caller is told to come back.
fn come_back(refusal: PiecesRefusal) -> Duration {
    match refusal {
        PiecesRefusal::Overloaded { retry_after } => retry_after,
        _ => Duration::from_millis(250),
    }
}
