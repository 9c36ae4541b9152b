//! The entry's side of suspects: requests trials and reports crashes and completed runs.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::{BoxFuture, join_all};
use tc_policy::SuspectPolicy;
use tc_protocol::{
    Fingerprint, InstanceId, MonoTime, PermitRefusal, RefusalReason, ServiceName, UpstreamId,
};
use tokio::task::JoinHandle;

use super::{
    crash_check::{CalledUpstream, CrashCheck},
    home::{MAY_RUN, Origin, QUARANTINED, SuspectHome},
    reported::ReportedSuspects,
    trial::TrialGuard,
};
use crate::{
    convert,
    generated::{SuspectAnswer, SuspectReport},
};

/// Retry delay for a suspect whose home is unreachable.
const HOME_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Minimum delay between two requests for the same trial.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Time for the home's datagrams to reach every instance. Without this delay, a caller that retries through another
/// instance after the failure can be faster than the datagrams, and the input runs there without a trial.
const GOSSIP_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of inputs whose origin or called upstream is stored.
const MAX_ORIGINS: usize = 4_096;

/// Maximum number of suspect fingerprints per datagram.
pub(crate) const MAX_SUSPECTS_PER_DATAGRAM: usize = 8;

/// Sends the suspects to every live instance immediately.
pub(crate) type AnnounceToAll = Box<dyn Fn() + Send + Sync>;

/// Result of sending a report to the home of the suspects.
pub(crate) enum ReportResult {
    /// This instance is the home and has to process the report itself.
    Local,
    /// Another instance is the home and answered.
    Answered(SuspectAnswer),
    /// The home is unreachable.
    Unreachable,
}

/// Sends a report to the home of a key. All suspects of a service have the same home: a home that knew only some of the
/// requests in flight on a crashed upstream could not tell the culprit from the others.
pub(crate) type SendReport =
    Box<dyn Fn(String, SuspectReport) -> BoxFuture<'static, ReportResult> + Send + Sync>;

/// Everything this instance knows about suspects.
pub(crate) struct SuspectTable {
    me: InstanceId,
    send_to_home: SendReport,
    reported: ReportedSuspects,
    /// Upstreams whose connection broke during a call, as known when the call was granted.
    called: Mutex<HashMap<Fingerprint, CalledUpstream>>,
    /// Origins of inputs that crashed an upstream here or run as suspects.
    origins: Mutex<HashMap<Fingerprint, Origin>>,
    /// Crash reports that are being sent in the background.
    sending: Mutex<HashMap<Fingerprint, Vec<JoinHandle<()>>>>,
    home: SuspectHome,
    /// Checks whether a broken connection means a crash; `None` means that it always does.
    crash_check: Option<CrashCheck>,
    announce_to_all: Mutex<Option<AnnounceToAll>>,
}

impl SuspectTable {
    pub(crate) fn new(
        me: InstanceId,
        policy: SuspectPolicy,
        send_to_home: SendReport,
        crash_check: Option<CrashCheck>,
    ) -> Self {
        Self {
            me,
            send_to_home,
            reported: ReportedSuspects::default(),
            origins: Mutex::default(),
            home: SuspectHome::new(policy),
            crash_check,
            called: Mutex::default(),
            sending: Mutex::default(),
            announce_to_all: Mutex::default(),
        }
    }

    pub(crate) fn set_announce_to_all(&self, announce_to_all: AnnounceToAll) {
        *lock(&self.announce_to_all) = Some(announce_to_all);
    }

    /// Applies the configured number of crashes after which an input is quarantined.
    pub(crate) fn set_crashes_to_quarantine(&self, now: MonoTime, crashes: u32) {
        self.home.set_crashes_to_quarantine(now, crashes);
    }

