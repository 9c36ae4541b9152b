//! An object store with lists and watches, in any spelling.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::Value;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    scripted::{Received, Script, ScriptedServer, Step, whole_answer},
    sync::lock,
};

/// Maximum number of objects on a page of a list.
const PAGE_OBJECTS: usize = 200;

/// Content type of every answer.
const JSON: &str = "content-type: application/json\r\n";

/// A decoded call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectCall {
    /// A page of the objects of a kind.
    List {
        /// The kind.
        kind: String,
        /// Name after which the page starts.
        after: Option<String>,
    },
    /// Changes of a kind since a revision.
    Watch {
        /// The kind.
        kind: String,
        /// Last known revision.
        from: u64,
        /// Maximum wait for a change.
        wait: Duration,
    },
    /// Creates or replaces an object.
    Put {
        /// The kind.
        kind: String,
        /// Its name.
        name: String,
        /// Its value.
        value: Value,
    },
}

/// An object as a list or a watch shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ShownObject {
    /// Its name.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// Its value; `None` once it is removed.
    pub value: Option<Value>,
}

/// Wire format of a store's calls and answers.
#[derive(Clone, Copy)]
pub struct ObjectSpelling {
    /// Decodes a call; `None` if the request is not a call.
    pub read_call: fn(&Received) -> Option<ObjectCall>,
    /// Encodes a page of a list, with whether more objects follow, as of a revision.
    pub list: fn(&[ShownObject], bool, u64) -> Value,
    /// Encodes changes up to a revision.
    pub changes: fn(&[ShownObject], u64) -> Value,
    /// Status of an answer to a watch whose history is gone.
    pub history_gone: u16,
    /// Header of all answers with the number of times the store was restored.
    pub era_header: fn(u64) -> String,
}

/// Behavior of the store towards its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Well,
    /// It resets every connection.
    Down,
    /// It takes calls and never answers.
    Silent,
    /// It answers, this much later.
    Slow(Duration),
    /// It does what it is asked, and its answer is lost.
    LosesAnswers,
    /// It has dropped its history, says so and keeps none: watches of an old revision are told to list again.
    HistoryGone,
    /// It has dropped its history and does not say so: watches of an old revision hang.
    Forgetful,
    /// Its lists are right, and its watches never say anything again.
    DeafWatches,
    /// The same for watches of one kind.
    DeafWatchesOf(&'static str),
    /// It turns calls away: too many.
    Limited,
}

/// Contents of a store.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    revision: u64,
    by_kind: BTreeMap<String, BTreeMap<String, ShownObject>>,
}

#[derive(Default)]
struct Objects {
    held: StoreCopy,
    /// Rises with each restore from a copy.
    era: u64,
}

impl StoreCopy {
    fn change(&mut self, kind: &str, name: &str, value: Option<Value>) {
        self.revision += 1;
        let object = ShownObject {
            name: name.to_owned(),
            revision: self.revision,
            value,
        };
        let kind = self.by_kind.entry(kind.to_owned()).or_default();
        kind.insert(name.to_owned(), object);
    }

    fn of_kind(&self, kind: &str) -> impl Iterator<Item = &ShownObject> {
        self.by_kind
            .get(kind)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    fn present(&self, kind: &str) -> Vec<ShownObject> {
        let present = self.of_kind(kind).filter(|object| object.value.is_some());
        present.cloned().collect()
    }

    fn changed_since(&self, kind: &str, from: u64) -> Vec<ShownObject> {
        let newer = self.of_kind(kind).filter(|object| object.revision > from);
        let mut changed: Vec<ShownObject> = newer.cloned().collect();
        changed.sort_by_key(|object| object.revision);
        changed
    }
}

struct Shared {
    objects: Mutex<Objects>,
    changed: Notify,
    /// Ends the waiting watches of all endpoints.
    restored: Notify,
    spelling: ObjectSpelling,
}

/// One address of a store with a mode of its own. Dropping it closes its connections.
pub struct StoreEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<EndpointState>,
    server: ScriptedServer,
}

