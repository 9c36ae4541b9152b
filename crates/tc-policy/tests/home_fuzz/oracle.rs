//! A simple model of a home, which checks the home's decisions.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tc_policy::{
    HeldPermit, Home, HomeConfig, HomeEvent, HomePermitRequest, PermitDecision, QueuedRequestKey,
};
use tc_protocol::{
    Fingerprint, Incarnation, InstanceId, MonoTime, Outcome, PermitId, RefusalReason, Release,
    wire::LoadReport,
};

use crate::{
    op::Op,
    support::{self, busy, ms, request},
};

const GRACE: Duration = ms(50);
const ENTRIES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const WORKSPACES: [&str; 4] = ["a", "b", "c", "d"];

#[derive(Debug)]
struct Held {
    entry: InstanceId,
    expires_at: MonoTime,
}

#[derive(Debug)]
struct WaitingRequest {
    entry: InstanceId,
    workspace: &'static str,
    slack_ends: MonoTime,
    run_for: Duration,
    may_redirect: bool,
}

/// A home and the permits and requests that it should hold.
pub(crate) struct Oracle {
    home: Home,
    pub(crate) now: MonoTime,
    held: BTreeMap<PermitId, Held>,
    waiting: HashMap<QueuedRequestKey, WaitingRequest>,
    slots: u32,
    reported_slots: u32,
    queue: usize,
    leaving: bool,
    reported_leaving: bool,
    highest_granted: u64,
}

impl Oracle {
    pub(crate) fn new() -> Self {
        Self {
            home: Home::new(HomeConfig {
                slots: 4,
                queue_per_workspace: 3,
                grace: GRACE,
                first_permit: 1_000,
            }),
            now: MonoTime(1),
            held: BTreeMap::new(),
            waiting: HashMap::new(),
            slots: 4,
            reported_slots: u32::MAX,
            queue: 3,
            leaving: false,
            reported_leaving: false,
            highest_granted: 999,
        }
    }

