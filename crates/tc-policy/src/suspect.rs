//! Requests that may crash the upstreams they run on, kept where their fingerprints are at home.
//!
//! Every call in flight on an upstream that died may have killed it. A crash makes all of them suspects; a success
//! clears one; the one that alone was in flight in enough crashes is quarantined, and its neighbours go free.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use tc_protocol::{Fingerprint, Incarnation, MonoTime, UpstreamId};

/// A crash that nobody was found guilty of is forgotten after this long.
const FORGET_CRASH_AFTER: Duration = Duration::from_mins(10);
/// Most crashes kept; the oldest goes first.
const MOST_CRASHES: usize = 256;
/// Most fingerprints kept of one crash.
const MOST_PER_CRASH: usize = 1_024;
/// Most quarantined fingerprints kept; the oldest goes first.
const MOST_QUARANTINED: usize = 4_096;
/// A trial whose end was never told (its entry died) ends after this long.
const TRIAL_LASTS: Duration = Duration::from_secs(30);
/// Hint when to try again while another trial runs.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Hint when to try again for a quarantined fingerprint.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_mins(10);

/// Whether a suspect may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// It may run, on one upstream; tell [`Suspects::end_trial`] afterwards.
    Run,
    /// It, or another suspect of the same crash, runs now.
    Busy {
        /// When to try again.
        retry_after: Duration,
    },
    /// It crashed upstreams before and is not run any more.
    Quarantined {
        /// When to try again, at the earliest.
        retry_after: Duration,
    },
}

type CrashKey = (UpstreamId, Incarnation);

#[derive(Debug)]
struct Crash {
    at: MonoTime,
    /// All that were in flight; told twice, one that was cleared in between does not become a suspect again.
    told: BTreeSet<Fingerprint>,
    /// Those that are still suspects.
    in_flight: BTreeSet<Fingerprint>,
}

/// When a request is taken for one that crashes upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectPolicy {
    /// Crashes after which it is quarantined (at least 1).
    pub crashes_to_quarantine: u32,
    /// Crashes from which on it runs as a trial only, one at a time (at least 1).
    ///
    /// With 1 an innocent neighbour of the first crash waits for the trials of the others; with more it does not, and
    /// the request that crashes upstreams may take some at the same moment.
    pub crashes_to_trial: u32,
    /// How long a quarantine lasts; for good, until it is lifted, when `None`.
    pub quarantine_duration: Option<Duration>,
}

/// The suspects, trials and quarantined fingerprints at one home. Memory is bounded.
#[derive(Debug)]
pub struct Suspects {
    policy: SuspectPolicy,
    crashes: BTreeMap<CrashKey, Crash>,
    /// Unexplained crashes that each suspect was in flight in.
    crashes_of: HashMap<Fingerprint, BTreeSet<CrashKey>>,
    trials: HashMap<Fingerprint, MonoTime>,
    quarantined: BTreeMap<Fingerprint, MonoTime>,
    quarantined_order: VecDeque<Fingerprint>,
    /// Crashes whose guilty one is known; the oldest goes first.
    explained: VecDeque<CrashKey>,
}

impl Suspects {
    /// Quarantines after `crashes_to_quarantine` crashes (at least 1), for good; suspects run as trials from the first.
    ///
    /// ```
    /// use tc_policy::{Suspects, Trial};
    /// use tc_protocol::{Fingerprint, Incarnation, MonoTime};
    /// let mut suspects = Suspects::new(2);
    /// let (now, guilty) = (MonoTime(1), Fingerprint(7));
    /// suspects.record_crash(now, &"gen-1".into(), Incarnation(1), &[guilty, Fingerprint(8)]);
    /// assert_eq!(suspects.try_trial(now, guilty), Trial::Run);
    /// suspects.record_crash(now, &"gen-2".into(), Incarnation(1), &[guilty]);
    /// assert!(matches!(suspects.try_trial(now, guilty), Trial::Quarantined { .. }));
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

