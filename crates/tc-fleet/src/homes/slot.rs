//! One upstream's home on this instance and the asks waiting at it.

use std::{collections::HashMap, time::Duration};

use tc_policy::{
    HeldPermit, Home, HomeConfig, HomeEvent, HomePermitRequest, PermitDecision, QueuedRequestKey,
};
use tc_protocol::{
    Cost, Fingerprint, InstanceId, MonoTime, PermitId, RefusalReason, Release, ServiceName,
    Upstream, UpstreamId, UpstreamSummary, WorkspaceName,
};

use crate::settings::PERMIT_GRACE;

/// An upstream as the control thread knows it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KnownUpstream {
    pub(crate) upstream: Upstream,
    pub(crate) service: ServiceName,
    pub(crate) slots: u32,
    pub(crate) queue_per_workspace: u32,
    pub(crate) leaving: bool,
    /// Whether this instance is its home.
    pub(crate) mine: bool,
}

/// An entry's ask as it reaches the home.
#[derive(Clone, Debug)]
pub(crate) struct HomeAsk {
    pub(crate) entry: InstanceId,
    /// Unique within the entry's incarnation.
    pub(crate) ask: u64,
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

/// What the home decided.
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

/// A verdict with the home's load, so that every answer refreshes the entry's view.
#[derive(Clone, Debug)]
pub(crate) struct HomeAnswer {
    pub(crate) verdict: HomeVerdict,
    pub(crate) summary: UpstreamSummary,
    pub(crate) leaving: bool,
}

/// Takes the answer back to the entry that asked.
pub(crate) type ReplyTo = Box<dyn FnOnce(HomeAnswer) + Send>;

/// Tells the entry that its ask waits; not called when the answer is there at once.
pub(crate) type OnQueued = Box<dyn FnOnce() + Send>;

struct Waiter {
    entry: InstanceId,
    ask: u64,
    reply: ReplyTo,
}

/// Where the one suspect call this upstream may have is.
#[derive(PartialEq)]
enum SuspectUse {
    Waiting(QueuedRequestKey),
    Running(PermitId),
}

/// A home with its waiting asks.
pub(crate) struct Slot {
    pub(crate) known: KnownUpstream,
    home: Home,
    waiters: HashMap<QueuedRequestKey, Waiter>,
    // Two suspects on one upstream would both be blamed for its next crash, and an innocent one would be quarantined.
    suspect: Option<SuspectUse>,
    /// Another instance is its home now.
    moved: bool,
}

impl Slot {
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

    /// Tells an entry to ask the upstream's new home: the upstream itself stays the right one.
    fn moved_verdict(&self) -> HomeVerdict {
        HomeVerdict::Redirect {
            wait: Duration::ZERO,
            better: Some(self.known.upstream.id.clone()),
        }
    }