    fn usable_slots(&self) -> u32 {
        self.slots.min(self.reported_slots).max(1)
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Request {
                requester,
                priority,
                slack_ms,
                run_for_ms,
                estimate,
                may_redirect,
            } => {
                let mut new = request(WORKSPACES[usize::from(requester) % WORKSPACES.len()]);
                new.entry = ENTRIES[usize::from(requester / 16) % ENTRIES.len()].into();
                new.priority = priority % 8;
                new.slack = ms(u64::from(slack_ms));
                new.run_for = ms(u64::from(run_for_ms));
                new.estimate = busy(f64::from(estimate));
                new.may_redirect = may_redirect;
                self.request_permit(new, WORKSPACES[usize::from(requester) % WORKSPACES.len()]);
            }
            Op::Cancel(which) => {
                let key = nth(self.waiting.keys().copied(), which);
                if let Some(key) = key {
                    assert!(self.home.cancel(self.now, key));
                    assert!(!self.home.cancel(self.now, key), "cancelled twice");
                    self.waiting.remove(&key);
                }
            }
            Op::Release {
                which,
                outcome,
                took_ms,
            } => self.release(which, outcome, took_ms),
            Op::ReleaseUnknown(id) => {
                let (permit, before) = (PermitId(id), self.home.unknown_releases());
                if !self.held.contains_key(&permit) {
                    assert!(
                        self.home
                            .release(self.now, &release(permit, 0, 1))
                            .is_none()
                    );
                    assert_eq!(self.home.unknown_releases(), before + 1);
                }
            }
            Op::Wait { ms: millis } => self.now = self.now.after(ms(u64::from(millis))),
            Op::Adopt {
                permit,
                requester,
                expires_in_ms,
            } => self.adopt(permit, requester, expires_in_ms),
            Op::RemoveEntry(requester) => {
                let entry = InstanceId::from(ENTRIES[usize::from(requester) % ENTRIES.len()]);
                self.home.remove_entry(self.now, &entry);
                self.held.retain(|_, held| held.entry != entry);
                self.waiting.retain(|_, waiter| waiter.entry != entry);
            }
            Op::LoadReport {
                running,
                slots,
                incarnation,
                leaving,
            } => {
                let report = LoadReport {
                    incarnation: Incarnation(u64::from(incarnation)),
                    running: u32::from(running),
                    slots: u32::from(slots % 8),
                    leaving: is_rare(leaving),
                    ..LoadReport::default()
                };
                self.home.record_load_report(self.now, &report);
                self.reported_slots = if report.slots == 0 {
                    u32::MAX
                } else {
                    report.slots
                };
                self.reported_leaving = is_rare(leaving);
            }
            Op::SetConfig { slots, queue } => {
                self.slots = u32::from(slots % 8);
                self.queue = usize::from(queue % 8);
                self.home
                    .set_config(self.now, self.slots, u32::from(queue % 8));
            }
            Op::SetLeaving(leaving) => {
                self.leaving = is_rare(leaving);
                self.home.set_leaving(self.now, self.leaving);
            }
            Op::SetServiceMedian {
                median_ms,
                may_eject,
            } => {
                let median = Some(f64::from(median_ms));
                self.home.set_service_median(self.now, median, may_eject);
            }
        }
    }

    fn release(&mut self, which: u8, outcome: u8, took_ms: u8) {
        let Some(permit) = nth(self.held.keys().copied(), which) else {
            return;
        };
        let release = release(permit, outcome, took_ms);
        let held = self.home.release(self.now, &release).expect("it is held");
        assert_eq!(held.entry, self.held[&permit].entry);
        self.held.remove(&permit);
        assert!(self.home.release(self.now, &release).is_none());
    }

    fn request_permit(&mut self, new: HomePermitRequest, workspace: &'static str) {
        let waiter = WaitingRequest {
            entry: new.entry.clone(),
            workspace,
            slack_ends: self.now.after(new.slack),
            run_for: new.run_for,
            may_redirect: new.may_redirect,
        };
        let has_no_slack = new.slack.is_zero();
        match self.home.request_permit(self.now, new) {
            PermitDecision::Granted { permit, expires_in } => {
                self.check_grant(permit, expires_in, waiter);
            }
            PermitDecision::Queued(key) => {
                assert!(self.waiting.insert(key, waiter).is_none());
            }
            PermitDecision::Redirect { .. } => assert!(waiter.may_redirect),
            PermitDecision::Refused { reason, .. } => match reason {
                RefusalReason::TooLate => assert!(has_no_slack, "refused with slack left"),
                RefusalReason::QueueFull => {
                    let same = self.waiting.values().filter(|w| w.workspace == workspace);
                    assert!(same.count() >= self.queue, "the queue was not full");
                }
                RefusalReason::NoUpstream => assert!(self.leaving || self.reported_leaving),
                other => panic!("unexpected reason {other:?} from a home"),
            },
        }
    }

    fn check_grant(&mut self, permit: PermitId, expires_in: Duration, waiter: WaitingRequest) {
        assert!(
            !self.leaving && !self.reported_leaving,
            "granted while leaving"
        );
        assert!(
            permit.0 > self.highest_granted,
            "permit identifiers must increase"
        );
        self.highest_granted = permit.0;
        assert_eq!(expires_in, waiter.run_for + GRACE);
        let held = Held {
            entry: waiter.entry,
            expires_at: self.now.after(expires_in),
        };
        assert!(self.held.insert(permit, held).is_none());
        assert!(
            self.held.len() as u32 <= self.usable_slots(),
            "more permits than slots"
        );
    }

    fn adopt(&mut self, permit: u8, requester: u8, expires_in_ms: u8) {
        let permit = PermitId(u64::from(permit));
        let entry = InstanceId::from(ENTRIES[usize::from(requester) % ENTRIES.len()]);
        let expires_in = ms(u64::from(expires_in_ms));
        let held = HeldPermit {
            permit,
            entry: entry.clone(),
            workspace: WORKSPACES[usize::from(requester / 16) % WORKSPACES.len()].into(),
            expires_in,
            estimate: busy(10.0),
            fingerprint: Fingerprint(1),
        };
        self.home.adopt(self.now, held.clone());
        self.home.adopt(self.now, held);
        let expires_at = self.now.after(expires_in);
        self.held
            .entry(permit)
            .or_insert(Held { entry, expires_at });
    }

    /// Makes calls fail until the upstream is ejected.
    pub(crate) fn eject(&mut self) {
        self.apply(Op::SetServiceMedian {
            median_ms: 20,
            may_eject: true,
        });
        for _ in 0..20 {
            let (requester, slack_ms, run_for_ms) = (0, 255, 255);
            self.apply(Op::Request {
                requester,
                priority: 0,
                slack_ms,
                run_for_ms,
                estimate: 1,
                may_redirect: false,
            });
            let died = 3;
            self.apply(Op::Release {
                which: 0,
                outcome: died,
                took_ms: 10,
            });
        }
        self.apply(Op::Cancel(0));
        assert!(self.home.summary(self.now).ejected);
    }

    pub(crate) fn poll(&mut self) {
        for event in self.home.poll(self.now) {
            match event {
                HomeEvent::Granted {
                    request,
                    permit,
                    expires_in,
                    ..
                } => {
                    let waiter = self.waiting.remove(&request).expect("it waited");
                    assert!(
                        waiter.slack_ends > self.now,
                        "granted after the slack ended"
                    );
                    self.check_grant(permit, expires_in, waiter);
                }
                HomeEvent::Dropped {
                    request, reason, ..
                } => {
                    let waiter = self.waiting.remove(&request).expect("it waited");
                    match reason {
                        RefusalReason::TooLate => assert!(waiter.slack_ends <= self.now),
                        RefusalReason::NoUpstream => {
                            let leaving = self.leaving || self.reported_leaving;
                            let ejected = self.home.summary(self.now).ejected;
                            assert!(leaving || (ejected && waiter.may_redirect));
                        }
                        other => panic!("{other:?} for a waiting request"),
                    }
                }
                HomeEvent::Expired { permit, entry } => {
                    let held = self.held.remove(&permit).expect("it was held");
                    assert_eq!(held.entry, entry);
                    assert!(held.expires_at <= self.now, "expired early");
                }
            }
        }
    }

    pub(crate) fn check(&self) {
        let now = self.now;
        let summary = self.home.summary(now);
        let mut permits: Vec<PermitId> = self.home.permits().map(|held| held.permit).collect();
        permits.sort_unstable();
        assert!(
            permits.iter().eq(self.held.keys()),
            "the held permits differ from the expected ones"
        );
        assert_eq!(summary.in_flight as usize, self.held.len());
        assert_eq!(summary.waiting as usize, self.waiting.len());
        assert!((1..=self.usable_slots()).contains(&summary.concurrency));
        assert!(self.held.values().all(|held| held.expires_at > now));
        assert!(self.waiting.values().all(|waiter| waiter.slack_ends > now));
        let leaving = self.leaving || self.reported_leaving;
        assert!(
            !leaving || self.waiting.is_empty(),
            "requests wait for a leaving upstream"
        );
        if !self.waiting.is_empty() && !summary.ejected {
            let max_headroom = (summary.concurrency / 2).max(1);
            let min_in_flight = summary.concurrency.saturating_sub(max_headroom).max(1);
            assert!(
                summary.in_flight >= min_in_flight,
                "requests wait although calls are free"
            );
        }
        let ends = self.held.values().map(|held| held.expires_at);
        let next = ends
            .chain(self.waiting.values().map(|waiter| waiter.slack_ends))
            .min();
        assert!(
            next.is_none() || self.home.next_wake() <= next,
            "the next wake is after the next expiry or slack end"
        );
        assert!(next.is_none() || self.home.next_wake().is_some());
    }
}

/// Returns true for few inputs. A leaving home grants nothing, so most sequences should not include it.
const fn is_rare(choice: u8) -> bool {
    choice < 16
}

fn nth<T>(items: impl Iterator<Item = T>, which: u8) -> Option<T> {
    let mut items: Vec<T> = items.collect();
    let index = usize::from(which) % items.len().max(1);
    (index < items.len()).then(|| items.swap_remove(index))
}

fn release(permit: PermitId, outcome: u8, took_ms: u8) -> Release {
    const OUTCOMES: [Outcome; 7] = [
        Outcome::Answered,
        Outcome::Rejected,
        Outcome::Failed,
        Outcome::Died,
        Outcome::TimedOut,
        Outcome::Cancelled,
        Outcome::Unused,
    ];
    let outcome = OUTCOMES[usize::from(outcome) % OUTCOMES.len()];
    support::release(permit, outcome, ms(u64::from(took_ms)))
}
