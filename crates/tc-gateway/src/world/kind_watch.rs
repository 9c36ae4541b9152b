//! Follows the objects of one kind in the store: one list, then a sequence of watches.
//!
//! A watch that failed is not resumed from its last revision. If the store has dropped that part of
//! its history, it does not answer the new watch until the next change, and the instance keeps an
//! old configuration for seconds. A new list shows what was missed. The same applies after a pause
//! of this process, during which the watch may have been cut off unnoticed.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tc_membership::ListSchedule;
use tc_platform::{
    CallProgress, KindDialect, ListPage, ObjectEvent, Purpose, Store, StoreError, WatchPage,
    WatchResult,
};
use tc_protocol::{MonoTime, StoreRevision};
use tokio::{sync::watch::Receiver, time::sleep, time::timeout};

use super::{StoreRead, WorldCell, WorldPart, hedge::hedged, list_time::ListTime};

/// Maximum duration of one watch without a change. Each watch is one charged store call. TCP
/// keepalive detects dead connections, so a long wait costs nothing.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Delay after the first failed call, doubled with each consecutive failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay after a failed call, which bounds how late the return of the store is noticed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Maximum time by which a watch may lag behind a list.
const MAX_WATCH_LAG: Duration = Duration::from_millis(150);

/// Maximum size of a list that is read to check a watch, before it is known that something has changed.
const MAX_CHECK_BYTES: usize = 256 * 1024;

/// Delay after a failed list that was to check a watch.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(300);

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
    /// When the part is listed in addition to being watched.
    ///
    /// A store may stop answering watches while its connections stay open and other calls succeed,
    /// or stop answering this instance while it answers others. Without a list, neither can be told
    /// from a store without changes.
    pub(super) list_schedule: Receiver<ListSchedule>,
    pub(super) list_time: ListTime,
    /// Time without an answer after which a read of the store is repeated over another connection.
    pub(super) hedge_delay: Duration,
}

/// Result of a watch that was checked by lists.
enum WatchOutcome {
    Answered(WatchResult, StoreRead),
    /// A list shows changes that the watch did not report.
    Missed(ListPage, StoreRead),
}

impl WatchTarget {
    async fn list(&self, known: &BTreeSet<Arc<str>>) -> Result<(ListPage, StoreRead), StoreError> {
        let delay = self
            .hedge_delay
            .max(self.list_time.estimate(known.len()) * 2);
        let permit = self.cell.store_gate().enter().await;
        let list = |progress| self.list_once(known, progress);
        let listed = hedged(delay, permit.max_calls, list).await;
        self.cell.store_gate().record(&listed);
        listed
    }

    async fn list_once(
        &self,
        known: &BTreeSet<Arc<str>>,
        progress: CallProgress,
    ) -> Result<(ListPage, StoreRead), StoreError> {
        let store_read = StoreRead::start(&self.cell.pause_monitor());
        let listed = self
            .store
            .with_progress(progress)
            .list_known_kind(self.purpose, &self.dialect, self.kind, known)
            .await?;
        let took = MonoTime::now().since(store_read.started_at);
        self.list_time.record(took, listed.items.len());
        Ok((listed, store_read))
    }

    /// Returns true, and confirms the part, if the store has accepted no change of any kind since a
    /// revision.
    async fn confirm_unchanged(
        &self,
        since: StoreRevision,
        last: &str,
    ) -> Result<bool, StoreError> {
        let read = |progress| self.read_revision(last, progress);
        let permit = self.cell.store_gate().enter().await;
        let read = hedged(self.hedge_delay, permit.max_calls, read).await;
        self.cell.store_gate().record(&read);
        let (revision, store_read) = read?;
        let is_unchanged = revision == since;
        if is_unchanged {
            self.cell.confirm(self.part, &store_read);
        }
        Ok(is_unchanged)
    }

    async fn read_revision(
        &self,
        last: &str,
        progress: CallProgress,
    ) -> Result<(StoreRevision, StoreRead), StoreError> {
        let store_read = StoreRead::start(&self.cell.pause_monitor());
        let revision = self
            .store
            .with_progress(progress)
            .revision(self.purpose, &self.dialect, self.kind, last)
            .await?;
        Ok((revision, store_read))
    }

