//! Follows the objects of one kind in the store: one list, then a sequence of watches.
//!
//! A watch that failed is not resumed from its last revision. If the store has dropped that part of
//! its history, it does not answer the new watch until the next change, and the instance keeps an
//! old configuration for seconds. A new list shows what was missed. The same applies after a pause
//! of this process, during which the watch may have been cut off unnoticed.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tc_platform::{
    Freshness, KindDialect, ListPage, ObjectEvent, Purpose, Store, StoreError, WatchPage,
    WatchResult,
};
use tc_protocol::MonoTime;
use tokio::{sync::watch::Receiver, time::sleep, time::timeout};

use super::{StoreRead, WorldCell, WorldPart};

/// Maximum duration of one watch without a change. Each watch is one charged store call. TCP
/// keepalive detects dead connections, so a long wait costs nothing.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Delay after the first failed call, doubled with each consecutive failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay after a failed call, which bounds how late the return of the store is noticed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Maximum time by which a watch may lag behind a list.
const MAX_WATCH_LAG: Duration = Duration::from_millis(150);

/// Delay after a failed list that was to check a watch.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Number of objects that fit on a page of any store.
const MIN_PAGE_OBJECTS: usize = 100;

/// An answer of the store about the objects of one kind, with the start of the call.
pub(super) enum KindUpdate {
    /// All objects.
    List(ListPage, StoreRead),
    /// Changes since the previous answer, possibly none.
    Changes(WatchPage, StoreRead),
    /// The call failed.
    Failed,
}

/// The kind of objects to watch, and how.
pub(super) struct WatchTarget {
    pub(super) store: Store,
    pub(super) dialect: KindDialect,
    pub(super) kind: &'static str,
    pub(super) purpose: Purpose,
    /// Description of the objects for log lines.
    pub(super) description: &'static str,
    pub(super) cell: Arc<WorldCell>,
    pub(super) part: WorldPart,
    /// Age of the part's confirmation at which it is listed in addition to being watched.
    ///
    /// A store may stop answering watches while its connections stay open and other calls succeed,
    /// or stop answering this instance while it answers others. Without a list, neither can be told
    /// from a store without changes.
    pub(super) list_after: Receiver<Duration>,
    /// A list must be complete when the confirmation reaches the age, and it takes longer the more
    /// objects there are.
    pub(super) list_time: ListTime,
}

/// Estimates how long a list of a kind takes, from the last one.
#[derive(Debug, Default)]
pub(super) struct ListTime(Mutex<LastList>);

#[derive(Clone, Copy, Debug, Default)]
struct LastList {
    took: Duration,
    objects: usize,
}

impl ListTime {
    fn record(&self, took: Duration, objects: usize) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = LastList { took, objects };
    }

    /// Returns the expected time of a list of this many objects. A list of less than a page takes as
    /// long as one of a page.
    fn estimate(&self, objects: usize) -> Duration {
        let last = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pages = |objects: usize| objects.max(MIN_PAGE_OBJECTS) as f64;
        last.took.mul_f64(pages(objects) / pages(last.objects))
    }
}

/// Result of a watch that was checked by lists.
enum WatchOutcome {
    Answered(WatchResult, StoreRead),
    /// A list shows changes that the watch did not report.
    Missed(ListPage, StoreRead),
}

impl WatchTarget {
    async fn list(&self) -> Result<(ListPage, StoreRead), StoreError> {
        let store_read = StoreRead::start(&self.cell.pause_monitor());
        let listed = self
            .store
            .list_kind(self.purpose, &self.dialect, self.kind, Freshness::Current)
            .await?;
        let took = MonoTime::now().since(store_read.started_at);
        self.list_time.record(took, listed.items.len());
        Ok((listed, store_read))
    }

    /// Returns true, and confirms the part, if the store has accepted no change of any kind since a
    /// revision.
    async fn confirm_unchanged(&self, since: u64, last: &str) -> Result<bool, StoreError> {
        let store_read = StoreRead::start(&self.cell.pause_monitor());
        let revision = self
            .store
            .revision(self.purpose, &self.dialect, self.kind, last)
            .await?;
        let is_unchanged = revision == since;
        if is_unchanged {
            self.cell.confirm(self.part, &store_read);
        }
        Ok(is_unchanged)
    }

