//! Source selection of one instance: which other instance it follows for the state of the store, and when
//! it reads the store itself.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use tc_protocol::{FailureDomain, InstanceId, Member, MonoTime};

use crate::{
    list_schedule::ListSchedule,
    rendezvous::rendezvous_score,
    store_probes::ProbeRole,
    store_sources::{StoreSources, WATCHER_COUNT},
};

/// Number of relays that an instance tries before it tries a watcher.
const RELAYS_BEFORE_WATCHER: usize = 2;
/// Time by which the first own listing of a starting instance is spread, per member. When hundreds
/// start at once and no source confirms them in time, they must not all list the store.
const START_SPREAD_PER_MEMBER: Duration = Duration::from_millis(10);
const SOURCE_ROLE: &str = "source";
const START_ROLE: &str = "start";
const FIRST_READER_ROLE: &str = "first reader of the store";
/// Number of instances that read everything at once when no watcher gets answers from the store. What they learn
/// reaches the others, also if some calls are lost.
const FIRST_READERS: usize = 8;

/// Durations that control when another source is chosen and when the store is read directly.
///
/// An instance's copy of the store is *confirmed* as of a time if it is known to include every
/// change that the store had accepted by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceTiming {
    /// Interval between the messages of a source that has no changes to report.
    pub heartbeat_interval: Duration,
    /// Time without messages after which a source is abandoned.
    pub silence_timeout: Duration,
    /// Age of a source's confirmation at which another source is chosen.
    pub stale_after: Duration,
    /// Age of the newest confirmation from any source at which an instance watches the store
    /// itself.
    pub watch_after: Duration,
    /// Age of its own confirmation at which the first watcher has listed the store at the latest.
    pub list_after: Duration,
    /// Added to `list_after` for each hop from the first watcher, so that another instance lists
    /// the store only if the first cannot.
    pub list_delay_per_hop: Duration,
    /// Time without an answer after which a read of the store is repeated.
    pub hedge_delay: Duration,
    /// Time for which a watcher batches changes of upstreams before its next watch.
    ///
    /// Upstreams start and leave many at a time, and each watch that returns is a charged store
    /// call of every watching instance. With a pause, one call returns all changes made during it.
    pub batch_time: Duration,
}

impl SourceTiming {
    /// Returns durations that keep within `bound`, the maximum time until a store change takes
    /// effect everywhere.
    ///
    /// A watcher batches changes for a quarter of the bound. With these durations, an instance
    /// whose source has died, is partitioned or no longer gets answers from the store has another
    /// source or its own listing after half of the bound, which leaves a quarter for slow calls.
    ///
    /// A configuration is not batched. For it, the rest of the bound covers an attempt to follow
    /// another source that does not answer (one `heartbeat_interval`) and two reads of the store that
    /// are lost (one `hedge_delay` each):
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_membership::SourceTiming;
    /// let bound = Duration::from_secs(2);
    /// let timing = SourceTiming::within(bound);
    /// let latest_read = timing.watch_after + timing.heartbeat_interval + 2 * timing.hedge_delay;
    /// assert!(latest_read <= bound.mul_f64(0.875), "an eighth is left for the read that succeeds");
    /// ```
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Self {
            heartbeat_interval: bound.mul_f64(0.125),
            silence_timeout: bound.mul_f64(0.3),
            stale_after: bound.mul_f64(0.44),
            watch_after: bound.mul_f64(0.5),
            list_after: bound.mul_f64(0.36),
            list_delay_per_hop: bound.mul_f64(0.02),
            hedge_delay: bound.mul_f64(0.125),
            batch_time: bound.mul_f64(0.25),
        }
    }

    /// Returns when an instance at this position among the watchers lists the store, or one that is
    /// not among them. Each position waits longer by its number of hops from the first watcher.
    #[must_use]
    pub fn list_schedule(&self, watcher_index: Option<usize>) -> ListSchedule {
        let hops = match watcher_index {
            Some(0) => 0,
            // Each watcher follows the next one, and the last one follows the first.
            Some(index) => WATCHER_COUNT - index,
            None => WATCHER_COUNT,
        };
        ListSchedule {
            complete_at: self.list_after + self.list_delay_per_hop * hops as u32,
            first_known_at: (hops > 0).then_some(self.list_after + self.list_delay_per_hop),
            latest: self.stale_after,
        }
    }
}

