//! The platform's store: objects by kind, lists, and watches that wait.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::net::{Channel, Message};

#[derive(Default)]
struct State {
    revision: u64,
    /// By kind and name: revision, and the spec as text unless it was removed.
    objects: BTreeMap<(String, String), (u64, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 1;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        store
    }

    /// Writes or removes an object; returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, spec));
        self.state.1.notify_all();
        revision
    }

    fn serve(&self, mut channel: Channel) {
        let _ = channel.stream.set_nodelay(true);
        while let Ok(Some(request)) = channel.request() {
            let (status, body) = self.answer(&request);
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if channel.send(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let mut path = path.trim_start_matches("/objects/").split('/');
        let kind = path.next().unwrap_or("").to_owned();
        match request.method() {
            "GET" => match query("watch_rev").and_then(|r| r.parse().ok()) {
                Some(from) => {
                    let wait = query("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    (200, self.watch(&kind, from, Duration::from_millis(wait)))
                }
                None => (200, self.list(&kind, query("after"))),
            },
            "POST" | "PUT" => self.write(request, &kind, path.next()),
            _ => (400, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter().filter(|((k, name), (_, spec))| {
            k == kind && spec.is_some() && after.is_none_or(|after| name.as_str() > after)
        });
        let items: Vec<String> = items.map(|((_, name), o)| object(name, o)).collect();
        let (items, at) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}")
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changed = state.objects.iter();
            let changed = changed.filter(|((k, _), (revision, _))| k == kind && *revision > from);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, (revision, _))| *revision);
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let events = changed.iter().map(|((_, name), o)| {
                    let removed = o.1.is_none();
                    format!("{{\"removed\":{removed},\"object\":{}}}", object(name, o))
                });
                let events: Vec<String> = events.collect();
                let at = state.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Writes an object of the system. Its spec is kept as the text that came.
    fn write(&self, request: &Message, kind: &str, name: Option<&str>) -> (u16, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let named = body.split("\"name\":\"").nth(1);
        let named = named.and_then(|rest| rest.split('"').next());
        let Some(name) = name.or(named).map(str::to_owned) else {
            return (400, "{}".to_owned());
        };
        let known = {
            let state = self.state.0.lock().unwrap();
            let known = state.objects.get(&(kind.to_owned(), name.clone()));
            known.is_some_and(|(_, spec)| spec.is_some())
        };
        if request.method() == "POST" && known {
            return (409, "{}".to_owned());
        }
        let spec = body.split_once("\"spec\":").map(|(_, rest)| rest);
        let spec = spec.map(|rest| rest.trim_end().trim_end_matches('}').to_owned() + "}");
        self.put(kind, &name, Some(spec.unwrap_or_else(|| "{}".to_owned())));
        (200, "{}".to_owned())
    }
}

fn object(name: &str, (revision, spec): &(u64, Option<String>)) -> String {
    let spec = spec.as_deref().unwrap_or("null");
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_at\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}
