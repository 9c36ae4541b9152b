//! Claims on idempotency keys: a request that must not run twice runs only under a claim.

mod batch;
mod claim_guard;
mod committer;
mod model;
mod op;
mod outage_detector;
mod sealed_index;
mod shard;
mod step_results;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tc_protocol::{
    ClaimKey, ClaimVerdict, Incarnation, InstanceId, MonoTime, RecordedOutcome, RunState,
};
use tokio::{
    runtime::Handle,
    sync::{
        OnceCell,
        mpsc::{UnboundedSender, unbounded_channel},
        oneshot,
    },
};

use crate::{Backoff, Precondition, Purpose, Store, StoreError, WriteResult};
use committer::{Committer, Request, Shared, Waiter};
use outage_detector::OutageDetector;

pub use model::{KeyDigest, MAX_OUTCOME_BYTES};
pub use op::{Op, RecordResult, Reply, ShardLimits, Ticket};
pub use shard::{Progress, Shard, Step};

/// Kind of the objects that hold claims.
pub const CLAIM_KIND: &str = "tanagercroft-claims";

/// Object that holds the number of shards.
const LAYOUT_NAME: &str = "layout";
/// Operations that may wait at once; more are refused, since the store is hopelessly behind.
const MAX_QUEUED: usize = 20_000;
/// How long recording an outcome is waited for; it goes on in the background.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(20);
const MAX_POLL_DELAY: Duration = Duration::from_millis(400);

/// How claims are made.
#[derive(Clone, Debug)]
pub struct ClaimsSettings {
    /// Shards to spread claims over. The first instance ever to claim fixes the number for all.
    pub shards: u32,
    /// Shortest time between two commits of one shard by this instance.
    pub commit_interval: Duration,
    /// Most operations in one commit.
    pub max_batch: usize,
    /// How long a claim and its outcome are kept at least; must exceed the longest deadline.
    pub retention: Duration,
    /// This instance.
    pub holder: InstanceId,
    /// Which life of its process.
    pub incarnation: Incarnation,
}

/// The number of shards, which must be the same for all: with two numbers, a key could be claimed in two shards.
#[derive(Debug, Serialize, Deserialize)]
struct Layout {
    shards: u32,
}

/// Handle for making claims; clones share everything.
#[derive(Clone)]
pub struct Claims {
    inner: Arc<Inner>,
}

struct Inner {
    shared: Arc<Shared>,
    settings: ClaimsSettings,
    runtime: Handle,
    shards: OnceCell<u32>,
    commit_queues: Mutex<HashMap<u32, UnboundedSender<Request>>>,
    outage_detector: OutageDetector,
    /// Random, so that two lives of one instance never make the same claim id, even with a stuck clock.
    nonce: u32,
    next_claim: AtomicU64,
}

impl Claims {
    /// Starts claiming; commit tasks run on the current tokio runtime.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime.
    #[must_use]
    pub fn start(store: Store, settings: ClaimsSettings) -> Self {
        let shared = Shared {
            store,
            commit_interval: settings.commit_interval,
            retention_ms: AtomicU64::new(settings.retention.as_millis() as u64),
            waiting: AtomicUsize::new(0),
        };
        Self {
            inner: Arc::new(Inner {
                shared: Arc::new(shared),
                settings,
                runtime: Handle::current(),
                shards: OnceCell::new(),
                commit_queues: Mutex::default(),
                outage_detector: OutageDetector::default(),
                nonce: rand::random(),
                next_claim: AtomicU64::new(0),
            }),
        }
    }