    /// Watches for changes after revision `from`, and lists whenever the part's confirmation
    /// reaches the age `list_after` meanwhile.
    async fn watch(
        &self,
        from: u64,
        wait: Duration,
        known: &KnownObjects,
    ) -> Result<WatchOutcome, StoreError> {
        let store_read = StoreRead::start(&self.cell.pause_monitor());
        let watching = self
            .store
            .watch_kind(self.purpose, &self.dialect, self.kind, from, wait);
        let answered = |watched: WatchResult| WatchOutcome::Answered(watched, store_read);
        tokio::pin!(watching);
        let (page, list_read) = tokio::select! {
            answer = &mut watching => return answer.map(answered),
            missed = self.list_until_changed(from, known) => missed,
        };
        if let Ok(answer) = timeout(MAX_WATCH_LAG, &mut watching).await {
            return answer.map(answered);
        }
        log::warn!(what = self.description, watched_from = from, listed = page.revision; "a watch does not report a change that a list shows; restarting it");
        Ok(WatchOutcome::Missed(page, list_read))
    }

    /// Checks whenever the part's confirmation reaches the age `list_after` whether anything has
    /// changed, and returns the first list that shows a change after revision `from`.
    ///
    /// A list of several pages is read only if the store's revision shows that something has
    /// changed, possibly of another kind.
    async fn list_until_changed(&self, from: u64, known: &KnownObjects) -> (ListPage, StoreRead) {
        let mut unchanged_at = from;
        loop {
            self.wait_until_list_due(known.names.len()).await;
            if let Some(last) = known.names.last().filter(|_| known.is_paged) {
                match self.confirm_unchanged(unchanged_at, last).await {
                    Ok(true) => continue,
                    Ok(false) => {}
                    Err(error) => {
                        self.list_failed(from, &error).await;
                        continue;
                    }
                }
            }
            match self.list().await {
                Ok((page, store_read)) => {
                    let has_changed = page.items.iter().any(|object| object.revision > from);
                    let is_gone = known.names.len() > page.items.len();
                    if has_changed || is_gone {
                        return (page, store_read);
                    }
                    unchanged_at = page.revision;
                    self.cell.confirm(self.part, &store_read);
                }
                Err(error) => self.list_failed(from, &error).await,
            }
        }
    }

    async fn list_failed(&self, from: u64, error: &StoreError) {
        log::info!(what = self.description, watched_from = from, error = error.to_string().as_str(); "listing the store to check a watch failed");
        sleep(LIST_RETRY_DELAY).await;
    }

    /// Waits until the part's confirmation reaches the age `list_after`.
    async fn wait_until_list_due(&self, objects: usize) {
        loop {
            let list_after = *self.list_after.borrow();
            let list_time = self.list_time.estimate(objects).min(list_after / 2);
            let due = self
                .cell
                .part_confirmed(self.part)
                .after(list_after.saturating_sub(list_time));
            let left = due.since(MonoTime::now());
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }
}

/// The existing objects of a kind, as last reported by the store.
#[derive(Default)]
struct KnownObjects {
    names: BTreeSet<Arc<str>>,
    /// Whether a list takes more than one call.
    is_paged: bool,
}

/// Lists and watches one kind of objects, as described in the module documentation.
pub(super) struct KindWatch {
    target: WatchTarget,
    pauses: Receiver<u64>,
    /// Revision from which to watch, or `None` if a list is needed first.
    from: Option<u64>,
    known: KnownObjects,
    failures: u32,
    failing_since: Option<MonoTime>,
}

impl KindWatch {
    pub(super) fn new(target: WatchTarget) -> Self {
        Self {
            pauses: target.cell.pause_monitor().changes(),
            target,
            from: None,
            known: KnownObjects::default(),
            failures: 0,
            failing_since: None,
        }
    }

    /// Makes the next call a list, as required after a time without a watch.
    pub(super) fn restart(&mut self) {
        self.from = None;
    }

    /// Returns the names of the existing objects, as last reported by the store.
    pub(super) const fn names(&self) -> &BTreeSet<Arc<str>> {
        &self.known.names
    }

    /// Waits for `time`, or until the part has to be listed.
    pub(super) async fn pause(&self, time: Duration) {
        let objects = self.known.names.len();
        let _ = timeout(time, self.target.wait_until_list_due(objects)).await;
    }

