//! Simulated network of membership state machines in simulated time. Links can lose, delay,
//! duplicate and block messages.
#![allow(dead_code, reason = "each test uses its own part")]

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tc_membership::{ConfigPuller, Membership, MembershipConfig, Message, Outgoing, Pull};
use tc_protocol::{
    Incarnation, InstanceId, Member, MemberState, MonoTime,
    wire::{InstanceList, ListedInstance, ListedState},
};

const BASE_PORT: u16 = 10_000;
const PULL_DURATION: Duration = Duration::from_millis(3);
pub(crate) const DOMAINS: usize = 4;

pub(crate) fn id(index: usize) -> InstanceId {
    format!("i{index:03}").into()
}

pub(crate) fn member(index: usize, incarnation: u64) -> Member {
    let port = BASE_PORT + index as u16;
    Member {
        id: id(index),
        incarnation: Incarnation(incarnation),
        caller_address: ([127, 0, 0, 1], port).into(),
        fleet_address: ([127, 0, 0, 2], port).into(),
        failure_domain: format!("kl-{}", index % DOMAINS).into(),
        region: "kl".into(),
        state: MemberState::Alive,
        strength: Member::default_strength(),
    }
}

pub(crate) fn list(
    version: u64,
    instances: impl Iterator<Item = (usize, ListedState)>,
) -> InstanceList {
    let instances = instances.map(|(index, state)| ListedInstance {
        id: id(index),
        service: None,
        address: member(index, 1).fleet_address,
        failure_domain: member(index, 1).failure_domain,
        region: "kl".into(),
        state,
    });
    InstanceList {
        version,
        instances: instances.collect(),
    }
}

enum Event {
    Wake(usize),
    Deliver(usize, Message),
    Pulled(usize, InstanceId),
    Resume(usize),
}

pub(crate) struct Node {
    pub(crate) membership: Membership,
    pub(crate) puller: ConfigPuller,
    pub(crate) up: bool,
    pub(crate) left: bool,
    pub(crate) incarnation: u64,
    paused_until: Option<MonoTime>,
    wake_at: Option<MonoTime>,
}

/// Link faults: probabilities per message, and the partition each node is in.
pub(crate) struct Links {
    pub(crate) loss: f64,
    pub(crate) duplicate: f64,
    pub(crate) max_delay: Duration,
    pub(crate) partition: Vec<u8>,
}

pub(crate) struct Net {
    pub(crate) now: MonoTime,
    pub(crate) nodes: Vec<Node>,
    pub(crate) links: Links,
    pub(crate) messages: u64,
    pub(crate) records: u64,
    pub(crate) cfg: MembershipConfig,
    rng: SmallRng,
    events: BTreeMap<(MonoTime, u64), Event>,
    next_event: u64,
}

impl Net {
    /// Creates `count` nodes that know no other node.
    pub(crate) fn new(count: usize, cfg: MembershipConfig, seed: u64) -> Self {
        let mut net = Self {
            now: MonoTime::from_millis(1),
            nodes: Vec::new(),
            links: Links {
                loss: 0.0,
                duplicate: 0.0,
                max_delay: Duration::from_millis(2),
                partition: vec![0; count],
            },
            messages: 0,
            records: 0,
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            next_event: 0,
        };
        for index in 0..count {
            let node = net.new_node(index, 1);
            net.nodes.push(node);
            net.schedule_wake(index);
        }
        net
    }

    /// Creates nodes that know each other.
    pub(crate) fn joined(count: usize, cfg: MembershipConfig, seed: u64) -> Self {
        let mut net = Self::new(count, cfg, seed);
        let all: Vec<_> = net
            .nodes
            .iter()
            .flat_map(|n| n.membership.records())
            .collect();
        for index in 0..count {
            net.nodes[index].membership.merge_records(net.now, &all);
        }
        net
    }

    fn new_node(&mut self, index: usize, incarnation: u64) -> Node {
        let seed = self.rng.random();
        Node {
            membership: Membership::new(self.cfg.clone(), member(index, incarnation), seed),
            puller: ConfigPuller::new(seed),
            up: true,
            left: false,
            incarnation,
            paused_until: None,
            wake_at: None,
        }
    }

