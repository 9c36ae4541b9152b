//! Entries of upstreams that were leaving when the store removed them.

use std::{sync::Arc, time::Duration};

use imbl::OrdMap;
use tc_protocol::MonoTime;

use super::upstreams::Entry;

/// Time for which an entry is kept. A store that is restored from an older copy may show it again as it was before.
const RETENTION: Duration = Duration::from_mins(10);

/// Removed entries by name. A clone shares them.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedUpstreams {
    entries: OrdMap<Arc<str>, (Entry, MonoTime)>,
}

impl DepartedUpstreams {
    /// Keeps a removed entry if its upstream was leaving.
    pub(super) fn record(&mut self, now: MonoTime, name: &Arc<str>, entry: &Entry) {
        if entry.upstream.as_ref().is_some_and(|u| u.draining) {
            self.entries.insert(Arc::clone(name), (entry.clone(), now));
        }
    }

    pub(super) fn get(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name).map(|(entry, _)| entry)
    }

    pub(super) fn remove_expired(&mut self, now: MonoTime) {
        let is_expired = |removed: MonoTime| now.since(removed) >= RETENTION;
        let removed = self.entries.iter();
        let expired = removed.filter(|(_, (_, removed))| is_expired(*removed));
        let expired: Vec<Arc<str>> = expired.map(|(name, _)| Arc::clone(name)).collect();
        for name in expired {
            self.entries.remove(&name);
        }
    }
}
