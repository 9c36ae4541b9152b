//! Following the objects of one kind in the store: a list first, then one watch after the other.
//!
//! A watch that broke is never taken up where it ended: the store may have dropped the history since, and then holds
//! the new watch until the next change, seen as an instance that keeps an old configuration for seconds. One list
//! shows what was missed. The same goes for a process that was absent: its watch may have gone silent meanwhile.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tc_platform::{
    Freshness, KindDialect, ListPage, ObjectEvent, Purpose, Store, StoreError, WatchPage, Watched,
};
use tc_protocol::MonoTime;
use tokio::{sync::watch::Receiver, time::sleep, time::timeout};

use super::{StoreRead, WorldCell, WorldPart};

/// How long a watch waits for a change. Each watch is one priced call; a connection that went silent is noticed by
/// the kernel's probes, so a long wait costs nothing.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(25);
/// First wait after a failed call; doubles with each failure in a row.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest wait: the store's return is noticed within it.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// How long a watch may take to tell what a list shows already.
const MAX_WATCH_LAG: Duration = Duration::from_millis(150);

/// Pause before a list that checks a watch is retried after a failure.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(300);

/// What the store said of a kind's objects, and when the call was started.
pub(super) enum KindUpdate {
    /// All of them.
    List(ListPage, StoreRead),
    /// What changed since it last said something; perhaps nothing.
    Changes(WatchPage, StoreRead),
    /// It did not answer.
    Failed,
}

/// What is followed.
pub(super) struct WatchTarget {
    pub(super) store: Store,
    pub(super) dialect: KindDialect,
    pub(super) kind: &'static str,
    pub(super) purpose: Purpose,
    /// Name of it in logs.
    pub(super) description: &'static str,
    pub(super) cell: Arc<WorldCell>,
    pub(super) part: WorldPart,
    /// Age of the part's confirmation from which it is listed in addition to being watched.
    ///
    /// A store may stop answering watches while its connections stay open and other calls succeed, or stop answering
    /// this instance while it answers others. Without a list, neither can be told from a store without changes.
    pub(super) list_after: Receiver<Duration>,
}

/// What a watch that was checked meanwhile brought.
enum WatchOutcome {
    Answered(Watched, StoreRead),
    /// A list shows more than the watch told.
    Missed(ListPage, StoreRead),
}

impl WatchTarget {
    async fn list(&self) -> Result<(ListPage, StoreRead), StoreError> {
        let store_read = StoreRead::start(&self.cell.pause_monitor());
        let listed = self
            .store
            .list_kind(self.purpose, &self.dialect, self.kind, Freshness::Current)
            .await;
        Ok((listed?, store_read))
    }

    /// Watches from a revision on, and lists whenever the part's confirmation reaches `check_after` meanwhile.
    async fn watch(
        &self,
        from: u64,
        wait: Duration,
        names: &BTreeSet<Arc<str>>,
    ) -> Result<WatchOutcome, StoreError> {
        let store_read = StoreRead::start(&self.cell.pause_monitor());
        let watching = self
            .store
            .watch_kind(self.purpose, &self.dialect, self.kind, from, wait);
        let watched = |watched: Watched| WatchOutcome::Answered(watched, store_read);
        tokio::pin!(watching);
        let (page, list_read) = tokio::select! {
            answer = &mut watching => return answer.map(watched),
            missed = self.list_until_changed(from, names) => missed,
        };
        if let Ok(answer) = timeout(MAX_WATCH_LAG, &mut watching).await {
            return answer.map(watched);
        }
        log::warn!(what = self.description, watched_from = from, listed = page.at; "a watch of the store does not tell what a list shows; it is begun anew");
        Ok(WatchOutcome::Missed(page, list_read))
    }

