//! The home of one upstream on this instance, with the permit requests that wait there.

use std::{collections::HashMap, time::Duration};

use tc_policy::{
    HeldPermit, Home, HomeConfig, HomeEvent, HomePermitRequest, PermitDecision, QueuedRequestKey,
};
use tc_protocol::{
    Cost, Fingerprint, InstanceId, MonoTime, PermitId, RefusalReason, Release, ServiceName,
    Upstream, UpstreamId, UpstreamSummary, WorkspaceName,
};

use crate::settings::PERMIT_GRACE;

/// Configuration and assignment of an upstream, as known to the control thread.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KnownUpstream {
    pub(crate) upstream: Upstream,
    pub(crate) service: ServiceName,
    pub(crate) slots: u32,
    pub(crate) queue_per_workspace: u32,
    pub(crate) leaving: bool,
    /// Whether the upstream's home is assigned to this instance.
    pub(crate) homed_here: bool,
}

/// A permit request from an entry to the home.
#[derive(Clone, Debug)]
pub(crate) struct HomeRequest {
    pub(crate) entry: InstanceId,
    /// Identifies the request; unique within the entry's incarnation.
    pub(crate) number: u64,
    pub(crate) workspace: WorkspaceName,
    pub(crate) weight: u32,
    pub(crate) priority: u8,
    pub(crate) slack: Duration,
    pub(crate) run_for: Duration,
    pub(crate) estimate: Cost,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) may_redirect: bool,
    pub(crate) suspect: bool,
}

/// The home's decision on a permit request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum HomeVerdict {
    Granted {
        permit: PermitId,
        expires_in: Duration,
        waited: Duration,
    },
    Redirect {
        wait: Duration,
        better: Option<UpstreamId>,
    },
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

/// A verdict with the load summary of the home, so that every answer updates the entry's view.
#[derive(Clone, Debug)]
pub(crate) struct HomeAnswer {
    pub(crate) verdict: HomeVerdict,
    pub(crate) summary: UpstreamSummary,
    pub(crate) leaving: bool,
}

/// Sends the answer to the entry.
pub(crate) type ReplyTo = Box<dyn FnOnce(HomeAnswer) + Send>;

/// Tells the entry that its request is queued; not called if it is answered immediately.
pub(crate) type OnQueued = Box<dyn FnOnce() + Send>;

struct Waiter {
    entry: InstanceId,
    number: u64,
    reply: ReplyTo,
}

/// State of the only suspect call that the upstream may have.
#[derive(PartialEq)]
enum SuspectCall {
    Waiting(QueuedRequestKey),
    Running(PermitId),
}

/// A home with the entries that wait for its decisions.
pub(crate) struct LocalHome {
    pub(crate) known: KnownUpstream,
    home: Home,
    waiters: HashMap<QueuedRequestKey, Waiter>,
    // Two suspects on one upstream would both be blamed for its next crash, and an innocent one would be quarantined.
    suspect: Option<SuspectCall>,
    /// Whether the home was assigned to this instance and is now assigned to another one.
    moved: bool,
}

impl LocalHome {
    pub(crate) fn new(now: MonoTime, known: KnownUpstream, first_permit: u64) -> Self {
        let mut home = Home::new(HomeConfig {
            slots: known.slots,
            queue_per_workspace: known.queue_per_workspace,
            grace: PERMIT_GRACE,
            first_permit,
        });
        home.set_leaving(now, known.leaving);
        Self {
            known,
            home,
            waiters: HashMap::new(),
            suspect: None,
            moved: false,
        }
    }

    /// Redirects an entry to the new home of the same upstream.
    fn moved_verdict(&self) -> HomeVerdict {
        HomeVerdict::Redirect {
            wait: Duration::ZERO,
            better: Some(self.known.upstream.id.clone()),
        }
    }

    pub(crate) fn request_permit(
        &mut self,
        now: MonoTime,
        request: HomeRequest,
        better: impl FnOnce() -> Option<UpstreamId>,
        on_queued: OnQueued,
        reply: ReplyTo,
    ) {
        if self.moved {
            self.answer(now, self.moved_verdict(), reply);
            return;
        }
        if request.suspect && self.suspect.is_some() {
            let verdict = HomeVerdict::Redirect {
                wait: Duration::ZERO,
                better: better(),
            };
            self.answer(now, verdict, reply);
            return;
        }
        let waiter = Waiter {
            entry: request.entry.clone(),
            number: request.number,
            reply,
        };
        let is_suspect = request.suspect;
        match self.home.request_permit(now, to_permit_request(request)) {
            PermitDecision::Granted { permit, expires_in } => {
                if is_suspect {
                    self.suspect = Some(SuspectCall::Running(permit));
                }
                let verdict = HomeVerdict::Granted {
                    permit,
                    expires_in,
                    waited: Duration::ZERO,
                };
                self.answer(now, verdict, waiter.reply);
            }
            PermitDecision::Queued(key) => {
                if is_suspect {
                    self.suspect = Some(SuspectCall::Waiting(key));
                }
                self.waiters.insert(key, waiter);
                on_queued();
            }
            PermitDecision::Redirect { wait } => {
                let verdict = HomeVerdict::Redirect {
                    wait,
                    better: better(),
                };
                self.answer(now, verdict, waiter.reply);
            }
            PermitDecision::Refused {
                reason,
                retry_after,
            } => {
                let verdict = HomeVerdict::Refused {
                    reason,
                    retry_after,
                };
                self.answer(now, verdict, waiter.reply);
            }
        }
    }