    /// Returns the next answer of the store. Waits up to `wait` for a change, and delays its return
    /// after a failure.
    pub(super) async fn next(&mut self, wait: Duration) -> KindUpdate {
        loop {
            let update = match self.from {
                None => self.list().await.map(Some),
                Some(from) => self.watch(from, wait).await,
            };
            match update {
                Ok(Some(update)) => {
                    self.record_answer();
                    return update;
                }
                Ok(None) => self.from = None,
                Err(error) => {
                    self.from = None;
                    self.record_failure(&error).await;
                    return KindUpdate::Failed;
                }
            }
        }
    }

    async fn list(&mut self) -> Result<KindUpdate, StoreError> {
        self.pauses.mark_unchanged();
        let (page, store_read) = self.target.list().await?;
        Ok(self.apply_list(page, store_read))
    }

    fn apply_list(&mut self, page: ListPage, store_read: StoreRead) -> KindUpdate {
        self.from = Some(page.revision);
        let names = page.items.iter().map(|object| Arc::clone(&object.name));
        self.known = KnownObjects {
            names: names.collect(),
            is_paged: page.has_more,
        };
        self.report_unreadable(&page.unreadable);
        KindUpdate::List(page, store_read)
    }

    /// Watches once, and returns `None` if a new list is needed.
    async fn watch(&mut self, from: u64, wait: Duration) -> Result<Option<KindUpdate>, StoreError> {
        let watched = tokio::select! {
            watched = self.target.watch(from, wait, &self.known) => watched?,
            _ = self.pauses.changed() => return Ok(None),
        };
        match watched {
            WatchOutcome::Answered(WatchResult::Changes(page), store_read) => {
                self.from = Some(page.revision);
                self.report_unreadable(&page.unreadable);
                self.record_names(&page.events);
                Ok(Some(KindUpdate::Changes(page, store_read)))
            }
            WatchOutcome::Answered(WatchResult::HistoryGone, _) => Ok(None),
            WatchOutcome::Missed(page, store_read) => Ok(Some(self.apply_list(page, store_read))),
        }
    }

    fn record_names(&mut self, events: &[ObjectEvent]) {
        for event in events {
            match event {
                ObjectEvent::Put(object) => self.known.names.insert(Arc::clone(&object.name)),
                ObjectEvent::Removed { name, .. } => self.known.names.remove(name),
            };
        }
    }

    /// Reports objects that another writer has stored in an unreadable form. The others remain
    /// valid.
    fn report_unreadable(&self, problems: &[String]) {
        let Some(first) = problems.first() else {
            return;
        };
        log::warn!(what = self.target.description, objects = problems.len(), problem = first.as_str(); "ignoring unreadable objects in the store");
        metrics::counter!("tc_registry_unreadable_total").increment(problems.len() as u64);
    }

    fn record_answer(&mut self) {
        self.failures = 0;
        if let Some(since) = self.failing_since.take() {
            let outage = MonoTime::now().since(since);
            log::info!(what = self.target.description, away_ms = outage.as_millis() as u64; "the store answers again");
        }
    }

    /// Waits before the next call, with jitter so that instances do not call the store in lockstep.
    async fn record_failure(&mut self, error: &StoreError) {
        if self.failing_since.is_none() {
            self.failing_since = Some(MonoTime::now());
            log::warn!(what = self.target.description, error = error.to_string().as_str(); "the store does not answer; keeping the last known state");
        }
        let wait = INITIAL_RETRY_DELAY * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        let jitter = 0.5 + 0.5 * rand::random::<f64>();
        sleep(wait.min(MAX_RETRY_DELAY).mul_f64(jitter)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a first long list that ends after followers have given up their source: the last
    /// list was read while a tenth of the upstreams had registered.
    #[test]
    fn time_of_a_list_follows_the_number_of_objects() {
        let list_time = ListTime::default();
        assert_eq!(list_time.estimate(10_000), Duration::ZERO);
        list_time.record(Duration::from_millis(50), 1_000);
        assert_eq!(list_time.estimate(10_000), Duration::from_millis(500));
        list_time.record(Duration::from_millis(5), 1);
        assert_eq!(list_time.estimate(1), Duration::from_millis(5));
        assert_eq!(list_time.estimate(1_000), Duration::from_millis(50));
    }
}
