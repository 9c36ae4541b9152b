//! Requests on their way through their stages, as the instances that they came to see it.

use std::{collections::BTreeMap, time::Duration};

use tc_policy::{Begun, HomeOutlook, JudgedRequest, NewJob, StageGraph};
use tc_protocol::{
    FailureDomain, Fingerprint, MonoTime,
    routing::{PieceInput, ResultHandle, StageChain},
};

use crate::{
    homes::{DOMAINS, come_back, domain_of},
    load::SERVICES,
    world::{ENTRIES, Event, PROMPT, Request, WAY, World},
};

impl World {
    pub(crate) fn arrives(&mut self, now: MonoTime, kind: usize, counts: bool) {
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
        self.goes_on(now, request);
    }

    pub(crate) fn service_of(&self, request: usize, stage: usize) -> usize {
        let name = &self.kinds[self.requests[request].kind].stages[stage].service;
        SERVICES
            .iter()
            .position(|s| *s == name.as_str())
            .expect("a known service")
    }

    /// Callers come again once, when they are told to, but within a third of the time that they have left.
    pub(crate) fn refused(&mut self, now: MonoTime, request: usize, retry_after: Duration) {
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

    pub(crate) fn returns(&mut self, now: MonoTime, request: usize) {
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

    pub(crate) fn free_all(&mut self, now: MonoTime, request: usize) {
        for stage in 0..self.requests[request].pieces.len() {
            self.free(now, request, stage);
        }
    }

    pub(crate) fn free(&mut self, now: MonoTime, request: usize, stage: usize) {
        let results = std::mem::take(&mut self.requests[request].results[stage]);
        let service = self.service_of(request, stage);
        self.at(
            now.after(WAY + Duration::from_millis(5)),
            Event::Freed(service, results),
        );
    }

    /// Frees what nobody reads any more now that a stage is made.
    pub(crate) fn free_read(&mut self, now: MonoTime, request: usize, made: usize) {
        let before = self.kinds[self.requests[request].kind].stages[made]
            .depends_on
            .clone();
        for stage in before {
            self.free(now, request, stage);
        }
    }

    /// Begins the stages that can be begun, or the request itself.
    pub(crate) fn goes_on(&mut self, now: MonoTime, request: usize) {
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

    pub(crate) fn asked(&mut self, now: MonoTime, request: usize, stage: usize) {
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

    pub(crate) fn judge(
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
        let chain = StageChain {
            fingerprint: Fingerprint(req.fingerprint),
            stages: kind.stages.clone(),
            pieces: req.pieces.clone(),
            until_latency_target: kind.aim.saturating_sub(now.since(req.at) + PROMPT),
            remaining: kind.patience.saturating_sub(now.since(req.at)),
        };
        let call_times = vec![Duration::from_millis(200); kind.stages.len()];
        self.judges[service].judge(now, &chain, kind.rank, stage, &call_times)
    }

    pub(crate) fn new_job(&self, now: MonoTime, request: usize, stage: usize) -> NewJob {
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
            .depends_on
            .iter()
            .flat_map(|before| req.results[*before].iter().cloned())
            .collect();
        let held_bytes: u64 = spec.depends_on.iter().map(|b| graph.size_of(*b)).sum();
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

    pub(crate) fn note_outlook(
        &mut self,
        now: MonoTime,
        (request, stage): (usize, usize),
        outlook: HomeOutlook,
    ) {
        let req = &self.requests[request];
        let service = &self.kinds[req.kind].stages[stage].service;
        self.entries[req.entry].note(now, service, outlook);
    }

    pub(crate) fn stage_made(
        &mut self,
        now: MonoTime,
        request: usize,
        stage: usize,
        results: Vec<ResultHandle>,
    ) {
        self.requests[request].results[stage] = results;
        self.requests[request].done[stage] = true;
        self.free_read(now, request, stage);
        self.goes_on(now, request);
    }

    pub(crate) fn answered(&mut self, now: MonoTime, request: usize) {
        self.free_all(now, request);
        let req = &self.requests[request];
        if !req.counts {
            return;
        }
        let tally = &mut self.tallies[req.kind];
        if now.since(req.first_at) <= self.kinds[req.kind].aim {
            tally.in_aim += 1;
        } else {
            tally.late += 1;
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
        let maker = input.upstream_address()?;
        let number: usize = maker.split('-').nth(1)?.parse().ok()?;
        *counts.entry(number % DOMAINS).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(domain, _)| domain_of(domain))
}
