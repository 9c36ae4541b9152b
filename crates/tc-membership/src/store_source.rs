//! Selection of the instances that watch the store, and of the sources that other instances follow.
//!
//! Every change costs one store call per watching instance. If each instance had its own watch, a
//! change would cost as many calls as there are instances, and each would read a list of hundreds
//! of upstreams page by page: most of what a fleet of hundreds spends on the store. Instead, a few
//! instances watch and relay changes. The others watch only while no source keeps them up to date.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tc_protocol::{FailureDomain, InstanceId, Member, MonoTime};

use crate::{
    placement::{min_strength, weighted_score},
    rendezvous::{rendezvous_score, usable},
};

/// Number of instances that watch the store. With four, at least one remains to relay changes in 99
/// of 100 cases where a third of the fleet is partitioned or restarting.
const WATCHER_COUNT: usize = 4;
const WATCHER_ROLE: &str = "watcher of the store";
const SOURCE_ROLE: &str = "source";

/// Returns the instances that watch the store, best first: strong ones, spread over as many failure
/// domains as possible. Weak ones are used only if there are too few others, because sending a list
/// of hundreds of upstreams to dozens of followers takes seconds on a slow link.
///
/// ```
/// use tc_membership::store_watchers;
/// assert!(store_watchers(&[]).is_empty());
/// ```
#[must_use]
pub fn store_watchers(members: &[Member]) -> Vec<&Member> {
    let mut ranked: Vec<(f64, &Member)> = usable(members)
        .into_iter()
        .map(|member| (weighted_score(WATCHER_ROLE, member), member))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    let min_strength = min_strength(&usable(members));
    let mut taken_by_domain: HashMap<&FailureDomain, usize> = HashMap::new();
    let mut by_position: Vec<(bool, usize, &Member)> = ranked
        .into_iter()
        .map(|(_, member)| {
            let position = taken_by_domain.entry(&member.failure_domain).or_default();
            *position += 1;
            (member.strength < min_strength, *position, member)
        })
        .collect();
    // The sort is stable: the best of each domain first, then the second best of each, with weak
    // members last.
    by_position.sort_by_key(|(is_weak, position, _)| (*is_weak, *position));
    by_position.truncate(WATCHER_COUNT);
    by_position.into_iter().map(|(.., member)| member).collect()
}

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
    /// Age of its own confirmation at which the first watcher lists the store.
    pub list_after: Duration,
    /// Added to `list_after` for each hop from the first watcher, so that another instance lists
    /// the store only if the first cannot.
    pub list_delay_per_hop: Duration,
}

impl SourceTiming {
    /// Returns durations that keep within `bound`, the maximum time until a store change takes
    /// effect everywhere.
    ///
    /// A watcher batches changes for a quarter of the bound. With these durations, an instance
    /// whose source has died, is partitioned or no longer gets answers from the store has another
    /// source or its own listing after half of the bound, which leaves a quarter for slow calls.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Self {
            heartbeat_interval: bound.mul_f64(0.125),
            silence_timeout: bound.mul_f64(0.3),
            stale_after: bound.mul_f64(0.44),
            watch_after: bound.mul_f64(0.5),
            list_after: bound.mul_f64(0.36),
            list_delay_per_hop: bound.mul_f64(0.02),
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
    /// Possible sources, best first.
    candidates: Vec<InstanceId>,
    current: Option<CurrentSource>,
    /// Newest confirmation reported by any source.
    newest_confirmation: MonoTime,
    avoided_until: BTreeMap<InstanceId, MonoTime>,
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
            candidates: Vec::new(),
            current: None,
            newest_confirmation: now,
            avoided_until: BTreeMap::new(),
        }
    }

    /// Updates the watchers and candidate sources from the member list.
    pub fn update_members(&mut self, members: &[Member]) {
        let watchers = store_watchers(members);
        let own_index = watchers.iter().position(|w| w.id == self.me);
        self.watcher_index = own_index;
        let mut candidates: Vec<&Member> = watchers;
        if let Some(index) = own_index {
            // Each watcher follows the next one, so that a change seen by one of them reaches all
            // of them.
            candidates.rotate_left(index);
            candidates.remove(0);
        } else {
            let own_domain = members.iter().find(|m| m.id == self.me);
            let own_domain = own_domain.map(|me| &me.failure_domain);
            candidates.sort_by_key(|member| {
                let in_other_domain = Some(&member.failure_domain) != own_domain;
                let score = rendezvous_score(SOURCE_ROLE, self.me.as_str(), member.id.as_str());
                (in_other_domain, Reverse(score))
            });
        }
        self.candidates = candidates.into_iter().map(|m| m.id.clone()).collect();
        let candidates = &self.candidates;
        self.current.take_if(|c| !candidates.contains(&c.id));
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
            } else if self.is_stale(now, current.confirmed) {
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
        current.last_heard = now;
        current.confirmed = confirmed;
        self.newest_confirmation = self.newest_confirmation.max(confirmed);
        if self.is_stale(now, confirmed) {
            self.avoid(now, from, self.timing.heartbeat_interval);
        }
    }

    /// Records a message from a source that is part of an update.
    pub fn record_partial_update(&mut self, now: MonoTime, from: &InstanceId) {
        if let Some(current) = self.current.as_mut().filter(|c| c.id == *from) {
            current.last_heard = now;
        }
    }

    /// Handles a resume after a pause, when the clock may not show how old the confirmations are.
    /// Unless a source reports one within a heartbeat interval, this instance reads the store
    /// itself.
    pub fn resumed(&mut self, now: MonoTime) {
        self.current = None;
        let confirmation_age = self
            .timing
            .watch_after
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
        is_watcher || now.since(self.newest_confirmation) >= self.timing.watch_after
    }

    /// Returns the age of its confirmation at which this instance, while it watches, also lists the
    /// store.
    ///
    /// A watch that is never answered is indistinguishable from a store without changes. The
    /// listing of the first watcher confirms the state of all instances. Each of the others waits
    /// longer by its number of hops from the first, so that it lists only if the first one fails.
    #[must_use]
    pub fn list_after(&self) -> Duration {
        let hops = match self.watcher_index {
            Some(0) => 0,
            // Each watcher follows the next one, and the last one follows the first.
            Some(index) => WATCHER_COUNT - index,
            None => WATCHER_COUNT,
        };
        self.timing.list_after + self.timing.list_delay_per_hop * hops as u32
    }

    /// Returns the time until [`StoreSource::source`] and [`StoreSource::should_watch`] must be
    /// checked again.
    #[must_use]
    pub fn next_check_in(&self, now: MonoTime) -> Duration {
        let watch_from = self.newest_confirmation.after(self.timing.watch_after);
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