#[derive(Default)]
struct EndpointState {
    mode: Mutex<StoreMode>,
    /// Number of calls to come that get no answer.
    calls_to_lose: Mutex<usize>,
    /// Ends the waiting watches of this endpoint.
    cut: Notify,
}

impl EndpointState {
    /// Returns true if a call that has just come gets no answer.
    fn loses_call(&self) -> bool {
        let mut left = lock(&self.calls_to_lose);
        let is_lost = *left > 0;
        *left = left.saturating_sub(1);
        is_lost
    }
}

/// The store. Dropping it closes its connections.
pub struct ObjectStore {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    endpoint: StoreEndpoint,
}

impl StoreEndpoint {
    async fn open(shared: &Arc<Shared>) -> Self {
        let state = Arc::<EndpointState>::default();
        let answering = (Arc::clone(shared), Arc::clone(&state));
        let server = ScriptedServer::start(move |req| {
            let (shared, state) = answering.clone();
            async move { shared.answer(&state, &req).await }
        })
        .await;
        Self {
            address: server.address,
            state,
            server,
        }
    }

    /// Changes how callers are treated, and cuts the watches that wait.
    pub fn set_mode(&self, mode: StoreMode) {
        self.set_mode_keeping_watches(mode);
        self.state.cut.notify_waiters();
    }

    /// Leaves the next calls without an answer.
    pub fn lose_calls(&self, count: usize) {
        *lock(&self.state.calls_to_lose) = count;
    }

    /// Changes how callers are treated without cutting the watches that wait; the new mode applies when they would be
    /// answered.
    pub fn set_mode_keeping_watches(&self, mode: StoreMode) {
        *lock(&self.state.mode) = mode;
    }
}

impl ObjectStore {
    /// Starts an empty store on a free port.
    pub async fn start(spelling: ObjectSpelling) -> Self {
        let shared = Arc::new(Shared {
            objects: Mutex::new(Objects {
                held: StoreCopy {
                    revision: 1,
                    ..StoreCopy::default()
                },
                ..Objects::default()
            }),
            changed: Notify::new(),
            restored: Notify::new(),
            spelling,
        });
        let endpoint = StoreEndpoint::open(&shared).await;
        Self {
            address: endpoint.address,
            shared,
            endpoint,
        }
    }

    /// Opens another address of the same store with a mode of its own.
    pub async fn open_endpoint(&self) -> StoreEndpoint {
        StoreEndpoint::open(&self.shared).await
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, value: Value) {
        self.shared.change(kind, name, Some(value));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.change(kind, name, None);
    }

    /// The objects of a kind that are there.
    #[must_use]
    pub fn objects(&self, kind: &str) -> Vec<ShownObject> {
        lock(&self.shared.objects).held.present(kind)
    }

    /// Changes how callers of [`ObjectStore::address`] are treated, and cuts the watches that wait there.
    pub fn set_mode(&self, mode: StoreMode) {
        self.endpoint.set_mode(mode);
    }

    /// Copies all objects and the revision, for [`ObjectStore::restore`].
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        lock(&self.shared.objects).held.clone()
    }

    /// Comes back from an older copy: what was written since is gone, revisions are given out again, and the era rises.
    pub fn restore(&self, copy: StoreCopy) {
        {
            let mut objects = lock(&self.shared.objects);
            objects.held = copy;
            objects.era += 1;
        }
        self.shared.restored.notify_waiters();
    }

    /// Calls that came to [`ObjectStore::address`] so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.endpoint.server.received().len()
    }

    /// Decoded calls that came to [`ObjectStore::address`] so far.
    #[must_use]
    pub fn decoded_calls(&self) -> Vec<ObjectCall> {
        let received = self.endpoint.server.received();
        let decoded = received.iter().map(self.shared.spelling.read_call);
        decoded.flatten().collect()
    }
}

