//! Simulated fleet: instances that choose sources and read a store on a simulated clock.

use std::time::Duration;

use tc_membership::{SourceTiming, StoreSource};
use tc_protocol::{Incarnation, InstanceId, Member, MemberState, MonoTime};

/// Bound by which a change of the store is to count everywhere, on deployments of hundreds of instances.
pub(crate) const BOUND: Duration = Duration::from_secs(4);
pub(crate) const STEP: Duration = Duration::from_millis(20);
/// Hops that news travel in one step.
const HOPS_PER_STEP: usize = 4;
const DOMAINS: usize = 6;

pub(crate) fn id(index: usize) -> InstanceId {
    format!("i{index:03}").into()
}

/// One instance in seventeen has four times the processor and ten times the link of the others.
pub(crate) fn member(index: usize) -> Member {
    let strong = index.is_multiple_of(17);
    Member {
        id: id(index),
        incarnation: Incarnation(1),
        caller_address: ([127, 0, 0, 1], 8_000).into(),
        fleet_address: ([127, 0, 0, 1], 10_000 + index as u16).into(),
        failure_domain: format!("kl-{}", index % DOMAINS).into(),
        region: "kl".into(),
        state: MemberState::Alive,
        strength: if strong { 2_000 } else { 5 },
    }
}

pub(crate) fn members(count: usize) -> Vec<Member> {
    (0..count).map(member).collect()
}

/// What an instance can do at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Well,
    /// It lost power, or a cut separates it from all others: it says nothing more.
    Silent,
    /// The store rejects its calls or answers none of them; other instances reach it.
    TurnedAway,
    /// The store answers its lists and none of its watches.
    WatchHangs,
}

#[derive(Clone)]
pub(crate) struct Fleet {
    pub(crate) now: MonoTime,
    pub(crate) states: Vec<State>,
    pub(crate) sources: Vec<StoreSource>,
    /// Time up to which each instance has all changes.
    pub(crate) current: Vec<MonoTime>,
    /// Time as of which each instance's state is confirmed.
    pub(crate) confirmed: Vec<MonoTime>,
    /// Number of list calls to the store so far.
    pub(crate) lists: usize,
}

impl Fleet {
    pub(crate) fn new(count: usize) -> Self {
        let now = MonoTime::from_millis(1_000);
        let members = members(count);
        let sources = (0..count).map(|index| {
            let mut source = StoreSource::new(id(index), SourceTiming::within(BOUND), now);
            source.update_members(&members);
            source.mark_settled();
            source
        });
        Self {
            now,
            states: vec![State::Well; count],
            sources: sources.collect(),
            current: vec![now; count],
            confirmed: vec![now; count],
            lists: 0,
        }
    }

    pub(crate) fn watchers(&self) -> Vec<usize> {
        let all = 0..self.sources.len();
        all.filter(|i| self.states[*i] != State::Silent && self.sources[*i].should_watch(self.now))
            .collect()
    }

    /// Lets time pass; each live instance reads the store if it watches, and hears from its source, in every step.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(STEP);
            let living: Vec<usize> = (0..self.sources.len())
                .filter(|i| self.states[*i] != State::Silent)
                .collect();
            for index in &living {
                self.read_store(*index);
            }
            for _ in 0..HOPS_PER_STEP {
                for index in &living {
                    self.hear(*index);
                }
            }
        }
    }

    /// A working watch delivers changes at once but confirms nothing while it waits; a list confirms the state.
    fn read_store(&mut self, index: usize) {
        let now = self.now;
        let state = self.states[index];
        if state == State::TurnedAway || !self.sources[index].should_watch(now) {
            return;
        }
        if state == State::Well {
            self.current[index] = now;
        }
        if now.since(self.confirmed[index]) >= self.sources[index].list_after() {
            self.current[index] = now;
            self.confirmed[index] = now;
            self.lists += 1;
        }
    }

    fn hear(&mut self, index: usize) {
        let now = self.now;
        let Some(from) = self.sources[index].source(now) else {
            return;
        };
        let source: usize = from.as_str()[1..].parse().expect("an id of the test");
        if self.states[source] == State::Silent {
            return;
        }
        let confirmed = self.confirmed[source];
        self.sources[index].note_confirmation(now, &from, confirmed);
        self.current[index] = self.current[index].max(self.current[source]);
        self.confirmed[index] = self.confirmed[index].max(confirmed);
    }

    /// Tells all instances which members are left.
    pub(crate) fn learn_losses(&mut self) {
        let left: Vec<Member> = (0..self.states.len())
            .filter(|index| self.states[*index] != State::Silent)
            .map(member)
            .collect();
        for source in &mut self.sources {
            source.update_members(&left);
        }
    }

    /// The longest time for which a living instance has not known whether what it holds is current.
    pub(crate) fn oldest(&self) -> Duration {
        let living = (0..self.states.len()).filter(|i| self.states[*i] != State::Silent);
        let ages = living.map(|i| self.now.since(self.current[i]));
        ages.max().unwrap_or_default()
    }
}
