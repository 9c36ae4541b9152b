//! The entry's side of suspects: asking for trials, telling of deaths and of whole runs.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::BoxFuture;
use tc_policy::SuspectPolicy;
use tc_protocol::{
    Fingerprint, InstanceId, MonoTime, PermitRefusal, RefusalReason, ServiceName, UpstreamId,
};

use super::{
    confirm::{CalledUpstream, Confirmer},
    home::{MAY_RUN, Origin, QUARANTINED, SuspectHome},
    reported::ReportedSuspects,
    trial::TrialGuard,
};
use crate::{
    convert,
    generated::{SuspectAnswer, SuspectReport},
};

/// Wait before a suspect whose home cannot be reached is tried again.
const HOME_RETRY: Duration = Duration::from_millis(100);
/// Shortest wait between two questions for one trial.
const LEAST_RETRY: Duration = Duration::from_millis(5);
/// Time for the home's datagrams to reach every instance. Without it, a caller who is told of the failure and sends
/// again through another instance can be faster than the warning, and the input runs there as if it were unknown.
const SPREAD_TIME: Duration = Duration::from_millis(20);
/// Inputs of running calls whose origin is remembered, at most.
const MOST_ORIGINS: usize = 4_096;

/// Suspect fingerprints put into one datagram at most.
pub(crate) const SUSPECTS_PER_DATAGRAM: usize = 8;

/// Asks the node to tell every live instance of the suspects now.
pub(crate) type SpreadNow = Box<dyn Fn() + Send + Sync>;

/// Where a report to the home of some suspects went.
pub(crate) enum Told {
    /// This instance is their home.
    Here,
    /// Another instance is, and answered.
    There(SuspectAnswer),
    /// Their home cannot be reached.
    Nowhere,
}

/// Tells the home that a key names. All suspects of a service have one home: a home that knew only some of those that
/// were in flight on an upstream that died could not tell the guilty one from its neighbours.
pub(crate) type TellHome =
    Box<dyn Fn(String, SuspectReport) -> BoxFuture<'static, Told> + Send + Sync>;

/// All that this instance knows of suspects.
pub(crate) struct SuspectTable {
    me: InstanceId,
    tell_home: TellHome,
    reported: ReportedSuspects,
    /// Upstreams as they were when calls that ended in a broken connection were granted.
    called: Mutex<HashMap<Fingerprint, CalledUpstream>>,
    /// Of inputs that died here or run as suspects.
    origins: Mutex<HashMap<Fingerprint, Origin>>,
    home: SuspectHome,
    /// Whether a connection that broke means a death; without one it always does.
    confirmer: Option<Confirmer>,
    spread_now: Mutex<Option<SpreadNow>>,
}

impl SuspectTable {
    pub(crate) fn new(
        me: InstanceId,
        policy: SuspectPolicy,
        tell_home: TellHome,
        confirmer: Option<Confirmer>,
    ) -> Self {
        Self {
            me,
            tell_home,
            reported: ReportedSuspects::default(),
            origins: Mutex::default(),
            home: SuspectHome::new(policy),
            confirmer,
            called: Mutex::default(),
            spread_now: Mutex::default(),
        }
    }

    pub(crate) fn set_spread_now(&self, spread: SpreadNow) {
        *lock(&self.spread_now) = Some(spread);
    }

    /// Takes up the configured number of crashes that quarantine an input.
    pub(crate) fn set_crashes_to_quarantine(&self, now: MonoTime, crashes: u32) {
        self.home.set_crashes_to_quarantine(now, crashes);
    }

