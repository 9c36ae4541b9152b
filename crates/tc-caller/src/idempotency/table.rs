//! Bounded table of the idempotency keys of this instance, each running or completed.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tc_protocol::{ClaimKey, MonoTime, RunState, WorkspaceName};
use tokio::sync::watch;

use crate::idempotency::FinalResponse;

/// Limits of a [`KeyTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTableLimits {
    /// Maximum number of keys of one workspace.
    pub keys_per_workspace: usize,
    /// Maximum number of keys of all workspaces.
    pub keys: usize,
    /// Maximum size of the stored responses of one workspace, in bytes.
    pub response_bytes_per_workspace: usize,
}

impl Default for KeyTableLimits {
    fn default() -> Self {
        Self {
            keys_per_workspace: 16_384,
            keys: 131_072,
            response_bytes_per_workspace: 16 << 20,
        }
    }
}

/// Result of [`KeyTable::begin`].
#[derive(Debug)]
pub enum KeyVerdict {
    /// The key is new: run the request, then call [`KeyTable::finish`].
    New(watch::Receiver<Option<Arc<FinalResponse>>>),
    /// The key is running: the receiver gets the response of that run.
    Running(watch::Receiver<Option<Arc<FinalResponse>>>),
    /// The key has completed with this response.
    Completed(Arc<FinalResponse>),
    /// The key was used with a different request body.
    BodyMismatch,
    /// The table is full, and no key in it may be removed yet.
    TableFull,
}

/// The idempotency keys seen by this instance, each running or completed.
///
/// A key is never evicted while it is running or within its retention time. Otherwise a resent request would run again
/// and take effect twice at the upstream.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use tc_caller::{FinalResponse, KeyTable, KeyTableLimits, KeyVerdict};
/// use tc_protocol::{ClaimKey, MonoTime, RunState};
///
/// let mut table = KeyTable::new(KeyTableLimits::default());
/// let key = ClaimKey { workspace: "lintas".into(), target: "pipeline/draft".into(), key: "k-1".into() };
/// let now = MonoTime::from_millis(1);
/// assert!(matches!(table.begin(now, &key, 7), KeyVerdict::New(_)));
/// assert!(matches!(table.begin(now, &key, 7), KeyVerdict::Running(_)));
/// assert!(matches!(table.begin(now, &key, 8), KeyVerdict::BodyMismatch));
/// let response = Arc::new(FinalResponse {
///     status: http::StatusCode::OK,
///     headers: http::HeaderMap::new(),
///     body: Some("done".into()),
///     run_state: RunState::Ran,
/// });
/// table.finish(now, &key, &response, Duration::from_secs(600));
/// assert!(matches!(table.begin(now, &key, 7), KeyVerdict::Completed(stored) if stored == response));
/// ```
pub struct KeyTable {
    limits: KeyTableLimits,
    keys: HashMap<ClaimKey, Entry>,
    /// Completed keys with their expiry times, in the order of completion.
    expiry_queue: VecDeque<(MonoTime, ClaimKey)>,
    workspaces: HashMap<WorkspaceName, WorkspaceUsage>,
}

struct Entry {
    body_hash: u64,
    state: KeyState,
}

enum KeyState {
    Running(watch::Sender<Option<Arc<FinalResponse>>>),
    Completed(Arc<FinalResponse>),
}

#[derive(Default)]
struct WorkspaceUsage {
    keys: usize,
    bytes: usize,
}

impl KeyTable {
    /// Returns an empty table.
    #[must_use]
    pub fn new(limits: KeyTableLimits) -> Self {
        Self {
            limits,
            keys: HashMap::new(),
            expiry_queue: VecDeque::new(),
            workspaces: HashMap::new(),
        }
    }

    /// Looks up the key of a delivery, and registers it as running if it is new.
    pub fn begin(&mut self, now: MonoTime, key: &ClaimKey, body_hash: u64) -> KeyVerdict {
        self.expire(now);
        if let Some(entry) = self.keys.get(key) {
            return entry.verdict(body_hash);
        }
        let usage = self.workspaces.entry(key.workspace.clone()).or_default();
        if usage.keys >= self.limits.keys_per_workspace || self.keys.len() >= self.limits.keys {
            return KeyVerdict::TableFull;
        }
        usage.keys += 1;
        let (tx, rx) = watch::channel(None);
        let entry = Entry {
            body_hash,
            state: KeyState::Running(tx),
        };
        self.keys.insert(key.clone(), entry);
        KeyVerdict::New(rx)
    }

    /// Completes the run of a key and sends its response to all waiting deliveries.
    ///
    /// If the run state is `NotRun`, the key is removed so that the caller can resend the request. Otherwise the
    /// response is stored for `retention`.
    pub fn finish(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        response: &Arc<FinalResponse>,
        retention: Duration,
    ) {
        if response.run_state == RunState::NotRun {
            self.abandon(key, response);
            return;
        }
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        let KeyState::Running(waiters) = &entry.state else {
            return;
        };
        waiters.send_replace(Some(response.clone()));
        let usage = self.workspaces.entry(key.workspace.clone()).or_default();
        let fits = usage.bytes + response.size() <= self.limits.response_bytes_per_workspace;
        let stored = if fits {
            response.clone()
        } else {
            Arc::new(response.without_body())
        };
        usage.bytes += stored.size();
        entry.state = KeyState::Completed(stored);
        self.expiry_queue
            .push_back((now.after(retention), key.clone()));
    }

    /// Removes a key that was not run on this instance, and sends the response to all waiting deliveries.
    pub fn abandon(&mut self, key: &ClaimKey, response: &Arc<FinalResponse>) {
        let Some(entry) = self.keys.get(key) else {
            return;
        };
        if let KeyState::Running(waiters) = &entry.state {
            waiters.send_replace(Some(response.clone()));
            self.remove(key);
        }
    }

    /// Returns the number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Removes expired keys, in the order of completion. If the configured retention was shortened, a key that
    /// completed after the change may be removed late, behind keys with the longer retention, but no key is removed
    /// early.
    fn expire(&mut self, now: MonoTime) {
        while let Some((expires, _)) = self.expiry_queue.front() {
            if *expires > now {
                return;
            }
            if let Some((_, key)) = self.expiry_queue.pop_front() {
                self.remove(&key);
            }
        }
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(entry) = self.keys.remove(key) else {
            return;
        };
        let Some(usage) = self.workspaces.get_mut(&key.workspace) else {
            return;
        };
        usage.keys -= 1;
        if let KeyState::Completed(response) = &entry.state {
            usage.bytes -= response.size();
        }
        if usage.keys == 0 {
            self.workspaces.remove(&key.workspace);
        }
    }
}

impl Entry {
    fn verdict(&self, body_hash: u64) -> KeyVerdict {
        if self.body_hash != body_hash {
            return KeyVerdict::BodyMismatch;
        }
        match &self.state {
            KeyState::Running(waiters) => KeyVerdict::Running(waiters.subscribe()),
            KeyState::Completed(response) => KeyVerdict::Completed(response.clone()),
        }
    }
}
