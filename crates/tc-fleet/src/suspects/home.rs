//! The suspects of the services whose suspect home is this instance.

use std::{
    collections::{HashMap, HashSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_policy::{SuspectPolicy, Suspects, Trial};
use tc_protocol::{Fingerprint, Incarnation, MonoTime, ServiceName, UpstreamId, WorkspaceName};

use crate::{
    convert,
    generated::{SuspectAnswer, SuspectReport},
};

pub(super) const MAY_RUN: u32 = 0;
pub(super) const BUSY: u32 = 1;
pub(super) const QUARANTINED: u32 = 2;

/// Period within which reports of an upstream's crash count as the same crash. Entries do not know the upstream's
/// incarnation, and each reports only its own calls.
const SAME_CRASH_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of fingerprints whose origin is stored.
const MAX_ORIGINS: usize = 4_096;

/// Workspace and service that a suspect's input came from.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Origin {
    pub(crate) workspace: WorkspaceName,
    pub(crate) service: ServiceName,
}

struct Crash {
    at: MonoTime,
    number: u64,
    reported: HashSet<Fingerprint>,
}

struct State {
    suspects: Suspects,
    policy: SuspectPolicy,
    crashes_by_upstream: HashMap<UpstreamId, Crash>,
    origins: HashMap<Fingerprint, Origin>,
}

/// Suspects, trials and quarantines of the services assigned to this instance.
pub(super) struct SuspectHome {
    state: Mutex<State>,
}

impl SuspectHome {
    pub(super) fn new(policy: SuspectPolicy) -> Self {
        Self {
            state: Mutex::new(State {
                suspects: Suspects::with_policy(policy),
                policy,
                crashes_by_upstream: HashMap::new(),
                origins: HashMap::new(),
            }),
        }
    }

    /// Applies the configured number of crashes. Quarantines are kept, other suspects are dropped.
    pub(super) fn set_crashes_to_quarantine(&self, now: MonoTime, crashes: u32) {
        let mut state = self.lock();
        if state.policy.crashes_to_quarantine == crashes {
            return;
        }
        let quarantined: Vec<Fingerprint> = state.suspects.quarantined().collect();
        state.policy.crashes_to_quarantine = crashes;
        state.suspects = Suspects::with_policy(state.policy);
        for fingerprint in quarantined {
            state.suspects.adopt_quarantine(now, fingerprint);
        }
    }

    /// Processes an entry's report and returns the answer.
    pub(super) fn handle_report(&self, now: MonoTime, report: &SuspectReport) -> SuspectAnswer {
        let mut state = self.lock();
        if !report.died.is_empty() {
            state.record_crash(now, report);
        }
        for cleared in report.cleared.iter().copied().map(Fingerprint) {
            log::info!(service = report.service.as_str(), from = report.from.as_str(), input = format!("{:016x}", cleared.0).as_str(), crashes = state.suspects.crash_count(cleared); "suspect cleared");
            state.suspects.clear(now, cleared);
        }
        if report.trial_ended != 0 {
            state
                .suspects
                .end_trial(now, Fingerprint(report.trial_ended));
        }
        if report.trial == 0 {
            return SuspectAnswer {
                trial: MAY_RUN,
                retry_after_ms: 0,
            };
        }
        trial_answer(state.suspects.try_trial(now, Fingerprint(report.trial)))
    }

    /// Returns those of `fingerprints` that are suspects here.
    pub(super) fn suspects_among(&self, fingerprints: Vec<Fingerprint>) -> Vec<Fingerprint> {
        let state = self.lock();
        fingerprints
            .into_iter()
            .filter(|f| state.suspects.is_suspect(*f))
            .collect()
    }

    /// Returns the quarantined fingerprints with their origins, where known.
    pub(super) fn quarantined(&self) -> Vec<(Fingerprint, Option<Origin>)> {
        let state = self.lock();
        let with_origin = |f| (f, state.origins.get(&f).cloned());
        state.suspects.quarantined().map(with_origin).collect()
    }

    pub(super) fn adopt_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.lock().suspects.adopt_quarantine(now, fingerprint);
    }

    pub(super) fn lift_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.lock().suspects.lift(now, fingerprint);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record_crash(&mut self, now: MonoTime, report: &SuspectReport) {
        let in_flight: Vec<Fingerprint> = report.died.iter().copied().map(Fingerprint).collect();
        let upstream = UpstreamId::from(report.upstream.as_str());
        let number = self.crash_number(now, &upstream, &in_flight);
        self.suspects
            .record_crash(now, &upstream, Incarnation(number), &in_flight);
        let origin = Origin {
            workspace: report.workspace.as_str().into(),
            service: report.service.as_str().into(),
        };
        for &fingerprint in &in_flight {
            let is_quarantined = self.suspects.quarantined().any(|f| f == fingerprint);
            log::info!(service = report.service.as_str(), from = report.from.as_str(), upstream = report.upstream.as_str(), input = format!("{:016x}", fingerprint.0).as_str(), crashes = self.suspects.crash_count(fingerprint), quarantined = is_quarantined; "crash recorded");
        }
        for fingerprint in in_flight {
            if self.origins.len() < MAX_ORIGINS {
                self.origins.insert(fingerprint, origin.clone());
            }
        }
    }

    /// Returns the same number for all reports of one crash.
    ///
    /// A suspect has only one run at a time, so if it is reported again, it crashed a later incarnation of the
    /// upstream. If that counted as the same crash, a request that crashes an upstream after each restart would never
    /// be quarantined.
    fn crash_number(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamId,
        in_flight: &[Fingerprint],
    ) -> u64 {
        self.crashes_by_upstream
            .retain(|_, crash| now.since(crash.at) < SAME_CRASH_PERIOD);
        let is_repeated = |crash: &Crash| in_flight.iter().any(|f| crash.reported.contains(f));
        if self
            .crashes_by_upstream
            .get(upstream)
            .is_some_and(is_repeated)
        {
            self.crashes_by_upstream.remove(upstream);
        }
        let crash = self
            .crashes_by_upstream
            .entry(upstream.clone())
            .or_insert_with(|| Crash {
                at: now,
                number: rand::random(),
                reported: HashSet::new(),
            });
        crash.reported.extend(in_flight);
        crash.number
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
