//! The entry's side of suspects: decides whether an input may run, and reports crashes and completed runs.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Duration,
};

use futures::future::{BoxFuture, join_all};
use prost::Message as _;
use tc_policy::{QUARANTINE_RETRY_AFTER, SuspectPolicy, Trial};
use tc_protocol::{
    Fingerprint, InstanceId, Member, MonoTime, PermitRefusal, RefusalReason, ServiceName,
};
use tokio::time::{sleep, timeout};

use super::{
    crash_check::{CalledUpstream, CrashCheck},
    evidence::{evidence_from_wire, evidence_to_wire},
    known::{KnownSuspects, MAY_RUN, Origin, QUARANTINED},
    reports::Sending,
    trial::TrialGuard,
};
use crate::{
    convert,
    generated::{CrashEvidence, Datagram, SuspectAnswer, SuspectReport},
};

/// Retry delay for a suspect whose home is unreachable.
const HOME_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Minimum delay between two requests for the same trial.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Longest time for which the next run of an input waits for its crash reports.
pub(super) const MAX_REPORT_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of inputs whose origin or called upstream is stored.
const MAX_ORIGINS: usize = 4_096;
/// Maximum number of inputs whose evidence is added to a datagram.
const MAX_EVIDENCE_PER_DATAGRAM: usize = 8;
/// Maximum size of a datagram, in bytes, with the evidence that is added to it.
const MAX_BYTES_WITH_EVIDENCE: usize = 900;

/// Sends the evidence to every live instance immediately.
pub(crate) type AnnounceToAll = Box<dyn Fn() + Send + Sync>;

type FindMembers = Box<dyn Fn(&str) -> Vec<Member> + Send + Sync>;
type SendReport =
    Box<dyn Fn(Member, SuspectReport) -> BoxFuture<'static, Option<SuspectAnswer>> + Send + Sync>;

/// The instances that decide on the suspects of a service.
pub(crate) struct SuspectPeers {
    /// Returns the home of a key and the instances that keep a copy of what it knows, the home first. All suspects of a
    /// service have the same home: a home that knew only some of the requests in flight on a crashed upstream could not
    /// tell the culprit from the others.
    pub(crate) home_and_copies: FindMembers,
    /// Sends a report to another instance; `None` if it does not answer.
    pub(crate) send: SendReport,
}

/// Everything this instance knows about suspects.
pub(crate) struct SuspectTable {
    pub(super) me: InstanceId,
    pub(super) peers: SuspectPeers,
    /// Upstreams whose connection broke during a call, as known when the call was granted.
    pub(super) called: Mutex<HashMap<Fingerprint, CalledUpstream>>,
    /// Inputs that run as trials here.
    pub(super) trials: Mutex<HashSet<Fingerprint>>,
    /// Origins of inputs that crashed an upstream here or run as suspects.
    pub(super) origins: Mutex<HashMap<Fingerprint, Origin>>,
    /// Crash reports that are being sent in the background.
    pub(super) sending: Mutex<HashMap<Fingerprint, Vec<Sending>>>,
    pub(super) known: KnownSuspects,
    /// Checks whether a broken connection means a crash; `None` means that it always does.
    pub(super) crash_check: Option<CrashCheck>,
    pub(super) announce_to_all: Mutex<Option<AnnounceToAll>>,
    /// Whether changes are being collected for [`Self::announce_to_all`].
    pub(super) is_announcing: AtomicBool,
}

impl SuspectTable {
    pub(crate) fn new(
        me: InstanceId,
        policy: SuspectPolicy,
        peers: SuspectPeers,
        crash_check: Option<CrashCheck>,
    ) -> Self {
        Self {
            me,
            peers,
            origins: Mutex::default(),
            known: KnownSuspects::new(policy),
            crash_check,
            called: Mutex::default(),
            trials: Mutex::default(),
            sending: Mutex::default(),
            announce_to_all: Mutex::default(),
            is_announcing: AtomicBool::new(false),
        }
    }

    pub(crate) fn set_announce_to_all(&self, announce_to_all: AnnounceToAll) {
        *lock(&self.announce_to_all) = Some(announce_to_all);
    }

    /// Applies the configured number of crashes after which an input is quarantined.
    pub(crate) fn set_crashes_to_quarantine(&self, now: MonoTime, crashes: u32) {
        self.known.set_crashes_to_quarantine(now, crashes);
    }

    /// Waits until an input may run. Returns a guard if it runs as a trial, or `None` at once if it is not a suspect.
    pub(crate) async fn try_trial(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        origin: Origin,
        slack: Duration,
    ) -> Result<Option<TrialGuard>, PermitRefusal> {
        let started = MonoTime::now();
        self.wait_for_reports(fingerprint).await;
        self.refuse_quarantined(fingerprint)?;
        if self.known.local_verdict(MonoTime::now(), fingerprint) == Trial::Run {
            return Ok(None);
        }
        let service = origin.service.clone();
        self.record_origin(fingerprint, origin);
        loop {
            let refusal = match self.ask_for_trial(&service, fingerprint).await {
                Some(answer) if answer.trial == MAY_RUN => {
                    lock(&self.trials).insert(fingerprint);
                    return Ok(Some(TrialGuard::new(
                        Arc::clone(self),
                        service,
                        fingerprint,
                        answer.is_alone,
                    )));
                }
                Some(answer) => refusal(answer),
                None => PermitRefusal {
                    reason: RefusalReason::HomeUnreachable,
                    retry_after: HOME_RETRY_DELAY,
                },
            };
            let wait = refusal.retry_after.clamp(MIN_RETRY_DELAY, HOME_RETRY_DELAY);
            let out_of_time = MonoTime::now().since(started) + wait > slack;
            if refusal.reason == RefusalReason::Quarantined || out_of_time {
                return Err(refusal);
            }
            sleep(wait).await;
        }
    }