    /// Lists whenever the part's confirmation reaches `check_after`, and returns the first list that shows a change after
    /// revision `from`.
    async fn list_until_changed(
        &self,
        from: u64,
        names: &BTreeSet<Arc<str>>,
    ) -> (ListPage, StoreRead) {
        loop {
            self.wait_until_list_due().await;
            match self.list().await {
                Ok((page, store_read)) => {
                    let has_changed = page.items.iter().any(|object| object.revision > from);
                    let is_gone = names.len() > page.items.len();
                    if has_changed || is_gone {
                        return (page, store_read);
                    }
                    self.cell.confirm(self.part, &store_read);
                }
                Err(error) => {
                    log::info!(what = self.description, watched_from = from, error = error.to_string().as_str(); "the store's watches could not be checked");
                    sleep(LIST_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until the part's confirmation reaches the age `check_after`.
    async fn wait_until_list_due(&self) {
        loop {
            let due = self
                .cell
                .part_confirmed(self.part)
                .after(*self.list_after.borrow());
            let left = due.since(MonoTime::now());
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }
}

/// See the module.
pub(super) struct KindWatch {
    target: WatchTarget,
    pauses: Receiver<u64>,
    /// Revision from which to watch; none before a list.
    from: Option<u64>,
    /// Objects that there are, as far as the store told.
    names: BTreeSet<Arc<str>>,
    failures: u32,
    failing_since: Option<MonoTime>,
}

impl KindWatch {
    pub(super) fn new(target: WatchTarget) -> Self {
        Self {
            pauses: target.cell.pause_monitor().changes(),
            target,
            from: None,
            names: BTreeSet::new(),
            failures: 0,
            failing_since: None,
        }
    }

    /// Begins anew with a list, as after a time in which nothing was watched.
    pub(super) fn restart(&mut self) {
        self.from = None;
    }

    /// Names of the objects that there are, as of what the store said last.
    pub(super) const fn names(&self) -> &BTreeSet<Arc<str>> {
        &self.names
    }

    /// Waits for `time`, or until the part has to be listed.
    pub(super) async fn pause(&self, time: Duration) {
        let _ = timeout(time, self.target.wait_until_list_due()).await;
    }

    /// What the store says next; waits up to `wait` for a change, or pauses after a failure.
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
        self.from = Some(page.at);
        self.names = page
            .items
            .iter()
            .map(|object| Arc::clone(&object.name))
            .collect();
        self.note_unreadable(&page.unreadable);
        KindUpdate::List(page, store_read)
    }

    /// `None` when everything must be listed again.
    async fn watch(&mut self, from: u64, wait: Duration) -> Result<Option<KindUpdate>, StoreError> {
        let watched = tokio::select! {
            watched = self.target.watch(from, wait, &self.names) => watched?,
            _ = self.pauses.changed() => return Ok(None),
        };
        match watched {
            WatchOutcome::Answered(Watched::Changes(page), store_read) => {
                self.from = Some(page.at);
                self.note_unreadable(&page.unreadable);
                self.note_names(&page.events);
                Ok(Some(KindUpdate::Changes(page, store_read)))
            }
            WatchOutcome::Answered(Watched::HistoryGone, _) => Ok(None),
            WatchOutcome::Missed(page, store_read) => Ok(Some(self.apply_list(page, store_read))),
        }
    }

    fn note_names(&mut self, events: &[ObjectEvent]) {
        for event in events {
            match event {
                ObjectEvent::Put(object) => self.names.insert(Arc::clone(&object.name)),
                ObjectEvent::Removed { name, .. } => self.names.remove(name),
            };
        }
    }

    /// Objects that another writer has put into the store and that cannot be read: the others hold.
    fn note_unreadable(&self, problems: &[String]) {
        let Some(first) = problems.first() else {
            return;
        };
        log::warn!(what = self.target.description, objects = problems.len(), problem = first.as_str(); "objects in the store cannot be read and are left out");
        metrics::counter!("tc_registry_unreadable_total").increment(problems.len() as u64);
    }

    fn record_answer(&mut self) {
        self.failures = 0;
        if let Some(since) = self.failing_since.take() {
            let outage = MonoTime::now().since(since);
            log::info!(what = self.target.description, away_ms = outage.as_millis() as u64; "the store answers again");
        }
    }

    /// Waits before the next call, jittered so that instances do not return to the store in step.
    async fn record_failure(&mut self, error: &StoreError) {
        if self.failing_since.is_none() {
            self.failing_since = Some(MonoTime::now());
            log::warn!(what = self.target.description, error = error.to_string().as_str(); "the store does not answer; the last known state stays in force");
        }
        let wait = INITIAL_RETRY_DELAY * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        let jitter = 0.5 + 0.5 * rand::random::<f64>();
        sleep(wait.min(MAX_RETRY_DELAY).mul_f64(jitter)).await;
    }
}