    /// Watches for changes after revision `from`, and lists whenever the schedule requires it
    /// meanwhile.
    async fn watch(
        &self,
        from: StoreRevision,
        wait: Duration,
        known: &KnownObjects,
    ) -> Result<WatchOutcome, StoreError> {
        let store_read = StoreRead::start(&self.cell.pause_monitor());
        let progress = CallProgress::default();
        let store = self.store.with_progress(progress.clone());
        let watching = store.watch_kind(self.purpose, &self.dialect, self.kind, from, wait);
        let answered = |watched: WatchResult| WatchOutcome::Answered(watched, store_read);
        tokio::pin!(watching);
        let (page, list_read) = tokio::select! {
            answer = &mut watching => return answer.map(answered),
            missed = self.list_until_changed(from, known, &progress) => missed,
        };
        if let Ok(answer) = timeout(MAX_WATCH_LAG, &mut watching).await {
            return answer.map(answered);
        }
        log::warn!(what = self.description, watched_from = from.to_string().as_str(), listed = page.revision.to_string().as_str(); "a watch does not report a change that a list shows; restarting it");
        Ok(WatchOutcome::Missed(page, list_read))
    }

    /// Checks whenever a list is due whether anything has changed, and returns the first list that
    /// shows a change after revision `from`.
    ///
    /// A list of several pages or of a large size is read only if the store's revision shows that something has
    /// changed, possibly of another kind, and is abandoned when another instance confirms the part
    /// or when the watch is answered. No list begins while the answer to the watch arrives, with
    /// which it would share a slow link.
    async fn list_until_changed(
        &self,
        from: StoreRevision,
        known: &KnownObjects,
        watch: &CallProgress,
    ) -> (ListPage, StoreRead) {
        let mut unchanged_at = from;
        loop {
            self.wait_until_list_due(known.names.len()).await;
            if watch.has_begun() {
                watch.stalled_for(self.hedge_delay).await;
            }
            if let Some(last) = known.names.last().filter(|_| known.is_costly) {
                match self.confirm_unchanged(unchanged_at, last).await {
                    Ok(true) => continue,
                    Ok(false) => {}
                    Err(error) => {
                        self.list_failed(from, &error).await;
                        continue;
                    }
                }
            }
            let listed = tokio::select! {
                listed = self.list(&known.names) => listed,
                () = self.wait_until_list_not_due(known.names.len()) => continue,
                () = watch.next_part() => continue,
            };
            match listed {
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

    async fn list_failed(&self, from: StoreRevision, error: &StoreError) {
        log::info!(what = self.description, watched_from = from.to_string().as_str(), error = error.to_string().as_str(); "listing the store to check a watch failed");
        sleep(LIST_RETRY_DELAY).await;
    }

    /// Waits until the part has to be listed.
    async fn wait_until_list_due(&self, objects: usize) {
        loop {
            let left = self.time_until_list(objects);
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }

    /// Waits until a confirmation shows that the part does not have to be listed yet.
    async fn wait_until_list_not_due(&self, objects: usize) {
        let mut confirmations = self.cell.confirmations();
        while self.time_until_list(objects).is_zero() {
            if confirmations.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    fn time_until_list(&self, objects: usize) -> Duration {
        let list_time = self.list_time.estimate(objects);
        let start_at = self.list_schedule.borrow().start_at(list_time);
        let due = self.cell.part_confirmed(self.part).after(start_at);
        due.since(MonoTime::now())
    }
}

/// The existing objects of a kind, as last reported by the store.
#[derive(Default)]
struct KnownObjects {
    names: BTreeSet<Arc<str>>,
    /// Whether a list takes more than one call, or long over a slow link.
    is_costly: bool,
}

/// Lists and watches one kind of objects, as described in the module documentation.
pub(super) struct KindWatch {
    target: WatchTarget,
    pauses: Receiver<u64>,
    /// Revision from which to watch, or `None` if a list is needed first.
    from: Option<StoreRevision>,
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
                    if self.from.take().is_some() {
                        // A watch was cut. One list shows whether the store is away.
                        self.target.cell.store_gate().suspect();
                    }
                    self.record_failure(&error).await;
                    return KindUpdate::Failed;
                }
            }
        }
    }

    async fn list(&mut self) -> Result<KindUpdate, StoreError> {
        self.pauses.mark_unchanged();
        let (page, store_read) = self.target.list(&self.known.names).await?;
        Ok(self.apply_list(page, store_read))
    }

    fn apply_list(&mut self, page: ListPage, store_read: StoreRead) -> KindUpdate {
        self.from = Some(page.revision);
        let names = page.items.iter().map(|object| Arc::clone(&object.name));
        self.known = KnownObjects {
            names: names.collect(),
            is_costly: page.has_more || page.bytes > MAX_CHECK_BYTES,
        };
        self.report_unreadable(&page.unreadable);
        KindUpdate::List(page, store_read)
    }

    /// Watches once, and returns `None` if a new list is needed.
    async fn watch(
        &mut self,
        from: StoreRevision,
        wait: Duration,
    ) -> Result<Option<KindUpdate>, StoreError> {
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