    /// Waits for leave to run an input: at once unless it is a suspect; a suspect runs once at a time.
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
        self.note_origin(fingerprint, origin);
        let question = SuspectReport {
            trial: fingerprint.0,
            ..self.empty_report(&service)
        };
        loop {
            let answer = self.tell(&question).await;
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
                    retry_after: HOME_RETRY,
                },
            };
            let wait = refusal.retry_after.clamp(LEAST_RETRY, HOME_RETRY);
            let out_of_time = MonoTime::now().since(started) + wait > slack;
            if refusal.reason == RefusalReason::Quarantined || out_of_time {
                return Err(refusal);
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Remembers whose input it is, for [`Self::report_crash`] and [`Self::report_completed`].
    pub(crate) fn note_origin(&self, fingerprint: Fingerprint, origin: Origin) {
        let mut origins = lock(&self.origins);
        if origins.len() >= MOST_ORIGINS {
            origins.clear();
        }
        origins.insert(fingerprint, origin);
    }

    /// Remembers what was called when a connection broke under an input, before [`Self::report_crash`].
    pub(crate) fn note_called(&self, fingerprint: Fingerprint, called: CalledUpstream) {
        let mut remembered = lock(&self.called);
        if remembered.len() >= MOST_ORIGINS {
            remembered.clear();
        }
        remembered.insert(fingerprint, called);
    }

    /// An upstream died under this input. Returns once the instances have been warned, so that a resend does not outrun
    /// the warning.
    pub(crate) async fn report_crash(
        self: Arc<Self>,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
    ) {
        let called = lock(&self.called).remove(&fingerprint);
        if let (Some(called), Some(confirmer)) = (called, &self.confirmer)
            && !confirmer.is_dead(&called).await
        {
            metrics::counter!("tc_false_deaths_total").increment(1);
            return;
        }
        self.reported.insert(MonoTime::now(), fingerprint);
        metrics::counter!("tc_suspects_total").increment(1);
        let Some(origin) = lock(&self.origins).get(&fingerprint).cloned() else {
            return;
        };
        let report = SuspectReport {
            died: vec![fingerprint.0],
            upstream: upstream.to_string(),
            workspace: origin.workspace.to_string(),
            ..self.empty_report(&origin.service)
        };
        self.tell(&report).await;
        tokio::time::sleep(SPREAD_TIME).await;
    }

    /// It ran to its end: no suspect any more.
    pub(crate) fn report_completed(self: &Arc<Self>, fingerprint: Fingerprint) {
        if !self.reported.contains(MonoTime::now(), fingerprint) {
            return;
        }
        // Unknown here: it became a suspect while it ran, elsewhere; its next trial will clear it.
        let Some(origin) = lock(&self.origins).remove(&fingerprint) else {
            return;
        };
        self.reported.remove(fingerprint);
        let cleared = vec![fingerprint.0];
        self.tell_later(SuspectReport {
            cleared,
            ..self.empty_report(&origin.service)
        });
    }

    pub(super) fn trial_ended(self: &Arc<Self>, service: &ServiceName, fingerprint: Fingerprint) {
        let trial_ended = fingerprint.0;
        self.tell_later(SuspectReport {
            trial_ended,
            ..self.empty_report(service)
        });
    }

    /// A home's answer to an entry's report.
    pub(crate) fn answer(&self, now: MonoTime, report: &SuspectReport) -> SuspectAnswer {
        let answer = self.home.answer(now, report);
        let died = report.died.iter().copied().map(Fingerprint).collect();
        let suspects = self.home.suspects_among(died);
        if !suspects.is_empty() {
            for suspect in suspects {
                self.reported.insert(now, suspect);
            }
            if let Some(spread) = lock(&self.spread_now).as_ref() {
                spread();
            }
        }
        answer
    }

    /// Suspects that a datagram told of.
    pub(crate) fn heard(&self, now: MonoTime, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            self.reported.insert(now, Fingerprint(*fingerprint));
        }
    }

    /// Suspects to tell others of: those this instance is home of, as only their home knows them to be current.
    pub(crate) fn to_gossip(&self, now: MonoTime, most: usize) -> Vec<u64> {
        if self.reported.is_empty() {
            return Vec::new();
        }
        let mut current = self.home.suspects_among(self.reported.all());
        for fingerprint in &current {
            self.reported.insert(now, *fingerprint);
        }
        current.truncate(most);
        current
            .into_iter()
            .map(|fingerprint| fingerprint.0)
            .collect()
    }

    /// Quarantined fingerprints known here, and whose they are where that is known.
    pub(crate) fn quarantined(&self) -> Vec<(Fingerprint, Option<Origin>)> {
        self.home.quarantined()
    }

    /// Takes up a quarantine that another instance put into the platform.
    pub(crate) fn adopt_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.home.adopt_quarantine(now, fingerprint);
        self.reported.insert(now, fingerprint);
    }

    /// Drops a quarantine that an operator lifted in the platform.
    pub(crate) fn lift_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.home.lift_quarantine(now, fingerprint);
        self.reported.remove(fingerprint);
    }

    /// Tells the service's home; `None` when it cannot be reached.
    async fn tell(&self, report: &SuspectReport) -> Option<SuspectAnswer> {
        let key = format!("suspects/{}", report.service);
        match (self.tell_home)(key, report.clone()).await {
            Told::Here => Some(self.answer(MonoTime::now(), report)),
            Told::There(answer) => Some(answer),
            Told::Nowhere => None,
        }
    }

    fn tell_later(self: &Arc<Self>, report: SuspectReport) {
        let table = Arc::clone(self);
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { table.tell(&report).await });
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