    /// Waits until an input may run. Returns a guard if it runs as a trial, or `None` at once if it is not a suspect.
    pub(crate) async fn try_trial(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        origin: Origin,
        slack: Duration,
    ) -> Result<Option<TrialGuard>, PermitRefusal> {
        let started = MonoTime::now();
        if !self.reported.contains(started, fingerprint) {
            return Ok(None);
        }
        let service = origin.service.clone();
        self.record_origin(fingerprint, origin);
        let report = SuspectReport {
            trial: fingerprint.0,
            ..self.empty_report(&service)
        };
        loop {
            let answer = self.send_report(&report).await;
            let refusal = match answer {
                Some(answer) if answer.trial == MAY_RUN => {
                    return Ok(Some(TrialGuard::new(
                        Arc::clone(self),
                        service,
                        fingerprint,
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
            tokio::time::sleep(wait).await;
        }
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

    /// Reports that an upstream crashed while it ran this input, unless the crash check finds that it did not crash.
    /// Returns after the other instances had time to learn of the crash, so that a resent request is recognized as a
    /// suspect.
    pub(crate) async fn report_crash(
        self: Arc<Self>,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
    ) {
        if self.send_crash(fingerprint, upstream).await {
            tokio::time::sleep(GOSSIP_DELAY).await;
        }
    }

    /// Sends a crash report in the background. Completed runs of this input are reported only after it.
    pub(crate) fn spawn_crash_report(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
    ) {
        let table = Arc::clone(self);
        let sent = tokio::spawn(async move {
            table.send_crash(fingerprint, upstream).await;
        });
        let mut sending = lock(&self.sending);
        sending.retain(|_, reports| !reports.iter().all(JoinHandle::is_finished));
        sending.entry(fingerprint).or_default().push(sent);
    }

    /// Sends a crash report to the home. Returns false if there was no crash or its origin is not known.
    async fn send_crash(&self, fingerprint: Fingerprint, upstream: UpstreamId) -> bool {
        let called = lock(&self.called).remove(&fingerprint);
        if let (Some(called), Some(crash_check)) = (called, &self.crash_check)
            && !crash_check.has_crashed(&called).await
        {
            metrics::counter!("tc_false_deaths_total").increment(1);
            return false;
        }
        self.reported.insert(MonoTime::now(), fingerprint);
        metrics::counter!("tc_suspects_total").increment(1);
        let Some(origin) = lock(&self.origins).get(&fingerprint).cloned() else {
            return false;
        };
        let report = SuspectReport {
            died: vec![fingerprint.0],
            upstream: upstream.to_string(),
            workspace: origin.workspace.to_string(),
            ..self.empty_report(&origin.service)
        };
        self.send_report(&report).await;
        true
    }

    /// Reports that an input ran to a complete result, which clears a suspect.
    pub(crate) fn report_completed(self: &Arc<Self>, fingerprint: Fingerprint) {
        let mut sending = lock(&self.sending).remove(&fingerprint).unwrap_or_default();
        sending.retain(|report| !report.is_finished());
        if sending.is_empty() {
            self.clear(fingerprint);
            return;
        }
        let table = Arc::clone(self);
        tokio::spawn(async move {
            // A report ends with an error only if the process is shutting down.
            join_all(sending).await;
            table.clear(fingerprint);
        });
    }

    fn clear(self: &Arc<Self>, fingerprint: Fingerprint) {
        if !self.reported.contains(MonoTime::now(), fingerprint) {
            return;
        }
        // Without an origin, it became a suspect during this run because of a crash elsewhere. Its next trial clears it.
        let Some(origin) = lock(&self.origins).remove(&fingerprint) else {
            return;
        };
        self.reported.remove(fingerprint);
        let cleared = vec![fingerprint.0];
        self.spawn_report(SuspectReport {
            cleared,
            ..self.empty_report(&origin.service)
        });
    }

    pub(super) fn report_trial_end(
        self: &Arc<Self>,
        service: &ServiceName,
        fingerprint: Fingerprint,
    ) {
        let trial_ended = fingerprint.0;
        self.spawn_report(SuspectReport {
            trial_ended,
            ..self.empty_report(service)
        });
    }

    /// Processes an entry's report as the home and returns the answer.
    pub(crate) fn handle_report(&self, now: MonoTime, report: &SuspectReport) -> SuspectAnswer {
        let answer = self.home.handle_report(now, report);
        let in_flight = report.died.iter().copied().map(Fingerprint).collect();
        let suspects = self.home.suspects_among(in_flight);
        if !suspects.is_empty() {
            for suspect in suspects {
                self.reported.insert(now, suspect);
            }
            if let Some(announce_to_all) = lock(&self.announce_to_all).as_ref() {
                announce_to_all();
            }
        }
        answer
    }

    /// Records suspects from a datagram.
    pub(crate) fn record_gossiped(&self, now: MonoTime, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            self.reported.insert(now, Fingerprint(*fingerprint));
        }
    }

    /// Returns the suspects to send to other instances. These are only the ones whose home is here, because only the
    /// home knows that they are current.
    pub(crate) fn to_gossip(&self, now: MonoTime, max: usize) -> Vec<u64> {
        if self.reported.is_empty() {
            return Vec::new();
        }
        let mut current = self.home.suspects_among(self.reported.all());
        for fingerprint in &current {
            self.reported.insert(now, *fingerprint);
        }
        current.truncate(max);
        current
            .into_iter()
            .map(|fingerprint| fingerprint.0)
            .collect()
    }

    /// Returns the quarantined fingerprints known here with their origins, where known.
    pub(crate) fn quarantined(&self) -> Vec<(Fingerprint, Option<Origin>)> {
        self.home.quarantined()
    }

    /// Adds a quarantine that another instance stored in the platform.
    pub(crate) fn adopt_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.home.adopt_quarantine(now, fingerprint);
        self.reported.insert(now, fingerprint);
    }

    /// Removes a quarantine that an operator lifted in the platform.
    pub(crate) fn lift_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.home.lift_quarantine(now, fingerprint);
        self.reported.remove(fingerprint);
    }

    /// Sends a report to the home of its service. Returns `None` if the home is unreachable.
    async fn send_report(&self, report: &SuspectReport) -> Option<SuspectAnswer> {
        let key = format!("suspects/{}", report.service);
        match (self.send_to_home)(key, report.clone()).await {
            ReportResult::Local => Some(self.handle_report(MonoTime::now(), report)),
            ReportResult::Answered(answer) => Some(answer),
            ReportResult::Unreachable => {
                log::warn!(service = report.service.as_str(), crashed = report.died.len(), cleared = report.cleared.len(), trial = report.trial != 0; "home of suspects unreachable");
                None
            }
        }
    }

    fn spawn_report(self: &Arc<Self>, report: SuspectReport) {
        let table = Arc::clone(self);
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { table.send_report(&report).await });
        }
    }

    fn empty_report(&self, service: &ServiceName) -> SuspectReport {
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
