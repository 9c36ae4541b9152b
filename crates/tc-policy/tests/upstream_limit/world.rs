//! Instances, their views, and one limited upstream.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand_xoshiro::{
    Xoroshiro128PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use tc_policy::{EngineCandidate, EnginePlanner, KnownLimits, LoneSends, LoneShare};
use tc_protocol::{
    Member, MonoTime, UpstreamId,
    routing::{EngineRequest, EngineSpec, Prompt, RateLimit, RateLimitUpdate, RunProgress},
};

use crate::judge::{Arrival, PASSED_ON};
use crate::support::member;

const SPEC: EngineSpec = EngineSpec {
    slots: 1_000,
    kv_cache_tokens: 100_000,
};
const STEP: Duration = Duration::from_millis(10);
const GOSSIP_EVERY: Duration = Duration::from_millis(200);
const LIMITS_PER_DATAGRAM: usize = 4;
const LIMITS_PER_ASK: usize = 32;
const REPORT_TIME: Duration = Duration::from_millis(10);

/// How requests are let through to the limited upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// The home paces its grants; few senders share a part while it does not answer.
    HomePaced,
    /// Few senders share the limit; the home grants nothing.
    FewSenders,
    /// Each instance has its part of the limit.
    PartEach,
    /// Each instance has the whole limit.
    WholeEach,
}

/// A run that a home granted, by its number there.
#[derive(Clone, Copy, Debug)]
struct Grant {
    home: usize,
    run: u64,
}

/// How a request got leave to be sent.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Granted(Grant),
    Alone,
}

pub(crate) struct Node {
    member: Member,
    planner: EnginePlanner,
    known: KnownLimits,
    lone: LoneSends,
    /// Count of changes of the limits that the planner has.
    limit_changes: u64,
    pub(crate) home: usize,
    pub(crate) next_home: Option<(MonoTime, usize)>,
    pub(crate) silent_until: MonoTime,
    pub(crate) excused_until: MonoTime,
    told_at: Option<MonoTime>,
}

enum Event {
    Arrive {
        sender: usize,
        leave: Leave,
    },
    Answer {
        sender: usize,
        limit: Option<RateLimit>,
        leave: Leave,
    },
    Report {
        home: usize,
        news: Vec<RateLimitUpdate>,
    },
}

/// See the module.
pub(crate) struct World {
    pub(crate) now: MonoTime,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) refused: usize,
    pub(crate) first_announced: Option<MonoTime>,
    way: Way,
    limit: Option<RateLimit>,
    requests_per_s: f64,
    pub(crate) burst: u32,
    due: f64,
    pub(crate) nodes: Vec<Node>,
    events: VecDeque<(MonoTime, Event)>,
    pub(crate) rng: Xoroshiro128PlusPlus,
    upstream: UpstreamId,
}

impl World {
    pub(crate) fn new(way: Way, instances: usize, requests_per_s: f64, seed: u64) -> Self {
        let mut world = Self {
            now: MonoTime::from_millis(10_000),
            arrivals: Vec::new(),
            refused: 0,
            first_announced: None,
            way,
            limit: None,
            requests_per_s,
            burst: 1,
            due: 0.0,
            nodes: Vec::new(),
            events: VecDeque::new(),
            rng: Xoroshiro128PlusPlus::seed_from_u64(seed),
            upstream: "limited".into(),
        };
        world.nodes = (0..instances)
            .map(|number| world.start(number, 0))
            .collect();
        world
    }

    pub(crate) fn start(&self, number: usize, home: usize) -> Node {
        let mut planner = EnginePlanner::new(SPEC);
        let engine = EngineCandidate {
            id: self.upstream.clone(),
            domain: "a".into(),
            cold_until: MonoTime::default(),
        };
        planner.set_engines(SPEC, &[engine]);
        Node {
            member: member(number),
            planner,
            known: KnownLimits::default(),
            lone: LoneSends::default(),
            limit_changes: 0,
            home,
            next_home: None,
            silent_until: MonoTime::default(),
            excused_until: MonoTime::default(),
            told_at: None,
        }
    }