    /// Claims a key for a request with this body, within `wait`; gives up sooner when the store cannot be reached.
    ///
    /// [`ClaimVerdict::Acquired`] must be acted on only before the request's deadline, and at most once. With
    /// [`ClaimVerdict::Unavailable`] the request must not run; a claim of ours that turns out to have been written
    /// is released, so that a resend may claim again.
    pub async fn claim(&self, key: ClaimKey, body_hash: u64, wait: Duration) -> ClaimVerdict {
        let started = (MonoTime::now(), SystemTime::now());
        let store = &self.inner.shared.store;
        let runtime = &self.inner.runtime;
        if self
            .inner
            .outage_detector
            .rejects_claim(store, runtime, started.0)
        {
            return ClaimVerdict::Unavailable;
        }
        let key = KeyDigest::of(&key);
        let (tx, rx) = oneshot::channel();
        let submitted = async {
            let op = Op::Claim {
                key,
                body_hash,
                claim_id: self.new_claim_id(),
            };
            self.submit(key, op, Waiter::Claim(key, tx)).await?;
            rx.await.map_err(|_| StoreError::Unreachable)
        };
        let claim_guard = tokio::select! {
            biased;
            claim_guard = tokio::time::timeout(wait, submitted) => claim_guard,
            () = OutageDetector::wait_until_down(store) => return ClaimVerdict::Unavailable,
        };
        match claim_guard {
            // A process that was paused finds its verdict long after its time: the claim may have expired since,
            // and acting on it would run the request beside the next holder's.
            Ok(Ok(claim_guard)) if !has_elapsed(started, wait) => claim_guard.into_verdict(),
            _ => ClaimVerdict::Unavailable,
        }
    }

    /// Records the outcome of a claim of ours, so that resends get it; its body only when it is small.
    ///
    /// An outcome that says [`RunState::NotRun`] is not kept: the claim is released, so that a resend can run.
    /// Fails with [`StoreError::MaybeApplied`] when it takes long; it then goes on in the background. Fails with
    /// [`StoreError::Conflict`] when the claim is not ours any more or has another outcome.
    pub async fn record(
        &self,
        key: &ClaimKey,
        claim_id: &str,
        outcome: RecordedOutcome,
    ) -> Result<(), StoreError> {
        let key = KeyDigest::of(key);
        let claim_id: Arc<str> = claim_id.into();
        if outcome.run_state == RunState::NotRun {
            let op = Op::Release { key, claim_id };
            return self.submit(key, op, Waiter::None).await;
        }
        let (tx, rx) = oneshot::channel();
        let op = Op::Record {
            key,
            claim_id,
            outcome: Arc::new(model::truncate_outcome(outcome)),
        };
        self.submit(key, op, Waiter::Record(tx)).await?;
        match tokio::time::timeout(RECORD_TIMEOUT, rx).await {
            Ok(Ok(RecordResult::Recorded)) => Ok(()),
            Ok(Ok(RecordResult::NotHolder)) => Err(StoreError::Conflict { current: None }),
            Ok(Ok(RecordResult::Full)) => Err(StoreError::TooLarge),
            Ok(Err(_)) | Err(_) => Err(StoreError::MaybeApplied),
        }
    }

    /// Waits up to `wait` until the run that holds a key has recorded its outcome.
    ///
    /// [`ClaimVerdict::Held`] when it has not in time, or when the store could not tell;
    /// [`ClaimVerdict::Unavailable`] when the claim was released, so the request surely did not run.
    pub async fn wait_for_outcome(&self, key: &ClaimKey, wait: Duration) -> ClaimVerdict {
        let key = KeyDigest::of(key);
        tokio::time::timeout(wait, self.poll_outcome(key))
            .await
            .unwrap_or(ClaimVerdict::Held)
    }

    /// Changes how long claims are kept from now on.
    pub fn set_retention(&self, retention: Duration) {
        let millis = retention.as_millis() as u64;
        self.inner
            .shared
            .retention_ms
            .store(millis, Ordering::Relaxed);
    }

    async fn poll_outcome(&self, key: KeyDigest) -> ClaimVerdict {
        let mut backoff = Backoff::new(INITIAL_POLL_DELAY, MAX_POLL_DELAY);
        loop {
            let (tx, rx) = oneshot::channel();
            let submitted = self
                .submit(key, Op::Lookup { key }, Waiter::Lookup(tx))
                .await;
            if submitted.is_ok()
                && let Ok(verdict) = rx.await
                && verdict != ClaimVerdict::Held
            {
                return verdict;
            }
            backoff.wait().await;
        }
    }

