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

use super::{Reading, WorldCell, WorldPart};

/// How long a watch waits for a change. Each watch is one priced call; a connection that went silent is noticed by
/// the kernel's probes, so a long wait costs nothing.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(25);
/// First wait after a failed call; doubles with each failure in a row.
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest wait: the store's return is noticed within it.
const LONGEST_RETRY: Duration = Duration::from_millis(800);

/// How long a watch may take to tell what a list shows already.
const WATCH_LAG: Duration = Duration::from_millis(150);

/// Pause before a list that checks a watch is retried after a failure.
const CHECK_RETRY_DELAY: Duration = Duration::from_millis(300);

/// What the store said of a kind's objects, and when the call was started.
pub(super) enum Seen {
    /// All of them.
    All(ListPage, Reading),
    /// What changed since it last said something; perhaps nothing.
    Changes(WatchPage, Reading),
    /// It did not answer.
    Failed,
}

/// What is followed.
pub(super) struct Followed {
    pub(super) store: Store,
    pub(super) dialect: KindDialect,
    pub(super) kind: &'static str,
    pub(super) purpose: Purpose,
    /// Name of it in logs.
    pub(super) what: &'static str,
    pub(super) cell: Arc<WorldCell>,
    pub(super) part: WorldPart,
    /// Age of the part's confirmation from which it is listed in addition to being watched.
    ///
    /// A store may stop answering watches while its connections stay open and other calls succeed, or stop answering
    /// this instance while it answers others. Without a list, neither can be told from a store without changes.
    pub(super) check_after: Receiver<Duration>,
}

/// What a watch that was checked meanwhile brought.
enum Checked {
    Watched(Watched, Reading),
    /// A list shows more than the watch told.
    Missed(ListPage, Reading),
}

impl Followed {
    async fn list(&self) -> Result<(ListPage, Reading), StoreError> {
        let reading = Reading::start(&self.cell.freezes());
        let listed = self
            .store
            .list_kind(self.purpose, &self.dialect, self.kind, Freshness::Current)
            .await;
        Ok((listed?, reading))
    }

    /// Watches from a revision on, and lists whenever the part's confirmation reaches `check_after` meanwhile.
    async fn watch(
        &self,
        from: u64,
        wait: Duration,
        names: &BTreeSet<Arc<str>>,
    ) -> Result<Checked, StoreError> {
        let reading = Reading::start(&self.cell.freezes());
        let watching = self
            .store
            .watch_kind(self.purpose, &self.dialect, self.kind, from, wait);
        let watched = |watched: Watched| Checked::Watched(watched, reading);
        tokio::pin!(watching);
        let (page, listing) = tokio::select! {
            answer = &mut watching => return answer.map(watched),
            missed = self.missed(from, names) => missed,
        };
        if let Ok(answer) = timeout(WATCH_LAG, &mut watching).await {
            return answer.map(watched);
        }
        log::warn!(what = self.what, watched_from = from, listed = page.at; "a watch of the store does not tell what a list shows; it is begun anew");
        Ok(Checked::Missed(page, listing))
    }

