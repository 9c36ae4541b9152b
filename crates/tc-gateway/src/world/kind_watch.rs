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

use crate::freeze::FreezeWatch;

/// How long a watch waits for a change. Each watch is one priced call; a connection that went silent is noticed by
/// the kernel's probes, so a long wait costs nothing.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(25);
/// First wait after a failed call; doubles with each failure in a row.
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest wait: the store's return is noticed within it.
const LONGEST_RETRY: Duration = Duration::from_millis(800);

/// How long a watch may take to tell what a list shows already.
const WATCH_LAG: Duration = Duration::from_millis(150);

/// What the store said of a kind's objects.
pub(super) enum Seen {
    /// All of them, read after this many absences of this process.
    All(ListPage, u64),
    /// What changed since it last said something; perhaps nothing.
    Changes(WatchPage),
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
    /// Whether this instance is the one that checks the watches of all.
    pub(super) checks: Arc<dyn Fn() -> bool + Send + Sync>,
    /// How often that one lists what all of them watch.
    ///
    /// A store may answer no watch any more while its connections live and its other calls are answered. All instances then
    /// keep what they had until their watches end, half a minute later, and none can tell it from a quiet store. One list by
    /// one instance shows it, and the others hear of it from that one.
    pub(super) check_every: Duration,
}

/// What a watch that was checked meanwhile brought.
enum Checked {
    Watched(Watched),
    /// A list shows more than the watch told.
    Missed(ListPage),
}

impl Followed {
    async fn list(&self) -> Result<ListPage, StoreError> {
        self.store
            .list_kind(self.purpose, &self.dialect, self.kind, Freshness::Current)
            .await
    }

    /// Watches from a revision on, and checks now and then what the watch should have told.
    async fn watch(
        &self,
        from: u64,
        wait: Duration,
        names: &BTreeSet<Arc<str>>,
    ) -> Result<Checked, StoreError> {
        let watching = self
            .store
            .watch_kind(self.purpose, &self.dialect, self.kind, from, wait);
        tokio::pin!(watching);
        loop {
            if let Ok(watched) = timeout(self.check_every, &mut watching).await {
                return watched.map(Checked::Watched);
            }
            let Some(page) = self.missed(from, names).await else {
                continue;
            };
            if let Ok(watched) = timeout(WATCH_LAG, &mut watching).await {
                return watched.map(Checked::Watched);
            }
            log::warn!(what = self.what, watched_from = from, listed = page.at; "a watch of the store does not tell what a list shows; it is begun anew");
            return Ok(Checked::Missed(page));
        }
    }

    /// A list that shows more than was told up to a revision; `None` if there is nothing more, or it is not for this
    /// instance to look.
    async fn missed(&self, from: u64, names: &BTreeSet<Arc<str>>) -> Option<ListPage> {
        if !(self.checks)() {
            return None;
        }
        let page = match self.list().await {
            Ok(page) => page,
            Err(error) => {
                log::info!(what = self.what, watched_from = from, error = error.to_string().as_str(); "the store's watches could not be checked");
                return None;
            }
        };
        let has_changed = page.items.iter().any(|object| object.revision > from);
        let is_gone = names.len() > page.items.len();
        (has_changed || is_gone).then_some(page)
    }
}

/// See the module.
pub(super) struct KindWatch {
    followed: Followed,
    freezes: Arc<FreezeWatch>,
    absences: Receiver<u64>,
    /// Revision from which to watch; none before a list.
    from: Option<u64>,
    /// Objects that there are, as far as the store told.
    names: BTreeSet<Arc<str>>,
    failures: u32,
    lost_since: Option<MonoTime>,
}

impl KindWatch {
    pub(super) fn new(followed: Followed, freezes: Arc<FreezeWatch>) -> Self {
        Self {
            followed,
            absences: freezes.changes(),
            freezes,
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
        let absences = self.freezes.count();
        let page = self.followed.list().await?;
        Ok(self.listed(page, absences))
    }

    fn listed(&mut self, page: ListPage, absences: u64) -> Seen {
        self.from = Some(page.at);
        self.names = page
            .items
            .iter()
            .map(|object| Arc::clone(&object.name))
            .collect();
        self.note_unreadable(&page.unreadable);
        Seen::All(page, absences)
    }

    /// `None` when everything must be listed again.
    async fn watch(&mut self, from: u64, wait: Duration) -> Result<Option<Seen>, StoreError> {
        let watched = tokio::select! {
            watched = self.followed.watch(from, wait, &self.names) => watched?,
            _ = self.absences.changed() => return Ok(None),
        };
        match watched {
            Checked::Watched(Watched::Changes(page)) => {
                self.from = Some(page.at);
                self.note_unreadable(&page.unreadable);
                self.note_names(&page.events);
                Ok(Some(Seen::Changes(page)))
            }
            Checked::Watched(Watched::HistoryGone) => Ok(None),
            Checked::Missed(page) => {
                let absences = self.freezes.count();
                Ok(Some(self.listed(page, absences)))
            }
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
