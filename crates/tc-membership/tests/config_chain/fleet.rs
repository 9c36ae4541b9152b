//! The simulated fleet and its store.

use std::{ops::Range, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tc_membership::SourceTiming;
use tc_protocol::{Member, MonoTime};

use crate::node::{Fetch, Link, List, Node, StorePath, Transfer, is_strong, member};

pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Hops that a change without a transfer time travels in one step.
const HOPS_PER_STEP: usize = 3;
/// Time for which an instance that is bound by the rule has had no fault.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Minimum pause that an instance notices.
const MIN_PAUSE: Duration = Duration::from_millis(800);

/// Size of a fleet and of its configuration.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    pub(crate) instances: usize,
    /// Time that a configuration takes over the link of a weak instance.
    pub(crate) transfer_time: Duration,
    /// The same from another instance, which sends it compressed.
    pub(crate) relay_time: Duration,
    /// Interval between the gossip messages of an instance.
    pub(crate) gossip_interval: Duration,
    /// Range of the interval between two versions.
    pub(crate) version_interval: Range<Duration>,
}

pub(crate) struct Fleet {
    pub(crate) now: MonoTime,
    pub(crate) shape: Shape,
    pub(crate) nodes: Vec<Node>,
    pub(crate) rng: SmallRng,
    timing: SourceTiming,
    members: Vec<Member>,
    /// Times at which the store accepted the versions, the first of which has number 1.
    accepted: Vec<MonoTime>,
    next_gossip: Vec<MonoTime>,
}

impl Fleet {
    pub(crate) fn new(shape: Shape, bound: Duration, seed: u64) -> Self {
        let now = MonoTime::from_millis(10_000);
        let timing = SourceTiming::within(bound);
        let count = shape.instances;
        let members: Vec<Member> = (0..count).map(|index| member(index, count)).collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        let link = |index| {
            let is_slow = is_small(count) || !is_strong(index, count);
            Link {
                from_store: shape.transfer_time * u32::from(is_slow),
                from_instance: shape.relay_time * u32::from(is_slow),
            }
        };
        let nodes = (0..count)
            .map(|index| Node::new(index, &members, timing, now, link(index)))
            .collect();
        let next_gossip = (0..count)
            .map(|_| now.after(shape.gossip_interval.mul_f64(rng.random())))
            .collect();
        Self {
            now,
            shape,
            nodes,
            rng,
            timing,
            members,
            accepted: vec![now],
            next_gossip,
        }
    }

    /// Has the store accept another version.
    pub(crate) fn accept_version(&mut self) {
        self.accepted.push(self.now);
    }

    pub(crate) fn pause(&mut self, index: usize, time: Duration) {
        let until = self.now.after(time);
        let node = &mut self.nodes[index];
        node.paused_until = node.paused_until.max(until);
        node.resumed_at = node.paused_until;
        if time >= MIN_PAUSE {
            node.drop_calls();
            node.confirmed = MonoTime::default();
            node.source.resumed(until);
        }
    }

    /// Ends the process of an instance, which starts again without any state after `time`.
    pub(crate) fn restart(&mut self, index: usize, time: Duration) {
        let until = self.now.after(time);
        let store = self.nodes[index].store;
        let link = self.nodes[index].link;
        let mut node = Node::new(index, &self.members, self.timing, until, link);
        node.store = store;
        node.paused_until = until;
        node.resumed_at = until;
        self.nodes[index] = node;
    }

    /// Gives an instance a list of members without those that cannot be reached at the moment.
    pub(crate) fn update_members(&mut self, index: usize) {
        let alive = (0..self.nodes.len()).filter(|other| {
            let node = &self.nodes[*other];
            *other == index || (node.is_running(self.now) && !node.is_isolated)
        });
        let alive: Vec<Member> = alive.map(|other| self.members[other].clone()).collect();
        self.nodes[index].source.update_members(&alive);
    }

    pub(crate) fn set_store(&mut self, index: usize, path: StorePath) {
        let node = &mut self.nodes[index];
        if path != node.store {
            node.store_unchanged_since = self.now;
        }
        node.store = path;
        if path != StorePath::Answers {
            node.from_watch = None;
            node.list = None;
        }
    }

    /// Returns true if the bound holds for an instance: it has run, and the store has answered it in the same way, for long
    /// enough.
    pub(crate) fn is_bound(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let since = node.resumed_at.max(node.store_unchanged_since);
        node.is_running(self.now)
            && node.store != StorePath::Silent
            && self.now.since(since) >= CONTACT_TIME
    }

    /// Returns when the store accepted the first version that an instance lacks.
    pub(crate) fn lacks_since(&self, index: usize) -> Option<MonoTime> {
        self.accepted.get(self.nodes[index].version).copied()
    }

