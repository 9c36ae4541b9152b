//! Paces at the home of a service, which sees all requests.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use tc_protocol::{MonoTime, UpstreamId};

use super::{
    binds,
    window::{Evidence, PaceCause, PaceChange, PaceEvent, PacedWindow, initial_window},
};

/// Consecutive failures after which an upstream counts as recovering.
const MIN_FAILURES: u32 = 2;
/// Maximum number of events that wait to be read.
const MAX_EVENTS: usize = 64;

/// Windows of the paced upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct HomePaces {
    is_enabled: bool,
    windows: HashMap<UpstreamId, PacedWindow>,
    /// Failures since the last answer, and when the last one happened.
    failures: HashMap<UpstreamId, (u32, MonoTime)>,
    /// Upstreams for which it was decided whether they are new.
    judged: HashSet<UpstreamId>,
    events: Vec<PaceEvent>,
}

impl HomePaces {
    /// Switches pacing on or off; off drops all windows.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        if !is_enabled {
            *self = Self::default();
        }
        self.is_enabled = is_enabled;
    }

    /// Drops upstreams that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.windows.retain(|id, _| is_registered(id));
        self.failures.retain(|id, _| is_registered(id));
        self.judged.retain(is_registered);
    }

    /// Begins the paces of upstreams that are listed for the first time and are new, unless most are.
    pub fn begin_new(
        &mut self,
        now: MonoTime,
        slots: u32,
        listed: &[&UpstreamId],
        is_new: impl Fn(&UpstreamId) -> bool,
    ) {
        if !self.is_enabled {
            return;
        }
        let new = listed.iter().filter(|id| is_new(id)).count();
        for id in listed {
            if self.judged.insert((*id).clone()) && is_new(id) && binds(new, listed.len()) {
                self.begin(now, id, slots, PaceCause::New);
            }
        }
    }

    /// Returns true if the paces limit the choice among `all` upstreams of the service.
    #[must_use]
    pub fn binds(&self, all: usize) -> bool {
        !self.windows.is_empty() && binds(self.windows.len(), all)
    }

    /// Returns true if the upstream is paced.
    #[must_use]
    pub fn is_paced(&self, id: &UpstreamId) -> bool {
        self.windows.contains_key(id)
    }

    /// Returns the window of an upstream; `None` if it is not paced.
    #[must_use]
    pub fn window(&self, id: &UpstreamId) -> Option<u32> {
        self.windows.get(id).map(PacedWindow::window)
    }

    /// Returns true if another request is within the pace of the upstream.
    #[must_use]
    pub fn allows(&self, id: &UpstreamId, in_progress: u32) -> bool {
        self.window(id).is_none_or(|window| in_progress < window)
    }

    /// Records an answer, with its expected time if that is known and the requests in progress including it.
    pub fn record_answer(
        &mut self,
        now: MonoTime,
        id: &UpstreamId,
        took: Duration,
        expected: Option<Duration>,
        in_progress: u32,
        peer_load: f64,
    ) {
        self.failures.remove(id);
        let evidence = Evidence::of_answer(took, expected);
        self.record(now, id, evidence, in_progress, peer_load);
    }

    /// Returns true if a request that was sent at this time failed together with an earlier one, as when a crash breaks
    /// all requests in progress.
    #[must_use]
    pub fn is_same_failure(&self, id: &UpstreamId, sent_at: MonoTime) -> bool {
        let last = self.failures.get(id);
        last.is_some_and(|(_, at)| sent_at <= *at)
    }

    /// Records a failure, with the requests that are still in progress.
    ///
    /// An upstream that refuses requests because it is full has others in progress and is not paced.
    pub fn record_failure(&mut self, now: MonoTime, id: &UpstreamId, slots: u32, in_progress: u32) {
        let (failures, last_at) = self.failures.entry(id.clone()).or_default();
        *failures += 1;
        *last_at = now;
        if !self.is_enabled {
            return;
        }
        let is_down = *failures >= MIN_FAILURES && f64::from(in_progress) < initial_window(slots);
        if self.is_paced(id) {
            self.record(now, id, Evidence::Failed, in_progress + 1, f64::MAX);
        } else if is_down {
            self.begin(now, id, slots, PaceCause::Failures);
        }
    }

    /// Returns the number of paced upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.windows.len()
    }

    /// Returns true if no upstream is paced.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    /// Removes and returns the changes since the last call, at most 64.
    pub fn take_events(&mut self) -> Vec<PaceEvent> {
        std::mem::take(&mut self.events)
    }

    fn begin(&mut self, now: MonoTime, id: &UpstreamId, slots: u32, cause: PaceCause) {
        let pace = PacedWindow::new(now, slots);
        self.push(id, PaceChange::Begun(cause, pace.window()));
        self.windows.insert(id.clone(), pace);
    }

    fn record(
        &mut self,
        now: MonoTime,
        id: &UpstreamId,
        evidence: Evidence,
        in_progress: u32,
        peer_load: f64,
    ) {
        let Some(pace) = self.windows.get_mut(id) else {
            return;
        };
        let Some(change) = pace.record(now, evidence, in_progress, peer_load) else {
            return;
        };
        if matches!(change, PaceChange::Ended(..)) {
            self.windows.remove(id);
        }
        self.push(id, change);
    }

    fn push(&mut self, id: &UpstreamId, change: PaceChange) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(PaceEvent {
                upstream: id.clone(),
                change,
            });
        }
    }
}
