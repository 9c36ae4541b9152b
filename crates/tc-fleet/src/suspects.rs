//! Requests that may crash upstreams: what this instance has heard, and the fingerprints it is home of.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tc_membership::home_of;
use tc_policy::{Suspects, Trial};
use tc_protocol::{
    AskRefusal, Fingerprint, FleetView, Incarnation, Member, MonoTime, Outcome, RefusalReason,
    ServiceName, UpstreamId, WorkspaceName,
};

use crate::{
    convert,
    generated::{SuspectAnswer, SuspectReport},
    peers::{PeerPool, timed},
};

/// A suspect not heard of for this long is forgotten by those who are not its home.
const HEARSAY: Duration = Duration::from_mins(1);
/// Suspects remembered at most; one beyond that pushes out the one heard longest ago.
const MOST_HEARD: usize = 4_096;
/// Wait before a suspect whose home cannot be reached is tried again.
const HOME_RETRY: Duration = Duration::from_millis(100);

const MAY_RUN: u32 = 0;
const BUSY: u32 = 1;
const QUARANTINED: u32 = 2;

/// Asks the node to tell every live instance of the suspects now.
pub(crate) type SpreadNow = Box<dyn Fn() + Send + Sync>;

/// Whose input a suspect is.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    pub(crate) workspace: WorkspaceName,
    pub(crate) service: ServiceName,
}

/// All that this instance knows of suspects.
pub(crate) struct SuspectTable {
    view: Arc<ArcSwap<FleetView>>,
    peers: Arc<PeerPool>,
    // Mirrors the size of `heard`, so that the ordinary request, with no suspect about, takes no lock.
    count: AtomicUsize,
    heard: Mutex<HashMap<Fingerprint, MonoTime>>,
    origins: Mutex<HashMap<Fingerprint, Origin>>,
    home: Mutex<Suspects>,
    spread_now: Mutex<Option<SpreadNow>>,
}

/// A running trial; ends at its home when dropped.
pub(crate) struct TrialGuard {
    table: Arc<SuspectTable>,
    fingerprint: Fingerprint,
    ended: bool,
}

impl SuspectTable {
    pub(crate) fn new(view: Arc<ArcSwap<FleetView>>, peers: Arc<PeerPool>, crashes: u32) -> Self {
        Self {
            view,
            peers,
            count: AtomicUsize::new(0),
            heard: Mutex::default(),
            origins: Mutex::default(),
            home: Mutex::new(Suspects::new(crashes)),
            spread_now: Mutex::default(),
        }
    }

    pub(crate) fn set_spread_now(&self, spread: SpreadNow) {
        *self
            .spread_now
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(spread);
    }

