//! Random traffic over one home, run as discrete events.

use std::{cmp::Reverse, collections::BinaryHeap, collections::HashMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tc_policy::{Home, HomeEvent, PermitDecision, QueuedRequestKey};
use tc_protocol::{MonoTime, PermitId};

use super::{answered, home, ms, request};

/// One workspace's calls: a Poisson process, with service times spread evenly by half around the mean.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    pub name: &'static str,
    pub weight: u32,
    pub calls_per_s: f64,
    pub service_ms: f64,
    pub slack: Duration,
}

/// Calls that arrive before are not looked at: until the home has seen each workspace, it keeps nothing free for it.
const WARM_UP: Duration = Duration::from_secs(10);

/// What became of the calls.
#[derive(Debug, Default)]
pub struct Observed {
    /// Times from request to end, in milliseconds, by workspace.
    pub took_ms: HashMap<&'static str, Vec<f64>>,
    pub refused: HashMap<&'static str, u32>,
    /// Service time given, by workspace, in milliseconds.
    pub served_ms: HashMap<&'static str, f64>,
}

impl Observed {
    /// 99th percentile over the calls of some workspaces, in milliseconds.
    pub fn p99(&self, names: &[&str]) -> f64 {
        let mut sorted: Vec<f64> = names
            .iter()
            .flat_map(|name| self.took_ms[name].iter().copied())
            .collect();
        sorted.sort_by(f64::total_cmp);
        sorted[(sorted.len() - 1) * 99 / 100]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Ends(PermitId),
}

struct Call {
    who: usize,
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
    seen: Observed,
}

/// Runs the traffic for `lasts` on an upstream with `slots`.
pub fn simulate(seed: u64, slots: u32, traffic: &[Traffic], lasts: Duration) -> Observed {
    let mut simulation = Simulation {
        home: home(slots),
        traffic,
        random: StdRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        waiting: HashMap::new(),
        running: HashMap::new(),
        seen: Observed::default(),
    };
    for who in 0..traffic.len() {
        simulation.next_arrival(MonoTime(1), who);
    }
    simulation.run(MonoTime(1).after(lasts));
    simulation.seen
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
                    Event::Arrives(who) => self.arrives(now, who),
                    Event::Ends(permit) => self.ends(now, permit),
                }
            }
            for event in self.home.poll(now) {
                self.told(now, &event);
            }
        }
    }

    fn next_arrival(&mut self, now: MonoTime, who: usize) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.traffic[who].calls_per_s;
        let at = now.after(Duration::from_secs_f64(gap));
        self.events.push(Reverse((at, Event::Arrives(who))));
    }

    fn arrives(&mut self, now: MonoTime, who: usize) {
        self.next_arrival(now, who);
        let traffic = self.traffic[who];
        let spread = self.random.random_range(0.5..1.5);
        let call = Call {
            who,
            arrived: now,
            service: Duration::from_secs_f64(traffic.service_ms * spread / 1_000.0),
        };
        let mut new = request(traffic.name);
        new.weight = traffic.weight;
        new.slack = traffic.slack;
        new.estimate.busy_ms = traffic.service_ms;
        match self.home.request_permit(now, new) {
            PermitDecision::Granted { permit, .. } => self.starts(now, permit, call),
            PermitDecision::Queued(key) => {
                self.waiting.insert(key, call);
            }
            _ => *self.seen.refused.entry(traffic.name).or_default() += 1,
        }
    }

    fn starts(&mut self, now: MonoTime, permit: PermitId, call: Call) {
        let at = now.after(call.service);
        self.events.push(Reverse((at, Event::Ends(permit))));
        self.running.insert(permit, call);
    }

    fn ends(&mut self, now: MonoTime, permit: PermitId) {
        let call = self.running.remove(&permit).expect("it runs");
        self.home
            .release(now, &answered(permit, call.service))
            .expect("the permit is held");
        let name = self.traffic[call.who].name;
        if call.arrived > MonoTime::default().after(WARM_UP) {
            let took = now.since(call.arrived).as_secs_f64() * 1_000.0;
            self.seen.took_ms.entry(name).or_default().push(took);
        }
        *self.seen.served_ms.entry(name).or_default() += call.service.as_secs_f64() * 1_000.0;
    }

    fn told(&mut self, now: MonoTime, event: &HomeEvent) {
        match event {
            HomeEvent::Granted {
                request, permit, ..
            } => {
                let call = self.waiting.remove(request).expect("it waits");
                self.starts(now, *permit, call);
            }
            HomeEvent::Dropped { request, .. } => {
                let call = self.waiting.remove(request).expect("it waits");
                let name = self.traffic[call.who].name;
                *self.seen.refused.entry(name).or_default() += 1;
            }
            HomeEvent::Expired { .. } => panic!("no permit expires: {:?}", ms(0)),
        }
    }
}
