//! Which instances watch the store, and from whom the others hear what it says.
//!
//! Each change that a watch brings is a call of every instance that watches. With one watch an instance, a change costs as
//! many calls as there are instances, and a list of hundreds of upstreams is read page by page by each: most of what a fleet
//! of hundreds spends on the store. A few instances watch instead and pass on what changes; the rest watch only when nobody
//! tells them anything.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tc_protocol::{FailureDomain, InstanceId, Member, MonoTime};

use crate::{
    placement::{weak_below, weighted},
    rank::{rank, usable},
};

/// Instances that watch the store: with four, one that is left passes changes on while a third of the fleet is cut off or
/// restarts, in 99 cases of 100.
const WATCHERS: usize = 4;
const WATCHER_ROLE: &str = "watcher of the store";
const SOURCE_ROLE: &str = "source";

/// The instances that watch the store, best first: strong ones, in as many failure domains as there are. Weak ones only when there
/// are too few others: a list of hundreds of upstreams for dozens of followers is seconds of a slow link.
///
/// ```
/// use tc_membership::store_watchers;
/// assert!(store_watchers(&[]).is_empty());
/// ```
#[must_use]
pub fn store_watchers(members: &[Member]) -> Vec<&Member> {
    let mut ranked: Vec<(f64, &Member)> = usable(members)
        .into_iter()
        .map(|member| (weighted(WATCHER_ROLE, member), member))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    let weak_below = weak_below(&usable(members));
    let mut of_domain: HashMap<&FailureDomain, usize> = HashMap::new();
    let mut by_turn: Vec<(bool, usize, &Member)> = ranked
        .into_iter()
        .map(|(_, member)| {
            let turn = of_domain.entry(&member.failure_domain).or_default();
            *turn += 1;
            (member.strength < weak_below, *turn, member)
        })
        .collect();
    // The sort is stable: the best of each domain first, then the second best of each; weak ones last.
    by_turn.sort_by_key(|(weak, turn, _)| (*weak, *turn));
    by_turn.truncate(WATCHERS);
    by_turn.into_iter().map(|(.., member)| member).collect()
}

/// Times that decide when another source is chosen and when the store is read.
///
/// An instance's state of the store is *confirmed* as of a time if it is known to include every change that the store had
/// accepted by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceTiming {
    /// Time between two words of a source that has no news.
    pub heartbeat_interval: Duration,
    /// A source that says nothing for so long is given up.
    pub silence_timeout: Duration,
    /// Age of a source's confirmation from which another source is chosen.
    pub stale_after: Duration,
    /// Age of the newest confirmation from any source from which an instance reads the store itself.
    pub watch_after: Duration,
    /// Age of its own confirmation from which the first watcher lists the store.
    pub list_after: Duration,
    /// Added to `list_after` for each hop from the first watcher, so that another instance lists only if the first cannot.
    pub list_delay_per_hop: Duration,
}

impl SourceTiming {
    /// Times that fit within the bound by which a change of the store is to count everywhere.
    ///
    /// A watcher gathers changes for a quarter of the bound. With the times below an instance whose source has died, was
    /// cut off or is no longer answered by the store has another or its own list after half of it, so that a quarter is
    /// left for slow calls.
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
struct Source {
    id: InstanceId,
    heard: MonoTime,
    /// Its last reported confirmation; before its first message, the time at which it was chosen.
    confirmed: MonoTime,
}

/// One instance's choice of where it hears of the store from.
///
/// ```
/// use std::time::Duration;
/// use tc_membership::{SourceTiming, StoreSource};
/// use tc_protocol::MonoTime;
/// let start = MonoTime::from_millis(1_000);
/// let timing = SourceTiming::within(Duration::from_secs(2));
/// let source = StoreSource::new("kl-a-1".into(), timing, start);
/// assert!(!source.should_watch(start), "others may be about to tell");
/// assert!(source.should_watch(start.after(Duration::from_millis(1_001))));
/// ```
#[derive(Clone, Debug)]
pub struct StoreSource {
    me: InstanceId,
    timing: SourceTiming,
    /// This instance's place among those that watch; `None` if it is not one of them.
    watcher_place: Option<usize>,
    /// Whether it knows the members well enough to say so. A fleet that starts knows few in its first moments, and each would
    /// take itself for one of the best.
    is_settled: bool,
    /// Whom to follow, best first.
    candidates: Vec<InstanceId>,
    current: Option<Source>,
    /// Newest confirmation reported by any source.
    confirmed: MonoTime,
    avoided_until: BTreeMap<InstanceId, MonoTime>,
}

impl StoreSource {
    /// An instance that knows no others yet.
    #[must_use]
    pub fn new(me: InstanceId, timing: SourceTiming, now: MonoTime) -> Self {
        Self {
            me,
            timing,
            watcher_place: None,
            is_settled: false,
            candidates: Vec::new(),
            current: None,
            confirmed: now,
            avoided_until: BTreeMap::new(),
        }
    }