    /// Waits for leave to run an input: at once unless it is a suspect; a suspect runs once at a time.
    pub(crate) async fn try_trial(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        slack: Duration,
    ) -> Result<Option<TrialGuard>, AskRefusal> {
        if !self.is_heard(fingerprint) {
            return Ok(None);
        }
        let started = MonoTime::now();
        loop {
            let answer = self
                .tell(
                    &SuspectReport {
                        trial: fingerprint.0,
                        ..self.empty_report()
                    },
                    fingerprint,
                )
                .await;
            let (reason, wait) = match answer {
                Some(answer) if answer.trial == MAY_RUN => {
                    let table = Arc::clone(self);
                    return Ok(Some(TrialGuard {
                        table,
                        fingerprint,
                        ended: false,
                    }));
                }
                Some(answer) if answer.trial == QUARANTINED => {
                    let retry_after = convert::from_millis(answer.retry_after_ms);
                    return Err(AskRefusal {
                        reason: RefusalReason::Quarantined,
                        retry_after,
                    });
                }
                Some(answer) => (
                    RefusalReason::TooLate,
                    convert::from_millis(answer.retry_after_ms),
                ),
                None => (RefusalReason::HomeUnreachable, HOME_RETRY),
            };
            let wait = wait.clamp(Duration::from_millis(5), HOME_RETRY);
            if MonoTime::now().since(started) + wait > slack {
                return Err(AskRefusal {
                    reason,
                    retry_after: wait,
                });
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Remembers whose input it is, before its death is told.
    pub(crate) fn note_origin(&self, fingerprint: Fingerprint, origin: Origin) {
        let mut origins = lock(&self.origins);
        if origins.len() < MOST_HEARD {
            origins.insert(fingerprint, origin);
        }
    }

    /// An upstream died under this input. Returns once its home knows, so that a resend cannot outrun the news.
    pub(crate) async fn died(self: Arc<Self>, fingerprint: Fingerprint, upstream: UpstreamId) {
        self.hear(MonoTime::now(), fingerprint);
        let origin = lock(&self.origins).remove(&fingerprint);
        let report = SuspectReport {
            died: vec![fingerprint.0],
            upstream: upstream.to_string(),
            workspace: origin
                .as_ref()
                .map(|o| o.workspace.to_string())
                .unwrap_or_default(),
            service: origin
                .as_ref()
                .map(|o| o.service.to_string())
                .unwrap_or_default(),
            // Entries do not learn an upstream's incarnation; one death told twice by one entry cannot happen, as each
            // call ends once.
            upstream_incarnation: rand::random(),
            ..self.empty_report()
        };
        metrics::counter!("tc_suspects_total").increment(1);
        self.tell(&report, fingerprint).await;
    }

    /// It ran to its end: no suspect any more.
    pub(crate) fn ran_whole(self: &Arc<Self>, fingerprint: Fingerprint) {
        if !self.is_heard(fingerprint) {
            return;
        }
        self.forget(fingerprint);
        let report = SuspectReport {
            cleared: vec![fingerprint.0],
            ..self.empty_report()
        };
        self.tell_later(report, fingerprint);
    }

    /// A home's answer to an entry's report.
    pub(crate) fn answer(&self, now: MonoTime, report: &SuspectReport) -> SuspectAnswer {
        let mut home = lock(&self.home);
        if !report.died.is_empty() {
            let died: Vec<Fingerprint> = report.died.iter().copied().map(Fingerprint).collect();
            let upstream = report.upstream.as_str().into();
            home.died(
                now,
                &upstream,
                Incarnation(report.upstream_incarnation),
                &died,
            );
            let origin = Origin {
                workspace: report.workspace.as_str().into(),
                service: report.service.as_str().into(),
            };
            for fingerprint in &died {
                self.note_origin(*fingerprint, origin.clone());
            }
        }
        for cleared in &report.cleared {
            home.cleared(now, Fingerprint(*cleared));
        }
        if report.trial_ended != 0 {
            home.trial_ended(now, Fingerprint(report.trial_ended));
        }
        let answer = if report.trial == 0 {
            SuspectAnswer {
                trial: MAY_RUN,
                retry_after_ms: 0,
            }
        } else {
            trial_answer(home.try_trial(now, Fingerprint(report.trial)))
        };
        drop(home);
        if !report.died.is_empty() {
            report
                .died
                .iter()
                .for_each(|died| self.hear(now, Fingerprint(*died)));
            if let Some(spread) = self
                .spread_now
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .as_ref()
            {
                spread();
            }
        }
        answer
    }

    /// Suspects that a datagram told of.
    pub(crate) fn heard(&self, now: MonoTime, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            self.hear(now, Fingerprint(*fingerprint));
        }
    }

    /// Suspects to tell others of: those this instance is home of, as only their home knows them to be current.
    pub(crate) fn to_gossip(&self, most: usize) -> Vec<u64> {
        if self.count.load(Relaxed) == 0 {
            return Vec::new();
        }
        let home = lock(&self.home);
        lock(&self.heard)
            .keys()
            .filter(|fingerprint| home.is_suspect(**fingerprint))
            .take(most)
            .map(|fingerprint| fingerprint.0)
            .collect()
    }

    /// Quarantined fingerprints this instance is home of, and whose they are where that is known.
    pub(crate) fn quarantined(&self) -> Vec<(Fingerprint, Option<Origin>)> {
        let quarantined: Vec<Fingerprint> = lock(&self.home).quarantined().collect();
        let origins = lock(&self.origins);
        quarantined
            .into_iter()
            .map(|f| (f, origins.get(&f).cloned()))
            .collect()
    }

    /// Takes up a quarantine that another instance put into the platform.
    pub(crate) fn adopt_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        lock(&self.home).adopt_quarantine(now, fingerprint);
        self.hear(now, fingerprint);
    }

    fn is_heard(&self, fingerprint: Fingerprint) -> bool {
        self.count.load(Relaxed) > 0 && lock(&self.heard).contains_key(&fingerprint)
    }

    fn hear(&self, now: MonoTime, fingerprint: Fingerprint) {
        let mut heard = lock(&self.heard);
        heard.insert(fingerprint, now);
        if heard.len() > MOST_HEARD {
            heard.retain(|_, at| now.since(*at) < HEARSAY);
        }
        if heard.len() > MOST_HEARD
            && let Some(oldest) = heard.iter().min_by_key(|(_, at)| **at).map(|(f, _)| *f)
        {
            heard.remove(&oldest);
        }
        self.count.store(heard.len(), Relaxed);
    }

    fn forget(&self, fingerprint: Fingerprint) {
        let mut heard = lock(&self.heard);
        heard.remove(&fingerprint);
        self.count.store(heard.len(), Relaxed);
    }

    fn home(view: &FleetView, fingerprint: Fingerprint) -> Option<Member> {
        home_of(
            &format!("suspect/{:x}", fingerprint.0),
            &view.members,
            None,
            None,
        )
        .cloned()
    }

    /// Tells a fingerprint's home; `None` when it cannot be reached.
    async fn tell(&self, report: &SuspectReport, about: Fingerprint) -> Option<SuspectAnswer> {
        let view = self.view.load_full();
        let home = Self::home(&view, about)?;
        if home.id == view.me.id {
            return Some(self.answer(MonoTime::now(), report));
        }
        let mut client = self.peers.get(&home).client();
        client
            .suspects(timed(report.clone()))
            .await
            .ok()
            .map(tonic::Response::into_inner)
    }

    fn tell_later(self: &Arc<Self>, report: SuspectReport, about: Fingerprint) {
        let table = Arc::clone(self);
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { table.tell(&report, about).await });
        }
    }

    fn empty_report(&self) -> SuspectReport {
        SuspectReport {
            from: self.view.load().me.id.to_string(),
            ..SuspectReport::default()
        }
    }
}

impl TrialGuard {
    /// The trial's call ended. A death is told by [`SuspectTable::died`], which ends the trial at its home too.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.ended = outcome == Outcome::Died;
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let report = SuspectReport {
            trial_ended: self.fingerprint.0,
            ..self.table.empty_report()
        };
        self.table.tell_later(report, self.fingerprint);
    }
}

fn trial_answer(trial: Trial) -> SuspectAnswer {
    let (trial, retry_after) = match trial {
        Trial::Run => (MAY_RUN, Duration::ZERO),
        Trial::Busy { retry_after } => (BUSY, retry_after),
        Trial::Quarantined { retry_after } => (QUARANTINED, retry_after),
    };
    SuspectAnswer {
        trial,
        retry_after_ms: convert::millis(retry_after),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