    /// Decides by `policy`.
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
            explained: VecDeque::new(),
        }
    }

    /// An upstream died with `fps` in flight. Several entries may tell of the same death: it counts once.
    ///
    /// For the neighbours' sake, tell all fingerprints that were in flight, and have the fingerprints of a service
    /// at one home: where a home knows only some of them, it cannot tell the guilty one from its neighbours.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        fps: &[Fingerprint],
    ) {
        self.forget_old(now);
        for fp in fps {
            self.trials.remove(fp);
        }
        // A death with a quarantined request in flight is explained already: its neighbours are no suspects.
        let key = (upstream.clone(), incarnation);
        if self.explained.contains(&key) {
            return;
        }
        if fps.iter().any(|fp| self.quarantined.contains_key(fp)) {
            self.explain(&key);
            return;
        }
        let crash = self.crashes.entry(key.clone()).or_insert_with(|| Crash {
            at: now,
            told: BTreeSet::new(),
            in_flight: BTreeSet::new(),
        });
        for &fp in fps {
            if crash.told.len() < MOST_PER_CRASH && crash.told.insert(fp) {
                crash.in_flight.insert(fp);
                self.crashes_of.entry(fp).or_default().insert(key.clone());
            }
        }
        if let Some(guilty) = self.guilty_of(&key) {
            self.quarantine(now, guilty);
        }
    }

    /// Whether the fingerprint may run only as a trial.
    #[must_use]
    pub fn is_suspect(&self, fp: Fingerprint) -> bool {
        self.needs_trial(fp) || self.quarantined.contains_key(&fp)
    }

    fn needs_trial(&self, fp: Fingerprint) -> bool {
        let crashes = self.crashes_of.get(&fp).map_or(0, BTreeSet::len);
        crashes > 0 && crashes >= self.policy.crashes_to_trial as usize
    }

    /// Asks to run a suspect.
    ///
    /// Suspects of the same crash run one after the other. Were two of them in flight together when the guilty one
    /// kills its second upstream, both would have been in the same two crashes, and either the innocent one would be
    /// refused or a third upstream be lost to find out.
    pub fn try_trial(&mut self, now: MonoTime, fp: Fingerprint) -> Trial {
        self.forget_old(now);
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
                    .is_some_and(|theirs| !theirs.is_disjoint(crashes))
        };
        if self.trials.keys().any(conflicts) {
            return Trial::Busy {
                retry_after: BUSY_RETRY_AFTER,
            };
        }
        self.trials.insert(fp, now);
        Trial::Run
    }

    /// The trial is over, whatever came of it.
    pub fn end_trial(&mut self, now: MonoTime, fp: Fingerprint) {
        self.trials.remove(&fp);
        self.forget_old(now);
    }

    /// The fingerprint ran to a whole result: it is no suspect any more.
    pub fn clear(&mut self, now: MonoTime, fp: Fingerprint) {
        self.trials.remove(&fp);
        for key in self.crashes_of.remove(&fp).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&key) {
                crash.in_flight.remove(&fp);
            }
        }
        self.forget_old(now);
    }

    /// The quarantined fingerprints.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.quarantined.keys().copied()
    }

    /// Takes over a quarantine found elsewhere.
    pub fn adopt_quarantine(&mut self, now: MonoTime, fp: Fingerprint) {
        self.forget_old(now);
        self.quarantine(now, fp);
    }

    /// An operator lifted the quarantine: the fingerprint may run as any other, and is quarantined again after as many
    /// crashes as before.
    pub fn lift(&mut self, now: MonoTime, fp: Fingerprint) {
        self.forget_old(now);
        if self.quarantined.remove(&fp).is_some() {
            self.quarantined_order.retain(|other| *other != fp);
        }
    }

    /// Crashes, suspects and trials kept; bounded.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.len()
            + self.explained.len()
            + self.crashes_of.len()
            + self.trials.len()
            + self.quarantined.len()
    }

    /// Whether there is no crash, suspect, trial or quarantine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The one fingerprint of the crash that was in flight in enough crashes, if it is the only one in the most.
    fn guilty_of(&self, key: &CrashKey) -> Option<Fingerprint> {
        let crash = self.crashes.get(key)?;
        let counted = crash
            .in_flight
            .iter()
            .map(|&fp| (self.crashes_of.get(&fp).map_or(0, BTreeSet::len), fp));
        let most = counted.clone().map(|(crashes, _)| crashes).max()?;
        if most < self.policy.crashes_to_quarantine.max(1) as usize {
            return None;
        }
        let mut worst = counted.filter(|&(crashes, _)| crashes == most);
        let guilty = worst.next()?.1;
        worst.next().is_none().then_some(guilty)
    }

    /// Quarantines the fingerprint; the crashes it was in are explained, and its neighbours in them go free.
    fn quarantine(&mut self, now: MonoTime, guilty: Fingerprint) {
        if self.quarantined.insert(guilty, now).is_none() {
            self.quarantined_order.push_back(guilty);
        }
        if self.quarantined_order.len() > MOST_QUARANTINED
            && let Some(oldest) = self.quarantined_order.pop_front()
        {
            self.quarantined.remove(&oldest);
        }
        self.trials.remove(&guilty);
        for key in self.crashes_of.get(&guilty).cloned().unwrap_or_default() {
            self.explain(&key);
        }
        self.crashes_of.remove(&guilty);
    }

    /// The crash's guilty one is known: the others in it are no suspects for its sake, also when more are told of.
    fn explain(&mut self, key: &CrashKey) {
        self.drop_crash(key);
        self.explained.push_back(key.clone());
        if self.explained.len() > MOST_CRASHES {
            self.explained.pop_front();
        }
    }

    fn drop_crash(&mut self, key: &CrashKey) {
        let Some(crash) = self.crashes.remove(key) else {
            return;
        };
        for fp in crash.in_flight {
            if let Some(crashes) = self.crashes_of.get_mut(&fp) {
                crashes.remove(key);
                if crashes.is_empty() {
                    self.crashes_of.remove(&fp);
                }
            }
        }
    }

    fn forget_old(&mut self, now: MonoTime) {
        self.trials
            .retain(|_, started| now.since(*started) < TRIAL_LASTS);
        if let Some(life) = self.policy.quarantine_duration {
            self.quarantined.retain(|_, since| now.since(*since) < life);
            self.quarantined_order
                .retain(|fp| self.quarantined.contains_key(fp));
        }
        while let Some((key, at)) = self.oldest_crash() {
            if self.crashes.len() <= MOST_CRASHES && now.since(at) < FORGET_CRASH_AFTER {
                break;
            }
            self.drop_crash(&key);
        }
    }

    fn oldest_crash(&self) -> Option<(CrashKey, MonoTime)> {
        self.crashes
            .iter()
            .min_by_key(|(_, crash)| crash.at)
            .map(|(key, crash)| (key.clone(), crash.at))
    }
}