    pub(crate) fn cancel(&mut self, now: MonoTime, entry: &InstanceId, number: u64) {
        let found = self
            .waiters
            .iter()
            .find(|(_, w)| w.number == number && w.entry == *entry);
        let Some(key) = found.map(|(key, _)| *key) else {
            return;
        };
        self.waiters.remove(&key);
        self.home.cancel(now, key);
        self.clear_suspect(&SuspectCall::Waiting(key));
    }

    pub(crate) fn release(&mut self, now: MonoTime, release: &Release) -> Option<HeldPermit> {
        self.clear_suspect(&SuspectCall::Running(release.permit));
        self.home.release(now, release)
    }

    pub(crate) fn adopt(&mut self, now: MonoTime, held: HeldPermit) {
        self.home.adopt(now, held);
    }

    pub(crate) fn remove_entry(&mut self, now: MonoTime, entry: &InstanceId) {
        let gone: Vec<QueuedRequestKey> = self
            .waiters
            .iter()
            .filter(|(_, w)| w.entry == *entry)
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.waiters.remove(&key);
            self.clear_suspect(&SuspectCall::Waiting(key));
        }
        self.home.remove_entry(now, entry);
        let running: Vec<PermitId> = self.home.permits().map(|held| held.permit).collect();
        if let Some(SuspectCall::Running(permit)) = self.suspect
            && !running.contains(&permit)
        {
            self.suspect = None;
        }
    }

    /// Applies a changed configuration, listing state or assignment.
    pub(crate) fn update(&mut self, now: MonoTime, known: KnownUpstream) {
        self.home
            .set_config(now, known.slots, known.queue_per_workspace);
        // A home that moved away redirects its waiting requests and only waits for running calls to end. A home that
        // was never assigned here has not moved: it grants permits to entries that know of a newer assignment.
        self.moved = (self.moved || self.known.homed_here) && !known.homed_here;
        self.home.set_leaving(now, known.leaving || self.moved);
        self.known = known;
    }

    pub(crate) fn home_mut(&mut self) -> &mut Home {
        &mut self.home
    }

    /// Sends the decisions made since the last call to the entries. Returns permits that expired without a release.
    pub(crate) fn poll(&mut self, now: MonoTime) -> Vec<PermitId> {
        let mut expired = Vec::new();
        for event in self.home.poll(now) {
            match event {
                HomeEvent::Granted {
                    request,
                    permit,
                    expires_in,
                    waited,
                } => {
                    self.grant_waiting(now, request, permit, expires_in, waited);
                }
                HomeEvent::Dropped { request, .. } if self.moved => {
                    self.clear_suspect(&SuspectCall::Waiting(request));
                    if let Some(waiter) = self.waiters.remove(&request) {
                        self.answer(now, self.moved_verdict(), waiter.reply);
                    }
                }
                HomeEvent::Dropped {
                    request,
                    reason,
                    retry_after,
                } => {
                    self.clear_suspect(&SuspectCall::Waiting(request));
                    if let Some(waiter) = self.waiters.remove(&request) {
                        let verdict = HomeVerdict::Refused {
                            reason,
                            retry_after,
                        };
                        self.answer(now, verdict, waiter.reply);
                    }
                }
                HomeEvent::Expired { permit, .. } => {
                    self.clear_suspect(&SuspectCall::Running(permit));
                    expired.push(permit);
                }
            }
        }
        expired
    }

    fn grant_waiting(
        &mut self,
        now: MonoTime,
        request: QueuedRequestKey,
        permit: PermitId,
        expires_in: Duration,
        waited: Duration,
    ) {
        if self.suspect == Some(SuspectCall::Waiting(request)) {
            self.suspect = Some(SuspectCall::Running(permit));
        }
        if let Some(waiter) = self.waiters.remove(&request) {
            let verdict = HomeVerdict::Granted {
                permit,
                expires_in,
                waited,
            };
            self.answer(now, verdict, waiter.reply);
        }
    }

    fn clear_suspect(&mut self, ended: &SuspectCall) {
        if self.suspect.as_ref() == Some(ended) {
            self.suspect = None;
        }
    }

    pub(crate) fn next_wake(&self) -> Option<MonoTime> {
        self.home.next_wake()
    }

    pub(crate) fn summary(&self, now: MonoTime) -> UpstreamSummary {
        self.home.summary(now)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.known.leaving
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiters.is_empty() && self.home.permits().next().is_none()
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.home.permits().count()
    }

    fn answer(&self, now: MonoTime, verdict: HomeVerdict, reply: ReplyTo) {
        let summary = self.home.summary(now);
        reply(HomeAnswer {
            verdict,
            summary,
            leaving: self.known.leaving,
        });
    }
}

fn to_permit_request(request: HomeRequest) -> HomePermitRequest {
    HomePermitRequest {
        entry: request.entry,
        workspace: request.workspace,
        weight: request.weight,
        priority: request.priority,
        slack: request.slack,
        run_for: request.run_for,
        estimate: request.estimate,
        fingerprint: request.fingerprint,
        may_redirect: request.may_redirect,
    }
}
