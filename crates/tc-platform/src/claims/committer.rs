//! Group commit: one task per shard collects operations and executes the shard's steps.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::Value;
use tc_protocol::{ClaimVerdict, MonoTime};
use tokio::{
    sync::{
        mpsc::{UnboundedReceiver, UnboundedSender, WeakUnboundedSender},
        oneshot,
    },
    time::Instant,
};

use super::{
    CLAIM_KIND,
    claim_guard::ClaimGuard,
    model::KeyDigest,
    op::{Op, RecordResult, Reply, Ticket},
    shard::{Progress, Shard, Step},
};
use crate::{Backoff, Purpose, Store, StoreError, Versioned};

const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(5);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An operation and the receiver of its reply.
pub(super) struct Request {
    pub(super) op: Op,
    pub(super) waiter: Waiter,
}

impl Request {
    pub(super) fn release(key: KeyDigest, claim_id: Arc<str>) -> Self {
        Self {
            op: Op::Release { key, claim_id },
            waiter: Waiter::None,
        }
    }
}

pub(super) enum Waiter {
    Claim(KeyDigest, oneshot::Sender<ClaimGuard>),
    Lookup(oneshot::Sender<ClaimVerdict>),
    Record(oneshot::Sender<RecordResult>),
    None,
}

impl Waiter {
    /// Whether the operation counts towards the limit on queued operations. Releases do not,
    /// because losing one would leave a key claimed by a run that never happens.
    pub(super) const fn is_counted(&self) -> bool {
        !matches!(self, Self::None)
    }

    fn is_abandoned(&self) -> bool {
        match self {
            Self::Claim(_, tx) => tx.is_closed(),
            Self::Lookup(tx) => tx.is_closed(),
            Self::Record(_) | Self::None => false,
        }
    }
}

/// State shared by the commit tasks and the handle.
pub(super) struct Shared {
    pub(super) store: Store,
    pub(super) commit_interval: Duration,
    pub(super) retention_ms: AtomicU64,
    /// Number of counted operations without a reply, over all shards.
    pub(super) queued_ops: AtomicUsize,
}

/// The commit task of one shard.
pub(super) struct Committer {
    pub(super) shared: Arc<Shared>,
    pub(super) shard: Shard,
    pub(super) head_name: String,
    pub(super) rx: UnboundedReceiver<Request>,
    /// Weak, so that the task ends when all handles are dropped.
    pub(super) tx: WeakUnboundedSender<Request>,
    pub(super) waiters: HashMap<Ticket, Waiter>,
    pub(super) last_commit: Option<Instant>,
    /// Calls already admitted by the rate limiter and not made yet.
    pub(super) reserved_calls: u32,
}

impl Committer {
    /// Runs until all handles are dropped and their operations are done, or the store cannot be
    /// reached after that.
    pub(super) async fn run(mut self) {
        let mut backoff = Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
        while let Some(req) = self.rx.recv().await {
            self.accept(req);
            self.wait_for_interval().await;
            loop {
                self.accept_queued();
                let reserved = self.reserve_calls(self.shard.expected_calls()).await;
                self.accept_queued();
                let done = match reserved {
                    Ok(()) => self.run_step().await,
                    Err(_) => Some(Progress::None),
                };
                match done {
                    None => break,
                    Some(Progress::Made) => backoff.reset(),
                    Some(Progress::None) if self.rx.is_closed() => return,
                    Some(Progress::None) => backoff.wait().await,
                }
            }
        }
    }

    /// Waits until the commit interval since the last commit has passed, so that operations
    /// accumulate.
    async fn wait_for_interval(&self) {
        if let Some(last) = self.last_commit {
            tokio::time::sleep_until(last + self.shared.commit_interval).await;
        }
    }

    /// Waits until the rate limiter admits the next calls. This happens before their operations are
    /// taken from the queue, so that operations submitted in the meantime join the same commit.
    async fn reserve_calls(&mut self, calls: u32) -> Result<(), StoreError> {
        let missing = calls.saturating_sub(self.reserved_calls);
        if missing > 0 {
            self.shared.store.reserve_calls(missing).await?;
            self.reserved_calls += missing;
        }
        Ok(())
    }

    fn accept_queued(&mut self) {
        while let Ok(req) = self.rx.try_recv() {
            self.accept(req);
        }
        let waiters = &mut self.waiters;
        let shared = &self.shared;
        self.shard
            .drop_abandoned(|ticket| waiters.get(&ticket).is_some_and(Waiter::is_abandoned));
        if waiters.len() > self.shard.queue_len() {
            let before = waiters.len();
            waiters.retain(|ticket, _| self.shard.is_queued(*ticket));
            shared
                .queued_ops
                .fetch_sub(before - waiters.len(), Ordering::Relaxed);
        }
    }