    /// Takes up who there is.
    pub fn update_members(&mut self, members: &[Member]) {
        let watchers = store_watchers(members);
        let my_place = watchers.iter().position(|w| w.id == self.me);
        self.watcher_place = my_place;
        let mut candidates: Vec<&Member> = watchers;
        if let Some(place) = my_place {
            // Each watcher follows the next, so that what one of them sees reaches all of them.
            candidates.rotate_left(place);
            candidates.remove(0);
        } else {
            let my_domain = members.iter().find(|m| m.id == self.me);
            let my_domain = my_domain.map(|me| &me.failure_domain);
            candidates.sort_by_key(|member| {
                let is_far = Some(&member.failure_domain) != my_domain;
                let order = rank(SOURCE_ROLE, self.me.as_str(), member.id.as_str());
                (is_far, Reverse(order))
            });
        }
        self.candidates = candidates.into_iter().map(|m| m.id.clone()).collect();
        let candidates = &self.candidates;
        self.current.take_if(|c| !candidates.contains(&c.id));
    }

    /// From now on this instance knows the members as well as others do.
    pub fn mark_settled(&mut self) {
        self.is_settled = true;
    }

    /// Whom to follow now; the caller follows nobody else.
    pub fn source(&mut self, now: MonoTime) -> Option<InstanceId> {
        if let Some(current) = &self.current {
            let id = current.id.clone();
            if now.since(current.heard) > self.timing.silence_timeout {
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
        self.current = next.map(|id| Source {
            id: id.clone(),
            heard: now,
            confirmed: now,
        });
        next.cloned()
    }

    /// Whether a source with this confirmation is to be replaced. A watcher keeps following the next one, however old its
    /// confirmation is.
    fn is_stale(&self, now: MonoTime, confirmed: MonoTime) -> bool {
        self.watcher_place.is_none() && now.since(confirmed) >= self.timing.stale_after
    }

    /// A source sent a message; its state is confirmed as of `confirmed`.
    pub fn note_confirmation(&mut self, now: MonoTime, from: &InstanceId, confirmed: MonoTime) {
        let Some(current) = self.current.as_mut().filter(|c| c.id == *from) else {
            return;
        };
        current.heard = now;
        current.confirmed = confirmed;
        self.confirmed = self.confirmed.max(confirmed);
        if self.is_stale(now, confirmed) {
            self.avoid(now, from, self.timing.heartbeat_interval);
        }
    }

    /// The process was absent, and its clock may not show how old the confirmations are. Unless a source reports one
    /// within a beat, this instance reads the store itself.
    pub fn resumed(&mut self, now: MonoTime) {
        self.current = None;
        let patience_left = self
            .timing
            .watch_after
            .saturating_sub(self.timing.heartbeat_interval);
        self.confirmed = self.confirmed.min(now.before(patience_left));
    }

    /// A source cannot be reached, ended, or was silent: another is taken, and this one not for a while.
    pub fn source_failed(&mut self, now: MonoTime, from: &InstanceId) {
        self.avoid(now, from, self.timing.silence_timeout);
    }

    fn avoid(&mut self, now: MonoTime, source: &InstanceId, time: Duration) {
        self.avoided_until.insert(source.clone(), now.after(time));
        self.current.take_if(|c| c.id == *source);
    }

    /// Whether this instance watches the store itself.
    #[must_use]
    pub fn should_watch(&self, now: MonoTime) -> bool {
        let is_watcher = self.watcher_place.is_some() && self.is_settled;
        is_watcher || now.since(self.confirmed) >= self.timing.watch_after
    }

    /// Age of its confirmation from which this instance, while it watches, lists the store as well.
    ///
    /// A watch that is never answered looks like a store without changes. The list of the first watcher confirms the state
    /// of all instances; each of the others waits longer by its hops from the first, so that it lists only if that fails.
    #[must_use]
    pub fn list_after(&self) -> Duration {
        let hops = match self.watcher_place {
            Some(0) => 0,
            // Each watcher follows the next, and the last one follows the first.
            Some(place) => WATCHERS - place,
            None => WATCHERS,
        };
        self.timing.list_after + self.timing.list_delay_per_hop * hops as u32
    }

    /// How long [`StoreSource::source`] and [`StoreSource::should_watch`] may go unasked.
    #[must_use]
    pub fn next_check_in(&self, now: MonoTime) -> Duration {
        let patience_ends = self.confirmed.after(self.timing.watch_after);
        let source = self.current.as_ref();
        let stale_from = source.map(|source| source.confirmed.after(self.timing.stale_after));
        let due = [Some(patience_ends), stale_from].into_iter().flatten();
        let upcoming = due.map(|at| at.since(now)).filter(|left| !left.is_zero());
        upcoming
            .min()
            .unwrap_or(self.timing.heartbeat_interval)
            .min(self.timing.heartbeat_interval)
    }
}
