//! What differs between two lists of upstreams: updates between instances, and the changes that lead to a list of the store.

use std::{collections::HashSet, sync::Arc};

use imbl::ordmap::DiffItem;
use tc_fleet::{RegistryEntry, Removed, UpstreamUpdate};
use tc_platform::{ListPage, ObjectEvent, StoredObject};
use tc_protocol::{MonoTime, StoreRevision};

use super::upstreams::{Entry, UpstreamTable};

/// Result of applying an update from another instance.
#[derive(Clone, Debug)]
pub enum ApplyOutcome {
    /// The table with the update applied.
    Updated(UpstreamTable),
    /// The update is older than this table.
    Outdated,
    /// The update is relative to another table than this one: the missing part must be requested.
    ///
    /// Otherwise, an instance that continues with a source that is behind it would keep forever the
    /// entries that were both written and removed between the source's table and its own, and send
    /// calls to upstreams that are long gone.
    BaseMismatch,
}

impl UpstreamTable {
    /// Returns the update for a table of an earlier revision: the changed entries and the names of
    /// all entries, which show what is gone.
    #[must_use]
    pub fn update_since(&self, revision: StoreRevision) -> UpstreamUpdate {
        let is_changed = |entry: &Entry| entry.revision > revision;
        let (changed, unchanged): (Vec<_>, Vec<_>) = self
            .entries
            .iter()
            .partition(|(_, entry)| is_changed(entry));
        let changed = changed.into_iter().map(|(name, e)| to_update(name, e));
        let unchanged = unchanged.into_iter().map(|(name, _)| Arc::clone(name));
        UpstreamUpdate {
            revision: self.revision,
            changed: changed.collect(),
            removed: Removed::AllExcept(unchanged.collect()),
        }
    }

    /// Returns the difference from an earlier table, or `None` if there is none.
    #[must_use]
    pub fn update_after(&self, earlier: &Self) -> Option<UpstreamUpdate> {
        let mut changed = Vec::new();
        let mut names = Vec::new();
        for change in earlier.entries.diff(&self.entries) {
            match change {
                DiffItem::Add(name, entry) => changed.push(to_update(name, entry)),
                DiffItem::Update { old, new } if old.1.revision != new.1.revision => {
                    changed.push(to_update(new.0, new.1));
                }
                DiffItem::Update { .. } => {}
                DiffItem::Remove(name, _) => names.push(Arc::clone(name)),
            }
        }
        let differs = self.revision != earlier.revision || !names.is_empty() || !changed.is_empty();
        differs.then_some(UpstreamUpdate {
            revision: self.revision,
            changed,
            removed: Removed::Named {
                since: earlier.revision,
                names,
            },
        })
    }

    /// Returns the changes that lead from this table to a full list.
    #[must_use]
    pub fn changes_to_list(&self, page: &ListPage) -> Vec<ObjectEvent> {
        let listed: HashSet<&str> = page.items.iter().map(|object| &*object.name).collect();
        let gone = self.names().filter(|name| !listed.contains(&***name));
        // An entry that another instance reported may be newer than the list.
        let gone = gone.map(|name| ObjectEvent::Removed {
            name: Arc::clone(name),
            revision: page.revision,
        });
        let is_newer = |object: &&StoredObject| {
            let known = self.entries.get(&object.name);
            known.is_none_or(|known| object.revision > known.revision)
        };
        let newer = page.items.iter().filter(is_newer).cloned();
        newer.map(ObjectEvent::Put).chain(gone).collect()
    }

    /// Returns the names of up to `limit` upstreams that took work in an earlier table and are
    /// leaving or gone in this one.
    pub(crate) fn left_since<'a>(&self, earlier: &'a Self, limit: usize) -> Vec<&'a str> {
        let takes_work = |entry: &Entry| entry.upstream.as_ref().is_some_and(|u| !u.draining);
        let changes = earlier.entries.diff(&self.entries);
        let left = changes.filter_map(|change| match change {
            DiffItem::Remove(name, old) if takes_work(old) => Some(&**name),
            DiffItem::Update { old, new } if takes_work(old.1) && !takes_work(new.1) => {
                Some(&**old.0)
            }
            _ => None,
        });
        left.take(limit).collect()
    }

    /// Returns this table with the changed entries of an update that is not from the instance's source.
    ///
    /// Removals are left out: while a store recovers from an outage, the other instance may have applied removals that this
    /// instance's source holds back.
    #[must_use]
    pub fn with_changed_entries(&self, update: &UpstreamUpdate) -> Self {
        let mut next = self.clone();
        next.put_changed(update);
        next.ahead_to = self.ahead_to.max(update.revision);
        next
    }

    /// Applies the changed entries of an update, except those that were removed after it.
    fn put_changed(&mut self, update: &UpstreamUpdate) {
        for entry in &update.changed {
            let was_removed =
                entry.revision <= self.ahead_to && !self.entries.contains_key(&entry.name);
            if !was_removed {
                self.put(&entry.name, entry.revision, || entry.upstream.clone());
            }
        }
    }

    /// Applies an update from another instance.
    #[must_use]
    pub fn with_update(&self, update: &UpstreamUpdate) -> ApplyOutcome {
        if update.revision < self.revision {
            return ApplyOutcome::Outdated;
        }
        let gone: Vec<Arc<str>> = match &update.removed {
            Removed::Named { since, .. } if *since != self.revision || self.is_ahead() => {
                let is_newer = update.revision > self.revision;
                return if is_newer || self.is_ahead() {
                    ApplyOutcome::BaseMismatch
                } else {
                    ApplyOutcome::Outdated
                };
            }
            Removed::Named { names, .. } => names.clone(),
            Removed::AllExcept(names) => {
                let changed = update.changed.iter().map(|entry| &entry.name);
                let remaining: HashSet<&Arc<str>> = names.iter().chain(changed).collect();
                let gone = self.names().filter(|name| !remaining.contains(name));
                gone.cloned().collect()
            }
        };
        let mut next = self.clone();
        next.forget_departed(MonoTime::now());
        next.put_changed(update);
        for name in &gone {
            next.remove(name, update.revision);
        }
        next.revision = self.revision.max(update.revision);
        next.ahead_to = self.ahead_to.max(next.revision);
        ApplyOutcome::Updated(next)
    }
}

fn to_update(name: &Arc<str>, entry: &Entry) -> RegistryEntry {
    RegistryEntry {
        name: Arc::clone(name),
        revision: entry.revision,
        upstream: entry.upstream.clone(),
    }
}