    /// Refuses an input that is quarantined as far as this instance knows.
    pub(crate) fn refuse_quarantined(&self, fingerprint: Fingerprint) -> Result<(), PermitRefusal> {
        match self.known.local_verdict(MonoTime::now(), fingerprint) {
            Trial::Quarantined { retry_after } => Err(PermitRefusal {
                reason: RefusalReason::Quarantined,
                retry_after,
            }),
            Trial::Run | Trial::Busy { .. } => Ok(()),
        }
    }

    /// Refuses a request if parts of its prompt are quarantined as far as this instance knows.
    pub(crate) fn refuse_quarantined_parts(
        &self,
        parts: &[Fingerprint],
    ) -> Result<(), PermitRefusal> {
        if self.known.has_quarantined_part(parts) {
            return Err(PermitRefusal {
                reason: RefusalReason::Quarantined,
                retry_after: QUARANTINE_RETRY_AFTER,
            });
        }
        Ok(())
    }

    /// Asks the home of a service whether an input may run, or the next instance that keeps a copy of its evidence.
    async fn ask_for_trial(
        self: &Arc<Self>,
        service: &ServiceName,
        fingerprint: Fingerprint,
    ) -> Option<SuspectAnswer> {
        let report = SuspectReport {
            trial: fingerprint.0,
            evidence: self.wire_evidence(&[fingerprint]),
            ..self.empty_report(service)
        };
        for member in self.home_and_copies(service) {
            let answer = self.send_to(&member, &report).await;
            if answer.is_some() {
                return answer;
            }
        }
        log::warn!(service = service.as_str(); "home of suspects unreachable");
        None
    }

    /// Waits until the crash reports of an input that are being sent have arrived, but not long.
    async fn wait_for_reports(&self, fingerprint: Fingerprint) {
        let sending = lock(&self.sending).get(&fingerprint).cloned();
        let sent = join_all(sending.unwrap_or_default());
        // Without the report, the next run is decided on what is known here.
        let _ = timeout(MAX_REPORT_WAIT, sent).await;
    }

    /// Stores the origin of an input for [`Self::report_crash`] and [`Self::report_completed`].
    pub(crate) fn record_origin(&self, fingerprint: Fingerprint, origin: Origin) {
        let mut origins = lock(&self.origins);
        if origins.len() >= MAX_ORIGINS {
            origins.clear();
        }
        origins.insert(fingerprint, origin);
    }

    /// Stores the upstream whose connection broke during a call, for a later [`Self::report_crash`].
    pub(crate) fn record_called(&self, fingerprint: Fingerprint, called: CalledUpstream) {
        let mut calls = lock(&self.called);
        if calls.len() >= MAX_ORIGINS {
            calls.clear();
        }
        calls.insert(fingerprint, called);
    }

    /// Processes a report of this instance or another one and returns the answer.
    pub(crate) fn handle_report(
        self: &Arc<Self>,
        now: MonoTime,
        report: &SuspectReport,
    ) -> SuspectAnswer {
        let answer = self.known.handle_report(now, report);
        if report.announce && self.known.is_shared(report) {
            self.announce_soon();
        }
        answer
    }

    /// Adds evidence from a datagram.
    pub(crate) fn receive_evidence(&self, now: MonoTime, evidence: &[CrashEvidence]) {
        for evidence in evidence {
            self.known.merge(now, &evidence_from_wire(evidence));
        }
    }

    /// Adds evidence to a datagram, as far as there is room.
    pub(crate) fn add_evidence(&self, now: MonoTime, datagram: &mut Datagram) {
        let evidence = self.known.evidence_to_send(now, MAX_EVIDENCE_PER_DATAGRAM);
        for evidence in evidence {
            datagram.evidence.push(evidence_to_wire(&evidence));
            if datagram.encoded_len() > MAX_BYTES_WITH_EVIDENCE {
                datagram.evidence.pop();
                return;
            }
        }
    }

    /// Returns the quarantined fingerprints known here with their origins, where known.
    pub(crate) fn quarantined(&self) -> Vec<(Fingerprint, Option<Origin>)> {
        self.known.quarantined()
    }

    /// Adds a quarantine that another instance stored in the platform.
    pub(crate) fn adopt_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.known.adopt_quarantine(now, fingerprint);
    }

    /// Removes a quarantine that an operator lifted in the platform.
    pub(crate) fn lift_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.known.lift_quarantine(now, fingerprint);
    }

    pub(super) fn wire_evidence(&self, fps: &[Fingerprint]) -> Vec<CrashEvidence> {
        let now = MonoTime::now();
        let evidence = fps.iter().filter_map(|fp| self.known.evidence_of(now, *fp));
        evidence
            .map(|evidence| evidence_to_wire(&evidence))
            .collect()
    }

    pub(super) fn empty_report(&self, service: &ServiceName) -> SuspectReport {
        SuspectReport {
            from: self.me.to_string(),
            service: service.to_string(),
            ..SuspectReport::default()
        }
    }
}

fn refusal(answer: SuspectAnswer) -> PermitRefusal {
    let reason = if answer.trial == QUARANTINED {
        RefusalReason::Quarantined
    } else {
        RefusalReason::TooLate
    };
    PermitRefusal {
        reason,
        retry_after: convert::from_millis(answer.retry_after_ms),
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
