//! Detection and quarantine of requests that crash upstreams, kept at the home of their fingerprints.
//!
//! Every call in flight on an upstream that crashed may have caused the crash, so a crash makes all of them suspects. A
//! successful run clears a suspect. A fingerprint that is the only one in flight in enough crashes is quarantined, and
//! the other suspects of those crashes are cleared.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use tc_protocol::{Fingerprint, Incarnation, MonoTime, UpstreamId};

/// Time after which a crash without a known culprit is dropped.
const CRASH_TTL: Duration = Duration::from_mins(10);
/// Maximum number of crashes; the oldest is dropped first.
const MAX_CRASHES: usize = 256;
/// Maximum number of fingerprints per crash.
const MAX_FINGERPRINTS_PER_CRASH: usize = 1_024;
/// Maximum number of quarantined fingerprints; the oldest is dropped first.
const MAX_QUARANTINED: usize = 4_096;
/// Time after which a trial ends whose end was not reported, because its entry crashed.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry hint while another trial runs.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Retry hint for a quarantined fingerprint.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_mins(10);

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

type CrashKey = (UpstreamId, Incarnation);

#[derive(Debug)]
struct Crash {
    at: MonoTime,
    /// All reported fingerprints. A repeated report does not make a fingerprint a suspect again that was cleared in
    /// between.
    reported: BTreeSet<Fingerprint>,
    /// Fingerprints that are still suspects.
    suspects: BTreeSet<Fingerprint>,
}

/// Thresholds for trials and quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectPolicy {
    /// Crashes after which a fingerprint is quarantined (at least 1).
    pub crashes_to_quarantine: u32,
    /// Crashes from which a fingerprint runs only as a trial, one at a time (at least 1).
    ///
    /// With 1, the innocent requests in a first crash wait for each other's trials. With more they do not, but the
    /// culprit may crash several upstreams at the same time.
    pub crashes_to_trial: u32,
    /// Duration of a quarantine; `None` means until an operator lifts it.
    pub quarantine_duration: Option<Duration>,
}

