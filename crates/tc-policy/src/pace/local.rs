//! Paces at an instance that sends without a home.

use std::{collections::HashMap, time::Duration};

use tc_protocol::{InstanceId, Member, MemberState, MonoTime, ServiceName, UpstreamId};

use super::{
    arrivals::{Arrivals, SeenUpstream},
    binds,
    share::SharedWindow,
    window::{Evidence, PaceCause, PaceChange, PaceEnd, PaceEvent, initial_window},
};
use crate::rendezvous_score;

/// Consecutive failures after which an upstream counts as recovering.
const MIN_FAILURES: u32 = 2;
/// Time for which an instance holds back after the first failure; it doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Bounds of the longest pause, which is that of few and of many instances.
const MAX_PAUSE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));
/// Requests a second that all instances together lose at most to an upstream that stays down.
const MAX_PROBES_PER_S: f64 = 50.0;
/// Weight of the latest answer in the usual time of a service.
const TIME_WEIGHT: f64 = 0.1;
/// Maximum number of events that wait to be read.
const MAX_EVENTS: usize = 64;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalOutcome {
    /// The time to the first byte of the answer.
    Answered(Duration),
    /// The upstream refused the request as it is full.
    Full,
    /// The upstream broke off or was unreachable.
    Failed,
}

/// The rank of this instance among those that send to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// This instance.
    pub me: &'a InstanceId,
    /// All instances.
    pub members: &'a [Member],
}

impl Sender<'_> {
    /// Returns the longest pause of an instance.
    fn max_pause(&self) -> Duration {
        let alive = self.members.iter();
        let alive = alive.filter(|member| member.state != MemberState::Dead);
        let pause = Duration::from_secs_f64(alive.count() as f64 / MAX_PROBES_PER_S);
        pause.clamp(MAX_PAUSE.0, MAX_PAUSE.1)
    }

    /// Returns the rank and the number of senders. The ranks differ by upstream, so that every upstream is reached
    /// through other instances.
    fn rank(&self, upstream: &UpstreamId) -> (usize, usize) {
        let score =
            |id: &InstanceId| (rendezvous_score(upstream.as_str(), id.as_str()), id.clone());
        let own = score(self.me);
        let alive = self.members.iter();
        let others: Vec<&Member> = alive
            .filter(|member| member.state != MemberState::Dead && member.id != *self.me)
            .collect();
        let rank = others.iter().filter(|member| score(&member.id) > own);
        (rank.count(), others.len() + 1)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    failures: u32,
    pauses: u32,
    /// Time until which the upstream is not expected to serve a request.
    until: MonoTime,
}

/// New and recovering upstreams as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct LocalPaces {
    arrivals: Arrivals,
    windows: HashMap<UpstreamId, SharedWindow>,
    troubles: HashMap<UpstreamId, Trouble>,
    /// Usual milliseconds to the first byte, from upstreams that are not paced.
    usual_ms: HashMap<ServiceName, f64>,
    events: Vec<PaceEvent>,
}

impl LocalPaces {
    /// Sets the registered upstreams. What is known of others is dropped.
    pub fn update(&mut self, now: MonoTime, registered: impl IntoIterator<Item = SeenUpstream>) {
        let new = self.arrivals.update(now, registered);
        let arrivals = &self.arrivals;
        let is_registered = |id: &UpstreamId| arrivals.registered(id).is_some();
        self.windows.retain(|id, _| is_registered(id));
        self.troubles.retain(|id, _| is_registered(id));
        for upstream in new {
            let (all, new) = self.arrivals.count(now, &upstream.service);
            if binds(new, all) {
                self.begin(now, &upstream.id, upstream.slots, PaceCause::New);
            }
        }
    }

    /// Returns true if the upstream registered recently, after the first list.
    #[must_use]
    pub fn is_new(&self, now: MonoTime, id: &UpstreamId) -> bool {
        self.arrivals.is_new(now, id)
    }

