//! Reports of crashes and completed runs: kept here, and sent to the home of their service and its copies.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::{
    FutureExt,
    future::{BoxFuture, Shared, join_all},
};
use tc_protocol::{Fingerprint, Member, MonoTime, ServiceName, UpstreamId};
use tokio::time::{sleep, timeout};

use super::{
    crash_check::MAX_CHECK_TIME,
    table::{MAX_REPORT_WAIT, SuspectTable, lock},
};
use crate::{
    convert,
    generated::{SuspectAnswer, SuspectReport},
};

/// Time for the home's datagrams to reach every instance. Without this delay, a caller that retries through another
/// instance after the failure can be faster than the datagrams, and the input runs there without a trial.
const GOSSIP_DELAY: Duration = Duration::from_millis(20);
/// Time for which changes are collected before they are sent to all instances.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(5);
/// Delay before a report that was not delivered is sent again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of times that a report is sent to an instance that does not answer.
const MAX_REPORT_SENDS: u32 = 5;

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

impl CrashedRun {
    fn new(fingerprint: Fingerprint, upstream: UpstreamId, was_trial: bool) -> Self {
        Self {
            fingerprint,
            upstream,
            crashed_at: MonoTime::now(),
            was_trial,
        }
    }
}

/// A report that is being sent in the background.
pub(super) type Sending = Shared<BoxFuture<'static, ()>>;

impl SuspectTable {
    /// Reports that an upstream crashed while it ran this input, unless the crash check finds that it did not crash.
    /// Returns after the other instances had time to learn of the crash, so that a resent request is recognized as a
    /// suspect.
    pub(crate) async fn report_crash(
        self: Arc<Self>,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
    ) {
        let was_trial = lock(&self.trials).remove(&fingerprint);
        let run = CrashedRun::new(fingerprint, upstream, was_trial);
        let table = Arc::clone(&self);
        let sent = tokio::spawn(async move { table.send_crash(run).await });
        // The caller does not wait for instances that do not answer; the report is sent on in the background.
        let sent = timeout(MAX_CHECK_TIME + MAX_REPORT_WAIT, sent).await;
        if !matches!(sent, Ok(Ok(false))) {
            sleep(GOSSIP_DELAY).await;
        }
    }

    /// Sends a crash report in the background. The next run and the completed runs of this input wait for it.
    pub(crate) fn spawn_crash_report(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        was_alone: bool,
        blamed: BlamedParts,
    ) {
        lock(&self.trials).remove(&fingerprint);
        let run = CrashedRun::new(fingerprint, upstream, was_alone);
        let table = Arc::clone(self);
        let (service, upstream) = (blamed.service.clone(), run.upstream.clone());
        let crashed_at = run.crashed_at;
        let sent = tokio::spawn(async move {
            table.send_crash(run).await;
            if blamed.parts.is_empty() || !blamed.has_crashed.await {
                return;
            }
            let report = SuspectReport {
                died_parts: blamed.parts.iter().map(|part| part.0).collect(),
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
        fps.filter(|fp| self.known.has_crashes(*fp)).collect()
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

    pub(super) async fn send_to(
        self: &Arc<Self>,
        member: &Member,
        report: &SuspectReport,
    ) -> Option<SuspectAnswer> {
        if member.id == self.me {
            return Some(self.handle_report(MonoTime::now(), report));
        }
        (self.peers.send)(member.clone(), report.clone()).await
    }

    pub(super) fn home_and_copies(&self, service: &ServiceName) -> Vec<Member> {
        (self.peers.home_and_copies)(&format!("suspects/{service}"))
    }

    /// Sends the evidence to all instances after a moment, once for all changes until then.
    pub(super) fn announce_soon(self: &Arc<Self>) {
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
}

/// Runs a task in the background. Guards may be dropped after the runtime has ended.
fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(task);
    }
}
