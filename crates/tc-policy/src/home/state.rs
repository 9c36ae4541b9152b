//! The state machine that grants permits.

use std::time::Duration;

use tc_protocol::{Cost, Incarnation, MonoTime, Outcome, PermitId, RefusalReason, Release};

use super::{
    HeldPermit, HomeConfig, HomeEvent, HomePermitRequest, PermitDecision, QueuedRequestKey,
    concurrency::{Limiter, millis},
    foreign::ForeignLoad,
    health::{EndedCall, Health, HealthAction},
    permits::{PermitState, Permits},
    queue::{FairQueue, FlowKey, QueuedRequest},
};

/// Factor by which each evaluation lowers the concurrency of a slow or failing upstream.
const LOWER_FACTOR: f64 = 0.5;
/// Shortest retry hint.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Longest retry hint.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// A request is redirected if the wait here exceeds the shortest wait elsewhere by this factor and
/// [`REDIRECT_WAIT_MARGIN`].
const REDIRECT_WAIT_FACTOR: f64 = 2.0;
/// Added to the scaled wait elsewhere, so that short waits cause no redirects.
const REDIRECT_WAIT_MARGIN: Duration = Duration::from_millis(10);

/// Grants the permits for one upstream.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{PermitDecision, Home, HomeConfig, HomePermitRequest};
/// use tc_protocol::{Cost, Fingerprint, MonoTime};
/// let mut home = Home::new(HomeConfig {
///     slots: 1,
///     queue_per_workspace: 8,
///     grace: Duration::from_secs(1),
///     first_permit: 1,
/// });
/// let request = HomePermitRequest {
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
/// assert!(matches!(home.request_permit(now, request.clone()), PermitDecision::Granted { .. }));
/// assert!(matches!(home.request_permit(now, request), PermitDecision::Queued(_)));
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
    pub(super) shortest_wait_elsewhere: Option<Duration>,
    pub(super) now: MonoTime,
    pub(super) unknown_releases: u64,
}

