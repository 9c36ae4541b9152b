//! Discrete-event simulation of random traffic at one home.

use std::{cmp::Reverse, collections::BinaryHeap, collections::HashMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tc_policy::{Home, HomeEvent, PermitDecision, QueuedRequestKey};
use tc_protocol::{MonoTime, PermitId};

use super::{answered, home, ms, request};

/// One workspace's calls: a Poisson process with service times uniformly distributed within 50% of the mean.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    pub name: &'static str,
    pub weight: u32,
    pub calls_per_s: f64,
    pub service_ms: f64,
    pub slack: Duration,
}

/// Latencies of calls that arrive earlier are ignored: a home keeps no headroom for a workspace that it has not seen
/// yet.
const WARM_UP: Duration = Duration::from_secs(10);

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Observed {
    /// Times from the request to the end of the call, in milliseconds, by workspace.
    pub latencies_ms: HashMap<&'static str, Vec<f64>>,
    pub refused: HashMap<&'static str, u32>,
    /// Total service time received by each workspace, in milliseconds.
    pub served_ms: HashMap<&'static str, f64>,
}

impl Observed {
    /// Returns the 99th percentile latency over the calls of the given workspaces, in milliseconds.
    pub fn p99(&self, names: &[&str]) -> f64 {
        let mut sorted: Vec<f64> = names
            .iter()
            .flat_map(|name| self.latencies_ms[name].iter().copied())
            .collect();
        sorted.sort_by(f64::total_cmp);
        sorted[(sorted.len() - 1) * 99 / 100]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    End(PermitId),
}

struct Call {
    workspace: usize,
    arrived: MonoTime,
    service: Duration,
}

pub struct Simulation<'a> {
    home: Home,
    traffic: &'a [Traffic],
    random: StdRng,
    events: BinaryHeap<Reverse<(MonoTime, Event)>>,
    waiting: HashMap<QueuedRequestKey, Call>,
    running: HashMap<PermitId, Call>,
    observed: Observed,
}

/// Simulates the traffic for `duration` on an upstream with `slots`.
pub fn simulate(seed: u64, slots: u32, traffic: &[Traffic], duration: Duration) -> Observed {
    let mut simulation = Simulation {
        home: home(slots),
        traffic,
        random: StdRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        waiting: HashMap::new(),
        running: HashMap::new(),
        observed: Observed::default(),
    };
    for workspace in 0..traffic.len() {
        simulation.schedule_arrival(MonoTime(1), workspace);
    }
    simulation.run(MonoTime(1).after(duration));
    simulation.observed
}

impl Simulation<'_> {
    fn run(&mut self, end: MonoTime) {
        loop {
            let event = self.events.peek().map(|Reverse((at, _))| *at);
            let wake = self.home.next_wake();
            let Some(now) = event.into_iter().chain(wake).min().filter(|&now| now < end) else {
                return;
            };
            if event == Some(now)
                && let Some(Reverse((_, event))) = self.events.pop()
            {
                match event {
                    Event::Arrival(workspace) => self.on_arrival(now, workspace),
                    Event::End(permit) => self.on_end(now, permit),
                }
            }
            for event in self.home.poll(now) {
                self.on_home_event(now, &event);
            }
        }
    }

    fn schedule_arrival(&mut self, now: MonoTime, workspace: usize) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.traffic[workspace].calls_per_s;
        let at = now.after(Duration::from_secs_f64(gap));
        self.events.push(Reverse((at, Event::Arrival(workspace))));
    }

    fn on_arrival(&mut self, now: MonoTime, workspace: usize) {
        self.schedule_arrival(now, workspace);
        let traffic = self.traffic[workspace];
        let spread = self.random.random_range(0.5..1.5);
        let call = Call {
            workspace,
            arrived: now,
            service: Duration::from_secs_f64(traffic.service_ms * spread / 1_000.0),
        };
        let mut new = request(traffic.name);
        new.weight = traffic.weight;
        new.slack = traffic.slack;
        new.estimate.busy_ms = traffic.service_ms;
        match self.home.request_permit(now, new) {
            PermitDecision::Granted { permit, .. } => self.start_call(now, permit, call),
            PermitDecision::Queued(key) => {
                self.waiting.insert(key, call);
            }
            _ => *self.observed.refused.entry(traffic.name).or_default() += 1,
        }
    }

    fn start_call(&mut self, now: MonoTime, permit: PermitId, call: Call) {
        let at = now.after(call.service);
        self.events.push(Reverse((at, Event::End(permit))));
        self.running.insert(permit, call);
    }

    fn on_end(&mut self, now: MonoTime, permit: PermitId) {
        let call = self.running.remove(&permit).expect("it runs");
        self.home
            .release(now, &answered(permit, call.service))
            .expect("the permit is held");
        let name = self.traffic[call.workspace].name;
        if call.arrived > MonoTime::default().after(WARM_UP) {
            let took = now.since(call.arrived).as_secs_f64() * 1_000.0;
            self.observed
                .latencies_ms
                .entry(name)
                .or_default()
                .push(took);
        }
        *self.observed.served_ms.entry(name).or_default() += call.service.as_secs_f64() * 1_000.0;
    }

    fn on_home_event(&mut self, now: MonoTime, event: &HomeEvent) {
        match event {
            HomeEvent::Granted {
                request, permit, ..
            } => {
                let call = self.waiting.remove(request).expect("it waits");
                self.start_call(now, *permit, call);
            }
            HomeEvent::Dropped { request, .. } => {
                let call = self.waiting.remove(request).expect("it waits");
                let name = self.traffic[call.workspace].name;
                *self.observed.refused.entry(name).or_default() += 1;
            }
            HomeEvent::Expired { .. } => panic!("no permit expires: {:?}", ms(0)),
        }
    }
}