    async fn submit(&self, key: KeyDigest, op: Op, waiter: Waiter) -> Result<(), StoreError> {
        let shards = *self
            .inner
            .shards
            .get_or_try_init(|| self.read_or_create_layout())
            .await?;
        let waiting = &self.inner.shared.waiting;
        if waiter.is_counted() && waiting.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED {
            waiting.fetch_sub(1, Ordering::Relaxed);
            return Err(StoreError::RateLimited);
        }
        let commit_queue = self.commit_queue(key.shard(shards));
        commit_queue
            .send(Request { op, waiter })
            .map_err(|_| StoreError::Unreachable)
    }

    /// Reads how many shards there are, or fixes the number if nobody has.
    async fn read_or_create_layout(&self) -> Result<u32, StoreError> {
        let store = &self.inner.shared.store;
        let wanted = Layout {
            shards: self.inner.settings.shards.max(1),
        };
        let found = store.get(Purpose::Claims, CLAIM_KIND, LAYOUT_NAME).await?;
        let found = match found {
            Some(object) => object.value,
            None => create_layout(store, &wanted).await?,
        };
        let layout: Layout = serde_json::from_value(found).map_err(|_| StoreError::Malformed)?;
        if layout.shards != wanted.shards {
            log::warn!(
                "claims are in {} shards; the setting of {} has no effect",
                layout.shards,
                wanted.shards
            );
        }
        Ok(layout.shards)
    }

    fn commit_queue(&self, shard: u32) -> UnboundedSender<Request> {
        let inner = &self.inner;
        let mut commit_queues = inner
            .commit_queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let start = || {
            let (tx, rx) = unbounded_channel();
            let limits = ShardLimits {
                max_batch: inner.settings.max_batch.max(1),
                ..ShardLimits::default()
            };
            let committer = Committer {
                shared: inner.shared.clone(),
                shard: Shard::new(shard, limits, inner.settings.retention),
                head_name: format!("head-{shard:03}"),
                rx,
                tx: tx.downgrade(),
                waiters: HashMap::new(),
                last_commit: None,
                reserved_calls: 0,
            };
            inner.runtime.spawn(committer.run());
            tx
        };
        commit_queues.entry(shard).or_insert_with(start).clone()
    }

    fn new_claim_id(&self) -> Arc<str> {
        let ClaimsSettings {
            holder,
            incarnation,
            ..
        } = &self.inner.settings;
        let count = self.inner.next_claim.fetch_add(1, Ordering::Relaxed);
        format!(
            "{holder}@{:x}-{:x}-{count:x}",
            incarnation.0, self.inner.nonce
        )
        .into()
    }
}

/// Creates the layout and returns the one in force, which never changes once it exists.
async fn create_layout(store: &Store, wanted: &Layout) -> Result<Value, StoreError> {
    let value = serde_json::to_value(wanted).map_err(|_| StoreError::Malformed)?;
    let (purpose, absent) = (Purpose::Claims, Precondition::Absent);
    let written = store
        .write_verified(purpose, CLAIM_KIND, LAYOUT_NAME, absent, &value, |found| {
            *found == value
        })
        .await;
    match written {
        WriteResult::Written { .. } => Ok(value),
        WriteResult::Conflict { current: Some(c) } | WriteResult::Unknown { current: Some(c) } => {
            Ok(c.value)
        }
        WriteResult::NotWritten(e) => Err(e),
        _ => Err(StoreError::Unreachable),
    }
}

/// Whether `wait` has passed, by the monotonic clock or, for a machine that was suspended, by the wall clock.
fn has_elapsed((mono, wall): (MonoTime, SystemTime), wait: Duration) -> bool {
    let by_mono = MonoTime::now().since(mono) > wait;
    by_mono || wall.elapsed().is_ok_and(|age| age > wait)
}
