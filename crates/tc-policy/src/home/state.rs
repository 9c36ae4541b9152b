//! The home's state machine.

use std::time::Duration;

use tc_protocol::{Cost, Incarnation, MonoTime, Outcome, PermitId, RefusalReason, Release};

use super::{
    HeldPermit, HomeConfig, HomeEvent, PermitDecision, PermitRequest, QueuedRequestKey,
    concurrency::{Limiter, millis},
    foreign::ForeignLoad,
    health::{Advice, Ended, Health},
    permits::{Held, Permits},
    queue::{FairQueue, FlowKey, Waiting},
};

/// Part of its concurrency that a slow or failing upstream keeps at each judgement.
const LOWER_TO: f64 = 0.5;
/// Shortest hint when to ask again.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Longest hint when to ask again.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Wait here against the best elsewhere, as a factor, from which an ask is redirected.
const CLEARLY_LATER_FACTOR: f64 = 2.0;
/// Wait here above the best elsewhere from which an ask is redirected, so that small waits send nobody around.
const CLEARLY_LATER_BY: Duration = Duration::from_millis(10);

/// Grants the permits of one upstream.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{PermitDecision, Home, HomeConfig, PermitRequest};
/// use tc_protocol::{Cost, Fingerprint, MonoTime};
/// let mut home = Home::new(HomeConfig {
///     slots: 1,
///     queue_per_workspace: 8,
///     grace: Duration::from_secs(1),
///     first_permit: 1,
/// });
/// let ask = PermitRequest {
///     entry: "kl-a-1".into(),
///     workspace: "lintas".into(),
///     weight: 1,
///     priority: 3,
///     slack: Duration::from_millis(100),
///     run_for: Duration::from_secs(1),
///     estimate: Cost::default(),
///     fingerprint: Fingerprint(1),
///     may_redirect: false,
/// };
/// let now = MonoTime::from_millis(1);
/// assert!(matches!(home.request_permit(now, ask.clone()), PermitDecision::Granted { .. }));
/// assert!(matches!(home.request_permit(now, ask), PermitDecision::Queued(_)));
/// ```
#[derive(Debug)]
pub struct Home {
    pub(super) slots: u32,
    pub(super) reported_slots: Option<u32>,
    pub(super) queue_per_workspace: usize,
    pub(super) grace: Duration,
    pub(super) leaving: bool,
    pub(super) reported_leaving: bool,
    pub(super) queue: FairQueue,
    pub(super) permits: Permits,
    pub(super) limiter: Limiter,
    pub(super) health: Health,
    pub(super) foreign: ForeignLoad,
    pub(super) report_incarnation: Option<Incarnation>,
    pub(super) elsewhere: Option<Duration>,
    pub(super) now: MonoTime,
    pub(super) unknown_releases: u64,
}

impl Home {
    /// A home with nothing in flight.
    #[must_use]
    pub fn new(cfg: HomeConfig) -> Self {
        Self {
            slots: cfg.slots,
            reported_slots: None,
            queue_per_workspace: cfg.queue_per_workspace as usize,
            grace: cfg.grace,
            leaving: false,
            reported_leaving: false,
            queue: FairQueue::default(),
            permits: Permits::new(cfg.first_permit),
            limiter: Limiter::new(cfg.slots),
            health: Health::default(),
            foreign: ForeignLoad::default(),
            report_incarnation: None,
            elsewhere: None,
            now: MonoTime::default(),
            unknown_releases: 0,
        }
    }

    /// Takes in an ask.
    pub fn request_permit(&mut self, now: MonoTime, ask: PermitRequest) -> PermitDecision {
        self.advance(now);
        if self.is_leaving() {
            return send_away(&ask, RefusalReason::NoUpstream, Duration::ZERO);
        }
        let flow = self.queue.touch(now, &ask.workspace, ask.weight);
        if self.may_start(flow) {
            let (permit, expires_in) = self.grant(flow, &ask);
            return PermitDecision::Granted { permit, expires_in };
        }
        let wait = self.expected_wait(flow, &ask);
        let elsewhere = self.health.is_ejected() || self.is_clearly_later(wait);
        if ask.may_redirect && (elsewhere || wait > ask.slack) {
            return PermitDecision::Redirect { wait };
        }
        if ask.slack.is_zero() {
            return send_away(&ask, RefusalReason::TooLate, wait);
        }
        if self.queue.waiting_of(flow) >= self.queue_per_workspace {
            return send_away(&ask, RefusalReason::QueueFull, wait);
        }
        PermitDecision::Queued(self.queue.push(now, flow, ask))
    }

