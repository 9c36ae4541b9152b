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

/// Times that decide when another source is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceTiming {
    /// Time between two words of a source that has no news.
    pub beat: Duration,
    /// A source that says nothing for so long is given up.
    pub silence: Duration,
    /// An instance that hears from no source in touch with the store for so long watches it itself.
    pub patience: Duration,
}

impl SourceTiming {
    /// Times that fit within the bound by which a change of the store is to count everywhere.
    ///
    /// A watcher gathers changes for a quarter of the bound. With the times below an instance whose source has died, or
    /// was cut off, has another or its own list after half of it, so that a quarter is left for slow calls.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Self {
            beat: bound.mul_f64(0.125),
            silence: bound.mul_f64(0.3),
            patience: bound.mul_f64(0.5),
        }
    }
}

#[derive(Clone, Debug)]
struct Source {
    id: InstanceId,
    heard: MonoTime,
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
/// assert!(!source.watches(start), "others may be about to tell");
/// assert!(source.watches(start.after(Duration::from_millis(1_001))));
/// ```
#[derive(Clone, Debug)]
pub struct StoreSource {
    me: InstanceId,
    timing: SourceTiming,
    /// Whether this instance is among those that watch.
    is_watcher: bool,
    /// Whether it knows the members well enough to say so. A fleet that starts knows few in its first moments, and each would
    /// take itself for one of the best.
    is_settled: bool,
    /// Whom to follow, best first.
    candidates: Vec<InstanceId>,
    current: Option<Source>,
    /// When a source last said that it is in touch with the store.
    in_touch: MonoTime,
    avoided_until: BTreeMap<InstanceId, MonoTime>,
}

impl StoreSource {
    /// An instance that knows no others yet.
    #[must_use]
    pub fn new(me: InstanceId, timing: SourceTiming, now: MonoTime) -> Self {
        Self {
            me,
            timing,
            is_watcher: false,
            is_settled: false,
            candidates: Vec::new(),
            current: None,
            in_touch: now,
            avoided_until: BTreeMap::new(),
        }
    }

    /// Takes up who there is.
    pub fn members_changed(&mut self, members: &[Member]) {
        let watchers = store_watchers(members);
        let my_place = watchers.iter().position(|w| w.id == self.me);
        self.is_watcher = my_place.is_some();
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
    pub fn settled(&mut self) {
        self.is_settled = true;
    }

    /// Whom to follow now; the caller follows nobody else.
    pub fn source(&mut self, now: MonoTime) -> Option<InstanceId> {
        if let Some(current) = &self.current {
            if now.since(current.heard) <= self.timing.silence {
                return Some(current.id.clone());
            }
            let silent = current.id.clone();
            self.broke(now, &silent);
        }
        self.avoided_until.retain(|_, until| *until > now);
        let avoided = &self.avoided_until;
        let next = self.candidates.iter().find(|id| !avoided.contains_key(*id));
        self.current = next.map(|id| Source {
            id: id.clone(),
            heard: now,
        });
        next.cloned()
    }

    /// A source said something, and whether it is itself in touch with the store.
    pub fn heard(&mut self, now: MonoTime, from: &InstanceId, in_touch: bool) {
        let Some(current) = self.current.as_mut().filter(|c| c.id == *from) else {
            return;
        };
        current.heard = now;
        if in_touch {
            self.in_touch = now;
            return;
        }
        // A watcher hears what the next one knows, in touch or not; anyone else looks for a better source.
        if !self.is_watcher {
            self.avoid(now, from, self.timing.beat);
        }
    }

    /// A source cannot be reached, ended, or was silent: another is taken, and this one not for a while.
    pub fn broke(&mut self, now: MonoTime, from: &InstanceId) {
        self.avoid(now, from, self.timing.silence);
    }

    fn avoid(&mut self, now: MonoTime, source: &InstanceId, time: Duration) {
        self.avoided_until.insert(source.clone(), now.after(time));
        self.current.take_if(|c| c.id == *source);
    }

    /// Whether this instance watches the store itself.
    #[must_use]
    pub fn watches(&self, now: MonoTime) -> bool {
        let is_watcher = self.is_watcher && self.is_settled;
        is_watcher || now.since(self.in_touch) >= self.timing.patience
    }

    /// How long [`StoreSource::source`] and [`StoreSource::watches`] may go unasked.
    #[must_use]
    pub fn look_again(&self) -> Duration {
        self.timing.beat
    }
}
