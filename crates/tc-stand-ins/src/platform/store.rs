//! Objects with versions, compare-and-set and watches.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use serde::de::IgnoredAny;
use tokio::sync::Notify;

use crate::sync::lock;

/// Bytes of old versions kept per object; beyond it the oldest go.
const HISTORY_BYTES: usize = 32 << 20;

/// Kind and name of an object.
pub(super) type Key = (String, String);

/// A value and its version. The bytes are valid JSON.
#[derive(Clone, Debug)]
pub(super) struct Versioned {
    pub(super) version: u64,
    pub(super) value: Bytes,
}

/// Precondition of a write on the current object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precondition {
    /// It must not exist.
    Absent,
    /// It must have this version.
    Version(u64),
}

/// The precondition does not hold; the version the object has, if it exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Conflict {
    pub(super) current: Option<u64>,
}

/// All objects.
#[derive(Default)]
pub(super) struct Store {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    version: u64,
    objects: BTreeMap<Key, Versioned>,
    history: HashMap<Key, History>,
    watchers: HashMap<Key, Arc<Notify>>,
}

#[derive(Default)]
struct History {
    versions: VecDeque<Versioned>,
    bytes: usize,
}

impl Store {
    pub(super) fn get(&self, key: &Key) -> Option<Versioned> {
        lock(&self.state).objects.get(key).cloned()
    }

    /// Objects of a kind in order of name.
    pub(super) fn list(&self, kind: &str) -> Vec<(String, Versioned)> {
        let state = lock(&self.state);
        let from = (kind.to_owned(), String::new());
        state
            .objects
            .range(from..)
            .take_while(|((of_kind, _), _)| of_kind == kind)
            .map(|((_, name), object)| (name.clone(), object.clone()))
            .collect()
    }

    /// Writes if the precondition holds and returns the new version.
    pub(super) fn put(&self, key: Key, pre: Precondition, value: Bytes) -> Result<u64, Conflict> {
        let mut state = lock(&self.state);
        state.check(&key, pre)?;
        state.version += 1;
        let object = Versioned {
            version: state.version,
            value,
        };
        state.history.entry(key.clone()).or_default().add(&object);
        state.wake(&key);
        state.objects.insert(key, object);
        Ok(state.version)
    }

    /// Deletes if the precondition holds.
    pub(super) fn delete(&self, key: &Key, pre: Precondition) -> Result<(), Conflict> {
        let mut state = lock(&self.state);
        state.check(key, pre)?;
        state.version += 1;
        state.objects.remove(key);
        state.wake(key);
        Ok(())
    }

    /// Waits until the object's version is above `after`, or until it is deleted when `after` is above 0.
    pub(super) async fn watch(&self, key: &Key, after: u64) -> Option<Versioned> {
        loop {
            let notify = {
                let mut state = lock(&self.state);
                let watchers = state.watchers.entry(key.clone()).or_default();
                Arc::clone(watchers)
            };
            // Registered before the look at the object: a write in between would otherwise wake nobody, and the
            // watch would last until its timeout.
            let mut notified = std::pin::pin!(notify.notified());
            notified.as_mut().enable();
            match self.get(key) {
                Some(object) if object.version > after => return Some(object),
                None if after > 0 => return None,
                _ => notified.await,
            }
        }
    }

    /// Versions of an object that were ever in force, oldest first, as far back as they are kept.
    pub(super) fn history(&self, key: &Key) -> Vec<Versioned> {
        let state = lock(&self.state);
        let history = state.history.get(key);
        history.map_or_else(Vec::new, |history| {
            history.versions.iter().cloned().collect()
        })
    }
}

impl State {
    fn check(&self, key: &Key, pre: Precondition) -> Result<(), Conflict> {
        let current = self.objects.get(key).map(|object| object.version);
        let holds = match pre {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if holds {
            Ok(())
        } else {
            Err(Conflict { current })
        }
    }

    fn wake(&mut self, key: &Key) {
        if let Some(watchers) = self.watchers.remove(key) {
            watchers.notify_waiters();
        }
    }
}

impl History {
    fn add(&mut self, object: &Versioned) {
        self.bytes += object.value.len();
        self.versions.push_back(object.clone());
        while self.bytes > HISTORY_BYTES && self.versions.len() > 1 {
            if let Some(oldest) = self.versions.pop_front() {
                self.bytes -= oldest.value.len();
            }
        }
    }
}

/// Whether bytes are one JSON value.
pub(super) fn is_json(bytes: &[u8]) -> bool {
    std::str::from_utf8(bytes).is_ok_and(|text| serde_json::from_str::<IgnoredAny>(text).is_ok())
}
