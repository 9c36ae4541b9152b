//! The judge's evidence: every call and order that any upstream received.

mod guard;
mod record;

pub(crate) use guard::CallGuard;
pub use record::{CallRecord, Ending, OrderRecord, StageTotals};

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use tc_protocol::{RequestId, StageName};

use crate::sync::lock;

/// Shards of the records, so that upstreams on many threads seldom meet at one lock.
const SHARDS: usize = 16;

/// Keeps what upstreams saw; clones share it.
///
/// ```
/// use tc_stand_ins::Recorder;
/// let recorder = Recorder::new();
/// assert!(recorder.calls().is_empty());
/// ```
#[derive(Clone, Default)]
pub struct Recorder {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    next: AtomicUsize,
    shards: [Mutex<Vec<CallRecord>>; SHARDS],
    orders: Mutex<Vec<OrderRecord>>,
}

impl Recorder {
    /// An empty recorder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// All calls in order of arrival.
    #[must_use]
    pub fn calls(&self) -> Vec<CallRecord> {
        self.select(|_| true)
    }

    /// Calls of one request, in order of arrival.
    #[must_use]
    pub fn calls_of(&self, request: &RequestId) -> Vec<CallRecord> {
        self.select(|call| call.request.as_ref() == Some(request))
    }

    /// Calls with this idempotency key that were started, in order of arrival.
    ///
    /// In a pipeline each stage's call carries the key, so compare by stage.
    #[must_use]
    pub fn runs_of_key(&self, key: &str) -> Vec<CallRecord> {
        self.select(|call| {
            call.started_at.is_some() && call.idempotency_key.as_deref() == Some(key)
        })
    }

    /// Idempotency keys that ran more than once at the same service and stage, with the number of runs.
    #[must_use]
    pub fn doubled_keys(&self) -> BTreeMap<Arc<str>, usize> {
        let mut runs = BTreeMap::new();
        for call in self.select(|call| call.started_at.is_some()) {
            if let Some(key) = call.idempotency_key {
                *runs.entry((key, call.service, call.stage)).or_insert(0) += 1;
            }
        }
        let mut doubled = BTreeMap::new();
        for ((key, ..), runs) in runs {
            if runs > 1 {
                let most: &mut usize = doubled.entry(key).or_default();
                *most = runs.max(*most);
            }
        }
        doubled
    }

    /// Calls that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.fold(0, |n, call| n + usize::from(call.ending.is_none()))
    }

    /// Totals by stage; calls that name no stage count under their service's name.
    #[must_use]
    pub fn by_stage(&self) -> BTreeMap<StageName, StageTotals> {
        self.fold(BTreeMap::new(), |mut totals, call| {
            let stage = call.stage.clone();
            let stage = stage.unwrap_or_else(|| call.service.as_str().into());
            let entry: &mut StageTotals = totals.entry(stage).or_default();
            entry.add(call);
            totals
        })
    }

    /// All orders in order of arrival.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.inner.orders).clone()
    }

    pub(crate) fn add_order(&self, order: OrderRecord) {
        lock(&self.inner.orders).push(order);
    }

    fn add(&self, call: CallRecord) -> (usize, usize) {
        let shard = self.inner.next.fetch_add(1, Ordering::Relaxed) % SHARDS;
        let mut records = lock(&self.inner.shards[shard]);
        records.push(call);
        (shard, records.len() - 1)
    }

    fn change(&self, (shard, index): (usize, usize), change: impl FnOnce(&mut CallRecord)) {
        change(&mut lock(&self.inner.shards[shard])[index]);
    }

    fn select(&self, wanted: impl Fn(&CallRecord) -> bool) -> Vec<CallRecord> {
        let mut calls = self.fold(Vec::new(), |mut calls, call| {
            if wanted(call) {
                calls.push(call.clone());
            }
            calls
        });
        calls.sort_by_key(|call| call.received_at);
        calls
    }

    fn fold<T>(&self, start: T, mut step: impl FnMut(T, &CallRecord) -> T) -> T {
        let mut folded = start;
        for shard in &self.inner.shards {
            folded = lock(shard).iter().fold(folded, &mut step);
        }
        folded
    }
}