/// The suspects, trials and quarantined fingerprints of one home. Memory use is bounded.
#[derive(Debug)]
pub struct Suspects {
    policy: SuspectPolicy,
    crashes: BTreeMap<CrashKey, Crash>,
    /// Crashes without a known culprit, by the suspects that were in flight.
    crashes_of: HashMap<Fingerprint, BTreeSet<CrashKey>>,
    trials: HashMap<Fingerprint, MonoTime>,
    quarantined: BTreeMap<Fingerprint, MonoTime>,
    quarantined_order: VecDeque<Fingerprint>,
    /// Crashes whose culprit is known; the oldest is dropped first.
    attributed: VecDeque<CrashKey>,
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
            crashes_to_trial: 1,
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
    ///     crashes_to_trial: 2,
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
            crashes: BTreeMap::new(),
            crashes_of: HashMap::new(),
            trials: HashMap::new(),
            quarantined: BTreeMap::new(),
            quarantined_order: VecDeque::new(),
            attributed: VecDeque::new(),
        }
    }

    /// Records that an upstream crashed with `fps` in flight. A crash that several entries report counts once.
    ///
    /// Report all fingerprints in flight, and assign the fingerprints of one service to one home: a home that knows
    /// only some of them cannot tell the culprit from the others.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        fps: &[Fingerprint],
    ) {
        self.remove_expired(now);
        for fp in fps {
            self.trials.remove(fp);
        }
        // A crash with a quarantined request in flight is attributed to it, so the other requests do not become
        // suspects.
        let key = (upstream.clone(), incarnation);
        if self.attributed.contains(&key) {
            return;
        }
        if fps.iter().any(|fp| self.quarantined.contains_key(fp)) {
            self.attribute(&key);
            return;
        }
        let crash = self.crashes.entry(key.clone()).or_insert_with(|| Crash {
            at: now,
            reported: BTreeSet::new(),
            suspects: BTreeSet::new(),
        });
        for &fp in fps {
            if crash.reported.len() < MAX_FINGERPRINTS_PER_CRASH && crash.reported.insert(fp) {
                crash.suspects.insert(fp);
                self.crashes_of.entry(fp).or_default().insert(key.clone());
            }
        }
        if let Some(culprit) = self.find_culprit(&key) {
            self.quarantine(now, culprit);
        }
    }

    /// Returns true if the fingerprint may run only as a trial or not at all.
    #[must_use]
    pub fn is_suspect(&self, fp: Fingerprint) -> bool {
        self.needs_trial(fp) || self.quarantined.contains_key(&fp)
    }

    /// Returns the number of crashes without a known culprit that the fingerprint was in flight in.
    #[must_use]
    pub fn crash_count(&self, fp: Fingerprint) -> usize {
        self.crashes_of.get(&fp).map_or(0, BTreeSet::len)
    }

    fn needs_trial(&self, fp: Fingerprint) -> bool {
        let crashes = self.crash_count(fp);
        crashes > 0 && crashes >= self.policy.crashes_to_trial as usize
    }

    /// Requests a run of a fingerprint.
    ///
    /// Suspects of the same crash run one after the other. If two of them were in flight together when the culprit
    /// crashes its second upstream, both would have been in the same two crashes. Either the innocent one would be
    /// quarantined too, or a third upstream would have to crash to tell them apart.
    pub fn try_trial(&mut self, now: MonoTime, fp: Fingerprint) -> Trial {
        self.remove_expired(now);
        if self.quarantined.contains_key(&fp) {
            return Trial::Quarantined {
                retry_after: QUARANTINE_RETRY_AFTER,
            };
        }
        if !self.needs_trial(fp) {
            return Trial::Run;
        }
        let Some(crashes) = self.crashes_of.get(&fp) else {
            return Trial::Run;
        };
        let conflicts = |other: &Fingerprint| {
            *other == fp
                || self
                    .crashes_of
                    .get(other)
                    .is_some_and(|other_crashes| !other_crashes.is_disjoint(crashes))
        };
        if self.trials.keys().any(conflicts) {
            return Trial::Busy {
                retry_after: BUSY_RETRY_AFTER,
            };
        }
        self.trials.insert(fp, now);
        Trial::Run
    }

    /// Ends a trial, whatever its result.
    pub fn end_trial(&mut self, now: MonoTime, fp: Fingerprint) {
        self.trials.remove(&fp);
        self.remove_expired(now);
    }

    /// Clears a fingerprint that ran to a complete result: it is no longer a suspect.
    pub fn clear(&mut self, now: MonoTime, fp: Fingerprint) {
        self.trials.remove(&fp);
        for key in self.crashes_of.remove(&fp).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&key) {
                crash.suspects.remove(&fp);
            }
        }
        self.remove_expired(now);
    }

    /// Returns the quarantined fingerprints.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.quarantined.keys().copied()
    }

    /// Adds a quarantine that another instance decided.
    pub fn adopt_quarantine(&mut self, now: MonoTime, fp: Fingerprint) {
        self.remove_expired(now);
        self.quarantine(now, fp);
    }

    /// Lifts a quarantine on an operator's request. The fingerprint is treated as any other and is quarantined again
    /// after the same number of crashes.
    pub fn lift(&mut self, now: MonoTime, fp: Fingerprint) {
        self.remove_expired(now);
        if self.quarantined.remove(&fp).is_some() {
            self.quarantined_order.retain(|other| *other != fp);
        }
    }

    /// Returns the number of crashes, suspects, trials and quarantines, which is bounded.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.len()
            + self.attributed.len()
            + self.crashes_of.len()
            + self.trials.len()
            + self.quarantined.len()
    }

    /// Returns true if there are no crashes, suspects, trials or quarantines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the culprit of a crash: the fingerprint with the most crashes, if it reaches the threshold and no other
    /// has as many.
    fn find_culprit(&self, key: &CrashKey) -> Option<Fingerprint> {
        let crash = self.crashes.get(key)?;
        let counts = crash
            .suspects
            .iter()
            .map(|&fp| (self.crashes_of.get(&fp).map_or(0, BTreeSet::len), fp));
        let most = counts.clone().map(|(crashes, _)| crashes).max()?;
        if most < self.policy.crashes_to_quarantine.max(1) as usize {
            return None;
        }
        let mut most_crashed = counts.filter(|&(crashes, _)| crashes == most);
        let culprit = most_crashed.next()?.1;
        most_crashed.next().is_none().then_some(culprit)
    }

    /// Quarantines a fingerprint, attributes its crashes to it and clears the other suspects of those crashes.
    fn quarantine(&mut self, now: MonoTime, culprit: Fingerprint) {
        if self.quarantined.insert(culprit, now).is_none() {
            self.quarantined_order.push_back(culprit);
        }
        if self.quarantined_order.len() > MAX_QUARANTINED
            && let Some(oldest) = self.quarantined_order.pop_front()
        {
            self.quarantined.remove(&oldest);
        }
        self.trials.remove(&culprit);
        for key in self.crashes_of.get(&culprit).cloned().unwrap_or_default() {
            self.attribute(&key);
        }
        self.crashes_of.remove(&culprit);
    }

    /// Marks a crash as attributed, so that the other fingerprints in it are no longer suspects, even if it is reported
    /// again.
    fn attribute(&mut self, key: &CrashKey) {
        self.remove_crash(key);
        self.attributed.push_back(key.clone());
        if self.attributed.len() > MAX_CRASHES {
            self.attributed.pop_front();
        }
    }

    fn remove_crash(&mut self, key: &CrashKey) {
        let Some(crash) = self.crashes.remove(key) else {
            return;
        };
        for fp in crash.suspects {
            if let Some(crashes) = self.crashes_of.get_mut(&fp) {
                crashes.remove(key);
                if crashes.is_empty() {
                    self.crashes_of.remove(&fp);
                }
            }
        }
    }

    fn remove_expired(&mut self, now: MonoTime) {
        self.trials
            .retain(|_, started| now.since(*started) < TRIAL_TIMEOUT);
        if let Some(duration) = self.policy.quarantine_duration {
            self.quarantined
                .retain(|_, since| now.since(*since) < duration);
            self.quarantined_order
                .retain(|fp| self.quarantined.contains_key(fp));
        }
        while let Some((key, at)) = self.oldest_crash() {
            if self.crashes.len() <= MAX_CRASHES && now.since(at) < CRASH_TTL {
                break;
            }
            self.remove_crash(&key);
        }
    }

    fn oldest_crash(&self) -> Option<(CrashKey, MonoTime)> {
        self.crashes
            .iter()
            .min_by_key(|(_, crash)| crash.at)
            .map(|(key, crash)| (key.clone(), crash.at))
    }
}
