//! Watches the store for the configuration and the registered upstreams.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tc_fleet::StoredConfig;
use tc_membership::ListSchedule;
use tc_platform::{ListPage, ObjectEvent, Purpose, Store, StoredObject};
use tc_protocol::{MonoTime, StoreRevision};
use tokio::{
    sync::watch::Receiver,
    time::{sleep, timeout},
};

use super::{
    WorldCell, WorldPart,
    kind_watch::{KindUpdate, KindWatch, WATCH_WAIT, WatchTarget},
    list_time::ListTime,
    removals::{Completeness, HeldRemovals},
};
use crate::codec::PlatformCodec;

/// Parameters of the watches.
#[derive(Clone)]
pub(crate) struct WatchContext {
    pub(crate) store: Store,
    pub(crate) codec: PlatformCodec,
    pub(crate) cell: Arc<WorldCell>,
    /// Time for which changes of upstreams are batched before the next watch.
    pub(crate) batch_time: Duration,
    /// Whether this instance watches the store. Other instances follow one that does.
    pub(crate) should_watch: Receiver<bool>,
    /// When this instance lists a part in addition to watching it.
    pub(crate) list_schedule: Receiver<ListSchedule>,
    /// Time without an answer after which a read of the store is repeated.
    pub(crate) hedge_delay: Duration,
}

impl WatchContext {
    pub(super) fn target(
        &self,
        part: WorldPart,
        kind: &'static str,
        purpose: Purpose,
        description: &'static str,
    ) -> WatchTarget {
        WatchTarget {
            store: self.store.clone(),
            dialect: self.codec.store,
            kind,
            purpose,
            description,
            cell: Arc::clone(&self.cell),
            part,
            list_schedule: self.list_schedule.clone(),
            list_time: ListTime::default(),
            hedge_delay: self.hedge_delay,
        }
    }
}

/// A watch that is suspended while this instance is not a watcher.
pub(super) struct GatedWatch {
    watch: KindWatch,
    should_watch: Receiver<bool>,
}