    /// Returns true if paces limit the choice among the upstreams of a service.
    #[must_use]
    pub fn binds<'a>(&self, upstreams: impl IntoIterator<Item = &'a UpstreamId>) -> bool {
        if self.windows.is_empty() {
            return false;
        }
        let (mut all, mut paced) = (0, 0);
        for id in upstreams {
            all += 1;
            paced += usize::from(self.windows.contains_key(id));
        }
        paced > 0 && binds(paced, all)
    }

    /// Returns true if the upstream is paced.
    #[must_use]
    pub fn is_paced(&self, id: &UpstreamId) -> bool {
        self.windows.contains_key(id)
    }

    /// Returns true if the upstream has recently failed a request of this instance.
    #[must_use]
    pub fn is_in_trouble(&self, now: MonoTime, id: &UpstreamId) -> bool {
        self.retry_at(id).is_some_and(|at| at > now)
    }

    /// Returns when an upstream that failed is tried again; `None` if it has not failed since its last answer.
    #[must_use]
    pub fn retry_at(&self, id: &UpstreamId) -> Option<MonoTime> {
        self.troubles.get(id).map(|trouble| trouble.until)
    }

    /// Returns true if another request of this instance is within its part of the upstream's window.
    pub fn allows(
        &mut self,
        now: MonoTime,
        sender: Sender<'_>,
        id: &UpstreamId,
        in_progress: u32,
    ) -> bool {
        let Some(window) = self.windows.get_mut(id) else {
            return true;
        };
        let (rank, senders) = sender.rank(id);
        let share = window.share(now, rank, senders);
        if window.has_ended(now) {
            let change = window.ended(now, PaceEnd::AllSlots);
            self.windows.remove(id);
            self.push(id, change);
            return true;
        }
        in_progress < share
    }

    /// Records the outcome of a request of this instance.
    pub fn record(
        &mut self,
        now: MonoTime,
        sender: Sender<'_>,
        id: &UpstreamId,
        outcome: LocalOutcome,
    ) {
        let Some(upstream) = self.arrivals.registered(id) else {
            return;
        };
        let (service, slots) = (&upstream.service, upstream.slots);
        let evidence = match outcome {
            // Times of requests with a home vary with their prompts.
            LocalOutcome::Answered(_) if upstream.has_home => {
                self.troubles.remove(id);
                Evidence::InTime
            }
            LocalOutcome::Answered(took) => {
                self.troubles.remove(id);
                let usual = self.usual_ms.get(service);
                let usual = usual.map(|ms| Duration::from_secs_f64(ms / 1_000.0));
                if !self.windows.contains_key(id) {
                    let ms = took.as_secs_f64() * 1_000.0;
                    let usual = self.usual_ms.entry(service.clone()).or_insert(ms);
                    *usual += TIME_WEIGHT * (ms - *usual);
                }
                Evidence::of_answer(took, usual)
            }
            LocalOutcome::Full => Evidence::Slow,
            LocalOutcome::Failed => {
                if self.record_failure(now, sender.max_pause(), id, slots) {
                    return;
                }
                Evidence::Failed
            }
        };
        self.record_evidence(now, sender, id, evidence);
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

    /// Returns true if a pace begins with this failure.
    fn record_failure(
        &mut self,
        now: MonoTime,
        max_pause: Duration,
        id: &UpstreamId,
        slots: u32,
    ) -> bool {
        let trouble = self.troubles.entry(id.clone()).or_default();
        trouble.failures += 1;
        // Requests that fail during the pause were sent before it.
        if now >= trouble.until {
            let pause = MIN_PAUSE * 2u32.pow(trouble.pauses.min(8));
            trouble.pauses += 1;
            trouble.until = now.after(pause.min(max_pause));
        }
        let begins = trouble.failures >= MIN_FAILURES && !self.windows.contains_key(id);
        if begins {
            self.begin(now, id, slots, PaceCause::Failures);
            self.delay_bound(now, id);
        }
        begins
    }

    /// Lets the window of an upstream grow only after the time in which it is not expected to serve.
    fn delay_bound(&mut self, now: MonoTime, id: &UpstreamId) {
        if let Some(window) = self.windows.get_mut(id)
            && let Some(trouble) = self.troubles.get(id)
        {
            window.delay_bound(trouble.until.since(now));
        }
    }

    fn record_evidence(
        &mut self,
        now: MonoTime,
        sender: Sender<'_>,
        id: &UpstreamId,
        evidence: Evidence,
    ) {
        let Some(window) = self.windows.get_mut(id) else {
            return;
        };
        let (rank, senders) = sender.rank(id);
        let change = window.record(now, evidence, rank, senders);
        if evidence == Evidence::Failed {
            self.delay_bound(now, id);
        }
        if matches!(change, Some(PaceChange::Ended(..))) {
            self.windows.remove(id);
        }
        if let Some(change) = change {
            self.push(id, change);
        }
    }

    fn begin(&mut self, now: MonoTime, id: &UpstreamId, slots: u32, cause: PaceCause) {
        self.windows
            .insert(id.clone(), SharedWindow::new(now, slots, cause));
        let window = initial_window(slots) as u32;
        self.push(id, PaceChange::Begun(cause, window));
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
