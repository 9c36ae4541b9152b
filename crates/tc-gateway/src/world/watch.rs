//! Watching the store for the configuration and the registered upstreams.
//!
//! A watch that broke is never taken up where it ended: the store may have dropped the history since, and then holds
//! the new watch until the next change, seen as an instance that keeps an old configuration for seconds. One list
//! shows what was missed.

use std::{sync::Arc, time::Duration};

use tc_fleet::WorldObject;
use tc_platform::{ListPage, ObjectEvent, Purpose, Store, StoreError, WatchPage, Watched};
use tc_protocol::MonoTime;
use tokio::time::{sleep, timeout};

use super::{WorldCell, removals::HeldRemovals};
use crate::edges::Edges;

/// How long a watch waits for a change. Each watch is one priced call; a connection that went silent is noticed by
/// the kernel's probes, so a long wait costs nothing.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Pause after changes of upstreams before the next watch. Upstreams start and leave many at a time, and each watch that
/// returns is a priced call on every instance: with a pause one call brings what came in it. An upstream that leaves
/// gets work for so much longer, a small part of the seconds that it allows.
const GATHER: Duration = Duration::from_millis(300);
/// First wait after a failed call; doubles with each failure in a row.
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest wait: the store's return is noticed within it.
const LONGEST_RETRY: Duration = Duration::from_millis(800);

/// Waits between failed calls, jittered so that instances do not return to the store in step.
struct Retry {
    failures: u32,
}

impl Retry {
    async fn pause(&mut self) {
        let wait = FIRST_RETRY * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        sleep(
            wait.min(LONGEST_RETRY)
                .mul_f64(0.5 + 0.5 * rand::random::<f64>()),
        )
        .await;
    }
}

/// Keeps the configuration up to date; runs until it is dropped.
pub(crate) async fn watch_config(store: Store, edges: Edges, cell: Arc<WorldCell>) {
    let kind = edges.kinds.config;
    let mut retry = Retry { failures: 0 };
    let mut lost = Lost::new("configuration");
    loop {
        let mut from = match store.list_kind(Purpose::Config, &edges.store, kind).await {
            Ok(page) => {
                lost.answered();
                retry.failures = 0;
                for object in page
                    .items
                    .iter()
                    .filter(|o| *o.name == *edges.kinds.config_name)
                {
                    cell.apply_config(&object.value, object.revision);
                }
                page.at
            }
            Err(error) => {
                lost.failed(&error);
                retry.pause().await;
                continue;
            }
        };
        loop {
            let watched = store
                .watch_kind(Purpose::Config, &edges.store, kind, from, WATCH_WAIT)
                .await;
            match watched {
                Ok(Watched::Changes(page)) => {
                    lost.answered();
                    retry.failures = 0;
                    for event in &page.events {
                        if let ObjectEvent::Put(object) = event
                            && *object.name == *edges.kinds.config_name
                        {
                            cell.apply_config(&object.value, object.revision);
                        }
                    }
                    from = page.at;
                }
                Ok(Watched::HistoryGone) => break,
                Err(error) => {
                    lost.failed(&error);
                    retry.pause().await;
                    break;
                }
            }
        }
    }
}

/// Keeps the list of upstreams up to date; runs until it is dropped.
pub(crate) async fn watch_upstreams(store: Store, edges: Edges, cell: Arc<WorldCell>) {
    let mut watcher = UpstreamWatcher {
        store,
        edges,
        cell,
        removals: HeldRemovals::default(),
        retry: Retry { failures: 0 },
        lost: Lost::new("list of upstreams"),
    };
    loop {
        if let Some(from) = watcher.list().await {
            watcher.watch(from).await;
        }
    }
}

struct UpstreamWatcher {
    store: Store,
    edges: Edges,
    cell: Arc<WorldCell>,
    removals: HeldRemovals,
    retry: Retry,
    lost: Lost,
}

impl UpstreamWatcher {
    /// Reads the whole list; the revision to watch from, or nothing when the store did not answer.
    async fn list(&mut self) -> Option<u64> {
        let kind = self.edges.kinds.upstreams;
        let listed = self
            .store
            .list_kind(Purpose::Registry, &self.edges.store, kind)
            .await;
        match listed {
            Ok(page) => {
                self.answered();
                let at = page.at;
                self.take_list(page);
                Some(at)
            }
            Err(error) => {
                self.failed(&error).await;
                None
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
        let events = present.chain(gone).collect();
        self.take_events(WatchPage {
            events,
            at: page.at,
        });
    }

    /// Watches from a revision until the history is gone.
    async fn watch(&mut self, mut from: u64) {
        let kind = self.edges.kinds.upstreams;
        loop {
            let store = self.store.clone();
            let watch = store.watch_kind(
                Purpose::Registry,
                &self.edges.store,
                kind,
                from,
                self.wait(),
            );
            match watch.await {
                Ok(Watched::Changes(page)) => {
                    self.answered();
                    from = page.at;
                    let any = !page.events.is_empty();
                    self.take_events(page);
                    if any {
                        sleep(GATHER).await;
                    }
                }
                Ok(Watched::HistoryGone) => return,
                Err(error) => {
                    self.failed(&error).await;
                    return;
                }
            }
            self.apply_due();
        }
    }

    /// Shorter while removals are held, so that they count in time.
    fn wait(&self) -> Duration {
        let now = MonoTime::now();
        self.removals.next().map_or(WATCH_WAIT, |due| {
            due.since(now).max(Duration::from_millis(1))
        })
    }

    fn take_events(&mut self, page: WatchPage) {
        let events = self.removals.sift(MonoTime::now(), page.events);
        if !events.is_empty() {
            self.cell.apply_upstream_events(&events, page.at);
        }
    }

    fn apply_due(&mut self) {
        let due = self.removals.due(MonoTime::now());
        if !due.is_empty() {
            let at = self.cell.load().upstreams.revision();
            self.cell.apply_upstream_events(&due, at);
        }
    }

    fn answered(&mut self) {
        self.retry.failures = 0;
        self.removals.answered(MonoTime::now());
        self.lost.answered();
    }

    async fn failed(&mut self, error: &StoreError) {
        self.removals.failed(MonoTime::now());
        self.lost.failed(error);
        self.retry.pause().await;
    }
}

/// Logs a dependency once when it is lost and once when it is regained.
struct Lost {
    what: &'static str,
    since: Option<MonoTime>,
}

impl Lost {
    fn new(what: &'static str) -> Self {
        Self { what, since: None }
    }

    fn failed(&mut self, error: &StoreError) {
        if self.since.is_none() {
            self.since = Some(MonoTime::now());
            log::warn!(what = self.what, error = error.to_string().as_str(); "the store does not answer; the last known state stays in force");
        }
    }

    fn answered(&mut self) {
        if let Some(since) = self.since.take() {
            let away = MonoTime::now().since(since);
            log::info!(what = self.what, away_ms = away.as_millis() as u64; "the store answers again");
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