    pub(crate) fn ask(
        &mut self,
        now: MonoTime,
        ask: HomeAsk,
        better: impl FnOnce() -> Option<UpstreamId>,
        on_queued: OnQueued,
        reply: ReplyTo,
    ) {
        if self.moved {
            self.answer(now, self.moved_verdict(), reply);
            return;
        }
        if ask.suspect && self.suspect.is_some() {
            let verdict = HomeVerdict::Redirect {
                wait: Duration::ZERO,
                better: better(),
            };
            self.answer(now, verdict, reply);
            return;
        }
        let waiter = Waiter {
            entry: ask.entry.clone(),
            ask: ask.ask,
            reply,
        };
        let is_suspect = ask.suspect;
        match self.home.request_permit(now, new_ask(ask)) {
            PermitDecision::Granted { permit, expires_in } => {
                if is_suspect {
                    self.suspect = Some(SuspectUse::Running(permit));
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
                    self.suspect = Some(SuspectUse::Waiting(key));
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

    pub(crate) fn cancel(&mut self, now: MonoTime, entry: &InstanceId, ask: u64) {
        let found = self
            .waiters
            .iter()
            .find(|(_, w)| w.ask == ask && w.entry == *entry);
        let Some(key) = found.map(|(key, _)| *key) else {
            return;
        };
        self.waiters.remove(&key);
        self.home.cancel(now, key);
        self.end_suspect(&SuspectUse::Waiting(key));
    }

    pub(crate) fn release(&mut self, now: MonoTime, release: &Release) -> Option<HeldPermit> {
        self.end_suspect(&SuspectUse::Running(release.permit));
        self.home.release(now, release)
    }

    pub(crate) fn adopt(&mut self, now: MonoTime, held: HeldPermit) {
        self.home.adopt(now, held);
    }

    pub(crate) fn entry_gone(&mut self, now: MonoTime, entry: &InstanceId) {
        let gone: Vec<QueuedRequestKey> = self
            .waiters
            .iter()
            .filter(|(_, w)| w.entry == *entry)
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.waiters.remove(&key);
            self.end_suspect(&SuspectUse::Waiting(key));
        }
        self.home.remove_entry(now, entry);
        let running: Vec<PermitId> = self.home.permits().map(|held| held.permit).collect();
        if let Some(SuspectUse::Running(permit)) = self.suspect
            && !running.contains(&permit)
        {
            self.suspect = None;
        }
    }

    /// Takes up a changed configuration, list state or placement.
    pub(crate) fn update(&mut self, now: MonoTime, known: KnownUpstream) {
        self.home
            .set_config(now, known.slots, known.queue_per_workspace);
        // A home that moved away tells its waiting asks to go elsewhere, and only counts down what runs.
        // It was placed here and is not any more. One that never was is granted for an entry that knows better.
        self.moved = (self.moved || self.known.mine) && !known.mine;
        self.home.set_leaving(now, known.leaving || self.moved);
        self.known = known;
    }

    pub(crate) fn home_mut(&mut self) -> &mut Home {
        &mut self.home
    }

    /// Answers what the home decided since the last call; returns permits that expired unreleased.
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
                    self.end_suspect(&SuspectUse::Waiting(request));
                    if let Some(waiter) = self.waiters.remove(&request) {
                        self.answer(now, self.moved_verdict(), waiter.reply);
                    }
                }
                HomeEvent::Dropped {
                    request,
                    reason,
                    retry_after,
                } => {
                    self.end_suspect(&SuspectUse::Waiting(request));
                    if let Some(waiter) = self.waiters.remove(&request) {
                        let verdict = HomeVerdict::Refused {
                            reason,
                            retry_after,
                        };
                        self.answer(now, verdict, waiter.reply);
                    }
                }
                HomeEvent::Expired { permit, .. } => {
                    self.end_suspect(&SuspectUse::Running(permit));
                    expired.push(permit);
                }
            }
        }
        expired
    }

    fn grant_waiting(
        &mut self,
        now: MonoTime,
        ask: QueuedRequestKey,
        permit: PermitId,
        expires_in: Duration,
        waited: Duration,
    ) {
        if self.suspect == Some(SuspectUse::Waiting(ask)) {
            self.suspect = Some(SuspectUse::Running(permit));
        }
        if let Some(waiter) = self.waiters.remove(&ask) {
            let verdict = HomeVerdict::Granted {
                permit,
                expires_in,
                waited,
            };
            self.answer(now, verdict, waiter.reply);
        }
    }

    fn end_suspect(&mut self, ended: &SuspectUse) {
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

fn new_ask(ask: HomeAsk) -> HomePermitRequest {
    HomePermitRequest {
        entry: ask.entry,
        workspace: ask.workspace,
        weight: ask.weight,
        priority: ask.priority,
        slack: ask.slack,
        run_for: ask.run_for,
        estimate: ask.estimate,
        fingerprint: ask.fingerprint,
        may_redirect: ask.may_redirect,
    }
}
