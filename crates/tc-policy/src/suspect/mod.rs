//! Detection and quarantine of requests that crash upstreams.
//!
//! Every call in flight on an upstream that crashed may have caused the crash, so a crash makes all of them suspects. A
//! successful run clears a suspect. A fingerprint that enough crashes single out is quarantined, and the crashes that it
//! was in do not count against the others. The evidence of several instances can be merged, in any order.
//!
//! A part that several prompts share is counted like a request, so that requests with a part that crashes upstreams are
//! recognized although no two of them are equal.

mod attribution;
mod crashes;
mod evidence;
mod policy;
mod sharing;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use tc_protocol::{Fingerprint, MonoTime};

use attribution::Attribution;
use evidence::EvidenceTable;
pub use evidence::{CrashEvidence, CrashId, SuspectKind};
pub use policy::SuspectPolicy;

/// Maximum number of fingerprints that other instances or operators quarantined; the oldest is dropped first.
const MAX_ADOPTED: usize = 4_096;
/// Maximum number of trials.
const MAX_TRIALS: usize = 300;
/// Time after which a trial ends whose end was not reported, because its entry crashed.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum interval between two searches for crashes that no longer count.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Retry hint while another trial runs.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Retry hint for a quarantined fingerprint.
pub const QUARANTINE_RETRY_AFTER: Duration = Duration::from_mins(10);
/// Whether a fingerprint may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// It may run on one upstream; call [`Suspects::end_trial`] afterwards.
    Run,
    /// It, or another suspect of the same crash, is running.
    Busy {
        /// When to try again.
        retry_after: Duration,
    },
    /// It crashed upstreams and is refused.
    Quarantined {
        /// When to try again, at the earliest.
        retry_after: Duration,
    },
}

/// Evidence of crashes, trials and quarantined fingerprints. Memory use is bounded.
#[derive(Debug)]
pub struct Suspects {
    policy: SuspectPolicy,
    evidence: EvidenceTable,
    attribution: Attribution,
    trials: HashMap<Fingerprint, MonoTime>,
    /// Quarantines that do not follow from the evidence, or that it must outlast.
    adopted: BTreeMap<Fingerprint, MonoTime>,
    adopted_order: VecDeque<Fingerprint>,
    /// Position in the evidence from which the next batch for other instances is taken.
    next_gossiped: Fingerprint,
    /// Time of the last search for crashes that no longer count.
    expired_at: MonoTime,
}

impl Suspects {
    /// Creates an instance that quarantines after `crashes_to_quarantine` crashes (at least 1) without a time limit,
    /// and requires trials from the first crash.
    ///
    /// ```
    /// use tc_policy::{Suspects, Trial};
    /// use tc_protocol::{Fingerprint, Incarnation, MonoTime};
    /// let mut suspects = Suspects::new(2);
    /// let (now, culprit) = (MonoTime(1), Fingerprint(7));
    /// suspects.record_crash(now, &"gen-1".into(), Incarnation(1), &[culprit, Fingerprint(8)]);
    /// assert_eq!(suspects.try_trial(now, culprit), Trial::Run);
    /// suspects.record_crash(now, &"gen-2".into(), Incarnation(1), &[culprit]);
    /// assert!(matches!(suspects.try_trial(now, culprit), Trial::Quarantined { .. }));
    /// assert!(!suspects.is_suspect(Fingerprint(8)));
    /// ```
    #[must_use]
    pub fn new(crashes_to_quarantine: u32) -> Self {
        Self::with_policy(SuspectPolicy {
            crashes_to_quarantine,
            crashes_to_quarantine_part: crashes_to_quarantine,
            crashes_to_trial: 1,
            needs_lone_crash: false,
            trial_delay: Duration::ZERO,
            quarantine_duration: None,
        })
    }