    /// Takes a waiting ask back; `false` when it waits no more.
    pub fn cancel(&mut self, now: MonoTime, ask: QueuedRequestKey) -> bool {
        self.advance(now);
        self.queue.remove(ask).is_some()
    }

    /// Ends a permit. `None` when it is unknown, which is counted and harmless.
    pub fn release(&mut self, now: MonoTime, release: &Release) -> Option<HeldPermit> {
        self.advance(now);
        let in_flight = self.permits.len();
        let Some(held) = self.permits.remove(release.permit) else {
            self.unknown_releases += 1;
            return None;
        };
        let correction = self.settled_units(release, &held.estimate) - charge(&held.estimate);
        self.queue
            .end(now, held.flow, now.since(held.since), correction);
        let slots = self.usable_slots();
        self.limiter
            .record(release, &held.estimate, in_flight, slots);
        let advice = self.health.record(
            now,
            &Ended {
                release,
                flow: held.flow,
                expected_ms: held.estimate.busy_ms,
            },
        );
        self.follow(advice);
        self.note_in_flight();
        Some(self.described(release.permit, &held))
    }

    /// What became of waiting asks and permits by `now`. Call it after every change and at [`Home::next_wake`].
    pub fn poll(&mut self, now: MonoTime) -> Vec<HomeEvent> {
        self.advance(now);
        let mut events = Vec::new();
        self.expire_permits(&mut events);
        while let Some(key) = self.queue.too_late(self.now) {
            self.drop_ask(key, RefusalReason::TooLate, &mut events);
        }
        if self.is_leaving() {
            for key in self.queue.keys(|_| true) {
                self.drop_ask(key, RefusalReason::NoUpstream, &mut events);
            }
        } else if self.health.is_ejected() {
            for key in self.queue.keys(|ask| ask.may_redirect) {
                self.drop_ask(key, RefusalReason::NoUpstream, &mut events);
            }
        }
        while let Some(key) = self.next_to_start()
            && let Some(waiting) = self.queue.remove(key)
        {
            events.push(self.grant_waiting(key, &waiting));
        }
        events
    }

