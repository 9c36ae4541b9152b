//! Load of an engine that its home did not assign, from what the engine announces.

use std::time::Duration;

use tc_protocol::{MonoTime, routing::EngineLoad};

use crate::{load_estimate::MAX_SLOTS, slowdown::faded};

/// Half-life of an announcement in usual times of a run. Other senders replace runs that end, and an engine that is
/// avoided announces nothing more.
const HALF_LIFE_RUNS: f64 = 4.0;
/// Age of an announcement in half-lives from which on it says nothing.
const MAX_AGE: f64 = 8.0;

/// The last announcement of an engine, less the runs that its home had assigned by then. It fades.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnnouncedLoad {
    last: Option<Announced>,
    /// Whether the last announcement had a usable number of slots and requests that no engine can have.
    has_invalid_requests: bool,
}

/// Evidence of an announcement about its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Announcement {
    FreeSlot,
    Full,
    /// No engine can have these figures.
    Unusable {
        /// Whether its number of requests is the fault, and was none of the announcement before.
        requests_became_invalid: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    other_runs: u32,
    slots: u32,
    at: MonoTime,
}

/// Returns the requests at an engine, or `None` for figures that no engine can have.
fn requests(load: &EngineLoad) -> Option<u32> {
    let is_possible = load.running <= load.slots && load.waiting <= MAX_SLOTS;
    (has_valid_slots(load) && is_possible).then(|| load.running + load.waiting)
}

fn has_valid_slots(load: &EngineLoad) -> bool {
    (1..=MAX_SLOTS).contains(&load.slots)
}

impl AnnouncedLoad {
    /// Records an announcement made at a time at which the home had assigned `own_runs`. Figures that cannot be used leave
    /// the load that the home assigned.
    pub(super) fn record(
        &mut self,
        at: MonoTime,
        load: &EngineLoad,
        own_runs: u32,
    ) -> Announcement {
        let requests = requests(load);
        let is_invalid = requests.is_none() && has_valid_slots(load);
        let was_invalid = std::mem::replace(&mut self.has_invalid_requests, is_invalid);
        let Some(requests) = requests else {
            self.last = None;
            return Announcement::Unusable {
                requests_became_invalid: is_invalid && !was_invalid,
            };
        };
        self.last = Some(Announced {
            other_runs: requests.saturating_sub(own_runs),
            slots: load.slots,
            at,
        });
        if requests < load.slots {
            Announcement::FreeSlot
        } else {
            Announcement::Full
        }
    }

    pub(super) const fn is_known(&self) -> bool {
        self.last.is_some()
    }

    fn weight(announced: &Announced, now: MonoTime, run_time: Duration) -> f64 {
        let age = now.since(announced.at);
        let half_life = run_time.mul_f64(HALF_LIFE_RUNS);
        if age > half_life.mul_f64(MAX_AGE) {
            return 0.0;
        }
        faded(age, half_life)
    }

    /// Returns the expected number of runs of other senders.
    pub(super) fn other_runs(&self, now: MonoTime, run_time: Duration) -> f64 {
        self.last.as_ref().map_or(0.0, |announced| {
            f64::from(announced.other_runs) * Self::weight(announced, now, run_time)
        })
    }

    /// Returns the announced number of slots, at most the registered one; that one if the announcement is too old.
    pub(super) fn slots(&self, now: MonoTime, run_time: Duration, registered: u32) -> u32 {
        let announced = self.last.as_ref();
        announced
            .filter(|announced| Self::weight(announced, now, run_time) > 0.0)
            .map_or(registered, |announced| announced.slots.min(registered))
    }
}
