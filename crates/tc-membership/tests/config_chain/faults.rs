//! Faults in series that a seed injects into a simulated fleet.

use std::time::Duration;

use rand::RngExt;
use tc_protocol::MonoTime;

use crate::{
    fleet::{Fleet, STEP},
    node::StorePath,
};

/// Mean pause between two faults, each of which concerns a group of instances.
const PAUSE_MS: u64 = 700;
const LASTS_MS: std::ops::Range<u64> = 300..6_000;
/// Time until an instance's list of members shows a fault.
const MEMBERS_LAG_MS: std::ops::Range<u64> = 800..2_500;
/// Shares of the instances that a fault concerns.
const SHARES: [f64; 4] = [0.1, 0.35, 0.6, 0.9];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Store(StorePath),
    Isolated,
    Paused,
    Restarted,
}

const KINDS: [Fault; 6] = [
    Fault::Store(StorePath::Silent),
    Fault::Store(StorePath::Silent),
    Fault::Store(StorePath::DeafWatch),
    Fault::Isolated,
    Fault::Paused,
    Fault::Restarted,
];

/// Something that happens to one instance.
#[derive(Clone, Copy, Debug)]
enum Event {
    StoreAnswers,
    Rejoins,
    /// Its list of members follows what happened.
    MembersChange,
}

/// Injects faults and versions while a fleet runs.
pub(crate) struct Injector {
    next_fault: MonoTime,
    next_version: MonoTime,
    events: Vec<(MonoTime, usize, Event)>,
    faults: Faults,
}

/// The faults that are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Faults {
    /// The store does not answer some instances, or only their lists.
    OfStore,
    /// Also, instances are paused, start again or are cut off from the others.
    All,
}

impl Injector {
    pub(crate) fn new(now: MonoTime, faults: Faults) -> Self {
        Self {
            next_fault: now,
            next_version: now,
            events: Vec::new(),
            faults,
        }
    }

    /// Injects what is due.
    pub(crate) fn inject(&mut self, fleet: &mut Fleet) {
        if fleet.now >= self.next_version {
            fleet.accept_version();
            let wait = fleet.rng.random_range(fleet.shape.version_interval.clone());
            self.next_version = fleet.now.after(wait);
        }
        if fleet.now >= self.next_fault {
            self.begin_fault(fleet);
            let wait = fleet.rng.random_range(1..2 * PAUSE_MS);
            self.next_fault = fleet.now.after(Duration::from_millis(wait));
        }
        let now = fleet.now;
        let (due, later) = self.events.drain(..).partition(|(at, _, _)| *at <= now);
        self.events = later;
        for (_, index, event) in due {
            match event {
                Event::StoreAnswers => fleet.set_store(index, StorePath::Answers),
                Event::Rejoins => fleet.nodes[index].is_isolated = false,
                Event::MembersChange => fleet.update_members(index),
            }
        }
    }

    fn begin_fault(&mut self, fleet: &mut Fleet) {
        let fault = KINDS[fleet.rng.random_range(0..KINDS.len())];
        if self.faults == Faults::OfStore && !matches!(fault, Fault::Store(_)) {
            return;
        }
        let count = fleet.nodes.len();
        let share = SHARES[fleet.rng.random_range(0..SHARES.len())];
        // Those that watch the store are hit as often as all others together.
        let prefers_watchers: bool = fleet.rng.random();
        let watches =
            |fleet: &Fleet, index: usize| fleet.nodes[index].source.should_watch(fleet.now);
        let mut hit: Vec<usize> = (0..count).collect();
        hit.retain(|index| {
            (prefers_watchers && watches(fleet, *index)) || fleet.rng.random::<f64>() < share
        });
        // As many are left as a fleet needs to go on.
        hit.truncate(count - 1);
        for index in hit {
            let lasts = Duration::from_millis(fleet.rng.random_range(LASTS_MS));
            self.hit(fleet, index, fault, lasts);
        }
        if matches!(fault, Fault::Store(_)) {
            return;
        }
        // Lists of members follow at different times, and again when the fault is over.
        for index in 0..count {
            for end in [Duration::ZERO, Duration::from_millis(LASTS_MS.end)] {
                let lag = Duration::from_millis(fleet.rng.random_range(MEMBERS_LAG_MS));
                let at = fleet.now.after(end + lag);
                self.events.push((at, index, Event::MembersChange));
            }
        }
    }

    fn hit(&mut self, fleet: &mut Fleet, index: usize, fault: Fault, lasts: Duration) {
        let ends = fleet.now.after(lasts + STEP);
        match fault {
            Fault::Store(path) => {
                fleet.set_store(index, path);
                self.events.push((ends, index, Event::StoreAnswers));
            }
            Fault::Isolated => {
                fleet.nodes[index].is_isolated = true;
                self.events.push((ends, index, Event::Rejoins));
            }
            Fault::Paused => fleet.pause(index, lasts),
            Fault::Restarted => fleet.restart(index, lasts),
        }
    }
}
