//! Upstreams that differ in speed and announce their load, bursts of a second workspace, and upstreams that restart in them.

use std::{
    collections::HashMap,
    ops::Range,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tc_platform_adapter::outside::{
    ImpossibleLoad, add_workspace, impossible_load_header, load_header, set_priority,
};
use tokio::time::{Instant, sleep};

use super::{
    OfferedLoad,
    answers::Pace,
    callers::{Calling, KEY, KINDS, call_until},
    drive::Soak,
    plan::{CALM_START, Fault, Plan, Planned},
    shares::{Burst, SETTLE_TIME},
    upstreams::{STAGE, SoakUpstream, number_of},
};

/// The key of the workspace that sends bursts.
pub(super) const BURST_KEY: &str = "key-of-bursts";
/// Callers of a burst for each usual caller.
pub(super) const BURST_FACTOR: usize = 8;
/// Number of the first caller of a burst, which no usual caller has.
const FIRST_BURST_CALLER: u64 = 1_000_000;
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(200);

/// Mixed into the seed, so that adding hard load leaves the other faults unchanged.
const HARD_LOAD: u64 = 0x4a2d;
const BURST_MS: Range<u64> = 1_000..2_500;
const BURST_PAUSE_MS: Range<u64> = 500..3_000;
/// Burst after the last fault, which nothing else impairs.
const LAST_BURST: Duration = Duration::from_millis(1_800);
const RESTARTS_PER_BURST: Range<u32> = 1..3;
const ANNOUNCED_MS: Range<u64> = 200..2_000;
const LONGEST_ANNOUNCEMENT_PAUSE_MS: u64 = 400;
/// Momentary slowdown, in percent of the usual time.
const SLOWED_PERCENT: Range<u32> = 110..400;
/// Lasting speeds of upstreams by their numbers, as times of work in percent.
const LASTING_PERCENT: [u32; 3] = [100, 130, 160];
const IMPOSSIBLE_LOADS: [ImpossibleLoad; 3] = [
    ImpossibleLoad::ZeroSlots,
    ImpossibleLoad::Huge,
    ImpossibleLoad::NotNumbers,
];

impl Plan {
    /// Adds bursts in which upstreams restart, momentary slowdowns and impossible figures of load; the same seed adds the
    /// same ones.
    pub(super) fn add_hard_load(&mut self) {
        self.load = OfferedLoad::Hard;
        let mut rng = SmallRng::seed_from_u64(self.seed ^ HARD_LOAD);
        self.add_bursts(&mut rng);
        self.add_announcements(&mut rng);
        self.faults.sort_by_key(|planned| planned.at);
    }

    fn add_bursts(&mut self, rng: &mut SmallRng) {
        let mut at = CALM_START;
        loop {
            at += Duration::from_millis(rng.random_range(BURST_PAUSE_MS));
            let lasts = Duration::from_millis(rng.random_range(BURST_MS));
            if at + lasts >= self.length {
                break;
            }
            let fault = Fault::Burst;
            self.faults.push(Planned { at, lasts, fault });
            for _ in 0..rng.random_range(RESTARTS_PER_BURST) {
                let fault = Fault::RestartUpstream(rng.random_range(0..3 * self.upstreams));
                let at = at + lasts.mul_f64(rng.random_range(0.0..1.0));
                let lasts = Duration::ZERO;
                self.faults.push(Planned { at, lasts, fault });
            }
            at += lasts;
        }
    }

    fn add_announcements(&mut self, rng: &mut SmallRng) {
        let mut at = CALM_START;
        loop {
            at += Duration::from_millis(rng.random_range(1..LONGEST_ANNOUNCEMENT_PAUSE_MS));
            let lasts = Duration::from_millis(rng.random_range(ANNOUNCED_MS));
            if at + lasts >= self.length {
                break;
            }
            let upstream = rng.random_range(0..2 * self.upstreams);
            let fault = if rng.random_range(0..3) == 0 {
                let load = IMPOSSIBLE_LOADS[rng.random_range(0..IMPOSSIBLE_LOADS.len())];
                Fault::AnnounceImpossible(upstream, load)
            } else {
                Fault::SlowDown(upstream, rng.random_range(SLOWED_PERCENT))
            };
            self.faults.push(Planned { at, lasts, fault });
        }
    }
}

/// Announced loads of upstreams, and the time that their work takes.
#[derive(Default)]
pub(super) struct AnnouncedLoads {
    is_active: bool,
    slowed: Mutex<HashMap<String, (u32, Instant)>>,
    impossible: Mutex<HashMap<String, (ImpossibleLoad, Instant)>>,
    /// Announced by all upstreams.
    everywhere: Mutex<Option<ImpossibleLoad>>,
}

impl AnnouncedLoads {
    pub(super) fn new(plan: &Plan) -> Self {
        Self {
            is_active: plan.load == OfferedLoad::Hard,
            ..Self::default()
        }
    }

    /// Returns the header that an upstream's answers have now, if it announces its load.
    pub(super) fn header(&self, upstream: &str) -> String {
        if !self.is_active {
            return String::new();
        }
        let everywhere = *lock(&self.everywhere);
        let load = everywhere.or_else(|| current(&self.impossible, upstream));
        load.map_or_else(
            || load_header(self.momentary_percent(upstream)),
            impossible_load_header,
        )
    }

    /// Returns the pace of an upstream, if it differs from that of others.
    pub(super) fn pace(&self, upstream: &str) -> Option<Pace> {
        let percent = self.lasting_percent(upstream) * self.momentary_percent(upstream) / 100;
        self.is_active.then_some(Pace::Percent(percent))
    }

    /// Returns the lasting time of an upstream's work, in percent of the usual time.
    pub(super) fn lasting_percent(&self, upstream: &str) -> u32 {
        if self.is_active {
            LASTING_PERCENT[number_of(upstream) % LASTING_PERCENT.len()]
        } else {
            100
        }
    }

    fn momentary_percent(&self, upstream: &str) -> u32 {
        current(&self.slowed, upstream).unwrap_or(100)
    }
}

fn current<T: Copy>(states: &Mutex<HashMap<String, (T, Instant)>>, upstream: &str) -> Option<T> {
    let (state, until) = lock(states).get(upstream).copied()?;
    (Instant::now() < until).then_some(state)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Soak {
    /// Adds the workspace that sends bursts to a configuration, and a second priority among routes of each service.
    pub(super) fn add_ranks(&self, config: &mut serde_json::Value) {
        if self.load != OfferedLoad::Hard {
            return;
        }
        add_workspace(config, "bursts", BURST_KEY);
        for kind in KINDS.iter().filter(|kind| !kind.repeat.allows_retry()) {
            set_priority(config, kind.route, 1);
        }
    }

    /// Returns the keys of all workspaces.
    pub(super) fn keys(&self) -> &'static [&'static str] {
        if self.load == OfferedLoad::Hard {
            &[KEY, BURST_KEY]
        } else {
            &[KEY]
        }
    }

    /// Begins a fault of the hard load; other faults are none of it.
    pub(super) fn begin_hard_load(&mut self, fault: Fault, until: Instant) {
        match fault {
            Fault::Burst => self.begin_burst(until),
            Fault::RestartUpstream(number) => self.end_upstream(number),
            Fault::SlowDown(number, percent) => self.slow_down(number, percent, until),
            Fault::AnnounceImpossible(number, load) => {
                self.announce_impossible(number, load, until);
            }
            _ => {}
        }
    }

    /// Has the second workspace send many times the usual load until `until`.
    fn begin_burst(&mut self, until: Instant) {
        let from = Instant::now();
        let calling = Calling {
            seed: self.seed,
            key: BURST_KEY,
            pause_after_refusal: PAUSE_AFTER_REFUSAL,
            instances: self.instances.iter().map(|i| i.callers).collect(),
            kinds: self.kinds(),
            deadline: self.deadline(),
            end: until,
            tellings: self.tellings.clone(),
        };
        let first = FIRST_BURST_CALLER + (self.bursts.len() * self.burst_callers) as u64;
        for number in 0..self.burst_callers as u64 {
            self.bursting
                .spawn(call_until(first + number, calling.clone()));
        }
        self.bursts.push(Burst { from, until });
    }

    /// Begins a burst once the last fault is over.
    pub(super) async fn begin_last_burst(&mut self) {
        if self.load == OfferedLoad::Hard {
            sleep(SETTLE_TIME).await;
            self.note("the last burst begins");
            self.begin_burst(Instant::now() + LAST_BURST);
        }
    }

    /// Ends an upstream with all that it holds; its successor starts a moment later.
    fn end_upstream(&mut self, number: usize) {
        let is_leaving =
            |upstream: &&SoakUpstream| self.leaving.iter().any(|(_, name)| *name == upstream.name);
        let present: Vec<&SoakUpstream> =
            self.upstreams.iter().filter(|u| !is_leaving(u)).collect();
        if present.is_empty() {
            return;
        }
        let upstream = present[number % present.len()];
        upstream.lose_results(&self.seen);
        self.seen.end(&upstream.name);
    }

    fn slow_down(&mut self, number: usize, percent: u32, until: Instant) {
        if let Some(name) = self.announcing(number) {
            lock(&self.seen.loads.slowed).insert(name, (percent, until));
        }
    }

    fn announce_impossible(&mut self, number: usize, load: ImpossibleLoad, until: Instant) {
        if let Some(name) = self.announcing(number) {
            lock(&self.seen.loads.impossible).insert(name, (load, until));
        }
    }

    /// Has all upstreams announce an impossible load from now on, which must not keep requests from being served.
    pub(super) fn announce_impossible_everywhere(&mut self) {
        if self.load == OfferedLoad::Hard {
            let load = IMPOSSIBLE_LOADS[(self.seed % IMPOSSIBLE_LOADS.len() as u64) as usize];
            *lock(&self.seen.loads.everywhere) = Some(load);
            self.note(&format!("all upstreams announce {load:?}"));
        }
    }

    /// Returns the name of one of the upstreams that announce their load.
    fn announcing(&self, number: usize) -> Option<String> {
        let announcing = self.upstreams.iter().filter(|u| u.service != STAGE);
        let names: Vec<&String> = announcing.map(|upstream| &upstream.name).collect();
        let index = number.checked_rem(names.len())?;
        Some(names[index].clone())
    }
}