    fn accept(&mut self, req: Request) {
        let ticket = self.shard.push(req.op);
        self.waiters.insert(ticket, req.waiter);
    }

    /// Executes one step. Returns `None` if there was none.
    async fn run_step(&mut self) -> Option<Progress> {
        let retention = self.shared.retention_ms.load(Ordering::Relaxed);
        self.shard.set_retention(Duration::from_millis(retention));
        let step = self.shard.next_step(MonoTime::now());
        self.deliver();
        let progress = match step {
            Step::Idle => return None,
            Step::ReadHead => {
                let found = self.get(&self.head_name.clone()).await;
                self.shard.on_head_read(MonoTime::now(), found)
            }
            Step::ReadSegment(name) => {
                let found = self.get(&name).await;
                self.shard.on_segment_read(MonoTime::now(), &name, found)
            }
            Step::CreateSegment(name, value) => {
                let created = self.create(&name, &value).await;
                self.shard
                    .on_segment_created(MonoTime::now(), &name, &created)
            }
            Step::WriteHead(base, value) => self.write_head(base, &value).await,
            Step::Delete(name) => {
                let deleted = self.delete(&name).await;
                self.shard.on_segment_deleted(&name, deleted.is_ok());
                Progress::Made
            }
        };
        self.deliver();
        Some(progress)
    }

    /// Returns the client for the next call, after reserving the call if that was not done before.
    async fn reserved_store(&mut self) -> Result<Store, StoreError> {
        self.reserve_calls(1).await?;
        self.reserved_calls -= 1;
        Ok(self.shared.store.with_reserved_calls())
    }

    async fn get(&mut self, name: &str) -> Result<Option<Versioned<Value>>, StoreError> {
        let store = self.reserved_store().await?;
        store.get(Purpose::Claims, CLAIM_KIND, name).await
    }

    async fn create(&mut self, name: &str, value: &Value) -> Result<u64, StoreError> {
        let store = self.reserved_store().await?;
        store.create(Purpose::Claims, CLAIM_KIND, name, value).await
    }

    async fn put_head(&mut self, base: u64, value: &Value) -> Result<u64, StoreError> {
        if base == 0 {
            return self.create(&self.head_name.clone(), value).await;
        }
        let store = self.reserved_store().await?;
        store
            .update(Purpose::Claims, CLAIM_KIND, &self.head_name, base, value)
            .await
    }

    async fn write_head(&mut self, base: u64, value: &Value) -> Progress {
        let written = self.put_head(base, value).await;
        let committed = written.is_ok();
        let progress = self.shard.on_head_written(MonoTime::now(), written);
        if committed {
            self.deliver();
            self.last_commit = Some(Instant::now());
            if self.shard.queue_len() > 0 {
                self.wait_for_interval().await;
            }
        }
        progress
    }

    async fn delete(&mut self, name: &str) -> Result<(), StoreError> {
        let Some(found) = self.get(name).await? else {
            return Ok(());
        };
        let store = self.reserved_store().await?;
        store
            .delete(Purpose::Claims, CLAIM_KIND, name, found.version)
            .await
    }

    fn deliver(&mut self) {
        for (ticket, reply) in self.shard.take_replies() {
            let Some(waiter) = self.waiters.remove(&ticket) else {
                continue;
            };
            if waiter.is_counted() {
                self.shared.queued_ops.fetch_sub(1, Ordering::Relaxed);
            }
            // The send fails if the caller has left. A claim without a receiver is released by its
            // guard.
            match (waiter, reply) {
                (Waiter::Claim(key, tx), Reply::Claim(verdict)) => {
                    let Some(requests) = self.release_sender() else {
                        continue;
                    };
                    let _ = tx.send(ClaimGuard::new(key, verdict, requests));
                }
                (Waiter::Lookup(tx), Reply::Lookup(verdict)) => {
                    let _ = tx.send(verdict);
                }
                (Waiter::Record(tx), Reply::Record(record_result)) => {
                    let _ = tx.send(record_result);
                }
                _ => {}
            }
        }
    }

    /// Returns where a guard sends its release, or `None` if all handles are dropped, so that no
    /// caller can wait for a verdict either.
    fn release_sender(&self) -> Option<UnboundedSender<Request>> {
        self.tx.upgrade()
    }
}
