//! The suspects of the services this instance is home of.

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

/// Reports of an upstream's death within this time are of the same death: entries do not know the upstream's
/// incarnation, and each reports its own calls.
const SAME_DEATH: Duration = Duration::from_secs(1);
/// Fingerprints whose workspace and service are remembered, at most.
const MOST_ORIGINS: usize = 4_096;

/// Whose input a suspect is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Origin {
    pub(crate) workspace: WorkspaceName,
    pub(crate) service: ServiceName,
}

struct Death {
    at: MonoTime,
    number: u64,
    reported: HashSet<Fingerprint>,
}

struct State {
    suspects: Suspects,
    policy: SuspectPolicy,
    deaths: HashMap<UpstreamId, Death>,
    origins: HashMap<Fingerprint, Origin>,
}

/// Suspects, trials and quarantines of some services.
pub(super) struct SuspectHome {
    state: Mutex<State>,
}

impl SuspectHome {
    pub(super) fn new(policy: SuspectPolicy) -> Self {
        Self {
            state: Mutex::new(State {
                suspects: Suspects::with_policy(policy),
                policy,
                deaths: HashMap::new(),
                origins: HashMap::new(),
            }),
        }
    }

    /// Takes up the configured number of crashes; quarantines stay.
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

    /// Takes in an entry's report and answers it.
    pub(super) fn answer(&self, now: MonoTime, report: &SuspectReport) -> SuspectAnswer {
        let mut state = self.lock();
        if !report.died.is_empty() {
            state.died(now, report);
        }
        for cleared in &report.cleared {
            state.suspects.clear(now, Fingerprint(*cleared));
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

    /// Those of `fingerprints` that are suspects here.
    pub(super) fn suspects_among(&self, fingerprints: Vec<Fingerprint>) -> Vec<Fingerprint> {
        let state = self.lock();
        fingerprints
            .into_iter()
            .filter(|f| state.suspects.is_suspect(*f))
            .collect()
    }

    /// Quarantined fingerprints, and whose they are where that is known.
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
    fn died(&mut self, now: MonoTime, report: &SuspectReport) {
        let died: Vec<Fingerprint> = report.died.iter().copied().map(Fingerprint).collect();
        let upstream = UpstreamId::from(report.upstream.as_str());
        let number = self.death_number(now, &upstream, &died);
        self.suspects
            .record_crash(now, &upstream, Incarnation(number), &died);
        let origin = Origin {
            workspace: report.workspace.as_str().into(),
            service: report.service.as_str().into(),
        };
        for fingerprint in died {
            if self.origins.len() < MOST_ORIGINS {
                self.origins.insert(fingerprint, origin.clone());
            }
        }
    }

    /// The same number for all reports of one death.
    ///
    /// A suspect runs once at a time, so one that is reported again died in another life of the upstream; counted as the
    /// same death, a request that crashes an upstream each time it restarts would never be quarantined.
    fn death_number(&mut self, now: MonoTime, upstream: &UpstreamId, died: &[Fingerprint]) -> u64 {
        self.deaths
            .retain(|_, death| now.since(death.at) < SAME_DEATH);
        let again = |death: &Death| died.iter().any(|f| death.reported.contains(f));
        if self.deaths.get(upstream).is_some_and(again) {
            self.deaths.remove(upstream);
        }
        let death = self
            .deaths
            .entry(upstream.clone())
            .or_insert_with(|| Death {
                at: now,
                number: rand::random(),
                reported: HashSet::new(),
            });
        death.reported.extend(died);
        death.number
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
