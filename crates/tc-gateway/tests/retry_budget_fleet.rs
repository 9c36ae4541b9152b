//! The retry budgets of all processes of a fleet, through losses, restarts, cuts, freezes and growth.
//!
//! Each process uses the two modules that a gateway uses. The test counts what arrives at the upstreams, as the
//! fleet-wide limit does.

use std::{ops::Range, time::Duration};

use rand::{Rng as _, RngExt as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use tc_membership::{FleetShare, FleetSize};
use tc_policy::{RetryBudget, RetryLimits, RetryPermit};
use tc_protocol::{Incarnation, Member, MemberState, MonoTime};

const RATIO: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
/// Longest time from a caller's send until the request is counted.
const MAX_CALLER_MS: u64 = 300;
/// Longest time from the decision on a retry until it arrives.
const MAX_SEND_MS: u64 = 600;
/// Longest time until a start or a loss is known to all that can be reached.
const MAX_NEWS_MS: u64 = 1_000;

/// Time until a new process has found all others.
const MAX_DISCOVERY_MS: u64 = 2_000;
/// Retries that a process wants in one step, more than any limit allows.
const MAX_RETRIES_PER_STEP: usize = 500;

struct Process {
    budget: RetryBudget,
    share: FleetShare,
    frozen_until: u64,
}

struct Place {
    member: Member,
    process: Option<Process>,
    /// When the process started or is to start.
    started: u64,
    /// When the others know of the start.
    known: u64,
    side: usize,
}

struct Fleet {
    rng: SmallRng,
    now: u64,
    step_ms: u64,
    extra: f64,
    places: Vec<Place>,
    /// Time until which views may still change.
    views_change_until: u64,
    heals_at: u64,
    /// When each request was sent by its caller.
    requests: Vec<u64>,
    /// When each retry arrived.
    retries: Vec<u64>,
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn member(number: usize) -> Member {
    let [.., high, low] = (number as u32).to_be_bytes();
    Member {
        id: format!("i-{number}").into(),
        incarnation: Incarnation(1),
        caller_address: ([10, 0, high, low], 80).into(),
        fleet_address: ([10, 0, high, low], 81).into(),
        failure_domain: "a".into(),
        region: "r".into(),
        state: MemberState::Alive,
        strength: Member::default_strength(),
    }
}

impl Fleet {
    fn new(seed: u64, size: usize, extra: f64) -> Self {
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 1_000,
            step_ms: if size > 100 { 500 } else { 100 },
            extra,
            places: Vec::new(),
            views_change_until: 0,
            heals_at: 0,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for _ in 0..size {
            fleet.join();
        }
        fleet
    }

    fn join(&mut self) {
        self.places.push(Place {
            member: member(self.places.len()),
            process: None,
            started: 0,
            known: 0,
            side: 0,
        });
        self.schedule_start(self.places.len() - 1, 0..300);
    }

    fn schedule_start(&mut self, place: usize, wait: Range<u64>) {
        let started = self.now + self.rng.random_range(wait);
        let known = started + self.rng.random_range(0..MAX_NEWS_MS);
        let place = &mut self.places[place];
        (place.process, place.started, place.known) = (None, started, known);
        self.views_change_until = self.views_change_until.max(known + MAX_DISCOVERY_MS);
    }

    fn share_of_places(&mut self, share: f64) -> Vec<usize> {
        let count = self.places.len();
        (0..count).filter(|_| self.rng.random_bool(share)).collect()
    }

    fn limits(&self, part: f64) -> RetryLimits {
        RetryLimits {
            ratio: RATIO,
            extra: self.extra * part,
            window: Duration::from_millis(WINDOW_MS),
        }
    }

    /// A loss, a freeze, a cut or new instances, by chance.
    fn disturb(&mut self) {
        let share = [0.1, 0.5, 1.0][self.rng.random_range(0..3)];
        match self.rng.random_range(0..10) {
            0..5 => {
                for place in self.share_of_places(share) {
                    self.schedule_start(place, 200..2_000);
                }
            }
            5..7 => {
                for place in self.share_of_places(share) {
                    let until = self.now + self.rng.random_range(1_000..20_000);
                    if let Some(process) = &mut self.places[place].process {
                        process.frozen_until = until;
                    }
                }
            }
            7..9 => {
                for place in self.share_of_places(0.5) {
                    self.places[place].side = 1;
                }
                self.heals_at = self.now + self.rng.random_range(1_000..60_000);
                self.views_change_until = self.heals_at + MAX_NEWS_MS;
            }
            _ => self.join(),
        }
    }

    fn step(&mut self, demand: f64, wants_retries: bool) {
        self.now += self.step_ms;
        if self.now >= self.heals_at {
            self.places.iter_mut().for_each(|place| place.side = 0);
        }
        self.start_processes();
        if self.now <= self.views_change_until + self.step_ms {
            self.update_views();
        }
        self.send(demand, wants_retries);
    }

    /// Plays until a time without requests.
    fn run_until(&mut self, end: u64, wants_retries: bool) {
        while self.now < end {
            self.step(0.0, wants_retries);
        }
    }

    /// Cuts the first half of the places off from the others.
    fn cut_in_halves_until(&mut self, end: u64) {
        let half = self.places.len() / 2;
        for place in self.places.iter_mut().skip(half) {
            place.side = 1;
        }
        (self.heals_at, self.views_change_until) = (end, end);
    }

    fn start_processes(&mut self) {
        let seeds = self.places.iter().take(3);
        let seeds: Vec<_> = seeds.map(|p| p.member.fleet_address).collect();
        let limits = self.limits(0.0);
        let now = self.now;
        for place in &mut self.places {
            if place.process.is_none() && place.started <= now {
                let me = place.member.fleet_address;
                place.process = Some(Process {
                    budget: RetryBudget::new(limits, at(now)),
                    share: FleetShare::new(at(now), me, &seeds),
                    frozen_until: 0,
                });
            }
        }
    }

    fn update_views(&mut self) {
        let now = self.now;
        for side in 0..2 {
            let visible = |p: &&Place| p.side == side && p.process.is_some() && p.known <= now;
            let members = self.places.iter().filter(visible);
            let members: Vec<Member> = members.map(|p| p.member.clone()).collect();
            let reports = self.places.iter().filter(visible);
            let reports = reports.filter_map(|p| p.process.as_ref().map(|p| p.share.size(at(now))));
            let reports: Vec<FleetSize> = reports.collect();
            for place in self.places.iter_mut().filter(|p| p.side == side) {
                if let Some(process) = &mut place.process
                    && process.frozen_until <= now
                {
                    // A new process finds the others one after another.
                    let age = now.saturating_sub(place.started);
                    let found = 2 + members.len() * age as usize / MAX_DISCOVERY_MS as usize;
                    let found = found.min(members.len());
                    process.share.observe(at(now), &members[..found]);
                    if let Some(reported) = reports.choose(&mut self.rng) {
                        process.share.record_report(at(now), *reported);
                    }
                }
            }
        }
    }

    /// Requests to all processes that run, and as many retries as they allow.
    fn send(&mut self, demand: f64, wants_retries: bool) {
        for number in 0..self.places.len() {
            let limits = |part| self.limits(part);
            let Some(process) = &self.places[number].process else {
                continue;
            };
            if process.frozen_until > self.now {
                continue;
            }
            let limits = limits(process.share.part(at(self.now)));
            let process = self.places[number].process.as_mut().expect("it runs");
            process.budget.set_limits(at(self.now), limits);
            let mut expected = demand;
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    process.budget.record_request(at(self.now));
                    let sent = self.now - self.rng.random_range(0..MAX_CALLER_MS);
                    self.requests.push(sent);
                }
                expected -= 1.0;
            }
            let most = if wants_retries {
                MAX_RETRIES_PER_STEP
            } else {
                0
            };
            for _ in 0..most {
                if process.budget.try_spend(at(self.now)).is_none() {
                    break;
                }
                let arrives = self.now + self.rng.random_range(0..MAX_SEND_MS);
                self.retries.push(arrives);
            }
        }
    }

    /// Checks the fleet-wide limit in every window; returns the largest part of it that was used.
    fn check(&mut self) -> f64 {
        self.requests.sort_unstable();
        self.retries.sort_unstable();
        let count = |times: &[u64], from: u64, to: u64| {
            times.partition_point(|t| *t < to) - times.partition_point(|t| *t < from)
        };
        let mut most_used: f64 = 0.0;
        for start in self.retries.iter().copied() {
            let half = WINDOW_MS / 2;
            let windows = [
                start,
                start.saturating_sub(half),
                start.saturating_sub(2 * half),
            ];
            let requests = windows.map(|from| count(&self.requests, from, from + WINDOW_MS));
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = RATIO * requests as f64 + self.extra;
            let retries = count(&self.retries, start, start + WINDOW_MS) as f64;
            assert!(
                retries <= allowed,
                "{retries} retries in the window from {start} ms, {allowed} allowed for {requests} requests"
            );
            most_used = most_used.max(retries / allowed);
        }
        most_used
    }
}

