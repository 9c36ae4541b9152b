//! The entry's side of suspects: decides whether an input may run, and reports crashes and completed runs.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::{
    FutureExt,
    future::{BoxFuture, Shared, join_all},
};
use prost::Message as _;
use tc_policy::{QUARANTINE_RETRY_AFTER, SuspectPolicy, Trial};
use tc_protocol::{
    Fingerprint, InstanceId, Member, MonoTime, PermitRefusal, RefusalReason, ServiceName,
    UpstreamId,
};
use tokio::time::{sleep, timeout};

use super::{
    crash_check::{CalledUpstream, CrashCheck},
    evidence::{evidence_from_wire, evidence_to_wire},
    home::{MAY_RUN, Origin, QUARANTINED, SuspectHome},
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
/// Time for the home's datagrams to reach every instance. Without this delay, a caller that retries through another
/// instance after the failure can be faster than the datagrams, and the input runs there without a trial.
const GOSSIP_DELAY: Duration = Duration::from_millis(20);
/// Time for which changes are collected before they are sent to all instances.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(5);
/// Delay before a report that was not delivered is sent again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest time for which the next run of an input waits for its crash reports.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(300);
/// Number of times that a report is sent to an instance that does not answer.
const MAX_REPORT_SENDS: u32 = 5;
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

/// Parts of the prompt of a request that was running when its upstream's connection broke.
pub(crate) struct BlamedParts {
    pub(crate) service: ServiceName,
    pub(crate) parts: Vec<Fingerprint>,
    /// Finds out whether the upstream crashed; otherwise nothing is reported.
    pub(crate) has_crashed: BoxFuture<'static, bool>,
}

/// A run during which its upstream crashed.
struct CrashedRun {
    fingerprint: Fingerprint,
    upstream: UpstreamId,
    crashed_at: MonoTime,
    was_trial: bool,
}

/// A report that is being sent in the background.
type Sending = Shared<BoxFuture<'static, ()>>;

/// Everything this instance knows about suspects.
pub(crate) struct SuspectTable {
    me: InstanceId,
    peers: SuspectPeers,
    /// Upstreams whose connection broke during a call, as known when the call was granted.
    called: Mutex<HashMap<Fingerprint, CalledUpstream>>,
    /// Inputs that run as trials here.
    trials: Mutex<HashSet<Fingerprint>>,
    /// Origins of inputs that crashed an upstream here or run as suspects.
    origins: Mutex<HashMap<Fingerprint, Origin>>,
    /// Crash reports that are being sent in the background.
    sending: Mutex<HashMap<Fingerprint, Vec<Sending>>>,
    home: SuspectHome,
    /// Checks whether a broken connection means a crash; `None` means that it always does.
    crash_check: Option<CrashCheck>,
    announce_to_all: Mutex<Option<AnnounceToAll>>,
    /// Whether changes are being collected for [`Self::announce_to_all`].
    is_announcing: AtomicBool,
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
            home: SuspectHome::new(policy),
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
        self.wait_for_reports(fingerprint).await;
        self.refuse_quarantined(fingerprint)?;
        if self.home.local_verdict(MonoTime::now(), fingerprint) == Trial::Run {
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
        match self.home.local_verdict(MonoTime::now(), fingerprint) {
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
        if self.home.has_quarantined_part(parts) {
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

    /// Reports that an upstream crashed while it ran this input, unless the crash check finds that it did not crash.
    /// Returns after the other instances had time to learn of the crash, so that a resent request is recognized as a
    /// suspect.
    pub(crate) async fn report_crash(
        self: Arc<Self>,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
    ) {
        let run = self.end_run(fingerprint, upstream);
        if self.send_crash(run).await {
            tokio::time::sleep(GOSSIP_DELAY).await;
        }
    }

    /// Sends a crash report in the background. The next run and the completed runs of this input wait for it.
    pub(crate) fn spawn_crash_report(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        parts: BlamedParts,
    ) {
        let (table, run) = (Arc::clone(self), self.end_run(fingerprint, upstream));
        let (service, upstream) = (parts.service.clone(), run.upstream.clone());
        let crashed_at = run.crashed_at;
        let sent = tokio::spawn(async move {
            table.send_crash(run).await;
            if parts.parts.is_empty() || !parts.has_crashed.await {
                return;
            }
            let report = SuspectReport {
                died_parts: parts.parts.iter().map(|part| part.0).collect(),
                upstream: upstream.to_string(),
                id: rand::random(),
                ..table.empty_report(&service)
            };
            table.send_to_all_copies(&service, report, crashed_at).await;
        });
        // The task fails only if the process is shutting down.
        let sent = sent.map(|_| ()).boxed().shared();
        let mut sending = lock(&self.sending);
        sending.retain(|_, reports| !reports.iter().all(|report| report.peek().is_some()));
        sending.entry(fingerprint).or_default().push(sent);
    }

    fn end_run(&self, fingerprint: Fingerprint, upstream: UpstreamId) -> CrashedRun {
        CrashedRun {
            fingerprint,
            upstream,
            crashed_at: MonoTime::now(),
            was_trial: lock(&self.trials).remove(&fingerprint),
        }
    }

    /// Sends a crash report to the home and the copies of its evidence. Returns when the first of them has it. Returns
    /// false if there was no crash or its origin is not known.
    async fn send_crash(self: &Arc<Self>, run: CrashedRun) -> bool {
        let fingerprint = run.fingerprint;
        let called = lock(&self.called).remove(&fingerprint);
        if let (Some(called), Some(crash_check)) = (called, &self.crash_check)
            && !crash_check.has_crashed(&called).await
        {
            metrics::counter!("tc_false_deaths_total").increment(1);
            return false;
        }
        metrics::counter!("tc_suspects_total").increment(1);
        let Some(origin) = lock(&self.origins).get(&fingerprint).cloned() else {
            return false;
        };
        let report = SuspectReport {
            died: vec![fingerprint.0],
            upstream: run.upstream.to_string(),
            workspace: origin.workspace.to_string(),
            id: rand::random(),
            was_trial: run.was_trial,
            ..self.empty_report(&origin.service)
        };
        self.send_to_all_copies(&origin.service, report, run.crashed_at)
            .await;
        true
    }

    /// Reports that a request ran to a complete result, which clears it and the parts of its prompt, as far as `cleared`
    /// has them. Without a service, it is the one that the request was last reported for.
    pub(crate) fn report_completed(
        self: &Arc<Self>,
        input: Fingerprint,
        cleared: &[Fingerprint],
        service: Option<&ServiceName>,
    ) {
        let sending = lock(&self.sending).remove(&input).unwrap_or_default();
        if sending.is_empty() && self.with_crashes(cleared).is_empty() {
            return;
        }
        // Without an origin, it became a suspect during this run because of a crash elsewhere. Its next trial clears it.
        let known = lock(&self.origins).get(&input).cloned();
        let Some(service) = service.cloned().or(known.map(|origin| origin.service)) else {
            return;
        };
        let (table, cleared) = (Arc::clone(self), cleared.to_vec());
        spawn(async move {
            join_all(sending).await;
            let cleared = table.with_crashes(&cleared);
            if cleared.is_empty() {
                return;
            }
            let report = SuspectReport {
                cleared: cleared.iter().map(|fp| fp.0).collect(),
                evidence: table.wire_evidence(&cleared),
                ..table.empty_report(&service)
            };
            table
                .send_to_all_copies(&service, report, MonoTime::now())
                .await;
        });
    }

    fn with_crashes(&self, fps: &[Fingerprint]) -> Vec<Fingerprint> {
        let fps = fps.iter().copied();
        fps.filter(|fp| self.home.has_crashes(*fp)).collect()
    }

    pub(super) fn report_trial_end(
        self: &Arc<Self>,
        service: &ServiceName,
        fingerprint: Fingerprint,
    ) {
        lock(&self.trials).remove(&fingerprint);
        let report = SuspectReport {
            trial_ended: fingerprint.0,
            ..self.empty_report(service)
        };
        let (table, service) = (Arc::clone(self), service.clone());
        spawn(async move {
            // If no instance answers, the trial expires.
            for member in table.home_and_copies(&service) {
                if table.send_to(&member, &report).await.is_some() {
                    return;
                }
            }
        });
    }

    /// Processes a report of this instance or another one and returns the answer.
    pub(crate) fn handle_report(
        self: &Arc<Self>,
        now: MonoTime,
        report: &SuspectReport,
    ) -> SuspectAnswer {
        let answer = self.home.handle_report(now, report);
        if report.announce && self.home.is_shared(report) {
            self.announce_soon();
        }
        answer
    }

    /// Adds evidence from a datagram.
    pub(crate) fn receive_evidence(&self, now: MonoTime, evidence: &[CrashEvidence]) {
        for evidence in evidence {
            self.home.merge(now, &evidence_from_wire(evidence));
        }
    }

    /// Adds evidence to a datagram, as far as there is room.
    pub(crate) fn add_evidence(&self, now: MonoTime, datagram: &mut Datagram) {
        let evidence = self.home.evidence_to_send(now, MAX_EVIDENCE_PER_DATAGRAM);
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
        self.home.quarantined()
    }

    /// Adds a quarantine that another instance stored in the platform.
    pub(crate) fn adopt_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.home.adopt_quarantine(now, fingerprint);
    }

    /// Removes a quarantine that an operator lifted in the platform.
    pub(crate) fn lift_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.home.lift_quarantine(now, fingerprint);
    }

    /// Keeps a report here, and sends it to the home of its service and to the copies of its evidence. Returns once the
    /// home has it, or a copy if the home does not answer.
    async fn send_to_all_copies(
        self: &Arc<Self>,
        service: &ServiceName,
        mut report: SuspectReport,
        since: MonoTime,
    ) {
        let mut members = self.home_and_copies(service);
        let home = members.first().map(|member| member.id.clone());
        report.announce = home.as_ref() == Some(&self.me);
        self.handle_report(MonoTime::now(), &report);
        members.retain(|member| member.id != self.me);
        let is_at_home = std::mem::replace(&mut report.announce, false);
        let first_copy = usize::from(!is_at_home);
        for copy in members.iter().skip(first_copy) {
            let (table, copy, report) = (Arc::clone(self), copy.clone(), report.clone());
            spawn(async move {
                table.deliver(&copy, report, since).await;
            });
        }
        if is_at_home {
            return;
        }
        report.announce = true;
        for member in &members {
            if self.deliver(member, report.clone(), since).await {
                return;
            }
        }
        log::warn!(service = service.as_str(), crashed = report.died.len(), cleared = report.cleared.len(); "home of suspects unreachable");
    }

    /// Sends a report to an instance until it answers. Returns false if it does not.
    async fn deliver(
        self: &Arc<Self>,
        member: &Member,
        mut report: SuspectReport,
        since: MonoTime,
    ) -> bool {
        for send in 0..MAX_REPORT_SENDS {
            if send > 0 {
                sleep(REPORT_RETRY_DELAY).await;
            }
            report.age_ms = convert::millis(MonoTime::now().since(since));
            if self.send_to(member, &report).await.is_some() {
                return true;
            }
        }
        false
    }

    async fn send_to(
        self: &Arc<Self>,
        member: &Member,
        report: &SuspectReport,
    ) -> Option<SuspectAnswer> {
        if member.id == self.me {
            return Some(self.handle_report(MonoTime::now(), report));
        }
        (self.peers.send)(member.clone(), report.clone()).await
    }

    fn home_and_copies(&self, service: &ServiceName) -> Vec<Member> {
        (self.peers.home_and_copies)(&format!("suspects/{service}"))
    }

    /// Sends the evidence to all instances after a moment, once for all changes until then.
    fn announce_soon(self: &Arc<Self>) {
        if self.is_announcing.swap(true, Ordering::AcqRel) {
            return;
        }
        let table = Arc::clone(self);
        spawn(async move {
            sleep(ANNOUNCE_DELAY).await;
            table.is_announcing.store(false, Ordering::Release);
            if let Some(announce_to_all) = lock(&table.announce_to_all).as_ref() {
                announce_to_all();
            }
        });
    }

    fn wire_evidence(&self, fps: &[Fingerprint]) -> Vec<CrashEvidence> {
        let now = MonoTime::now();
        let evidence = fps.iter().filter_map(|fp| self.home.evidence_of(now, *fp));
        evidence
            .map(|evidence| evidence_to_wire(&evidence))
            .collect()
    }

    fn empty_report(&self, service: &ServiceName) -> SuspectReport {
        SuspectReport {
            from: self.me.to_string(),
            service: service.to_string(),
            ..SuspectReport::default()
        }
    }
}

/// Runs a task in the background. Guards may be dropped after the runtime has ended.
fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(task);
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