    /// Creates an instance with a policy.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_policy::{SuspectPolicy, Suspects};
    /// use tc_protocol::{Fingerprint, Incarnation, MonoTime};
    /// let mut suspects = Suspects::with_policy(SuspectPolicy {
    ///     crashes_to_quarantine: 3,
    ///     crashes_to_quarantine_part: 4,
    ///     crashes_to_trial: 2,
    ///     needs_lone_crash: false,
    ///     trial_delay: Duration::ZERO,
    ///     quarantine_duration: Some(Duration::from_secs(600)),
    /// });
    /// suspects.record_crash(MonoTime(1), &"gen-1".into(), Incarnation(1), &[Fingerprint(7)]);
    /// assert!(!suspects.is_suspect(Fingerprint(7)));
    /// suspects.record_crash(MonoTime(2), &"gen-2".into(), Incarnation(1), &[Fingerprint(7)]);
    /// assert!(suspects.is_suspect(Fingerprint(7)));
    /// ```
    #[must_use]
    pub fn with_policy(policy: SuspectPolicy) -> Self {
        Self {
            policy,
            evidence: EvidenceTable::default(),
            attribution: Attribution::default(),
            trials: HashMap::new(),
            adopted: BTreeMap::new(),
            adopted_order: VecDeque::new(),
            next_gossiped: Fingerprint(0),
            expired_at: MonoTime(0),
        }
    }

    /// Returns true if the fingerprint may run only as a trial or not at all.
    #[must_use]
    pub fn is_suspect(&self, fp: Fingerprint) -> bool {
        self.needs_trial(fp) || self.is_quarantined(fp)
    }

    /// Returns true if the request may not run.
    #[must_use]
    pub fn is_quarantined(&self, fp: Fingerprint) -> bool {
        self.adopted.contains_key(&fp) || self.attribution.requests.contains(&fp)
    }

    /// Returns true if a request whose prompt has these parts may not run.
    ///
    /// Parts that were in flight together are refused together only, so that requests with one of them show which one
    /// crashes upstreams.
    #[must_use]
    pub fn has_quarantined_part(&self, parts: &[Fingerprint]) -> bool {
        let mut sets = self.attribution.parts.iter();
        sets.any(|set| set.iter().all(|part| parts.contains(part)))
    }