/// Plays a fleet for `seconds`; returns the largest part of the limit that was used.
fn play(seed: u64, size: usize, extra: f64, seconds: u64, disturbances: u64) -> f64 {
    let mut fleet = Fleet::new(seed, size, extra);
    let end = seconds * 1_000;
    let mut next_disturbance = 15_000;
    let mut next_phase = 0;
    let (mut demand, mut wants_retries) = (0.0, false);
    while fleet.now < end {
        if fleet.now >= next_phase {
            // Allowances are saved up in phases without retries.
            next_phase += [500, 2_000, 12_000][fleet.rng.random_range(0..3)];
            demand = [0.0, 0.1, 0.4, 2.0][fleet.rng.random_range(0..4)];
            wants_retries = !wants_retries;
        }
        if fleet.now >= next_disturbance {
            fleet.disturb();
            next_disturbance += fleet.rng.next_u64() % (2 * end / disturbances) + 1;
        }
        fleet.step(demand, wants_retries);
    }
    fleet.check()
}

/// Guards against losses, restarts, cuts and freezes that let the instances make more retries in total than the
/// fleet-wide budget allows.
#[test]
fn retries_of_all_processes_stay_within_the_budget_of_the_fleet() {
    let most_used = (0..60).map(|seed| play(seed, 8, 56.0, 90, 60));
    let most_used = most_used.fold(0.0, f64::max);
    assert!(most_used > 0.5, "the budget is used: {most_used}");
    for seed in 0..4 {
        play(seed, 80, 200.0, 60, 30);
    }
}

