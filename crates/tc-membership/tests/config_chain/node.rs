//! One simulated instance.

use std::time::Duration;

use tc_membership::{SourceTiming, StoreSource};
use tc_protocol::{Incarnation, InstanceId, Member, MemberState, MonoTime};

const DOMAINS: usize = 4;
/// Every seventeenth instance of a large fleet is strong.
const STRONG_EVERY: usize = 17;
/// Size of the fleets in which all instances are alike.
const SMALL_FLEET: usize = 16;

pub(crate) fn id(index: usize) -> InstanceId {
    format!("i{index:03}").into()
}

pub(crate) fn is_strong(index: usize, count: usize) -> bool {
    count <= SMALL_FLEET || index.is_multiple_of(STRONG_EVERY)
}

pub(crate) fn member(index: usize, count: usize) -> Member {
    Member {
        id: id(index),
        incarnation: Incarnation(1),
        caller_address: ([127, 0, 0, 1], 8_000).into(),
        fleet_address: ([127, 0, 0, 1], 10_000 + index as u16).into(),
        failure_domain: format!("d{}", index % DOMAINS).into(),
        region: "r".into(),
        state: MemberState::Alive,
        strength: if is_strong(index, count) { 2_000 } else { 120 },
    }
}

/// Treatment of an instance's calls by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StorePath {
    Answers,
    /// Lists are answered, watches are not.
    DeafWatch,
    Silent,
}

/// Time that one configuration takes on an instance's link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) from_store: Duration,
    pub(crate) from_instance: Duration,
}

/// A configuration on its way to an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    pub(crate) version: usize,
    /// Time as of which the sender's state is confirmed.
    pub(crate) confirmed: MonoTime,
    /// Time left on a link that nothing else uses.
    pub(crate) left: Duration,
}

/// A list of the store that is under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct List {
    /// Start of the call that is answered, after those that are lost.
    pub(crate) read_at: MonoTime,
    /// Transfer of the answer, once it has begun.
    pub(crate) transfer: Option<Transfer>,
}

/// A fetch of a version that another instance gossiped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fetch {
    pub(crate) from: usize,
    pub(crate) starts: MonoTime,
    pub(crate) transfer: Option<Transfer>,
}

/// State of one instance.
pub(crate) struct Node {
    pub(crate) source: StoreSource,
    pub(crate) link: Link,
    pub(crate) store: StorePath,
    /// Whether other instances cannot reach it, nor it them.
    pub(crate) is_isolated: bool,
    pub(crate) paused_until: MonoTime,
    /// End of its last pause, or its last start.
    pub(crate) resumed_at: MonoTime,
    /// Time of the last change of how the store treats its calls.
    pub(crate) store_unchanged_since: MonoTime,
    /// Number of its version; 0 is none.
    pub(crate) version: usize,
    pub(crate) confirmed: MonoTime,
    pub(crate) connected: Option<InstanceId>,
    pub(crate) from_source: Option<Transfer>,
    pub(crate) waits_until: MonoTime,
    pub(crate) from_watch: Option<Transfer>,
    pub(crate) list: Option<List>,
    pub(crate) fetch: Option<Fetch>,
}

impl Node {
    pub(crate) fn new(
        index: usize,
        members: &[Member],
        timing: SourceTiming,
        now: MonoTime,
        link: Link,
    ) -> Self {
        let mut source = StoreSource::new(id(index), timing, now);
        source.update_members(members);
        source.mark_settled();
        Self {
            source,
            link,
            store: StorePath::Answers,
            is_isolated: false,
            paused_until: now,
            resumed_at: now,
            store_unchanged_since: now,
            version: 0,
            confirmed: MonoTime::default(),
            connected: None,
            from_source: None,
            waits_until: now,
            from_watch: None,
            list: None,
            fetch: None,
        }
    }

    pub(crate) fn is_running(&self, now: MonoTime) -> bool {
        now >= self.paused_until
    }

    /// Returns the number of transfers that share its link.
    pub(crate) fn transfers(&self) -> u32 {
        let list = self.list.and_then(|list| list.transfer);
        let fetch = self.fetch.and_then(|fetch| fetch.transfer);
        let all = [self.from_source, self.from_watch, list, fetch];
        all.iter().flatten().count() as u32
    }

    /// Takes a state, unless it is older.
    pub(crate) fn apply(&mut self, version: usize, confirmed: MonoTime) {
        self.version = self.version.max(version);
        self.confirmed = self.confirmed.max(confirmed);
    }

    /// Ends everything that is under way.
    pub(crate) fn drop_calls(&mut self) {
        self.connected = None;
        self.from_source = None;
        self.from_watch = None;
        self.list = None;
        self.fetch = None;
    }
}