    /// Returns the prompt parts that are quarantined; those in one set are refused together only.
    pub fn quarantined_parts(&self) -> impl Iterator<Item = &BTreeSet<Fingerprint>> + '_ {
        self.attribution.parts.iter()
    }

    /// Returns the number of crashes that count against a fingerprint.
    #[must_use]
    pub fn crash_count(&self, fp: Fingerprint) -> usize {
        self.evidence.crashes(fp).count()
    }

    /// A fingerprint that was in as many crashes as a culprit runs only as a trial even if a culprit explains them all:
    /// there may be several culprits.
    fn needs_trial(&self, fp: Fingerprint) -> bool {
        let explained = &self.attribution.explained;
        let crashes = self.evidence.crashes(fp);
        let unexplained = crashes.filter(|crash| !explained.contains(crash)).count();
        unexplained >= self.policy.crashes_to_trial.max(1) as usize
            || self.crash_count(fp) >= self.policy.crashes_to_quarantine.max(2) as usize
    }

    /// Requests a run of a fingerprint.
    ///
    /// Suspects of the same crash run one after the other. If two of them were in flight together when the culprit
    /// crashes its second upstream, both would have been in the same two crashes. Either the innocent one would be
    /// quarantined too, or a third upstream would have to crash to tell them apart.
    pub fn try_trial(&mut self, now: MonoTime, fp: Fingerprint) -> Trial {
        self.remove_expired(now);
        if self.is_quarantined(fp) {
            return Trial::Quarantined {
                retry_after: QUARANTINE_RETRY_AFTER,
            };
        }
        if !self.needs_trial(fp) {
            return Trial::Run;
        }
        let last_crash = self.evidence.last_crash(fp).unwrap_or(MonoTime(0));
        let delay = last_crash.after(self.policy.trial_delay).since(now);
        if !delay.is_zero() {
            return Trial::Busy { retry_after: delay };
        }
        let shares_a_crash = |other: Fingerprint| {
            self.evidence
                .crashes(fp)
                .any(|crash| self.evidence.crashes(other).any(|known| known == crash))
        };
        let conflicts = |other: &Fingerprint| *other == fp || shares_a_crash(*other);
        if self.trials.len() >= MAX_TRIALS || self.trials.keys().any(conflicts) {
            return Trial::Busy {
                retry_after: BUSY_RETRY_AFTER,
            };
        }
        self.trials.insert(fp, now);
        Trial::Run
    }

    /// Returns true if the fingerprint runs as a trial.
    #[must_use]
    pub fn is_in_trial(&self, fp: Fingerprint) -> bool {
        self.trials.contains_key(&fp)
    }

    /// Ends a trial, whatever its result.
    pub fn end_trial(&mut self, now: MonoTime, fp: Fingerprint) {
        self.trials.remove(&fp);
        self.remove_expired(now);
    }

    /// Clears a fingerprint that ran to a complete result: the crashes known here no longer count against it.
    pub fn clear(&mut self, now: MonoTime, fp: Fingerprint) {
        self.trials.remove(&fp);
        let is_changed = self.evidence.clear(now, fp);
        self.remove_expired(now);
        if is_changed && self.may_change_attribution(&[]) {
            self.attribute(now);
        }
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let culprits = self.attribution.requests.iter();
        let only_culprits = culprits.filter(|fp| !self.adopted.contains_key(fp));
        self.adopted.keys().chain(only_culprits).copied()
    }

    /// Adds a quarantine that another instance decided.
    pub fn adopt_quarantine(&mut self, now: MonoTime, fp: Fingerprint) {
        self.remove_expired(now);
        self.adopt(now, fp);
        if self.may_change_attribution(&[fp]) {
            self.attribute(now);
        }
    }

    /// Lifts a quarantine on an operator's request. The fingerprint is treated as any other and is quarantined again
    /// after the same number of crashes.
    pub fn lift(&mut self, now: MonoTime, fp: Fingerprint) {
        if self.adopted.remove(&fp).is_some() {
            self.adopted_order.retain(|other| *other != fp);
        }
        self.clear(now, fp);
        if self.may_change_attribution(&[]) {
            self.attribute(now);
        }
    }

    /// Returns the number of crashes by fingerprint, trials and quarantines, which is bounded.
    #[must_use]
    pub fn len(&self) -> usize {
        self.evidence.len() + self.trials.len() + self.adopted.len()
    }

    /// Returns true if there are no crashes, trials or quarantines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn adopt(&mut self, now: MonoTime, fp: Fingerprint) {
        if self.adopted.insert(fp, now).is_none() {
            self.adopted_order.push_back(fp);
        }
        if self.adopted_order.len() > MAX_ADOPTED
            && let Some(oldest) = self.adopted_order.pop_front()
        {
            self.adopted.remove(&oldest);
        }
        self.trials.remove(&fp);
    }

    /// Returns true if crashes may be attributed otherwise after a change of the evidence of `fps`.
    fn may_change_attribution(&self, fps: &[Fingerprint]) -> bool {
        let policy = &self.policy;
        let threshold = policy
            .crashes_to_quarantine
            .min(policy.crashes_to_quarantine_part);
        let threshold = threshold.max(1) as usize;
        !self.attribution.explained.is_empty()
            || fps.iter().any(|fp| {
                let count = self.crash_count(*fp);
                count >= threshold || (count > 0 && self.adopted.contains_key(fp))
            })
    }

    /// Decides anew which fingerprints caused the crashes.
    fn attribute(&mut self, now: MonoTime) {
        let adopted = self.adopted.keys().copied();
        self.attribution = Attribution::of(&self.evidence, adopted, &self.policy);
        let culprits: Vec<Fingerprint> = self.attribution.requests.iter().copied().collect();
        for fp in culprits {
            self.trials.remove(&fp);
            if self.policy.quarantine_duration.is_none() {
                self.adopt(now, fp);
            }
        }
    }

    fn remove_expired(&mut self, now: MonoTime) {
        self.trials
            .retain(|_, started| now.since(*started) < TRIAL_TIMEOUT);
        let adopted = self.adopted.len();
        if let Some(duration) = self.policy.quarantine_duration {
            self.adopted.retain(|_, since| now.since(*since) < duration);
            self.adopted_order
                .retain(|fp| self.adopted.contains_key(fp));
        }
        let mut is_changed = self.adopted.len() != adopted;
        if now.since(self.expired_at) >= EXPIRY_INTERVAL {
            self.expired_at = now;
            is_changed |= self.evidence.remove_expired(now);
        }
        if is_changed && self.may_change_attribution(&[]) {
            self.attribute(now);
        }
    }
}