    pub(crate) fn list_all(&mut self, version: u64) {
        let list = list(
            version,
            (0..self.nodes.len()).map(|i| (i, ListedState::Live)),
        );
        for index in 0..self.nodes.len() {
            self.nodes[index]
                .membership
                .apply_instance_list(self.now, &list);
            self.schedule_wake(index);
        }
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    /// Restarts a node under a new incarnation that knows only the platform's list.
    pub(crate) fn restart(&mut self, index: usize, list: &InstanceList) {
        let incarnation = self.nodes[index].incarnation + 1;
        self.nodes[index] = self.new_node(index, incarnation);
        self.nodes[index]
            .membership
            .apply_instance_list(self.now, list);
        self.schedule_wake(index);
    }

    pub(crate) fn pause(&mut self, index: usize, time: Duration) {
        if self.nodes[index].up && self.nodes[index].paused_until.is_none() {
            let until = self.now.after(time);
            self.nodes[index].paused_until = Some(until);
            self.push(until, Event::Resume(index));
        }
    }

    pub(crate) fn leave(&mut self, index: usize) {
        if self.is_running(index) {
            self.nodes[index].left = true;
            let out = self.nodes[index].membership.leave();
            self.send(index, out);
        }
    }

    pub(crate) fn publish(&mut self, index: usize, revision: u64) {
        if self.is_running(index) && self.nodes[index].puller.activate(revision) {
            self.nodes[index].membership.set_revision(revision);
        }
    }

    pub(crate) fn is_running(&self, index: usize) -> bool {
        self.nodes[index].up && self.nodes[index].paused_until.is_none()
    }

    /// Advances the simulation by `time`, calling `check` after each delivered message was handled.
    pub(crate) fn run(&mut self, time: Duration, mut check: impl FnMut(&Self, usize, &Message)) {
        let end = self.now.after(time);
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event, &mut check);
        }
        self.now = end;
    }

    /// Advances the simulation until `done` holds. Returns `None` if that takes longer than
    /// `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(10), |_, _, _| {});
        }
        None
    }

    fn handle_event(&mut self, event: Event, check: &mut impl FnMut(&Self, usize, &Message)) {
        let index = match &event {
            Event::Wake(i) | Event::Deliver(i, _) | Event::Pulled(i, _) | Event::Resume(i) => *i,
        };
        if !self.nodes[index].up {
            return;
        }
        if let (Some(until), false) = (
            self.nodes[index].paused_until,
            matches!(event, Event::Resume(_)),
        ) {
            self.push(until, event);
            return;
        }
        match event {
            Event::Wake(_) => {
                self.nodes[index].wake_at = None;
                let out = self.nodes[index].membership.tick(self.now);
                self.send(index, out);
            }
            Event::Deliver(_, message) => {
                let out = self.nodes[index].membership.handle(self.now, &message);
                self.send(index, out);
                self.pull_newer_revision(index, &message);
                check(self, index, &message);
            }
            Event::Pulled(_, from) => self.pulled(index, &from),
            Event::Resume(_) => {
                self.nodes[index].paused_until = None;
                self.nodes[index].membership.resumed(self.now);
                self.schedule_wake(index);
            }
        }
    }

    fn pull_newer_revision(&mut self, index: usize, message: &Message) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        let from = &message.from;
        node.puller
            .record_peer_revision(now, &from.member.id, from.revision);
        if let (revision, Some(holder)) = node.membership.newest_revision() {
            node.puller.record_peer_revision(now, &holder, revision);
        }
        if let Pull::Peer(peer) = node.puller.next_pull(now, false, false) {
            self.push(now.after(PULL_DURATION), Event::Pulled(index, peer));
        }
    }

    fn pulled(&mut self, index: usize, from: &InstanceId) {
        let Some(peer) = (0..self.nodes.len()).find(|i| id(*i) == *from) else {
            return;
        };
        let revision = self.nodes[peer].puller.active_revision();
        let reachable =
            self.is_running(peer) && self.links.partition[peer] == self.links.partition[index];
        let node = &mut self.nodes[index];
        if reachable && node.puller.activate(revision) {
            node.membership.set_revision(revision);
        } else {
            node.puller.pull_failed(self.now, from);
        }
    }

    fn send(&mut self, index: usize, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            self.messages += 1;
            self.records += 1 + message.changes.len() as u64;
            let to = usize::from(port(to) - BASE_PORT);
            let is_blocked = self.links.partition[index] != self.links.partition[to];
            if is_blocked || self.rng.random_bool(self.links.loss) {
                continue;
            }
            if self.rng.random_bool(self.links.duplicate) {
                self.deliver(to, message.clone());
            }
            self.deliver(to, message);
        }
        self.schedule_wake(index);
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let delay = self
            .links
            .max_delay
            .mul_f64(self.rng.random_range(0.1..1.0));
        self.push(self.now.after(delay), Event::Deliver(to, message));
    }

    fn schedule_wake(&mut self, index: usize) {
        let at = self.nodes[index].membership.next_wake().max(self.now);
        if self.nodes[index]
            .wake_at
            .is_none_or(|scheduled| at < scheduled)
        {
            self.nodes[index].wake_at = Some(at);
            self.push(at, Event::Wake(index));
        }
    }

    fn push(&mut self, at: MonoTime, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }
}

fn port(address: SocketAddr) -> u16 {
    address.port()
}