#[derive(Clone, Debug)]
struct CurrentSource {
    id: InstanceId,
    last_heard: MonoTime,
    /// Last confirmation reported by the source or, before its first message, the time when it was
    /// chosen.
    confirmed: MonoTime,
    /// Whether the last message was part of an update that is not complete yet.
    is_sending: bool,
}

/// Source selection of one instance.
///
/// ```
/// use std::time::Duration;
/// use tc_membership::{SourceTiming, StoreSource};
/// use tc_protocol::MonoTime;
/// let start = MonoTime::from_millis(1_000);
/// let timing = SourceTiming::within(Duration::from_secs(2));
/// let source = StoreSource::new("kl-a-1".into(), timing, start);
/// assert!(!source.should_watch(start), "a source may still confirm");
/// assert!(source.should_watch(start.after(Duration::from_millis(1_001))));
/// ```
#[derive(Clone, Debug)]
pub struct StoreSource {
    me: InstanceId,
    timing: SourceTiming,
    /// Position of this instance among the watchers, or `None` if it is not one of them.
    watcher_index: Option<usize>,
    /// Whether this instance knows enough members to determine the watchers. While a fleet starts,
    /// each instance knows few others and would consider itself one of the best.
    is_settled: bool,
    max_followers: usize,
    /// Possible sources, best first.
    candidates: Vec<InstanceId>,
    current: Option<CurrentSource>,
    /// Newest confirmation reported by any source.
    newest_confirmation: MonoTime,
    /// Time until the first own listing if no source has confirmed anything since the start.
    start_limit: Duration,
    is_confirmed: bool,
    avoided_until: BTreeMap<InstanceId, MonoTime>,
    /// When a source last sent a message.
    last_message: Option<MonoTime>,
    /// Number of instances that are not watchers.
    followers: usize,
    is_first_reader: bool,
}

impl StoreSource {
    /// Creates the state of an instance that knows no others yet.
    #[must_use]
    pub fn new(me: InstanceId, timing: SourceTiming, now: MonoTime) -> Self {
        Self {
            me,
            timing,
            watcher_index: None,
            is_settled: false,
            max_followers: 0,
            candidates: Vec::new(),
            current: None,
            newest_confirmation: now,
            start_limit: timing.watch_after,
            is_confirmed: false,
            avoided_until: BTreeMap::new(),
            last_message: None,
            followers: 0,
            is_first_reader: true,
        }
    }

    /// Returns [`StoreSources::max_followers`] for the current members.
    #[must_use]
    pub fn max_followers(&self) -> usize {
        self.max_followers
    }

    /// Updates the watchers and candidate sources from the member list.
    pub fn update_members(&mut self, members: &[Member]) {
        let sources = StoreSources::new(members);
        self.max_followers = sources.max_followers(members.len());
        self.watcher_index = sources.watchers.iter().position(|w| w.id == self.me);
        self.start_limit = self.timing.watch_after + self.start_spread(members.len());
        self.followers = members.len().saturating_sub(sources.watchers.len());
        self.is_first_reader = self.is_first_reader_among(members);
        let is_relay = sources.relays.iter().any(|relay| relay.id == self.me);
        let mut retained: Vec<&Member> = Vec::new();
        let candidates = if let Some(index) = self.watcher_index {
            let mut others = sources.watchers;
            // Each watcher follows the next one, so that a change seen by one of them reaches all
            // of them.
            others.rotate_left(index);
            others.remove(0);
            others
        } else {
            let own_domain = members.iter().find(|m| m.id == self.me);
            let own_domain = own_domain.map(|me| &me.failure_domain);
            let mut watchers = self.by_preference(sources.watchers, own_domain);
            if is_relay || sources.relays.is_empty() {
                watchers
            } else {
                let mut relays = self.by_preference(sources.relays, own_domain);
                retained = sources.former_relays;
                let later = relays.split_off(RELAYS_BEFORE_WATCHER.min(relays.len()));
                let later_watchers = watchers.split_off(1.min(watchers.len()));
                [relays, watchers, later, later_watchers].concat()
            }
        };
        let is_source = |id: &InstanceId| {
            let mut allowed = candidates.iter().chain(&retained);
            allowed.any(|member| member.id == *id)
        };
        self.current.take_if(|current| !is_source(&current.id));
        self.candidates = candidates.into_iter().map(|m| m.id.clone()).collect();
    }

