//! The crashes, suspects, trials and quarantines that this instance knows: as their home, as an instance that keeps a
//! copy, or from other instances.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
};

use tc_policy::{CrashEvidence, SuspectKind, SuspectPolicy, Suspects, Trial};
use tc_protocol::{Fingerprint, Incarnation, MonoTime, ServiceName, UpstreamId, WorkspaceName};

use super::evidence::evidence_from_wire;
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
/// Period within which two reports of an input on the same upstream count as the same crash unless it ran as a trial:
/// the input may have been in flight more than once.
const SAME_RUN_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of reports that are recognized when they are sent again.
const MAX_REPORTS: usize = 1_024;
/// Maximum number of upstreams whose last crash is stored.
const MAX_CRASHES: usize = 1_024;
/// Maximum number of fingerprints whose origin is stored.
const MAX_ORIGINS: usize = 4_096;

/// Workspace and service that a suspect's input came from.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Origin {
    pub(crate) workspace: WorkspaceName,
    pub(crate) service: ServiceName,
}

/// The last crash of an upstream.
struct Crash {
    at: MonoTime,
    /// Distinguishes the crashes of an upstream that keeps its name. All instances count from 1.
    number: u64,
    reported: HashSet<Fingerprint>,
}

struct State {
    suspects: Suspects,
    policy: SuspectPolicy,
    crashes_by_upstream: HashMap<UpstreamId, Crash>,
    origins: HashMap<Fingerprint, Origin>,
    /// Identifiers of crash reports, the oldest first.
    reports: VecDeque<u64>,
}

pub(super) struct KnownSuspects {
    state: Mutex<State>,
    /// Whether nothing is known, so that requests take no lock.
    is_empty: AtomicBool,
}

impl KnownSuspects {
    pub(super) fn new(policy: SuspectPolicy) -> Self {
        Self {
            state: Mutex::new(State {
                suspects: Suspects::with_policy(policy),
                policy,
                crashes_by_upstream: HashMap::new(),
                origins: HashMap::new(),
                reports: VecDeque::new(),
            }),
            is_empty: AtomicBool::new(true),
        }
    }

    /// Applies the configured number of crashes. Quarantines are kept, other suspects are dropped.
    pub(super) fn set_crashes_to_quarantine(&self, now: MonoTime, crashes: u32) {
        self.update(|state| {
            if state.policy.crashes_to_quarantine == crashes {
                return;
            }
            let quarantined: Vec<Fingerprint> = state.suspects.quarantined().collect();
            state.policy.crashes_to_quarantine = crashes;
            state.suspects = Suspects::with_policy(state.policy);
            for fingerprint in quarantined {
                state.suspects.adopt_quarantine(now, fingerprint);
            }
        });
    }

    /// Processes an entry's report and returns the answer.
    pub(super) fn handle_report(&self, now: MonoTime, report: &SuspectReport) -> SuspectAnswer {
        self.update(|state| state.handle_report(now, report))
    }

    /// Adds evidence that another instance sent.
    pub(super) fn merge(&self, now: MonoTime, evidence: &CrashEvidence) {
        self.update(|state| state.merge(now, evidence));
    }

    /// Returns true if a report is about inputs that other instances need to know of.
    pub(super) fn is_shared(&self, report: &SuspectReport) -> bool {
        let state = self.lock();
        let mut inputs = report
            .died
            .iter()
            .chain(&report.died_parts)
            .chain(&report.cleared);
        inputs.any(|input| state.suspects.is_shared(Fingerprint(*input)))
    }

    /// Returns evidence for other instances, the next one at each call.
    pub(super) fn evidence_to_send(&self, now: MonoTime, max: usize) -> Vec<CrashEvidence> {
        if self.is_empty.load(Relaxed) {
            return Vec::new();
        }
        self.lock().suspects.evidence_to_send(now, max)
    }

    pub(super) fn evidence_of(
        &self,
        now: MonoTime,
        fingerprint: Fingerprint,
    ) -> Option<CrashEvidence> {
        self.lock().suspects.evidence_of(now, fingerprint)
    }

    /// Returns true if any crash counts against the fingerprint.
    pub(super) fn has_crashes(&self, fingerprint: Fingerprint) -> bool {
        !self.is_empty.load(Relaxed) && self.lock().suspects.crash_count(fingerprint) > 0
    }

