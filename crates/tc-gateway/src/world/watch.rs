//! Watching the store for the configuration and the registered upstreams.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tc_fleet::WorldObject;
use tc_platform::{ListPage, ObjectEvent, Purpose, Store, StoredObject};
use tc_protocol::MonoTime;
use tokio::{sync::watch::Receiver, time::timeout};

use super::{
    WorldCell, WorldPart,
    kind_watch::{Followed, KindWatch, Seen, WATCH_WAIT},
    removals::HeldRemovals,
};
use crate::codec::PlatformCodec;

/// Part of the time that a leaving upstream serves on for which changes are gathered before the next watch.
///
/// Upstreams start and leave many at a time, and each watch that returns is a priced call on every instance: with a
/// pause one call brings what came in it. An upstream that leaves gets work for so much longer; the rest of its time is
/// left for a slow store, the way to the upstream and a wait there.
const GATHER_PART: f64 = 0.25;

/// What both watches need.
#[derive(Clone)]
pub(crate) struct WatchContext {
    pub(crate) store: Store,
    pub(crate) codec: PlatformCodec,
    pub(crate) cell: Arc<WorldCell>,
    /// How long an upstream serves on after it said that it leaves.
    pub(crate) leave_time: Duration,
    /// Whether this instance watches at all; the others hear from those that do.
    pub(crate) watches: Receiver<bool>,
    /// Age of a part's confirmation from which this instance lists it while it watches.
    pub(crate) check_after: Receiver<Duration>,
}

impl WatchContext {
    pub(super) fn followed(
        &self,
        part: WorldPart,
        kind: &'static str,
        purpose: Purpose,
        what: &'static str,
    ) -> Followed {
        Followed {
            store: self.store.clone(),
            dialect: self.codec.store,
            kind,
            purpose,
            what,
            cell: Arc::clone(&self.cell),
            part,
            check_after: self.check_after.clone(),
        }
    }
}

/// A watch that stands still while this instance is not one of those that watch.
pub(super) struct GatedWatch {
    watch: KindWatch,
    watches: Receiver<bool>,
}

impl GatedWatch {
    pub(super) fn new(cx: &WatchContext, followed: Followed) -> Self {
        Self {
            watch: KindWatch::new(followed),
            watches: cx.watches.clone(),
        }
    }

    /// See [`KindWatch::pause`].
    pub(super) async fn pause(&self, time: Duration) {
        self.watch.pause(time).await;
    }

    /// See [`KindWatch::names`].
    pub(super) const fn names(&self) -> &BTreeSet<Arc<str>> {
        self.watch.names()
    }

    /// What the store says next; `None` when the process ends.
    pub(super) async fn next(&mut self, wait: Duration) -> Option<Seen> {
        loop {
            if !*self.watches.borrow_and_update() {
                self.watch.begin_anew();
                self.watches.changed().await.ok()?;
                continue;
            }
            tokio::select! {
                seen = self.watch.next(wait) => return Some(seen),
                changed = self.watches.changed() => changed.ok()?,
            }
        }
    }
}

/// Keeps the configuration up to date; runs until it is dropped.
pub(crate) async fn watch_config(cx: WatchContext) {
    let kinds = cx.codec.kinds;
    let part = WorldPart::Config;
    let followed = cx.followed(part, kinds.config, Purpose::Config, "configuration");
    let mut watch = GatedWatch::new(&cx, followed);
    let cell = cx.cell;
    let apply = |object: &StoredObject| {
        if *object.name == *kinds.config_name {
            cell.apply_config(&object.value, object.revision);
        }
    };
    while let Some(seen) = watch.next(WATCH_WAIT).await {
        match seen {
            Seen::All(page, reading) => {
                page.items.iter().for_each(apply);
                cell.confirm(part, &reading);
                cell.note_read(part, reading.absences);
            }
            Seen::Changes(page, reading) => {
                for event in &page.events {
                    if let ObjectEvent::Put(object) = event {
                        apply(object);
                    }
                }
                cell.confirm(part, &reading);
            }
            Seen::Failed => {}
        }
    }
}