    /// Orders sources: those of the own failure domain first, then by a hash that differs between
    /// followers.
    fn by_preference<'a>(
        &self,
        mut sources: Vec<&'a Member>,
        own_domain: Option<&FailureDomain>,
    ) -> Vec<&'a Member> {
        sources.sort_by_key(|member| {
            let in_other_domain = Some(&member.failure_domain) != own_domain;
            let score = rendezvous_score(SOURCE_ROLE, self.me.as_str(), member.id.as_str());
            (in_other_domain, Reverse(score))
        });
        sources
    }

    /// Returns this instance's part of the time over which instances that start together spread
    /// their first listing.
    fn start_spread(&self, members: usize) -> Duration {
        let score = rendezvous_score(START_ROLE, self.me.as_str(), "") as f64 / u64::MAX as f64;
        START_SPREAD_PER_MEMBER.mul_f64(members as f64 * score)
    }

    fn is_first_reader_among(&self, members: &[Member]) -> bool {
        let score = |id: &InstanceId| rendezvous_score(FIRST_READER_ROLE, "", id.as_str());
        let own_score = score(&self.me);
        let better = members.iter().filter(|m| score(&m.id) > own_score);
        better.count() < FIRST_READERS
    }

    /// Marks the member list as complete enough to determine the watchers.
    pub fn mark_settled(&mut self) {
        self.is_settled = true;
    }

    /// Returns the source to follow now. The caller follows no other instance.
    pub fn source(&mut self, now: MonoTime) -> Option<InstanceId> {
        if let Some(current) = &self.current {
            let id = current.id.clone();
            if now.since(current.last_heard) > self.timing.silence_timeout {
                self.source_failed(now, &id);
            } else if !current.is_sending && self.is_stale(now, current.confirmed) {
                self.avoid(now, &id, self.timing.heartbeat_interval);
            } else {
                return Some(id);
            }
        }
        self.avoided_until.retain(|_, until| *until > now);
        let avoided = &self.avoided_until;
        let next = self.candidates.iter().find(|id| !avoided.contains_key(*id));
        self.current = next.map(|id| CurrentSource {
            id: id.clone(),
            last_heard: now,
            confirmed: now,
            is_sending: false,
        });
        next.cloned()
    }

    /// Whether a source with this confirmation is to be replaced. A watcher keeps following the
    /// next one, however old its confirmation is.
    fn is_stale(&self, now: MonoTime, confirmed: MonoTime) -> bool {
        self.watcher_index.is_none() && now.since(confirmed) >= self.timing.stale_after
    }

    /// Records a message from a source whose copy is confirmed as of `confirmed`.
    pub fn record_confirmation(&mut self, now: MonoTime, from: &InstanceId, confirmed: MonoTime) {
        let Some(current) = self.current.as_mut().filter(|c| c.id == *from) else {
            return;
        };
        self.last_message = Some(now);
        current.last_heard = now;
        current.confirmed = confirmed;
        current.is_sending = false;
        self.is_confirmed |= confirmed > MonoTime::default();
        self.newest_confirmation = self.newest_confirmation.max(confirmed);
        if self.is_stale(now, confirmed) {
            self.avoid(now, from, self.timing.heartbeat_interval);
        }
    }

    /// Records a message from a source that is part of an update.
    ///
    /// Until the update is complete, the source is kept however old its last confirmation is: over a
    /// slow link, another one would begin the transfer again.
    pub fn record_partial_update(&mut self, now: MonoTime, from: &InstanceId) {
        if let Some(current) = self.current.as_mut().filter(|c| c.id == *from) {
            self.last_message = Some(now);
            current.last_heard = now;
            current.is_sending = true;
        }
    }

    /// Returns whether the source is sending an update in parts, and has not fallen silent.
    fn is_receiving(&self, now: MonoTime) -> bool {
        self.current.as_ref().is_some_and(|current| {
            current.is_sending && now.since(current.last_heard) <= self.timing.silence_timeout
        })
    }

    /// Handles a resume after a pause, when the clock may not show how old the confirmations are.
    /// Unless a source reports one within a heartbeat interval, this instance reads the store
    /// itself.
    pub fn resumed(&mut self, now: MonoTime) {
        self.current = None;
        let confirmation_age = self
            .watch_after()
            .saturating_sub(self.timing.heartbeat_interval);
        self.newest_confirmation = self.newest_confirmation.min(now.before(confirmation_age));
    }

    /// Reports that a source is unreachable, ended the stream or timed out. Another one is chosen,
    /// and this one is avoided for a while.
    pub fn source_failed(&mut self, now: MonoTime, from: &InstanceId) {
        self.avoid(now, from, self.timing.silence_timeout);
    }

    fn avoid(&mut self, now: MonoTime, source: &InstanceId, duration: Duration) {
        self.avoided_until
            .insert(source.clone(), now.after(duration));
        self.current.take_if(|c| c.id == *source);
    }

    /// Returns whether this instance should watch the store itself.
    #[must_use]
    pub fn should_watch(&self, now: MonoTime) -> bool {
        let is_watcher = self.watcher_index.is_some() && self.is_settled;
        let mut watch_after = self.watch_after();
        if self.is_receiving(now) {
            // A read of the store would share the link with an update that may be nearly complete. The
            // delay is limited, as one source after the other may be lost within its update.
            watch_after += self.timing.heartbeat_interval;
        }
        is_watcher || now.since(self.newest_confirmation) >= watch_after
    }

    /// Returns how this instance probes the store while it is away.
    #[must_use]
    pub fn probe_role(&self, now: MonoTime) -> ProbeRole {
        if self.watcher_index.is_some() || !self.hears_sources(now) {
            return ProbeRole::Frequent;
        }
        ProbeRole::Shared {
            instances: self.followers,
        }
    }

    /// Returns true if the store is probably away when this instance begins to read it: its sources are alive and get
    /// no answers either.
    #[must_use]
    pub fn suspects_store(&self, now: MonoTime) -> bool {
        self.watcher_index.is_none() && !self.is_first_reader && self.hears_sources(now)
    }

    fn hears_sources(&self, now: MonoTime) -> bool {
        self.last_message
            .is_some_and(|at| now.since(at) <= self.timing.silence_timeout)
    }

    fn watch_after(&self) -> Duration {
        if self.is_confirmed {
            self.timing.watch_after
        } else {
            self.start_limit
        }
    }

    /// Returns when this instance, while it watches, also lists the store.
    #[must_use]
    pub fn list_schedule(&self) -> ListSchedule {
        self.timing.list_schedule(self.watcher_index)
    }

    /// Returns the time until [`StoreSource::source`] and [`StoreSource::should_watch`] must be
    /// checked again.
    #[must_use]
    pub fn next_check_in(&self, now: MonoTime) -> Duration {
        let watch_from = self.newest_confirmation.after(self.watch_after());
        let source = self.current.as_ref();
        let stale_from = source.map(|source| source.confirmed.after(self.timing.stale_after));
        let due = [Some(watch_from), stale_from].into_iter().flatten();
        let upcoming = due.map(|at| at.since(now)).filter(|left| !left.is_zero());
        upcoming
            .min()
            .unwrap_or(self.timing.heartbeat_interval)
            .min(self.timing.heartbeat_interval)
    }
}
