//! Selection of the source to pull a new configuration revision from.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tc_protocol::{InstanceId, MonoTime};

/// Pulls that report no result within this time count as failed. Otherwise a lost result would
/// block all further pulls.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Consecutive failed pulls from peers after which an instance that is not a watcher may ask the
/// platform itself.
const FAILURES_BEFORE_PLATFORM: u32 = 3;

/// Where to pull a configuration from next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pull {
    /// From this instance, which has activated a newer revision.
    Peer(InstanceId),
    /// From the platform, by watching its object for a version newer than the last one seen.
    Platform,
    /// Nothing to pull now.
    Nothing,
}

#[derive(Clone, Debug)]
struct Peer {
    revision: u64,
    backoff: Backoff,
}

#[derive(Clone, Debug, Default)]
struct Backoff {
    failures: u32,
    until: MonoTime,
}

impl Backoff {
    /// Doubles the wait and adds jitter, so that instances that failed together do not retry
    /// together.
    fn record_failure(&mut self, now: MonoTime, rng: &mut SmallRng) {
        let wait = INITIAL_BACKOFF
            .saturating_mul(1 << self.failures.min(16))
            .min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.until = now.after(wait.mul_f64(rng.random_range(0.5..1.5)));
    }
}

#[derive(Clone, Debug)]
struct InProgress {
    pull: Pull,
    since: MonoTime,
}

/// Tracks the configuration revisions known to one instance and decides where to pull from.
#[derive(Clone, Debug)]
pub struct ConfigPuller {
    active_revision: u64,
    known_revision: u64,
    peers: BTreeMap<InstanceId, Peer>,
    rejected: BTreeSet<u64>,
    rejections: u64,
    in_progress: Option<InProgress>,
    consecutive_failures: u32,
    platform: Backoff,
    rng: SmallRng,
}

impl ConfigPuller {
    /// Creates the state of an instance without a configuration.
    ///
    /// ```
    /// use tc_membership::{ConfigPuller, Pull};
    /// use tc_protocol::MonoTime;
    /// let mut puller = ConfigPuller::new(1);
    /// let now = MonoTime::from_millis(1);
    /// puller.record_peer_revision(now, &"kl-a-1".into(), 4);
    /// assert_eq!(puller.next_pull(now, false, false), Pull::Peer("kl-a-1".into()));
    /// assert!(puller.activate(4));
    /// assert!(!puller.activate(3));
    /// assert_eq!(puller.active_revision(), 4);
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            active_revision: 0,
            known_revision: 0,
            peers: BTreeMap::new(),
            rejected: BTreeSet::new(),
            rejections: 0,
            in_progress: None,
            consecutive_failures: 0,
            platform: Backoff::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the active revision, or 0 before the first.
    #[must_use]
    pub fn active_revision(&self) -> u64 {
        self.active_revision
    }

    /// Returns the highest revision known to exist.
    #[must_use]
    pub fn known_revision(&self) -> u64 {
        self.known_revision
    }

    /// Returns how many times a revision was rejected as invalid.
    #[must_use]
    pub fn rejections(&self) -> u64 {
        self.rejections
    }

    /// Records the revision that a peer reports as active.
    ///
    /// Datagrams can be reordered, so a lower revision than before is ignored. A restarted peer
    /// that has lost its configuration answers a pull with a lower revision, which counts as a
    /// failed pull.
    pub fn record_peer_revision(&mut self, now: MonoTime, from: &InstanceId, revision: u64) {
        self.known_revision = self.known_revision.max(revision);
        let Some(peer) = self.peers.get_mut(from) else {
            let backoff = Backoff {
                failures: 0,
                until: now,
            };
            self.peers.insert(from.clone(), Peer { revision, backoff });
            return;
        };
        if revision > peer.revision {
            peer.revision = revision;
            peer.backoff = Backoff::default();
        }
    }

    /// Removes a peer that is gone, so that nothing is pulled from it.
    pub fn remove_peer(&mut self, from: &InstanceId) {
        self.peers.remove(from);
        let from = Pull::Peer(from.clone());
        if self.in_progress.as_ref().is_some_and(|p| p.pull == from) {
            self.in_progress = None;
        }
    }