/// Guards against a budget that holds in a small fleet only.
#[test]
fn retries_stay_within_the_budget_of_a_fleet_of_a_thousand() {
    play(0, 985, 1_040.0, 40, 3);
}

/// Guards against two sides of a cut that each use the whole fixed allowance.
#[test]
fn both_sides_of_a_cut_share_the_fixed_allowance() {
    let mut fleet = Fleet::new(0, 8, 56.0);
    fleet.run_until(30_000, false);
    fleet.cut_in_halves_until(90_000);
    fleet.run_until(70_000, false);
    fleet.run_until(80_000, true);
    let most_used = fleet.check();
    assert!(most_used > 0.8, "the budget is used: {most_used}");
}

/// Guards against a process that starts during a long partition, when the members on the other side are forgotten, and
/// takes a larger part than those that have seen them.
#[test]
fn restarts_during_a_long_cut_do_not_enlarge_the_fixed_allowance() {
    let mut fleet = Fleet::new(0, 8, 56.0);
    fleet.run_until(30_000, false);
    fleet.cut_in_halves_until(300_000);
    fleet.run_until(100_000, false);
    // One process on each side goes on.
    for place in [1, 2, 3, 5, 6, 7] {
        fleet.schedule_start(place, 200..2_000);
    }
    fleet.run_until(120_000, false);
    fleet.run_until(140_000, true);
    let most_used = fleet.check();
    assert!(most_used > 0.5, "the budget is used: {most_used}");
}

/// Guards against processes that start together and use the parts of those that they have not found yet.
#[test]
fn start_of_a_whole_fleet_stays_within_the_fixed_allowance() {
    let mut fleet = Fleet::new(0, 100, 1_000.0);
    for _ in 0..5 {
        fleet.run_until(fleet.now + 2_000, true);
        for place in 0..fleet.places.len() {
            fleet.schedule_start(place, 200..500);
        }
    }
    fleet.check();
}

/// Guards against retries that are decided one after another and arrive together, as when all wait for the same stage.
#[test]
fn retries_that_are_sent_late_stay_within_the_budget() {
    let mut fleet = Fleet::new(0, 1, 56.0);
    fleet.run_until(30_000, false);
    let mut waiting: Vec<RetryPermit> = Vec::new();
    while fleet.now < 50_000 {
        fleet.now += fleet.step_ms;
        let now = fleet.now;
        let budget = &mut fleet.places[0].process.as_mut().expect("it runs").budget;
        if now.is_multiple_of(4_900) {
            for permit in waiting.drain(..) {
                if permit.is_valid(at(now)) || budget.try_spend(at(now)).is_some() {
                    fleet.retries.push(now);
                }
            }
        }
        waiting.extend(std::iter::from_fn(|| budget.try_spend(at(now))));
    }
    fleet.check();
    assert!(!fleet.retries.is_empty(), "late retries are possible");
}