    /// Returns true if a request whose prompt has these parts may not run, as far as is known here.
    pub(super) fn has_quarantined_part(&self, parts: &[Fingerprint]) -> bool {
        !self.is_empty.load(Relaxed) && self.lock().suspects.has_quarantined_part(parts)
    }

    /// Returns what is known here of whether a fingerprint may run. [`Trial::Busy`] means that its home has to be asked.
    pub(super) fn local_verdict(&self, now: MonoTime, fingerprint: Fingerprint) -> Trial {
        if self.is_empty.load(Relaxed) {
            return Trial::Run;
        }
        let mut state = self.lock();
        if state.suspects.is_quarantined(fingerprint) {
            return state.suspects.try_trial(now, fingerprint);
        }
        // The home may know of more crashes.
        if state.suspects.crash_count(fingerprint) > 0 {
            return Trial::Busy {
                retry_after: Duration::ZERO,
            };
        }
        Trial::Run
    }

    /// Returns the quarantined fingerprints with their origins, where known.
    pub(super) fn quarantined(&self) -> Vec<(Fingerprint, Option<Origin>)> {
        let state = self.lock();
        let with_origin = |f| (f, state.origins.get(&f).cloned());
        state.suspects.quarantined().map(with_origin).collect()
    }

    pub(super) fn adopt_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.update(|state| state.suspects.adopt_quarantine(now, fingerprint));
    }

    pub(super) fn lift_quarantine(&self, now: MonoTime, fingerprint: Fingerprint) {
        self.update(|state| state.suspects.lift(now, fingerprint));
    }

    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state);
        let suspects = &state.suspects;
        metrics::gauge!("tc_quarantined_requests").set(suspects.quarantined().count() as f64);
        metrics::gauge!("tc_quarantined_parts").set(suspects.quarantined_parts().count() as f64);
        self.is_empty.store(state.suspects.is_empty(), Relaxed);
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn handle_report(&mut self, now: MonoTime, report: &SuspectReport) -> SuspectAnswer {
        for evidence in &report.evidence {
            self.merge(now, &evidence_from_wire(evidence));
        }
        let is_crash = !report.died.is_empty() || !report.died_parts.is_empty();
        if is_crash && !self.reports.contains(&report.id) {
            self.reports.push_back(report.id);
            if self.reports.len() > MAX_REPORTS {
                self.reports.pop_front();
            }
            self.record_crash(now, report);
            self.record_crash_with_parts(now, report);
        }
        for cleared in report.cleared.iter().copied().map(Fingerprint) {
            let crashes = self.suspects.crash_count(cleared);
            if crashes > 0 {
                log::info!(service = report.service.as_str(), from = report.from.as_str(), input = label(cleared).as_str(), crashes = crashes; "suspect cleared");
            }
            self.update_parts(|suspects| suspects.clear(now, cleared));
        }
        if report.trial_ended != 0 {
            let ended = Fingerprint(report.trial_ended);
            self.suspects.end_trial(now, ended);
        }
        if report.trial == 0 {
            return trial_answer(Trial::Run, false);
        }
        let suspect = Fingerprint(report.trial);
        let trial = self.suspects.try_trial(now, suspect);
        trial_answer(
            trial,
            trial == Trial::Run && self.suspects.is_in_trial(suspect),
        )
    }

    fn merge(&mut self, now: MonoTime, evidence: &CrashEvidence) {
        let fingerprint = evidence.fingerprint;
        if evidence.kind == SuspectKind::PromptPart {
            self.update_parts(|suspects| suspects.merge(now, evidence));
            return;
        }
        let was_quarantined = self.suspects.is_quarantined(fingerprint);
        self.suspects.merge(now, evidence);
        let is_quarantined = self.suspects.is_quarantined(fingerprint);
        if was_quarantined != is_quarantined {
            log::info!(input = label(fingerprint).as_str(), crashes = evidence.crashes.len(), cleared = evidence.cleared.len(), quarantined = is_quarantined; "evidence of crashes received");
        }
    }

    /// Changes the evidence and logs what it changes of the quarantined parts.
    fn update_parts<T>(&mut self, change: impl FnOnce(&mut Suspects) -> T) -> T {
        let before: BTreeSet<_> = self.suspects.quarantined_parts().cloned().collect();
        let result = change(&mut self.suspects);
        let after: BTreeSet<_> = self.suspects.quarantined_parts().cloned().collect();
        for (sets, is_quarantined) in [(&after - &before, true), (&before - &after, false)] {
            for set in sets {
                let crashes = set.first().map_or(0, |fp| self.suspects.crash_count(*fp));
                let parts: Vec<String> = set.into_iter().map(label).collect();
                log::info!(parts = parts.join(",").as_str(), crashes = crashes, quarantined = is_quarantined; "quarantine of prompt parts changed");
            }
        }
        result
    }

    fn record_crash_with_parts(&mut self, now: MonoTime, report: &SuspectReport) {
        if report.died_parts.is_empty() {
            return;
        }
        let parts: Vec<Fingerprint> = report.died_parts.iter().copied().map(Fingerprint).collect();
        let upstream = UpstreamId::from(report.upstream.as_str());
        let crashed_at = now.before(convert::from_millis(report.age_ms));
        let number = self.crash_number(crashed_at, &upstream, &parts, SAME_CRASH_PERIOD);
        self.update_parts(|suspects| {
            suspects.record_crash_with_parts(now, &upstream, Incarnation(number), &parts);
        });
        for part in parts {
            log::info!(service = report.service.as_str(), from = report.from.as_str(), upstream = report.upstream.as_str(), part = label(part).as_str(), crashes = self.suspects.crash_count(part); "crash recorded with a prompt part");
        }
    }

    fn record_crash(&mut self, now: MonoTime, report: &SuspectReport) {
        if report.died.is_empty() {
            return;
        }
        let in_flight: Vec<Fingerprint> = report.died.iter().copied().map(Fingerprint).collect();
        let upstream = UpstreamId::from(report.upstream.as_str());
        let crashed_at = now.before(convert::from_millis(report.age_ms));
        let same_run_period = if report.was_trial {
            Duration::ZERO
        } else {
            SAME_RUN_PERIOD
        };
        let number = self.crash_number(crashed_at, &upstream, &in_flight, same_run_period);
        if report.was_trial {
            for fingerprint in &in_flight {
                self.suspects
                    .record_lone_crash(now, &upstream, Incarnation(number), *fingerprint);
            }
        } else {
            self.suspects
                .record_crash(now, &upstream, Incarnation(number), &in_flight);
        }
        let origin = Origin {
            workspace: report.workspace.as_str().into(),
            service: report.service.as_str().into(),
        };
        for fingerprint in in_flight {
            log::info!(service = report.service.as_str(), from = report.from.as_str(), upstream = report.upstream.as_str(), input = label(fingerprint).as_str(), crashes = self.suspects.crash_count(fingerprint), quarantined = self.suspects.is_quarantined(fingerprint); "crash recorded");
            if self.origins.len() < MAX_ORIGINS {
                self.origins.insert(fingerprint, origin.clone());
            }
        }
    }

    /// Returns the same number for all reports of one crash, on every instance that receives them.
    ///
    /// An input that is reported again after `same_run_period` crashed a later incarnation of the upstream. If that
    /// counted as the same crash, a request that crashes an upstream after each restart would never be quarantined.
    fn crash_number(
        &mut self,
        at: MonoTime,
        upstream: &UpstreamId,
        fps: &[Fingerprint],
        same_run_period: Duration,
    ) -> u64 {
        let crashes = &mut self.crashes_by_upstream;
        if crashes.len() >= MAX_CRASHES
            && let Some(oldest) = crashes.iter().min_by_key(|(_, crash)| crash.at)
        {
            let oldest = oldest.0.clone();
            crashes.remove(&oldest);
        }
        let crash = crashes.entry(upstream.clone()).or_insert_with(|| Crash {
            at,
            number: 1,
            reported: HashSet::new(),
        });
        let age = at.since(crash.at);
        let is_repeated = fps.iter().any(|f| crash.reported.contains(f)) && age >= same_run_period;
        if is_repeated || age >= SAME_CRASH_PERIOD {
            crash.at = at;
            crash.number += 1;
            crash.reported.clear();
        }
        crash.reported.extend(fps);
        crash.number
    }
}

/// Returns the text that stands for a fingerprint in log lines.
fn label(fingerprint: Fingerprint) -> String {
    format!("{:016x}", fingerprint.0)
}

fn trial_answer(trial: Trial, is_alone: bool) -> SuspectAnswer {
    let (trial, retry_after) = match trial {
        Trial::Run => (MAY_RUN, Duration::ZERO),
        Trial::Busy { retry_after } => (BUSY, retry_after),
        Trial::Quarantined { retry_after } => (QUARANTINED, retry_after),
    };
    SuspectAnswer {
        trial,
        retry_after_ms: convert::millis(retry_after),
        is_alone,
    }
}
