//! Stand-in for the platform's store: the calls of PROTOCOL.md that the system makes.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{Request, listen, with_length};

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and `spec` by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Changes in order: revision, kind, name, and the `spec`, or none for a removal.
    log: Vec<(u64, String, String, Option<String>)>,
}

/// A store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created_at":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store listens");
        let address = listener.local_addr().expect("it has an address");
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let served = store.clone();
        listen(listener, move |request, reader| {
            use std::io::Write;
            let (status, body) = served.answer(request);
            let json = "Content-Type: application/json\r\n";
            let bytes = with_length(status, json, body.as_bytes());
            reader.stream.write_all(&bytes).is_ok()
        });
        store
    }

    /// Creates or replaces an object and returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = state.objects.get(&key) {
            if known == spec {
                return *revision;
            }
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, (revision, spec.to_owned()));
        let entry = (
            revision,
            kind.to_owned(),
            name.to_owned(),
            Some(spec.to_owned()),
        );
        state.log.push(entry);
        changed.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        if state
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
            .is_some()
        {
            state.revision += 1;
            let entry = (state.revision, kind.to_owned(), name.to_owned(), None);
            state.log.push(entry);
            changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let mut parts = request
            .path()
            .trim_start_matches("/objects/")
            .splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        match (request.method.as_str(), name) {
            ("GET", None) if request.query("watch_rev").is_some() => {
                ("200 OK", self.watch(request, &kind))
            }
            ("GET", None) => (
                "200 OK",
                self.list(&kind, request.query("after").unwrap_or_default()),
            ),
            ("GET", Some(name)) => self.get(&kind, &name),
            ("POST", None) => self.write(&kind, None, &request.body),
            ("PUT", Some(name)) => self.write(&kind, Some(name), &request.body),
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => ("200 OK", object(name, *revision, spec)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let items = state
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<String> = items
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        format!(
            r#"{{"items":[{}],"has_more":false,"at":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, request: &Request, kind: &str) -> String {
        let from: u64 = request
            .query("watch_rev")
            .and_then(|r| r.parse().ok())
            .unwrap_or(0);
        let wait: u64 = request
            .query("wait_ms")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events = state
                .log
                .iter()
                .filter(|(revision, k, ..)| *revision > from && k == kind);
            let events: Vec<String> = events
                .map(|(revision, _, name, spec)| {
                    let spec_text = spec.as_deref().unwrap_or("null");
                    format!(
                        r#"{{"object":{},"removed":{}}}"#,
                        object(name, *revision, spec_text),
                        spec.is_none()
                    )
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"at":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Applies a write of the system, which names the object in `metadata` and gives its `spec`.
    fn write(&self, kind: &str, name: Option<String>, body: &[u8]) -> (&'static str, String) {
        let is_create = name.is_none();
        let text = String::from_utf8_lossy(body).into_owned();
        let named = text
            .split(r#""name":""#)
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        let Some(name) = name.clone().or(named.map(str::to_owned)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let spec = spec_of(&text).unwrap_or_else(|| "null".to_owned());
        let (status, known) = self.get(kind, &name);
        if is_create && status.starts_with("200") {
            return ("409 Conflict", known);
        }
        let revision = self.put(kind, &name, &spec);
        ("200 OK", object(&name, revision, &spec))
    }
}

/// Returns the text of the member `spec`, an object without braces in its strings.
fn spec_of(text: &str) -> Option<String> {
    let start = text.find(r#""spec":"#)? + 7;
    let mut depth = 0;
    for (index, byte) in text.bytes().enumerate().skip(start) {
        match byte {
            b'{' => depth += 1,
            b'}' => {
                depth -= 1;
                if depth == 0 {
                    return Some(text[start..=index].to_owned());
                }
            }
            _ => {}
        }
    }
    None
}