    /// Lists whenever the part's confirmation reaches `check_after`, and returns the first list that shows a change after
    /// revision `from`.
    async fn missed(&self, from: u64, names: &BTreeSet<Arc<str>>) -> (ListPage, Reading) {
        loop {
            self.wait_until_check_due().await;
            match self.list().await {
                Ok((page, reading)) => {
                    let has_changed = page.items.iter().any(|object| object.revision > from);
                    let is_gone = names.len() > page.items.len();
                    if has_changed || is_gone {
                        return (page, reading);
                    }
                    self.cell.confirm(self.part, &reading);
                }
                Err(error) => {
                    log::info!(what = self.what, watched_from = from, error = error.to_string().as_str(); "the store's watches could not be checked");
                    sleep(CHECK_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until the part's confirmation reaches the age `check_after`.
    async fn wait_until_check_due(&self) {
        loop {
            let due = self
                .cell
                .part_confirmed(self.part)
                .after(*self.check_after.borrow());
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
    followed: Followed,
    absences: Receiver<u64>,
    /// Revision from which to watch; none before a list.
    from: Option<u64>,
    /// Objects that there are, as far as the store told.
    names: BTreeSet<Arc<str>>,
    failures: u32,
    lost_since: Option<MonoTime>,
}

impl KindWatch {
    pub(super) fn new(followed: Followed) -> Self {
        Self {
            absences: followed.cell.freezes().changes(),
            followed,
            from: None,
            names: BTreeSet::new(),
            failures: 0,
            lost_since: None,
        }
    }

    /// Begins anew with a list, as after a time in which nothing was watched.
    pub(super) fn begin_anew(&mut self) {
        self.from = None;
    }

    /// Names of the objects that there are, as of what the store said last.
    pub(super) const fn names(&self) -> &BTreeSet<Arc<str>> {
        &self.names
    }

    /// Waits for `time`, or until the part has to be listed.
    pub(super) async fn pause(&self, time: Duration) {
        let _ = timeout(time, self.followed.wait_until_check_due()).await;
    }

    /// What the store says next; waits up to `wait` for a change, or pauses after a failure.
    pub(super) async fn next(&mut self, wait: Duration) -> Seen {
        loop {
            let seen = match self.from {
                None => self.list().await.map(Some),
                Some(from) => self.watch(from, wait).await,
            };
            match seen {
                Ok(Some(seen)) => {
                    self.answered();
                    return seen;
                }
                Ok(None) => self.from = None,
                Err(error) => {
                    self.from = None;
                    self.failed(&error).await;
                    return Seen::Failed;
                }
            }
        }
    }

    async fn list(&mut self) -> Result<Seen, StoreError> {
        self.absences.mark_unchanged();
        let (page, reading) = self.followed.list().await?;
        Ok(self.listed(page, reading))
    }

    fn listed(&mut self, page: ListPage, reading: Reading) -> Seen {
        self.from = Some(page.at);
        self.names = page
            .items
            .iter()
            .map(|object| Arc::clone(&object.name))
            .collect();
        self.note_unreadable(&page.unreadable);
        Seen::All(page, reading)
    }

    /// `None` when everything must be listed again.
    async fn watch(&mut self, from: u64, wait: Duration) -> Result<Option<Seen>, StoreError> {
        let watched = tokio::select! {
            watched = self.followed.watch(from, wait, &self.names) => watched?,
            _ = self.absences.changed() => return Ok(None),
        };
        match watched {
            Checked::Watched(Watched::Changes(page), reading) => {
                self.from = Some(page.at);
                self.note_unreadable(&page.unreadable);
                self.note_names(&page.events);
                Ok(Some(Seen::Changes(page, reading)))
            }
            Checked::Watched(Watched::HistoryGone, _) => Ok(None),
            Checked::Missed(page, reading) => Ok(Some(self.listed(page, reading))),
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
        log::warn!(what = self.followed.what, objects = problems.len(), problem = first.as_str(); "objects in the store cannot be read and are left out");
        metrics::counter!("tc_registry_unreadable_total").increment(problems.len() as u64);
    }

    fn answered(&mut self) {
        self.failures = 0;
        if let Some(since) = self.lost_since.take() {
            let away = MonoTime::now().since(since);
            log::info!(what = self.followed.what, away_ms = away.as_millis() as u64; "the store answers again");
        }
    }

    /// Waits before the next call, jittered so that instances do not return to the store in step.
    async fn failed(&mut self, error: &StoreError) {
        if self.lost_since.is_none() {
            self.lost_since = Some(MonoTime::now());
            log::warn!(what = self.followed.what, error = error.to_string().as_str(); "the store does not answer; the last known state stays in force");
        }
        let wait = FIRST_RETRY * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        let jitter = 0.5 + 0.5 * rand::random::<f64>();
        sleep(wait.min(LONGEST_RETRY).mul_f64(jitter)).await;
    }
}
