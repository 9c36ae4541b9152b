//! Configuration spread: which revision is in force here, which exists, and whom to pull it from.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tc_protocol::{InstanceId, MonoTime};

/// A pull whose end was never told is taken for failed after this; otherwise a lost report would end all pulling.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);
/// Failed pulls from peers in a row after which an instance that is no watcher may ask the platform itself.
const FAILURES_TO_PLATFORM: u32 = 3;

/// Where to get a configuration from next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pull {
    /// From this instance, which has a newer revision in force.
    Peer(InstanceId),
    /// From the platform: watch its object for a version newer than the one last seen.
    Platform,
    /// Nothing to do now.
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
    /// Doubles the wait, with jitter so that instances that failed together do not return together.
    fn fail(&mut self, now: MonoTime, rng: &mut SmallRng) {
        let wait = FIRST_BACKOFF
            .saturating_mul(1 << self.failures.min(16))
            .min(LONGEST_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.until = now.after(wait.mul_f64(rng.random_range(0.5..1.5)));
    }
}

#[derive(Clone, Debug)]
struct InProgress {
    pull: Pull,
    since: MonoTime,
}

/// One instance's part in spreading the configuration.
#[derive(Clone, Debug)]
pub struct ConfigPuller {
    in_force: u64,
    known: u64,
    peers: BTreeMap<InstanceId, Peer>,
    rejected: BTreeSet<u64>,
    rejections: u64,
    in_progress: Option<InProgress>,
    failures_in_a_row: u32,
    platform: Backoff,
    rng: SmallRng,
}

impl ConfigPuller {
    /// An instance with no configuration yet.
    ///
    /// ```
    /// use tc_membership::{Pull, ConfigPuller};
    /// use tc_protocol::MonoTime;
    /// let mut puller = ConfigPuller::new(1);
    /// let now = MonoTime::from_millis(1);
    /// puller.note_peer_revision(now, &"kl-a-1".into(), 4);
    /// assert_eq!(puller.next_pull(now, false, false), Pull::Peer("kl-a-1".into()));
    /// assert!(puller.activate(4));
    /// assert!(!puller.activate(3));
    /// assert_eq!(puller.active_revision(), 4);
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            in_force: 0,
            known: 0,
            peers: BTreeMap::new(),
            rejected: BTreeSet::new(),
            rejections: 0,
            in_progress: None,
            failures_in_a_row: 0,
            platform: Backoff::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Revision in force here; 0 before the first.
    #[must_use]
    pub fn active_revision(&self) -> u64 {
        self.in_force
    }

    /// Highest revision known to exist.
    #[must_use]
    pub fn known_revision(&self) -> u64 {
        self.known
    }

    /// How often a revision was rejected as invalid.
    #[must_use]
    pub fn rejections(&self) -> u64 {
        self.rejections
    }

    /// An instance says which revision it has in force.
    ///
    /// Datagrams are reordered, so a lower revision than before says nothing; a restarted instance that has lost its
    /// configuration answers a pull with less, which counts as failed.
    pub fn note_peer_revision(&mut self, now: MonoTime, from: &InstanceId, revision: u64) {
        self.known = self.known.max(revision);
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

    /// An instance is gone: do not pull from it.
    pub fn remove_peer(&mut self, from: &InstanceId) {
        self.peers.remove(from);
        let from = Pull::Peer(from.clone());
        if self.in_progress.as_ref().is_some_and(|p| p.pull == from) {
            self.in_progress = None;
        }
    }

    /// Where to pull from now. The pull counts as in progress until its end is told or it times out; meanwhile the
    /// answer is [`Pull::Nothing`].
    ///
    /// A newer revision is pulled from an instance that has it. Only watchers wait at the platform, so that its load
    /// does not grow with the fleet; others ask it when they have no configuration and know nobody who has, or when
    /// pulls from peers keep failing.
    pub fn next_pull(&mut self, now: MonoTime, is_watcher: bool, store_reachable: bool) -> Pull {
        self.time_out(now);
        // A pull from a peer is not held back by a watch of the platform, which may wait for long.
        let pulling = self.in_progress.as_ref().map(|p| &p.pull);
        if matches!(pulling, Some(Pull::Peer(_))) {
            return Pull::Nothing;
        }
        let watching = pulling.is_some();
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

    /// A valid revision is here. Returns whether to put it in force: only if it is newer than the one that is, so that
    /// no instance ever goes back, whatever order answers come in.
    pub fn activate(&mut self, revision: u64) -> bool {
        self.known = self.known.max(revision);
        self.in_progress = None;
        if revision <= self.in_force {
            return false;
        }
        self.in_force = revision;
        self.failures_in_a_row = 0;
        self.platform = Backoff::default();
        self.rejected = self.rejected.split_off(&(revision + 1));
        true
    }

    /// A revision was read whole and is invalid here. It is not pulled again; the next one is.
    ///
    /// ```
    /// use tc_membership::{Pull, ConfigPuller};
    /// use tc_protocol::MonoTime;
    /// let mut puller = ConfigPuller::new(1);
    /// let now = MonoTime::from_millis(1);
    /// puller.note_peer_revision(now, &"kl-a-1".into(), 4);
    /// puller.reject(4);
    /// assert_eq!(puller.active_revision(), 0);
    /// assert_eq!(puller.next_pull(now, false, false), Pull::Nothing);
    /// ```
    pub fn reject(&mut self, revision: u64) {
        self.known = self.known.max(revision);
        self.in_progress = None;
        self.rejections += 1;
        if revision > self.in_force {
            self.rejected.insert(revision);
        }
    }

    /// A pull from a peer failed, or brought nothing newer than is in force.
    pub fn pull_failed(&mut self, now: MonoTime, from: &InstanceId) {
        let from_pull = Pull::Peer(from.clone());
        if self
            .in_progress
            .as_ref()
            .is_some_and(|p| p.pull == from_pull)
        {
            self.in_progress = None;
        }
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.backoff.fail(now, &mut self.rng);
        }
    }

    /// The platform could not be read.
    pub fn platform_failed(&mut self, now: MonoTime) {
        self.end_watch();
        self.platform.fail(now, &mut self.rng);
    }

    /// The platform was read and has nothing newer.
    pub fn platform_unchanged(&mut self) {
        self.end_watch();
        self.platform = Backoff::default();
        self.failures_in_a_row = 0;
    }

    fn end_watch(&mut self) {
        if self
            .in_progress
            .as_ref()
            .is_some_and(|p| p.pull == Pull::Platform)
        {
            self.in_progress = None;
        }
    }

    fn time_out(&mut self, now: MonoTime) {
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

    /// One of the peers with the highest revision that is worth pulling; by chance, to share the load.
    fn best_peer(&mut self, now: MonoTime) -> Option<InstanceId> {
        let worth = |peer: &Peer| {
            peer.revision > self.in_force
                && !self.rejected.contains(&peer.revision)
                && peer.backoff.until <= now
        };
        let revision = self
            .peers
            .values()
            .filter(|p| worth(p))
            .map(|p| p.revision)
            .max()?;
        self.peers
            .iter()
            .filter(|(_, peer)| peer.revision == revision && worth(peer))
            .map(|(id, _)| id.clone())
            .choose(&mut self.rng)
    }

    fn may_ask_platform(&self, now: MonoTime, is_watcher: bool) -> bool {
        let start = self.in_force == 0 && self.known == 0;
        let stuck = self.known > self.in_force && self.failures_in_a_row >= FAILURES_TO_PLATFORM;
        self.platform.until <= now && (is_watcher || start || stuck)
    }
}
