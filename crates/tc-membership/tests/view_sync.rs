//! Instances that start together come to know each other, and agree on who holds a role.

mod support;

use std::{
    collections::{BTreeSet, HashSet},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use support::{Net, id};
use tc_membership::{ComparisonOutcome, MembershipConfig, ViewSync, home_of, store_watchers};
use tc_protocol::{InstanceId, Member, MonoTime};

/// How long the processes of a fleet take to start after each other.
const STARTS_WITHIN: Duration = Duration::from_millis(300);
/// Instances that newcomers are introduced at.
const SEEDS: usize = 3;
const STEP: Duration = Duration::from_millis(10);

/// A fleet that starts at once; each instance is introduced once, by a seed that knows those that came before.
struct Start {
    net: Net,
    rng: SmallRng,
    /// When each is introduced.
    introductions: Vec<Option<MonoTime>>,
    /// When each compares lists next.
    syncs: Vec<ViewSync>,
}

impl Start {
    fn new(instances: usize, seed: u64) -> Self {
        let net = Net::new(instances, MembershipConfig::default(), seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut at = || net.now.after(STARTS_WITHIN.mul_f64(rng.random()));
        let introductions: Vec<_> = (0..instances).map(|_| Some(at())).collect();
        let syncs = introductions.iter().flatten();
        let syncs = syncs.map(|at| ViewSync::new(*at, 0.5)).collect();
        Self {
            net,
            rng,
            introductions,
            syncs,
        }
    }

    /// Lets time pass; `compares` says whether lists are compared.
    fn run(&mut self, time: Duration, compares: bool) {
        let end = self.net.now.after(time);
        while self.net.now < end {
            self.net.run(STEP, |_, _, _| {});
            for index in 0..self.syncs.len() {
                self.introduce(index);
                if compares && self.syncs[index].next_comparison() <= self.net.now {
                    self.compare(index);
                }
            }
        }
    }

    fn introduce(&mut self, index: usize) {
        let due = self.introductions[index].take_if(|at| *at <= self.net.now);
        if due.is_some() {
            let seeds: Vec<_> = (0..SEEDS).filter(|seed| *seed != index).collect();
            let seed = self.rng.random_range(0..seeds.len());
            self.exchange(index, seeds[seed]);
        }
    }

    fn compare(&mut self, index: usize) {
        let members = self.net.nodes[index].machine.members();
        let is_other = |m: &&Member| m.id != id(index);
        let mut others: Vec<&Member> = members.iter().filter(is_other).collect();
        let few: Vec<&Member> = store_watchers(&members);
        let few: Vec<&Member> = few.into_iter().filter(is_other).collect();
        if self.rng.random() && !few.is_empty() {
            others = few;
        }
        let outcome = if others.is_empty() {
            ComparisonOutcome::NoAnswer
        } else {
            let other = &others[self.rng.random_range(0..others.len())].id;
            let other = (0..self.syncs.len()).find(|i| id(*i) == *other);
            self.exchange(index, other.expect("only members of the test are known"))
        };
        let (now, chance) = (self.net.now, self.rng.random());
        self.syncs[index].record(now, outcome, chance);
    }

    fn exchange(&mut self, asker: usize, other: usize) -> ComparisonOutcome {
        let now = self.net.now;
        let view = self.net.nodes[asker].machine.view_digest();
        let known: HashSet<u32> = self.net.nodes[asker]
            .machine
            .member_hashes()
            .into_iter()
            .collect();
        let own: Vec<_> = self.net.nodes[asker]
            .machine
            .records()
            .into_iter()
            .filter(|record| record.member.id == id(asker))
            .collect();
        let other = &mut self.net.nodes[other].machine;
        other.merge_records(now, &own);
        if other.view_digest() == view {
            return ComparisonOutcome::Same;
        }
        let records = other.missing_records(&known);
        if self.net.nodes[asker].machine.merge_records(now, &records) {
            ComparisonOutcome::Updated
        } else {
            ComparisonOutcome::Unchanged
        }
    }

    /// Instances that are held for the home of some role by at least one other.
    fn homes(&self, role: &str) -> BTreeSet<InstanceId> {
        let homes = self.net.nodes.iter().map(|node| {
            let members = node.machine.members();
            home_of(role, &members, None, None).map(|home| home.id.clone())
        });
        homes.flatten().collect()
    }

    fn least_known(&self) -> usize {
        let known = self.net.nodes.iter().map(|n| n.machine.members().len());
        known.min().unwrap_or_default()
    }
}

/// Symptom: for a whole day every third request finds the results of its stages gone, on one day in four. Sequence: 80
/// instances start within 0.3 s, each is introduced once by one of three seeds. Cause: one of them was told of 25 others,
/// heard of one more a second, and took another instance for the home of a service than everybody else did.
#[test]
fn instances_that_start_together_agree_on_homes_within_seconds() {
    let runs = (0..5).map(|seed| (80, 2, seed));
    for (instances, seconds, seed) in runs.chain([(8, 1, 7), (300, 3, 7)]) {
        let mut start = Start::new(instances, seed);
        start.run(STARTS_WITHIN + Duration::from_secs(seconds), true);
        assert_eq!(
            start.least_known(),
            instances,
            "of {instances}, seed {seed}"
        );
        for role in ["a", "b", "c", "d"] {
            assert_eq!(
                start.homes(role).len(),
                1,
                "of {instances}, seed {seed}, role {role}"
            );
        }
    }
}

/// The load of the test above is one in which probes alone do not suffice; without that it would show nothing.
#[test]
fn probes_alone_leave_some_instances_ignorant() {
    let mut start = Start::new(80, 7);
    start.run(STARTS_WITHIN + Duration::from_secs(2), false);
    assert!(start.least_known() < 80);
}

/// Comparing costs little once lists agree.
#[test]
fn lists_that_agree_are_compared_every_few_seconds() {
    let mut now = MonoTime::from_millis(1);
    let mut sync = ViewSync::new(now, 0.5);
    while !sync.is_settled() {
        now = sync.next_comparison();
        sync.record(now, ComparisonOutcome::Same, 0.5);
    }
    let mut comparisons = 0;
    let end = now.after(Duration::from_mins(1));
    while now < end {
        now = sync.next_comparison();
        sync.record(now, ComparisonOutcome::Same, 0.5);
        comparisons += 1;
    }
    assert!(comparisons <= 20, "{comparisons} in a minute");
}