    /// Returns where to pull from now. The pull counts as in progress until its result is reported
    /// or it times out; while a pull from a peer is in progress the result is [`Pull::Nothing`].
    ///
    /// A newer revision is pulled from a peer that has it. Only watchers wait on the platform, so
    /// that its load does not grow with the fleet. Other instances ask it if they have no
    /// configuration and know no peer that has one, or if pulls from peers keep failing.
    pub fn next_pull(&mut self, now: MonoTime, is_watcher: bool, store_reachable: bool) -> Pull {
        self.expire_pull(now);
        // A platform watch may wait for a long time and must not block pulls from peers.
        let pull = self.in_progress.as_ref().map(|p| &p.pull);
        if matches!(pull, Some(Pull::Peer(_))) {
            return Pull::Nothing;
        }
        let watching = pull.is_some();
        let next = if let Some(id) = self.best_peer(now) {
            Pull::Peer(id)
        } else if !watching && store_reachable && self.may_ask_platform(now, is_watcher) {
            Pull::Platform
        } else {
            return Pull::Nothing;
        };
        self.in_progress = Some(InProgress {
            pull: next.clone(),
            since: now,
        });
        next
    }

    /// Reports that a valid revision was received. Returns whether to activate it, which is the
    /// case only if it is newer than the active one. No instance ever reverts to an older revision,
    /// whatever order responses arrive in.
    pub fn activate(&mut self, revision: u64) -> bool {
        self.known_revision = self.known_revision.max(revision);
        self.in_progress = None;
        if revision <= self.active_revision {
            return false;
        }
        self.active_revision = revision;
        self.consecutive_failures = 0;
        self.platform = Backoff::default();
        self.rejected = self.rejected.split_off(&(revision + 1));
        true
    }

    /// Reports that a complete revision was received and is invalid. It is not pulled again, but
    /// the next one is.
    ///
    /// ```
    /// use tc_membership::{ConfigPuller, Pull};
    /// use tc_protocol::MonoTime;
    /// let mut puller = ConfigPuller::new(1);
    /// let now = MonoTime::from_millis(1);
    /// puller.record_peer_revision(now, &"kl-a-1".into(), 4);
    /// puller.reject(4);
    /// assert_eq!(puller.active_revision(), 0);
    /// assert_eq!(puller.next_pull(now, false, false), Pull::Nothing);
    /// ```
    pub fn reject(&mut self, revision: u64) {
        self.known_revision = self.known_revision.max(revision);
        self.in_progress = None;
        self.rejections += 1;
        if revision > self.active_revision {
            self.rejected.insert(revision);
        }
    }

    /// Reports that a pull from a peer failed or returned nothing newer than the active revision.
    pub fn pull_failed(&mut self, now: MonoTime, from: &InstanceId) {
        let from_pull = Pull::Peer(from.clone());
        if self
            .in_progress
            .as_ref()
            .is_some_and(|p| p.pull == from_pull)
        {
            self.in_progress = None;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.backoff.record_failure(now, &mut self.rng);
        }
    }

    /// Reports that the platform could not be read.
    pub fn platform_failed(&mut self, now: MonoTime) {
        self.finish_platform_pull();
        self.platform.record_failure(now, &mut self.rng);
    }

    /// Reports that the platform was read and has nothing newer.
    pub fn platform_unchanged(&mut self) {
        self.finish_platform_pull();
        self.platform = Backoff::default();
        self.consecutive_failures = 0;
    }

    fn finish_platform_pull(&mut self) {
        if self
            .in_progress
            .as_ref()
            .is_some_and(|p| p.pull == Pull::Platform)
        {
            self.in_progress = None;
        }
    }

    fn expire_pull(&mut self, now: MonoTime) {
        let Some(overdue) = self
            .in_progress
            .take_if(|p| now.since(p.since) >= PULL_TIMEOUT)
        else {
            return;
        };
        if let Pull::Peer(id) = overdue.pull {
            self.pull_failed(now, &id);
        }
    }

    /// Returns a random peer among those with the highest eligible revision, to spread the load.
    fn best_peer(&mut self, now: MonoTime) -> Option<InstanceId> {
        let is_eligible = |peer: &Peer| {
            peer.revision > self.active_revision
                && !self.rejected.contains(&peer.revision)
                && peer.backoff.until <= now
        };
        let revision = self
            .peers
            .values()
            .filter(|p| is_eligible(p))
            .map(|p| p.revision)
            .max()?;
        self.peers
            .iter()
            .filter(|(_, peer)| peer.revision == revision && is_eligible(peer))
            .map(|(id, _)| id.clone())
            .choose(&mut self.rng)
    }

    fn may_ask_platform(&self, now: MonoTime, is_watcher: bool) -> bool {
        let has_no_source = self.active_revision == 0 && self.known_revision == 0;
        let is_stuck = self.known_revision > self.active_revision
            && self.consecutive_failures >= FAILURES_BEFORE_PLATFORM;
        self.platform.until <= now && (is_watcher || has_no_source || is_stuck)
    }
}
