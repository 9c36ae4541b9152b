//! The instance list, which readers may see as it was a while ago.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tc_protocol::{
    InstanceId,
    wire::{InstanceList, ListedInstance},
};

use crate::sync::lock;

/// Old lists kept; a longer lag than these cover shows the oldest of them.
const KEPT_LISTS: usize = 1_000;

/// The instance list and its past.
#[derive(Default)]
pub(super) struct Instances {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    version: u64,
    current: BTreeMap<InstanceId, ListedInstance>,
    past: VecDeque<(Instant, Arc<InstanceList>)>,
}

impl Instances {
    pub(super) fn put(&self, instance: ListedInstance) {
        lock(&self.state).change(|current| {
            current.insert(instance.id.clone(), instance);
        });
    }

    pub(super) fn remove(&self, id: &str) {
        lock(&self.state).change(|current| {
            current.remove(id);
        });
    }

    /// The list as it was `lag` ago; empty before the first change.
    pub(super) fn list(&self, lag: Duration) -> Arc<InstanceList> {
        let now = Instant::now();
        let state = lock(&self.state);
        state
            .past
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .map(|(_, list)| Arc::clone(list))
            .unwrap_or_default()
    }
}

impl State {
    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<InstanceId, ListedInstance>)) {
        change(&mut self.current);
        self.version += 1;
        let list = InstanceList {
            version: self.version,
            instances: self.current.values().cloned().collect(),
        };
        self.past.push_back((Instant::now(), Arc::new(list)));
        if self.past.len() > KEPT_LISTS {
            self.past.pop_front();
        }
    }
}
