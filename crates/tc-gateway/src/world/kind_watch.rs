//! Following the objects of one kind in the store: a list first, then one watch after the other.
//!
//! A watch that broke is never taken up where it ended: the store may have dropped the history since, and then holds
//! the new watch until the next change, seen as an instance that keeps an old configuration for seconds. One list
//! shows what was missed. The same goes for a process that was absent: its watch may have gone silent meanwhile.

use std::{sync::Arc, time::Duration};

use tc_platform::{KindDialect, ListPage, Purpose, Store, StoreError, WatchPage, Watched};
use tc_protocol::MonoTime;
use tokio::{sync::watch::Receiver, time::sleep};

use crate::freeze::FreezeWatch;

/// How long a watch waits for a change. Each watch is one priced call; a connection that went silent is noticed by
/// the kernel's probes, so a long wait costs nothing.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(25);
/// First wait after a failed call; doubles with each failure in a row.
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest wait: the store's return is noticed within it.
const LONGEST_RETRY: Duration = Duration::from_millis(800);

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
}

/// See the module.
pub(super) struct KindWatch {
    followed: Followed,
    freezes: Arc<FreezeWatch>,
    absences: Receiver<u64>,
    /// Revision from which to watch; none before a list.
    from: Option<u64>,
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
            failures: 0,
            lost_since: None,
        }
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
        let Followed {
            purpose,
            dialect,
            kind,
            ..
        } = &self.followed;
        let page = self
            .followed
            .store
            .list_kind(*purpose, dialect, kind)
            .await?;
        self.from = Some(page.at);
        self.note_unreadable(&page.unreadable);
        Ok(Seen::All(page, absences))
    }

    /// `None` when everything must be listed again.
    async fn watch(&mut self, from: u64, wait: Duration) -> Result<Option<Seen>, StoreError> {
        let Followed {
            purpose,
            dialect,
            kind,
            ..
        } = &self.followed;
        let watching = self
            .followed
            .store
            .watch_kind(*purpose, dialect, kind, from, wait);
        let watched = tokio::select! {
            watched = watching => watched?,
            _ = self.absences.changed() => return Ok(None),
        };
        match watched {
            Watched::Changes(page) => {
                self.from = Some(page.at);
                self.note_unreadable(&page.unreadable);
                Ok(Some(Seen::Changes(page)))
            }
            Watched::HistoryGone => Ok(None),
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
