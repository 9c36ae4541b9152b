//! Counts store calls by purpose and tracks whether the store responds.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use tc_protocol::{MonoTime, StoreHealth};

use crate::StoreError;

/// Purpose of a store call. Calls are counted by purpose, because the platform counts every call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Reading and watching the configuration.
    Config,
    /// Claims on idempotency keys.
    Claims,
    /// Leases and plans for orders to upstreams.
    Leases,
    /// Reading the instance list.
    Instances,
    /// Quarantined fingerprints.
    Quarantine,
    /// Operator commands.
    Operator,
    /// Watching the registered upstreams.
    Registry,
    /// Publishing this instance and discovering others.
    Members,
}

impl Purpose {
    /// All purposes, in declaration order.
    pub const ALL: [Self; 8] = [
        Self::Config,
        Self::Claims,
        Self::Leases,
        Self::Instances,
        Self::Quarantine,
        Self::Operator,
        Self::Registry,
        Self::Members,
    ];

    /// Returns the value of the `purpose` label of metrics.
    ///
    /// ```
    /// assert_eq!(tc_platform::Purpose::Claims.as_str(), "claims");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Claims => "claims",
            Self::Leases => "leases",
            Self::Instances => "instances",
            Self::Quarantine => "quarantine",
            Self::Operator => "operator",
            Self::Registry => "registry",
            Self::Members => "members",
        }
    }
}

/// Call counters by purpose, and the time of the last successful call.
pub(crate) struct CallStats {
    calls: [AtomicU64; Purpose::ALL.len()],
    reachable: AtomicBool,
    last_success: AtomicU64,
    /// Start of the current series of failed calls; 0 if the last call succeeded.
    failing_since: AtomicU64,
}

impl CallStats {
    pub(crate) fn new() -> Self {
        Self {
            calls: Default::default(),
            reachable: AtomicBool::new(false),
            last_success: AtomicU64::new(MonoTime::now().0),
            failing_since: AtomicU64::new(0),
        }
    }

    /// Records a call that was sent, and its result.
    pub(crate) fn record(&self, purpose: Purpose, result: Result<(), &StoreError>) {
        self.calls[purpose as usize].fetch_add(1, Ordering::Relaxed);
        let label = result.map_or_else(StoreError::as_str, |()| "ok");
        metrics::counter!("tc_platform_calls_total", "purpose" => purpose.as_str(), "result" => label)
            .increment(1);
        let is_answered = matches!(
            result,
            Ok(()) | Err(StoreError::Conflict { .. } | StoreError::TooLarge)
        );
        if is_answered {
            self.last_success
                .store(MonoTime::now().0, Ordering::Relaxed);
            self.failing_since.store(0, Ordering::Relaxed);
        } else {
            let (done, failed) = (Ordering::Relaxed, Ordering::Relaxed);
            // Has no effect if an earlier call of the series has set the time.
            let _ = self
                .failing_since
                .compare_exchange(0, MonoTime::now().0, done, failed);
        }
        self.reachable.store(is_answered, Ordering::Relaxed);
    }

    pub(crate) fn health(&self) -> StoreHealth {
        let last = MonoTime(self.last_success.load(Ordering::Relaxed));
        StoreHealth {
            reachable: self.reachable.load(Ordering::Relaxed),
            age: MonoTime::now().since(last),
        }
    }

    /// Returns for how long all calls have failed; zero if the last one succeeded or none was made.
    pub(crate) fn failing_for(&self) -> Duration {
        match self.failing_since.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            since => MonoTime::now().since(MonoTime(since)),
        }
    }

    pub(crate) fn calls(&self) -> BTreeMap<&'static str, u64> {
        Purpose::ALL
            .into_iter()
            .map(|p| (p.as_str(), self.calls[p as usize].load(Ordering::Relaxed)))
            .collect()
    }
}