/// Keeps the list of upstreams up to date; runs until it is dropped.
pub(crate) async fn watch_upstreams(cx: WatchContext) {
    let kind = cx.codec.kinds.upstreams;
    let part = WorldPart::Upstreams;
    let followed = cx.followed(part, kind, Purpose::Registry, "list of upstreams");
    let mut watch = GatedWatch::new(&cx, followed);
    let gather = cx.leave_time.mul_f64(GATHER_PART);
    let mut upstreams = UpstreamKeeper {
        cell: cx.cell,
        removals: HeldRemovals::default(),
    };
    while let Some(seen) = watch.next(upstreams.wait()).await {
        if upstreams.take(seen) {
            watch.pause(gather).await;
        }
        upstreams.apply_due();
    }
}

struct UpstreamKeeper {
    cell: Arc<WorldCell>,
    removals: HeldRemovals,
}

impl UpstreamKeeper {
    /// Applies what the store said; returns whether a watch brought changes.
    fn take(&mut self, seen: Seen) -> bool {
        let now = MonoTime::now();
        match seen {
            Seen::All(page, reading) => {
                self.removals.answered(now);
                self.take_list(page);
                self.cell.confirm(WorldPart::Upstreams, &reading);
                self.cell.note_read(WorldPart::Upstreams, reading.absences);
                false
            }
            Seen::Changes(page, reading) => {
                self.removals.answered(now);
                let any = !page.events.is_empty();
                self.take_events(page.events, page.at);
                self.cell.confirm(WorldPart::Upstreams, &reading);
                any
            }
            Seen::Failed => {
                self.removals.failed(now);
                false
            }
        }
    }

    /// Turns a list into changes, so that removals just after an outage are held as the watch's are.
    fn take_list(&mut self, page: ListPage) {
        let world = self.cell.load();
        if world.upstreams.len() == 0 {
            let objects: Vec<WorldObject> = page
                .items
                .into_iter()
                .map(|object| WorldObject {
                    name: object.name,
                    revision: object.revision,
                    value: object.value,
                })
                .collect();
            self.cell.replace_upstreams(&objects, page.at);
            return;
        }
        let is_listed = |name: &str| page.items.iter().any(|object| *object.name == *name);
        let gone: Vec<ObjectEvent> = world
            .upstreams
            .names()
            .filter(|name| !is_listed(name))
            .map(|name| ObjectEvent::Removed {
                name: Arc::clone(name),
                revision: 0,
            })
            .collect();
        let present = page.items.into_iter().map(ObjectEvent::Put);
        self.take_events(present.chain(gone).collect(), page.at);
    }

    /// Shorter while removals are held, so that they count in time.
    fn wait(&self) -> Duration {
        let now = MonoTime::now();
        self.removals.next().map_or(WATCH_WAIT, |due| {
            due.since(now).max(Duration::from_millis(1))
        })
    }

    fn take_events(&mut self, events: Vec<ObjectEvent>, at: u64) {
        let events = self.removals.sift(MonoTime::now(), events);
        if !events.is_empty() {
            self.cell.apply_upstream_events(&events, at);
        }
    }

    fn apply_due(&mut self) {
        let due = self.removals.due(MonoTime::now());
        if !due.is_empty() {
            let at = self.cell.load().upstreams.revision();
            self.cell.apply_upstream_events(&due, at);
        }
    }
}

/// Waits until the world is known, at most so long.
pub(crate) async fn first_world(cell: &WorldCell, longest: Duration) {
    let mut changes = cell.changes();
    let known = async {
        while !cell.load().is_known() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    // Without it in time the caller goes on and refuses requests until one is known.
    let _ = timeout(longest, known).await;
}
