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

/// Name of the object that holds the number of shards.
const LAYOUT_NAME: &str = "layout";
/// Maximum number of queued operations. More are refused, because the store is too far behind.
const MAX_QUEUED: usize = 20_000;
/// How long to wait for an outcome to be recorded. Recording continues in the background after
/// that.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(20);
const MAX_POLL_DELAY: Duration = Duration::from_millis(400);

/// Settings of [`Claims`].
#[derive(Clone, Debug)]
pub struct ClaimsSettings {
    /// Number of shards. The value of the first instance that ever makes a claim applies to all
    /// instances.
    pub shards: u32,
    /// Minimum time between two commits of one shard by this instance.
    pub commit_interval: Duration,
    /// Maximum number of operations per commit.
    pub max_batch: usize,
    /// Minimum time that a claim and its outcome are kept. Must exceed the longest deadline.
    pub retention: Duration,
    /// ID of this instance.
    pub holder: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
}

/// Stored number of shards. It must be the same for all instances; with two numbers, one key could
/// be claimed in two shards.
#[derive(Debug, Serialize, Deserialize)]
struct Layout {
    shards: u32,
}

/// Handle for making claims. Clones share all state.
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
    /// Random, so that two incarnations of an instance never generate the same claim ID, even if
    /// the clock is stuck.
    nonce: u32,
    next_claim: AtomicU64,
}

impl Claims {
    /// Creates the handle. Commit tasks run on the current tokio runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn start(store: Store, settings: ClaimsSettings) -> Self {
        let shared = Shared {
            store,
            commit_interval: settings.commit_interval,
            retention_ms: AtomicU64::new(settings.retention.as_millis() as u64),
            queued_ops: AtomicUsize::new(0),
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

    /// Claims a key for a request with this body hash, within `wait`. Returns earlier if the store
    /// cannot be reached.
    ///
    /// [`ClaimVerdict::Acquired`] must be acted on at most once, and only before the request's
    /// deadline. On [`ClaimVerdict::Unavailable`] the request must not run. If its claim turns out
    /// to have been written, it is released, so that a resend can claim the key again.
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
        let reply = async {
            let op = Op::Claim {
                key,
                body_hash,
                claim_id: self.new_claim_id(),
            };
            self.submit(key, op, Waiter::Claim(key, tx)).await?;
            rx.await.map_err(|_| StoreError::Unreachable)
        };
        let result = tokio::select! {
            biased;
            result = tokio::time::timeout(wait, reply) => result,
            () = OutageDetector::wait_until_down(store) => return ClaimVerdict::Unavailable,
        };
        match result {
            // A process that was paused may see the verdict long after `wait`. The claim may have
            // expired since, and running the request would duplicate the run of the next holder.
            Ok(Ok(guard)) if !has_elapsed(started, wait) => guard.into_verdict(),
            _ => ClaimVerdict::Unavailable,
        }
    }

    /// Records the outcome of a claim made by this instance, so that resends get it. The body is
    /// kept only if it is small.
    ///
    /// An outcome with [`RunState::NotRun`] is not kept; the claim is released instead, so that a
    /// resend can run.
    ///
    /// Fails with [`StoreError::MaybeApplied`] if recording takes too long; it then continues in
    /// the background. Fails with [`StoreError::Conflict`] if this instance no longer holds the
    /// claim or another outcome was recorded.
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

    /// Waits up to `wait` until the outcome of the run that holds a key is recorded.
    ///
    /// Returns [`ClaimVerdict::Held`] if it was not recorded in time or the store could not be
    /// read, and [`ClaimVerdict::Unavailable`] if the claim was released, which means that the
    /// request did not run.
    pub async fn wait_for_outcome(&self, key: &ClaimKey, wait: Duration) -> ClaimVerdict {
        let key = KeyDigest::of(key);
        tokio::time::timeout(wait, self.poll_outcome(key))
            .await
            .unwrap_or(ClaimVerdict::Held)
    }

    /// Sets how long claims are kept from now on.
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
        let queued_ops = &self.inner.shared.queued_ops;
        if waiter.is_counted() && queued_ops.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED {
            queued_ops.fetch_sub(1, Ordering::Relaxed);
            return Err(StoreError::RateLimited);
        }
        let commit_queue = self.commit_queue(key.shard(shards));
        commit_queue
            .send(Request { op, waiter })
            .map_err(|_| StoreError::Unreachable)
    }

    /// Reads the number of shards from the store, or creates the layout if there is none.
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
                "the store has {} claim shards; ignoring the configured number of {}",
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

/// Whether `wait` has passed by the monotonic clock or, if the machine was suspended, by the wall
/// clock.
fn has_elapsed((mono, wall): (MonoTime, SystemTime), wait: Duration) -> bool {
    let by_mono = MonoTime::now().since(mono) > wait;
    by_mono || wall.elapsed().is_ok_and(|age| age > wait)
}
