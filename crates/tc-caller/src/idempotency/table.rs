//! Keys of this instance: a state machine per key, from running to done, within bounds.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tc_protocol::{ClaimKey, MonoTime, RunState, WorkspaceName};
use tokio::sync::watch;

use crate::idempotency::FinalResponse;

/// Bounds of a [`KeyTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTableLimits {
    /// Keys of one workspace.
    pub keys_per_workspace: usize,
    /// Keys in all.
    pub keys: usize,
    /// Bytes of kept answers of one workspace.
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

/// What [`KeyTable::begin`] found.
#[derive(Debug)]
pub enum KeyVerdict {
    /// The key is new: the caller of `begin` must run the request and call [`KeyTable::finish`].
    New(watch::Receiver<Option<Arc<FinalResponse>>>),
    /// The key is running: its answer will come here.
    Running(watch::Receiver<Option<Arc<FinalResponse>>>),
    /// The key was answered.
    Completed(Arc<FinalResponse>),
    /// The key was used with another body.
    BodyMismatch,
    /// There is no room for another key, and none that may be forgotten.
    TableFull,
}

/// Keys seen by this instance, each running or done.
///
/// A key that runs or whose retention is not over is never forgotten to make room: a resend of it would run a second
/// time, seen as a doubled effect at the upstream.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use tc_caller::{KeyVerdict, FinalResponse, KeyTable, KeyTableLimits};
/// use tc_protocol::{ClaimKey, MonoTime, RunState};
///
/// let mut table = KeyTable::new(KeyTableLimits::default());
/// let key = ClaimKey { workspace: "lintas".into(), target: "pipeline/draft".into(), key: "k-1".into() };
/// let now = MonoTime::from_millis(1);
/// assert!(matches!(table.begin(now, &key, 7), KeyVerdict::New(_)));
/// assert!(matches!(table.begin(now, &key, 7), KeyVerdict::Running(_)));
/// assert!(matches!(table.begin(now, &key, 8), KeyVerdict::BodyMismatch));
/// let answer = Arc::new(FinalResponse {
///     status: http::StatusCode::OK,
///     headers: http::HeaderMap::new(),
///     body: Some("done".into()),
///     run_state: RunState::Ran,
/// });
/// table.finish(now, &key, &answer, Duration::from_secs(600));
/// assert!(matches!(table.begin(now, &key, 7), KeyVerdict::Completed(kept) if kept == answer));
/// ```
pub struct KeyTable {
    limits: KeyTableLimits,
    keys: HashMap<ClaimKey, Entry>,
    /// Done keys in the order in which they expire.
    expiring: VecDeque<(MonoTime, ClaimKey)>,
    workspaces: HashMap<WorkspaceName, Used>,
}

struct Entry {
    body_hash: u64,
    state: State,
}

enum State {
    Running(watch::Sender<Option<Arc<FinalResponse>>>),
    Done(Arc<FinalResponse>),
}

#[derive(Default)]
struct Used {
    keys: usize,
    bytes: usize,
}

impl KeyTable {
    /// An empty table.
    #[must_use]
    pub fn new(limits: KeyTableLimits) -> Self {
        Self {
            limits,
            keys: HashMap::new(),
            expiring: VecDeque::new(),
            workspaces: HashMap::new(),
        }
    }

    /// Takes in one delivery of a request with this key.
    pub fn begin(&mut self, now: MonoTime, key: &ClaimKey, body_hash: u64) -> KeyVerdict {
        self.expire(now);
        if let Some(entry) = self.keys.get(key) {
            return entry.duplicate(body_hash);
        }
        let used = self.workspaces.entry(key.workspace.clone()).or_default();
        if used.keys >= self.limits.keys_per_workspace || self.keys.len() >= self.limits.keys {
            return KeyVerdict::TableFull;
        }
        used.keys += 1;
        let (tx, rx) = watch::channel(None);
        let entry = Entry {
            body_hash,
            state: State::Running(tx),
        };
        self.keys.insert(key.clone(), entry);
        KeyVerdict::New(rx)
    }

    /// Ends the run of a key and hands its answer to all who joined.
    ///
    /// A run that was provably not sent is forgotten, so that the caller can send it again; any other is kept for
    /// `retention`.
    pub fn finish(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        answer: &Arc<FinalResponse>,
        retention: Duration,
    ) {
        if answer.run_state == RunState::NotRun {
            self.abandon(key, answer);
            return;
        }
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        let State::Running(waiting) = &entry.state else {
            return;
        };
        waiting.send_replace(Some(answer.clone()));
        let used = self.workspaces.entry(key.workspace.clone()).or_default();
        let fits = used.bytes + answer.size() <= self.limits.response_bytes_per_workspace;
        let kept = if fits {
            answer.clone()
        } else {
            Arc::new(answer.without_body())
        };
        used.bytes += kept.size();
        entry.state = State::Done(kept);
        self.expiring.push_back((now.after(retention), key.clone()));
    }

    /// Ends a key that was not run here: all who joined get the answer, and the key is forgotten.
    pub fn abandon(&mut self, key: &ClaimKey, answer: &Arc<FinalResponse>) {
        let Some(entry) = self.keys.get(key) else {
            return;
        };
        if let State::Running(waiting) = &entry.state {
            waiting.send_replace(Some(answer.clone()));
            self.forget(key);
        }
    }

    /// Number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Forgets keys whose retention is over. A change of the retention in the configuration reaches keys that are
    /// done already only once those before them are gone, never too early.
    fn expire(&mut self, now: MonoTime) {
        while let Some((expires, _)) = self.expiring.front() {
            if *expires > now {
                return;
            }
            if let Some((_, key)) = self.expiring.pop_front() {
                self.forget(&key);
            }
        }
    }

    fn forget(&mut self, key: &ClaimKey) {
        let Some(entry) = self.keys.remove(key) else {
            return;
        };
        let Some(used) = self.workspaces.get_mut(&key.workspace) else {
            return;
        };
        used.keys -= 1;
        if let State::Done(answer) = &entry.state {
            used.bytes -= answer.size();
        }
        if used.keys == 0 {
            self.workspaces.remove(&key.workspace);
        }
    }
}

impl Entry {
    fn duplicate(&self, body_hash: u64) -> KeyVerdict {
        if self.body_hash != body_hash {
            return KeyVerdict::BodyMismatch;
        }
        match &self.state {
            State::Running(waiting) => KeyVerdict::Running(waiting.subscribe()),
            State::Done(answer) => KeyVerdict::Completed(answer.clone()),
        }
    }
}