    /// When [`Home::poll`] has to be called even if nothing changes before.
    #[must_use]
    pub fn next_wake(&self) -> Option<MonoTime> {
        let probe = self
            .health
            .next_probe()
            .filter(|_| self.queue.len() > 0 && self.has_slot())
            .map(|at| at.max(self.now));
        [
            self.permits.next_expiry(),
            self.queue.next_slack_end(),
            probe,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    pub(super) fn advance(&mut self, now: MonoTime) {
        self.now = self.now.max(now);
    }

    pub(super) const fn is_leaving(&self) -> bool {
        self.leaving || self.reported_leaving
    }

    pub(super) fn usable_slots(&self) -> u32 {
        let reported = self.reported_slots.unwrap_or(u32::MAX);
        self.slots.min(reported).max(1)
    }

    /// Calls it may run at once now, from permits of this home.
    pub(super) fn concurrency(&self) -> u32 {
        let limit = self.limiter.limit(self.usable_slots());
        let slots_left = self
            .usable_slots()
            .saturating_sub(self.foreign.calls(self.now));
        limit.min(slots_left).max(1)
    }

    fn free(&self) -> u32 {
        self.concurrency().saturating_sub(self.permits.len())
    }

    /// Whether an ask of this workspace may start now, before all that wait.
    fn may_start(&self, flow: FlowKey) -> bool {
        if self.health.is_ejected() {
            return self.queue.len() == 0 && self.may_probe();
        }
        let (free, limit) = (self.free(), self.concurrency());
        self.queue.may_take(self.now, flow, free, limit)
            && self.queue.next(self.now, free, limit).is_none()
    }

    fn next_to_start(&self) -> Option<QueuedRequestKey> {
        if !self.health.is_ejected() {
            return self.queue.next(self.now, self.free(), self.concurrency());
        }
        self.queue.first().filter(|_| self.may_probe())
    }

    /// Whether a probe of an ejected upstream may start now.
    ///
    /// Its slots may be full though it gets no ordinary calls: permits of an earlier home are adopted, and slots are
    /// taken away. A probe above them is refused there as by a full upstream, which tells nothing of its health.
    fn may_probe(&self) -> bool {
        self.health.probe_due(self.now) && self.has_slot()
    }

    fn has_slot(&self) -> bool {
        self.permits.len() < self.usable_slots()
    }

    fn grant_waiting(&mut self, key: QueuedRequestKey, waiting: &Waiting) -> HomeEvent {
        let waited = self.now.since(waiting.since);
        let (permit, expires_in) = self.grant(waiting.flow, &waiting.ask);
        HomeEvent::Granted {
            request: key,
            permit,
            expires_in,
            waited,
        }
    }

    fn grant(&mut self, flow: FlowKey, ask: &PermitRequest) -> (PermitId, Duration) {
        let expires_in = ask.run_for + self.grace;
        let permit = self.permits.grant(Held {
            entry: ask.entry.clone(),
            flow,
            since: self.now,
            expires_at: self.now.after(expires_in),
            estimate: ask.estimate,
            fingerprint: ask.fingerprint,
        });
        self.queue.start(self.now, flow, charge(&ask.estimate));
        if self.health.is_ejected() {
            self.health.probe_started(permit);
        }
        self.note_in_flight();
        (permit, expires_in)
    }

    fn expire_permits(&mut self, events: &mut Vec<HomeEvent>) {
        while let Some(permit) = self.permits.expired(self.now) {
            let Some(held) = self.permits.remove(permit) else {
                break;
            };
            self.queue
                .end(self.now, held.flow, self.now.since(held.since), 0.0);
            self.health.expired(self.now, permit);
            events.push(HomeEvent::Expired {
                permit,
                entry: held.entry,
            });
            self.note_in_flight();
        }
    }

    fn drop_ask(
        &mut self,
        key: QueuedRequestKey,
        reason: RefusalReason,
        events: &mut Vec<HomeEvent>,
    ) {
        let Some(waiting) = self.queue.remove(key) else {
            return;
        };
        let wait = match reason {
            RefusalReason::TooLate => self.expected_wait(waiting.flow, &waiting.ask),
            _ => Duration::ZERO,
        };
        events.push(HomeEvent::Dropped {
            request: key,
            reason,
            retry_after: retry_after(wait),
        });
    }

    /// When a new ask would start, as far as service time is known.
    fn expected_wait(&self, flow: FlowKey, ask: &PermitRequest) -> Duration {
        if self.health.is_ejected() {
            let probe = self.health.next_probe().unwrap_or(self.now);
            return probe.since(self.now).max(SHORTEST_RETRY_AFTER);
        }
        let slack_ends = self.now.after(ask.slack);
        let ahead = self.queue.ahead(flow, ask.priority, slack_ends) as f64;
        let per_start = self.health.median_ms(self.now) / f64::from(self.concurrency());
        Duration::from_secs_f64((ahead + 1.0) * per_start / 1_000.0)
    }

    fn is_clearly_later(&self, wait: Duration) -> bool {
        self.elsewhere.is_some_and(|elsewhere| {
            wait > elsewhere.mul_f64(CLEARLY_LATER_FACTOR) + CLEARLY_LATER_BY
        })
    }

    /// Units a call is finally charged. One that ended without a result often tells no cost, yet it took the
    /// upstream's time: it is charged its estimate by the part of a usual service time that it ran.
    fn settled_units(&self, release: &Release, estimate: &Cost) -> f64 {
        let told = release.cost.units();
        match release.outcome {
            Outcome::Answered | Outcome::Rejected | Outcome::Unused => told,
            Outcome::Failed | Outcome::Died | Outcome::TimedOut | Outcome::Cancelled => {
                let usual = self.health.median_ms(self.now).max(1.0);
                let part = (millis(release.took) / usual).min(1.0);
                told.max(charge(estimate) * part)
            }
        }
    }

    pub(super) fn follow(&mut self, advice: Advice) {
        match advice {
            Advice::Keep | Advice::Eject => {}
            Advice::Lower => self.limiter.lower(LOWER_TO),
            Advice::Return => self.limiter.restart_low(),
        }
    }

    pub(super) fn note_in_flight(&mut self) {
        self.foreign.note(self.now, self.permits.len());
    }

    pub(super) fn described(&self, permit: PermitId, held: &Held) -> HeldPermit {
        HeldPermit {
            permit,
            entry: held.entry.clone(),
            workspace: self.queue.name_of(held.flow).clone(),
            expires_in: held.expires_in(self.now),
            estimate: held.estimate,
            fingerprint: held.fingerprint,
        }
    }
}

/// Units charged when a call starts.
pub(super) fn charge(estimate: &Cost) -> f64 {
    estimate.units()
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER)
}

/// Redirects an ask that may be, refuses any other.
fn send_away(ask: &PermitRequest, reason: RefusalReason, wait: Duration) -> PermitDecision {
    if ask.may_redirect && reason != RefusalReason::TooLate {
        return PermitDecision::Redirect { wait };
    }
    PermitDecision::Refused {
        reason,
        retry_after: retry_after(wait),
    }
}
