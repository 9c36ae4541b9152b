//! The homes of the services and their upstreams.

use std::time::Duration;

use tc_policy::{BatchCall, CallEnd, Settled};
use tc_protocol::{
    FailureDomain, MonoTime,
    routing::{ResultHandle, StageRefusal},
};

use crate::{
    load::{SERVICES, piece_time, spec},
    world::{CALL_OVERHEAD, Event, MEAN_SPEED, WAY, World},
};

/// Failure domains that upstreams are spread over.
pub(crate) const DOMAINS: usize = 4;
/// How much the slowest upstream differs from the fastest.
const SPREAD: f64 = 0.3;

impl World {
    pub(crate) fn homes_tell(&mut self, now: MonoTime) {
        for (home, service) in self.homes.iter().zip(SERVICES) {
            let outlook = home.outlook(now);
            for judge in &mut self.judges {
                judge.note(now, &service.into(), outlook.clone());
            }
        }
    }

    pub(crate) fn tell(
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

    pub(crate) fn drive(&mut self, now: MonoTime, service: usize) {
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
            let took =
                (spec(service).call_overhead + pieces).mul_f64(noise * speed) + CALL_OVERHEAD;
            self.at(now.after(took), Event::CallEnds { service, call });
        }
    }

    pub(crate) fn call_ends(&mut self, now: MonoTime, service: usize, call: &BatchCall) {
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

    pub(crate) fn look(&mut self, now: MonoTime) {
        for service in 0..SERVICES.len() {
            let settled = self.homes[service].expire(now);
            self.settle(now, service, settled);
            let read = self.homes[service].inputs_read(now);
            self.give_up(now, service, read);
            self.drive(now, service);
        }
    }

    /// Inputs that a home has read were made by the service before it.
    pub(crate) fn give_up(&mut self, now: MonoTime, service: usize, results: Vec<ResultHandle>) {
        if let Some(before) = service.checked_sub(1)
            && !results.is_empty()
        {
            self.at(now.after(WAY), Event::Freed(before, results));
        }
    }

    pub(crate) fn settle(&mut self, now: MonoTime, service: usize, settled: Settled) {
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

pub(crate) fn domain_of(number: usize) -> FailureDomain {
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
pub(crate) fn come_back(refusal: StageRefusal) -> Duration {
    match refusal {
        StageRefusal::Overloaded { retry_after } => retry_after,
        _ => Duration::from_millis(250),
    }
}