impl Home {
    /// Creates a home with no calls in flight.
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
            shortest_wait_elsewhere: None,
            now: MonoTime::default(),
            unknown_releases: 0,
        }
    }

    /// Handles a request for a permit.
    pub fn request_permit(&mut self, now: MonoTime, request: HomePermitRequest) -> PermitDecision {
        self.advance(now);
        if self.is_leaving() {
            return redirect_or_refuse(&request, RefusalReason::NoUpstream, Duration::ZERO);
        }
        let flow = self
            .queue
            .get_or_insert_flow(now, &request.workspace, request.weight);
        if self.may_start(flow) {
            let (permit, expires_in) = self.grant(flow, &request);
            return PermitDecision::Granted { permit, expires_in };
        }
        let wait = self.expected_wait(flow, &request);
        let starts_earlier_elsewhere = self.health.is_ejected() || self.is_clearly_later(wait);
        if request.may_redirect && (starts_earlier_elsewhere || wait > request.slack) {
            return PermitDecision::Redirect { wait };
        }
        if request.slack.is_zero() {
            return redirect_or_refuse(&request, RefusalReason::TooLate, wait);
        }
        if self.queue.waiting_of(flow) >= self.queue_per_workspace {
            return redirect_or_refuse(&request, RefusalReason::QueueFull, wait);
        }
        PermitDecision::Queued(self.queue.push(now, flow, request))
    }

    /// Cancels a waiting request. Returns `false` if it is no longer waiting.
    pub fn cancel(&mut self, now: MonoTime, request: QueuedRequestKey) -> bool {
        self.advance(now);
        self.queue.remove(request).is_some()
    }

    /// Ends a permit. Returns `None` if it is unknown, which is counted and otherwise ignored.
    pub fn release(&mut self, now: MonoTime, release: &Release) -> Option<HeldPermit> {
        self.advance(now);
        let in_flight = self.permits.len();
        let Some(held) = self.permits.remove(release.permit) else {
            self.unknown_releases += 1;
            return None;
        };
        let correction = self.final_charge(release, &held.estimate) - charge(&held.estimate);
        self.queue
            .end(now, held.flow, now.since(held.since), correction);
        let slots = self.usable_slots();
        self.limiter
            .record(release, &held.estimate, in_flight, slots);
        let action = self.health.record(
            now,
            &EndedCall {
                release,
                flow: held.flow,
                expected_ms: held.estimate.busy_ms,
            },
        );
        self.apply_health_action(action);
        self.record_in_flight();
        Some(self.held_permit(release.permit, &held))
    }

    /// Returns the changes to waiting requests and permits up to `now`. Must be called after every change and at
    /// [`Home::next_wake`].
    pub fn poll(&mut self, now: MonoTime) -> Vec<HomeEvent> {
        self.advance(now);
        let mut events = Vec::new();
        self.expire_permits(&mut events);
        while let Some(key) = self.queue.expired(self.now) {
            self.drop_request(key, RefusalReason::TooLate, &mut events);
        }
        if self.is_leaving() {
            for key in self.queue.keys(|_| true) {
                self.drop_request(key, RefusalReason::NoUpstream, &mut events);
            }
        } else if self.health.is_ejected() {
            for key in self.queue.keys(|request| request.may_redirect) {
                self.drop_request(key, RefusalReason::NoUpstream, &mut events);
            }
        }
        while let Some(key) = self.next_to_start()
            && let Some(waiting) = self.queue.remove(key)
        {
            events.push(self.grant_waiting(key, &waiting));
        }
        events
    }

    /// Returns when [`Home::poll`] must be called if nothing changes before.
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

    /// Returns how many calls with this home's permits may run concurrently now.
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

    /// Returns true if a new request of this workspace may start now, ahead of all that wait.
    fn may_start(&self, flow: FlowKey) -> bool {
        if self.health.is_ejected() {
            return self.queue.len() == 0 && self.may_probe();
        }
        let (free, limit) = (self.free(), self.concurrency());
        self.queue.may_start(self.now, flow, free, limit)
            && self.queue.next(self.now, free, limit).is_none()
    }

    fn next_to_start(&self) -> Option<QueuedRequestKey> {
        if !self.health.is_ejected() {
            return self.queue.next(self.now, self.free(), self.concurrency());
        }
        self.queue.first().filter(|_| self.may_probe())
    }

    /// Returns true if a probe of an ejected upstream may start now.
    ///
    /// The slots may be full although the upstream gets no ordinary calls, because permits of an earlier home are
    /// adopted and the number of slots can shrink. The upstream would refuse a probe beyond its slots, which says
    /// nothing about its health.
    fn may_probe(&self) -> bool {
        self.health.probe_due(self.now) && self.has_slot()
    }

    fn has_slot(&self) -> bool {
        self.permits.len() < self.usable_slots()
    }

    fn grant_waiting(&mut self, key: QueuedRequestKey, waiting: &QueuedRequest) -> HomeEvent {
        let waited = self.now.since(waiting.since);
        let (permit, expires_in) = self.grant(waiting.flow, &waiting.request);
        HomeEvent::Granted {
            request: key,
            permit,
            expires_in,
            waited,
        }
    }

    fn grant(&mut self, flow: FlowKey, request: &HomePermitRequest) -> (PermitId, Duration) {
        let expires_in = request.run_for + self.grace;
        let permit = self.permits.grant(PermitState {
            entry: request.entry.clone(),
            flow,
            since: self.now,
            expires_at: self.now.after(expires_in),
            estimate: request.estimate,
            fingerprint: request.fingerprint,
        });
        self.queue.start(self.now, flow, charge(&request.estimate));
        if self.health.is_ejected() {
            self.health.probe_started(permit);
        }
        self.record_in_flight();
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
            self.record_in_flight();
        }
    }

    fn drop_request(
        &mut self,
        key: QueuedRequestKey,
        reason: RefusalReason,
        events: &mut Vec<HomeEvent>,
    ) {
        let Some(waiting) = self.queue.remove(key) else {
            return;
        };
        let wait = match reason {
            RefusalReason::TooLate => self.expected_wait(waiting.flow, &waiting.request),
            _ => Duration::ZERO,
        };
        events.push(HomeEvent::Dropped {
            request: key,
            reason,
            retry_after: retry_after(wait),
        });
    }

    /// Estimates how long a new request would wait, based on the median service time.
    fn expected_wait(&self, flow: FlowKey, request: &HomePermitRequest) -> Duration {
        if self.health.is_ejected() {
            let probe = self.health.next_probe().unwrap_or(self.now);
            return probe.since(self.now).max(MIN_RETRY_AFTER);
        }
        let slack_ends = self.now.after(request.slack);
        let requests_ahead = self
            .queue
            .requests_ahead(flow, request.priority, slack_ends) as f64;
        let per_start = self.health.median_ms(self.now) / f64::from(self.concurrency());
        Duration::from_secs_f64((requests_ahead + 1.0) * per_start / 1_000.0)
    }

    fn is_clearly_later(&self, wait: Duration) -> bool {
        self.shortest_wait_elsewhere
            .is_some_and(|shortest_wait_elsewhere| {
                wait > shortest_wait_elsewhere.mul_f64(REDIRECT_WAIT_FACTOR) + REDIRECT_WAIT_MARGIN
            })
    }

    /// Returns the units a finished call is charged.
    ///
    /// A call that ended without a result often reports no cost, yet it used the upstream's time. It is charged its
    /// estimate in proportion to the part of a typical service time that it ran.
    fn final_charge(&self, release: &Release, estimate: &Cost) -> f64 {
        let reported = release.cost.units();
        match release.outcome {
            Outcome::Answered | Outcome::Rejected | Outcome::Unused => reported,
            Outcome::Failed | Outcome::Died | Outcome::TimedOut | Outcome::Cancelled => {
                let typical_ms = self.health.median_ms(self.now).max(1.0);
                let part = (millis(release.took) / typical_ms).min(1.0);
                reported.max(charge(estimate) * part)
            }
        }
    }

    pub(super) fn apply_health_action(&mut self, action: HealthAction) {
        match action {
            HealthAction::Keep | HealthAction::Eject => {}
            HealthAction::LowerConcurrency => self.limiter.lower(LOWER_FACTOR),
            HealthAction::Readmit => self.limiter.restart_from_one(),
        }
    }

    pub(super) fn record_in_flight(&mut self) {
        self.foreign.record(self.now, self.permits.len());
    }

    pub(super) fn held_permit(&self, permit: PermitId, held: &PermitState) -> HeldPermit {
        HeldPermit {
            permit,
            entry: held.entry.clone(),
            workspace: self.queue.workspace_of(held.flow).clone(),
            expires_in: held.expires_in(self.now),
            estimate: held.estimate,
            fingerprint: held.fingerprint,
        }
    }
}

/// Returns the units charged when a call starts.
pub(super) fn charge(estimate: &Cost) -> f64 {
    estimate.units()
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Redirects a request if it may be redirected and is not too late, and refuses it otherwise.
fn redirect_or_refuse(
    request: &HomePermitRequest,
    reason: RefusalReason,
    wait: Duration,
) -> PermitDecision {
    if request.may_redirect && reason != RefusalReason::TooLate {
        return PermitDecision::Redirect { wait };
    }
    PermitDecision::Refused {
        reason,
        retry_after: retry_after(wait),
    }
}