impl Shared {
    fn change(&self, kind: &str, name: &str, value: Option<Value>) {
        lock(&self.objects).held.change(kind, name, value);
        self.changed.notify_waiters();
    }

    async fn answer(&self, state: &EndpointState, req: &Received) -> Script {
        if state.loses_call() {
            return vec![Step::Pause(Duration::MAX)];
        }
        let mode = *lock(&state.mode);
        match mode {
            StoreMode::Down => return vec![Step::Reset],
            StoreMode::Silent => return vec![Step::Pause(Duration::MAX)],
            StoreMode::Limited => return whole_answer(429, "", ""),
            StoreMode::Slow(pause) => sleep(pause).await,
            _ => {}
        }
        let Some(call) = (self.spelling.read_call)(req) else {
            return whole_answer(400, "", "");
        };
        let script = self.carry_out(state, call, mode).await;
        // A watch may have waited since before the mode changed.
        let is_silent = *lock(&state.mode) == StoreMode::Silent;
        let is_cut = matches!(script[..], [Step::Reset]);
        if mode == StoreMode::LosesAnswers || (is_silent && !is_cut) {
            return vec![Step::Pause(Duration::MAX)];
        }
        script
    }

    async fn carry_out(&self, state: &EndpointState, call: ObjectCall, mode: StoreMode) -> Script {
        match call {
            ObjectCall::List { kind, after } => {
                let objects = lock(&self.objects);
                let held = &objects.held;
                let mut page = held.present(&kind);
                page.retain(|object| after.as_ref().is_none_or(|after| object.name > *after));
                let has_more = page.len() > PAGE_OBJECTS;
                page.truncate(PAGE_OBJECTS);
                let list = (self.spelling.list)(&page, has_more, held.revision);
                let headers = self.headers(objects.era);
                whole_answer(200, &headers, &list.to_string())
            }
            ObjectCall::Put { kind, name, value } => {
                self.change(&kind, &name, Some(value));
                let era = lock(&self.objects).era;
                whole_answer(200, &self.headers(era), "{}")
            }
            ObjectCall::Watch { kind, from, wait } => {
                self.watch(state, &kind, from, wait, mode).await
            }
        }
    }

    fn headers(&self, era: u64) -> String {
        JSON.to_owned() + &(self.spelling.era_header)(era)
    }

    async fn watch(
        &self,
        state: &EndpointState,
        kind: &str,
        from: u64,
        wait: Duration,
        mode: StoreMode,
    ) -> Script {
        let ends = Instant::now() + wait;
        let (era, revision) = {
            let objects = lock(&self.objects);
            (objects.era, objects.held.revision)
        };
        let is_old = from < revision;
        let is_unknown = from > revision;
        if is_unknown || (is_old && mode == StoreMode::HistoryGone) {
            return whole_answer(self.spelling.history_gone, &self.headers(era), "");
        }
        let is_deaf = match mode {
            StoreMode::DeafWatches => true,
            StoreMode::DeafWatchesOf(deaf) => deaf == kind,
            _ => false,
        };
        if is_deaf {
            return vec![Step::Pause(Duration::MAX)];
        }
        let hangs = is_old && mode == StoreMode::Forgetful;
        loop {
            let (news, cut) = (self.changed.notified(), state.cut.notified());
            let restored = self.restored.notified();
            let (events, at, era) = {
                let objects = lock(&self.objects);
                let held = &objects.held;
                (held.changed_since(kind, from), held.revision, objects.era)
            };
            if (!events.is_empty() && !hangs) || Instant::now() >= ends {
                let changes = (self.spelling.changes)(&events, at);
                return whole_answer(200, &self.headers(era), &changes.to_string());
            }
            tokio::select! {
                () = news => {}
                () = cut => return vec![Step::Reset],
                () = restored => return vec![Step::Reset],
                () = sleep_until(ends) => {}
            }
        }
    }
}