    pub(crate) fn announce(&mut self, per_s: Option<f64>) {
        self.limit = per_s.and_then(RateLimit::new);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(STEP);
            self.take_up_views();
            self.deliver();
            self.gossip();
            self.send_requests();
        }
    }

    fn take_up_views(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            if let Some((at, home)) = node.next_home
                && at <= now
                && node.silent_until <= now
            {
                node.home = home;
                node.next_home = None;
            }
        }
    }

    fn is_silent(&self, number: usize) -> bool {
        self.nodes[number].silent_until > self.now
    }

    fn at(&mut self, after: Duration, event: Event) {
        let at = self.now.after(after);
        let place = self.events.partition_point(|(due, _)| *due <= at);
        self.events.insert(place, (at, event));
    }

    fn some_ms(&mut self, least: u64, most: u64) -> Duration {
        let spread = u64::from(self.rng.next_u32()) % (most - least);
        Duration::from_millis(least + spread)
    }

    fn deliver(&mut self) {
        while self.events.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, event)) = self.events.pop_front() else {
                return;
            };
            match event {
                Event::Arrive { sender, leave } => self.arrive(sender, leave),
                Event::Answer {
                    sender,
                    limit,
                    leave,
                } => self.answer(sender, limit, leave),
                Event::Report { home, news } => {
                    if !self.is_silent(home) {
                        self.receive(home, &news);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, sender: usize, leave: Leave) {
        let node = &self.nodes[sender];
        let knew = node
            .told_at
            .is_some_and(|at| at.after(PASSED_ON) <= self.now);
        self.arrivals.push(Arrival {
            at: self.now,
            counts: knew && node.excused_until <= self.now,
        });
        let limit = self.limit;
        if limit.is_some() {
            self.first_announced.get_or_insert(self.now);
        }
        // Answers overtake each other.
        let time = self.some_ms(20, 400);
        self.at(
            time,
            Event::Answer {
                sender,
                limit,
                leave,
            },
        );
    }

    fn answer(&mut self, sender: usize, limit: Option<RateLimit>, leave: Leave) {
        let now = self.now;
        if let Leave::Granted(Grant { home, run }) = leave {
            self.nodes[home].planner.note(now, run, RunProgress::Ended);
        }
        if self.is_silent(sender) {
            return;
        }
        let upstream = self.upstream.clone();
        let node = &mut self.nodes[sender];
        node.known.observe(&upstream, limit, now);
        if limit.is_some() {
            node.told_at.get_or_insert(now);
        }
        let news = node.known.recent(now, Duration::from_secs(1), 16);
        let home = node.home;
        self.at(REPORT_TIME, Event::Report { home, news });
    }

    fn receive(&mut self, number: usize, news: &[RateLimitUpdate]) {
        let now = self.now;
        for news in news {
            let at = now.before(news.age);
            self.nodes[number]
                .known
                .observe(&news.upstream, news.limit, at);
        }
    }

    fn gossip(&mut self) {
        let turn = self.now.since(MonoTime::default()).as_millis() / STEP.as_millis();
        let every = GOSSIP_EVERY.as_millis() / STEP.as_millis();
        for number in 0..self.nodes.len() {
            if turn % every != number as u128 % every || self.is_silent(number) {
                continue;
            }
            let to = self.rng.next_u32() as usize % self.nodes.len();
            let now = self.now;
            let news = self.nodes[number].known.to_gossip(now, LIMITS_PER_DATAGRAM);
            if !self.is_silent(to) {
                self.receive(to, &news);
            }
        }
    }

    fn send_requests(&mut self) {
        self.due += self.requests_per_s * f64::from(self.burst) * STEP.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            let sender = self.rng.next_u32() as usize % self.nodes.len();
            if !self.is_silent(sender) {
                self.request(sender);
            }
        }
    }

    fn request(&mut self, sender: usize) {
        let sent = match self.way {
            Way::HomePaced => self.by_home(sender),
            _ => self.by_itself(sender).then_some(Leave::Alone),
        };
        match sent {
            Some(leave) => {
                let way = self.some_ms(1, 40);
                self.at(way, Event::Arrive { sender, leave });
            }
            None => self.refused += 1,
        }
    }

    fn by_home(&mut self, sender: usize) -> Option<Leave> {
        let (now, ask) = (self.now, ask());
        let home = self.nodes[sender].home;
        if !self.is_silent(home) {
            let limits = self.nodes[sender].known.in_force(now, LIMITS_PER_ASK);
            self.receive(home, &limits);
            let node = &mut self.nodes[home];
            node.take_limits(now);
            let choice = node.planner.choose(now, &ask)?;
            let run = choice.run;
            if let Some(news) = node.known.news_of(now, &choice.upstream) {
                self.receive(sender, &[news]);
            }
            return Some(Leave::Granted(Grant { home, run }));
        }
        let members = self.members();
        let node = &mut self.nodes[sender];
        node.take_limits(now);
        let (known, lone, me) = (&node.known, &mut node.lone, &node.member.id);
        let lone = std::cell::RefCell::new(lone);
        let choice = node.planner.choose_alone(now, &ask, |id| {
            known.get(id).is_none_or(|limit| {
                let share = LoneShare::beside_home(limit);
                lone.borrow_mut().may_send(now, me, &members, id, share)
            })
        })?;
        node.planner.note(now, choice.run, RunProgress::Ended);
        node.lone.record(now, &choice.upstream);
        Some(Leave::Alone)
    }

    fn by_itself(&mut self, sender: usize) -> bool {
        let (now, members) = (self.now, self.members());
        let (way, upstream) = (self.way, self.upstream.clone());
        let node = &mut self.nodes[sender];
        let Some(limit) = node.known.get(&upstream) else {
            return true;
        };
        let each = |per_s: f64| LoneShare {
            senders: members.len() as u32,
            per_s_each: per_s,
        };
        let share = match way {
            Way::WholeEach => each(limit.per_s()),
            Way::PartEach => each(limit.per_s() / members.len() as f64),
            Way::FewSenders | Way::HomePaced => LoneShare::without_home(limit),
        };
        let me = &node.member.id;
        let may = node.lone.may_send(now, me, &members, &upstream, share);
        if may {
            node.lone.record(now, &upstream);
        }
        may
    }

    fn members(&self) -> Vec<Member> {
        self.nodes.iter().map(|node| node.member.clone()).collect()
    }
}

fn ask() -> EngineRequest {
    EngineRequest {
        service: "model".into(),
        prompt: Prompt {
            tokens_in: 500,
            tokens_out: 50,
            parts: Arc::default(),
        },
        inputs: Vec::new(),
        excluded: Vec::new(),
        remaining: Duration::from_secs(5),
    }
}

impl Node {
    fn take_limits(&mut self, now: MonoTime) {
        if self.known.changes() != self.limit_changes {
            self.limit_changes = self.known.changes();
            let known = &self.known;
            self.planner.set_limits(now, |id| known.get(id));
        }
    }
}