impl GatedWatch {
    pub(super) fn new(cx: &WatchContext, target: WatchTarget) -> Self {
        Self {
            watch: KindWatch::new(target),
            should_watch: cx.should_watch.clone(),
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

    /// Returns the next answer of the store, or `None` when the process ends.
    pub(super) async fn next(&mut self, wait: Duration) -> Option<KindUpdate> {
        loop {
            if !*self.should_watch.borrow_and_update() {
                self.watch.restart();
                self.should_watch.changed().await.ok()?;
                continue;
            }
            tokio::select! {
                update = self.watch.next(wait) => return Some(update),
                changed = self.should_watch.changed() => changed.ok()?,
            }
        }
    }
}

/// Keeps the configuration up to date until the future is dropped.
pub(crate) async fn watch_config(cx: WatchContext) {
    let kinds = cx.codec.kinds;
    let part = WorldPart::Config;
    let target = cx.target(part, kinds.config, Purpose::Config, "configuration");
    let mut watch = GatedWatch::new(&cx, target);
    let cell = cx.cell;
    let apply = |object: &StoredObject| {
        if *object.name == *kinds.config_name {
            let stored = StoredConfig::new(Arc::clone(&object.value), object.revision);
            cell.apply_config(&Arc::new(stored));
        }
    };
    while let Some(update) = watch.next(WATCH_WAIT).await {
        match update {
            KindUpdate::List(page, store_read) => {
                page.items.iter().for_each(apply);
                cell.confirm(part, &store_read);
                cell.record_full_read(part, store_read.pauses);
            }
            KindUpdate::Changes(page, store_read) => {
                for event in &page.events {
                    if let ObjectEvent::Put(object) = event {
                        apply(object);
                    }
                }
                cell.confirm(part, &store_read);
            }
            KindUpdate::Failed => {}
        }
    }
}

/// Keeps the list of upstreams up to date until the future is dropped.
pub(crate) async fn watch_upstreams(cx: WatchContext) {
    let kind = cx.codec.kinds.upstreams;
    let part = WorldPart::Upstreams;
    let target = cx.target(part, kind, Purpose::Registry, "list of upstreams");
    let mut watch = GatedWatch::new(&cx, target);
    let batch_time = cx.batch_time;
    let mut upstreams = UpstreamUpdater {
        cell: cx.cell,
        removals: HeldRemovals::default(),
    };
    while let Some(update) = upstreams.apply_due_during(watch.next(WATCH_WAIT)).await {
        if upstreams.handle(update) {
            upstreams.apply_due_during(watch.pause(batch_time)).await;
        }
    }
}

struct UpstreamUpdater {
    cell: Arc<WorldCell>,
    removals: HeldRemovals,
}

impl UpstreamUpdater {
    /// Applies an answer of the store. Returns true if a watch reported changes.
    fn handle(&mut self, update: KindUpdate) -> bool {
        let now = MonoTime::now();
        let confirmed = self.cell.part_confirmed(WorldPart::Upstreams);
        match update {
            KindUpdate::List(page, store_read) => {
                self.removals.record_answer(now, confirmed);
                self.apply_list(&page);
                self.cell.confirm(WorldPart::Upstreams, &store_read);
                self.cell
                    .record_full_read(WorldPart::Upstreams, store_read.pauses);
                false
            }
            KindUpdate::Changes(page, store_read) => {
                self.removals.record_answer(now, confirmed);
                let any = !page.events.is_empty();
                self.apply_events(page.events, page.revision);
                self.cell.confirm(WorldPart::Upstreams, &store_read);
                any
            }
            KindUpdate::Failed => {
                self.removals.record_failure(now, confirmed);
                false
            }
        }
    }

    /// Converts a list into changes, so that removals shortly after an outage are held back like
    /// those of a watch.
    fn apply_list(&mut self, page: &ListPage) {
        let world = self.cell.load();
        let known = world.upstreams.revision();
        if page.revision.era < known.era {
            log::info!(what = "list of upstreams", known = known.to_string().as_str(), listed = page.revision.to_string().as_str(); "ignoring a list from before a restore of the store");
            return;
        }
        if page.revision.era > known.era && known.is_known() {
            log::warn!(what = "list of upstreams", known = known.to_string().as_str(), listed = page.revision.to_string().as_str(); "the store was restored from an older copy");
            metrics::counter!("tc_store_restores_total").increment(1);
            self.removals.record_restore(MonoTime::now());
        }
        if world.upstreams.len() == 0 {
            self.cell.replace_upstreams(&page.items, page.revision);
            return;
        }
        let changes = world.upstreams.changes_to_list(page);
        self.apply_events(changes, page.revision);
    }

    /// Waits for a future, and applies held removals when they are due meanwhile. This instance may not watch by then.
    async fn apply_due_during<T>(&mut self, future: impl Future<Output = T>) -> T {
        tokio::pin!(future);
        loop {
            let due = self.removals.next_due();
            let wait = due.map(|due| due.since(MonoTime::now()));
            tokio::select! {
                output = &mut future => return output,
                () = sleep(wait.unwrap_or_default()), if wait.is_some() => self.apply_due(),
            }
        }
    }

    fn apply_events(&mut self, events: Vec<ObjectEvent>, at: StoreRevision) {
        let all = events.len();
        let (events, completeness) = self.removals.filter(MonoTime::now(), events, at);
        let held = all - events.len();
        if held > 0 {
            log::info!(held = held, revision = at.to_string().as_str(), held_for_ms = self.removals.next_due().unwrap_or_default().since(MonoTime::now()).as_millis() as u64; "removals of upstreams held back after an outage of the store");
        }
        if !events.is_empty() || completeness == Completeness::LacksRemovals {
            self.cell.apply_upstream_events(&events, at, completeness);
        }
    }

    fn apply_due(&mut self) {
        if let Some((due, at)) = self.removals.take_due(MonoTime::now()) {
            self.cell
                .apply_upstream_events(&due, at, Completeness::Complete);
        }
    }
}

/// Waits until the configuration and the upstreams are known, for at most `limit`.
pub(crate) async fn wait_until_known(cell: &WorldCell, limit: Duration) {
    let mut changes = cell.changes();
    let known = async {
        while !cell.load().is_known() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    // After a timeout, the caller refuses requests until they are known.
    let _ = timeout(limit, known).await;
}