    fn can_reach(&self, one: usize, other: usize) -> bool {
        let (one, other) = (&self.nodes[one], &self.nodes[other]);
        let runs = one.is_running(self.now) && other.is_running(self.now);
        runs && !one.is_isolated && !other.is_isolated
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now.after(STEP);
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_running(self.now) {
                self.read_store(index);
                self.fetch(index);
            }
        }
        for hop in 0..HOPS_PER_STEP {
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_running(self.now) {
                    self.follow(index, hop == 0);
                }
            }
        }
        self.gossip();
    }

    /// Advances a transfer on a link that it shares. Returns true once it is complete.
    fn advance(transfer: &mut Transfer, shared_by: u32) -> bool {
        transfer.left = transfer.left.saturating_sub(STEP / shared_by.max(1));
        transfer.left.is_zero()
    }

    fn read_store(&mut self, index: usize) {
        let now = self.now;
        let newest = version_at(&self.accepted, now);
        let hedge_delay = self.timing.hedge_delay;
        // The first call of each list gets no answer.
        let node = &mut self.nodes[index];
        let shared_by = node.transfers();
        if now >= node.waits_until && !node.source.should_watch(now) {
            node.from_watch = None;
            node.list = None;
            return;
        }
        if !node.source.should_watch(now) || node.store == StorePath::Silent {
            return;
        }
        // A watch reports a change but confirms nothing while it waits.
        if node.store == StorePath::Answers && node.from_watch.is_none() && newest > node.version {
            node.from_watch = Some(Transfer {
                version: newest,
                confirmed: MonoTime::default(),
                left: node.link.from_store,
            });
        }
        let mut watched = node.from_watch;
        if let Some(transfer) = &mut watched {
            if Self::advance(transfer, shared_by) {
                node.apply(transfer.version, MonoTime::default());
                watched = None;
            }
            node.list = None;
        }
        node.from_watch = watched;
        let is_due =
            now.since(node.confirmed) >= node.source.list_schedule().start_at(Duration::ZERO);
        if !is_due || node.from_watch.is_some() {
            return;
        }
        let mut list = node.list.unwrap_or(List {
            read_at: now.after(hedge_delay),
            transfer: None,
        });
        if now >= list.read_at {
            let listed = version_at(&self.accepted, list.read_at);
            // A large list is read only if the store's revision shows a change.
            let left = if listed > node.version {
                node.link.from_store
            } else {
                Duration::ZERO
            };
            let transfer = list.transfer.get_or_insert(Transfer {
                version: listed,
                confirmed: list.read_at,
                left,
            });
            if Self::advance(transfer, shared_by) {
                node.apply(transfer.version, transfer.confirmed);
                node.list = None;
                return;
            }
        }
        node.list = Some(list);
    }

    fn follow(&mut self, index: usize, advances: bool) {
        let now = self.now;
        if now < self.nodes[index].waits_until {
            return;
        }
        let Some(source_id) = self.nodes[index].source.source(now) else {
            return;
        };
        let from: usize = source_id.as_str()[1..].parse().expect("an id of this test");
        let is_connected = self.nodes[index].connected.as_ref() == Some(&source_id);
        if !self.can_reach(index, from) {
            let wait = now.after(self.timing.heartbeat_interval);
            let node = &mut self.nodes[index];
            if !is_connected {
                node.waits_until = wait;
                node.connected = None;
                node.from_source = None;
                node.source.source_failed(wait, &source_id);
            }
            return;
        }
        let (version, confirmed) = (self.nodes[from].version, self.nodes[from].confirmed);
        let node = &mut self.nodes[index];
        if !is_connected {
            node.connected = Some(source_id.clone());
            node.from_source = None;
        }
        if node.from_source.is_none()
            && version > node.version
            && !node.link.from_instance.is_zero()
        {
            node.from_source = Some(Transfer {
                version,
                confirmed,
                left: node.link.from_instance,
            });
        }
        let shared_by = node.transfers();
        let Some(mut transfer) = node.from_source else {
            node.apply(version, confirmed);
            node.source.record_confirmation(now, &source_id, confirmed);
            return;
        };
        if !advances {
            return;
        }
        if Self::advance(&mut transfer, shared_by) {
            node.from_source = None;
            node.apply(transfer.version, transfer.confirmed);
            let confirmed = transfer.confirmed;
            node.source.record_confirmation(now, &source_id, confirmed);
        } else {
            node.from_source = Some(transfer);
            node.source.record_partial_update(now, &source_id);
        }
    }

    fn fetch(&mut self, index: usize) {
        let Some(mut fetch) = self.nodes[index].fetch else {
            return;
        };
        let reachable = self.can_reach(index, fetch.from);
        let version = self.nodes[fetch.from].version;
        let node = &mut self.nodes[index];
        let is_needed = version > node.version;
        if self.now < fetch.starts {
            return;
        }
        let shared_by = node.transfers();
        let transfer = fetch.transfer.get_or_insert(Transfer {
            version,
            confirmed: MonoTime::default(),
            left: node.link.from_instance,
        });
        if !reachable || !is_needed {
            node.fetch = None;
        } else if Self::advance(transfer, shared_by) {
            node.apply(transfer.version, MonoTime::default());
            node.fetch = None;
        } else {
            node.fetch = Some(fetch);
        }
    }

    fn gossip(&mut self) {
        for index in 0..self.nodes.len() {
            if self.now < self.next_gossip[index] {
                continue;
            }
            self.next_gossip[index] = self.next_gossip[index].after(self.shape.gossip_interval);
            let other = self.rng.random_range(0..self.nodes.len());
            if other != index && self.can_reach(index, other) {
                self.exchange(index, other);
                self.exchange(other, index);
            }
        }
    }

    /// Tells an instance of the version of another one.
    fn exchange(&mut self, to: usize, from: usize) {
        let starts = self.now.after(self.timing.heartbeat_interval);
        let version = self.nodes[from].version;
        let node = &mut self.nodes[to];
        if version > node.version && node.fetch.is_none() {
            node.fetch = Some(Fetch {
                from,
                starts,
                transfer: None,
            });
        }
    }
}

/// Returns the number of the newest version that was accepted by `time`.
fn version_at(accepted: &[MonoTime], time: MonoTime) -> usize {
    accepted.partition_point(|at| *at <= time)
}

/// In a small fleet, all instances are alike.
fn is_small(count: usize) -> bool {
    !(0..count).any(|index| !is_strong(index, count))
}
