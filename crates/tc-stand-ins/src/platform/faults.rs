//! Fault switches and rates of the platform.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::sync::watch;

use crate::{rate::TokenBucket, sync::lock};

/// Calls a second that the platform takes; a watch counts as one read when it begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimits {
    /// Writes a second.
    pub writes_per_s: f64,
    /// Reads, lists and watches a second.
    pub reads_per_s: f64,
}

impl Default for RateLimits {
    /// The rates the platform promises: several hundred writes and about two thousand reads.
    fn default() -> Self {
        Self {
            writes_per_s: 400.0,
            reads_per_s: 2_000.0,
        }
    }
}

/// Switches that make the platform misbehave.
pub struct PlatformFaults {
    down: watch::Sender<bool>,
    refusing: AtomicBool,
    fail_writes: AtomicBool,
    slow_us: AtomicU64,
    list_lag_us: AtomicU64,
    lose_answers: AtomicU64,
    lose_requests: AtomicU64,
    buckets: Mutex<Option<Buckets>>,
}

pub(super) struct Buckets {
    pub(super) writes: TokenBucket,
    pub(super) reads: TokenBucket,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        let faults = Self {
            down: watch::Sender::default(),
            refusing: AtomicBool::default(),
            fail_writes: AtomicBool::default(),
            slow_us: AtomicU64::default(),
            list_lag_us: AtomicU64::default(),
            lose_answers: AtomicU64::default(),
            lose_requests: AtomicU64::default(),
            buckets: Mutex::default(),
        };
        faults.set_rate_limits(Some(RateLimits::default()));
        faults
    }
}

impl PlatformFaults {
    /// Answers every call with 503, waiting watches included.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Closes every connection at its next call, without an answer and without effect.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::Release);
    }

    /// Answers every write with 500, without effect.
    pub fn fail_writes(&self, fail: bool) {
        self.fail_writes.store(fail, Ordering::Release);
    }

    /// Delays every call by this long before it takes effect.
    pub fn set_slow(&self, delay: Duration) {
        store_micros(&self.slow_us, delay);
    }

    /// Shows the instance list as it was this long ago.
    pub fn set_list_lag(&self, lag: Duration) {
        store_micros(&self.list_lag_us, lag);
    }

    /// Closes the connection without an answer for each of the next `count` writes that took effect.
    pub fn lose_answers(&self, count: u64) {
        self.lose_answers.store(count, Ordering::Release);
    }

    /// Closes the connection without an answer for each of the next `count` writes, before they take effect.
    pub fn lose_requests(&self, count: u64) {
        self.lose_requests.store(count, Ordering::Release);
    }

    /// Sets the rates above which calls get 429, or none.
    pub fn set_rate_limits(&self, limits: Option<RateLimits>) {
        *lock(&self.buckets) = limits.map(|limits| Buckets {
            writes: TokenBucket::new(limits.writes_per_s),
            reads: TokenBucket::new(limits.reads_per_s),
        });
    }

    pub(super) fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    /// Completes when the platform is down.
    pub(super) async fn went_down(&self) {
        // The sender is a field of this struct, so it outlives the wait.
        let _ = self.down.subscribe().wait_for(|down| *down).await;
    }

    pub(super) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }

    pub(super) fn writes_fail(&self) -> bool {
        self.fail_writes.load(Ordering::Acquire)
    }

    pub(super) fn slow(&self) -> Duration {
        Duration::from_micros(self.slow_us.load(Ordering::Acquire))
    }

    pub(super) fn list_lag(&self) -> Duration {
        Duration::from_micros(self.list_lag_us.load(Ordering::Acquire))
    }

    /// Whether the answer of a write that took effect is lost.
    pub(super) fn take_lost_answer(&self) -> bool {
        take_one(&self.lose_answers)
    }

    /// Whether a write is lost before it takes effect.
    pub(super) fn take_lost_request(&self) -> bool {
        take_one(&self.lose_requests)
    }

    /// Takes a call of the rate, or says when to ask again.
    pub(super) fn pace(&self, write: bool) -> Result<(), Duration> {
        match &*lock(&self.buckets) {
            Some(buckets) if write => buckets.writes.take(),
            Some(buckets) => buckets.reads.take(),
            None => Ok(()),
        }
    }
}

fn store_micros(cell: &AtomicU64, duration: Duration) {
    cell.store(duration.as_micros() as u64, Ordering::Release);
}

fn take_one(left: &AtomicU64) -> bool {
    left.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
        left.checked_sub(1)
    })
    .is_ok()
}
