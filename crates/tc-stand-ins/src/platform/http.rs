//! The platform's HTTP interface, as `tc_protocol::wire` describes it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use tc_protocol::wire::MAX_OBJECT_BYTES;
use tokio::time::timeout;

use super::{
    State,
    store::{Conflict, Key, Precondition, Versioned, is_json},
};
use crate::answer::{Answer, Body, Closed, empty, json, json_bytes, refusal};

/// Longest time a watch waits.
const MAX_WATCH: Duration = Duration::from_mins(1);
/// Time a watch waits that names none.
const DEFAULT_WATCH: Duration = Duration::from_secs(30);

/// Resource that a request names.
enum Operation {
    Instances,
    List {
        kind: String,
    },
    Get {
        key: Key,
    },
    Watch {
        key: Key,
        after: u64,
        wait: Duration,
    },
    Put {
        key: Key,
        pre: Precondition,
    },
    Delete {
        key: Key,
        pre: Precondition,
    },
}

/// A request that asks for nothing the platform has.
struct Malformed {
    status: StatusCode,
    detail: &'static str,
}

impl Malformed {
    const fn new(status: StatusCode, detail: &'static str) -> Self {
        Self { status, detail }
    }
}

pub(super) async fn handle(state: Arc<State>, req: Request<Incoming>) -> Answer {
    if state.faults.is_refusing() {
        return Err(Closed);
    }
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    let operation = match parse(&parts) {
        Ok(operation) => operation,
        Err(malformed) => return Ok(refusal(malformed.status, malformed.detail)),
    };
    state.count(operation.label());
    if !operation.is_write() {
        return run(&state, operation, body).await;
    }
    // A write that arrived whole takes effect also when its caller gave up waiting, as at any store; without a task
    // of its own it would be dropped with the connection.
    let write = tokio::spawn(async move { run(&state, operation, body).await });
    write.await.map_err(|_| Closed)?
}

async fn run(state: &State, operation: Operation, body: Bytes) -> Answer {
    let slow = state.faults.slow();
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
    if state.faults.is_down() {
        return Ok(down());
    }
    if let Err(wait) = state.faults.pace(operation.is_write()) {
        return Ok(too_many(wait));
    }
    match operation {
        Operation::Instances => Ok(json(&*state.instances.list(state.faults.list_lag()))),
        Operation::List { kind } => Ok(list(state, &kind)),
        Operation::Get { key } => Ok(found(state.store.get(&key))),
        Operation::Watch { key, after, wait } => Ok(watch(state, &key, after, wait).await),
        Operation::Put { key, pre } => write(state, || put(state, key, pre, body)),
        Operation::Delete { key, pre } => write(state, || delete(state, &key, pre)),
    }
}

impl Operation {
    /// Verb and kind, as calls are counted.
    fn label(&self) -> String {
        match self {
            Self::Instances => "instances".to_owned(),
            Self::List { kind } => format!("list {kind}"),
            Self::Get { key } => format!("get {}", key.0),
            Self::Watch { key, .. } => format!("watch {}", key.0),
            Self::Put { key, .. } => format!("put {}", key.0),
            Self::Delete { key, .. } => format!("delete {}", key.0),
        }
    }

    fn is_write(&self) -> bool {
        matches!(self, Self::Put { .. } | Self::Delete { .. })
    }
}

fn parse(parts: &Parts) -> Result<Operation, Malformed> {
    let path: Vec<&str> = parts.uri.path().split('/').skip(1).collect();
    match (&parts.method, path.as_slice()) {
        (&Method::GET, ["instances"]) => Ok(Operation::Instances),
        (&Method::GET, ["objects", kind]) => Ok(Operation::List {
            kind: (*kind).to_owned(),
        }),
        (method, ["objects", kind, name]) if !kind.is_empty() && !name.is_empty() => {
            parse_object(method, parts, ((*kind).to_owned(), (*name).to_owned()))
        }
        _ => Err(Malformed::new(StatusCode::NOT_FOUND, "no such path")),
    }
}

fn parse_object(method: &Method, parts: &Parts, key: Key) -> Result<Operation, Malformed> {
    match *method {
        Method::GET => parse_get(parts.uri.query().unwrap_or_default(), key),
        Method::PUT => Ok(Operation::Put {
            key,
            pre: precondition(&parts.headers)?,
        }),
        Method::DELETE => Ok(Operation::Delete {
            key,
            pre: precondition(&parts.headers)?,
        }),
        _ => Err(Malformed::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "no such method",
        )),
    }
}

fn parse_get(query: &str, key: Key) -> Result<Operation, Malformed> {
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(value.parse::<u64>())
    };
    match (number("watch"), number("timeout_ms")) {
        (None, _) => Ok(Operation::Get { key }),
        (Some(Ok(after)), None) => Ok(Operation::Watch {
            key,
            after,
            wait: DEFAULT_WATCH,
        }),
        (Some(Ok(after)), Some(Ok(wait))) => Ok(Operation::Watch {
            key,
            after,
            wait: Duration::from_millis(wait).min(MAX_WATCH),
        }),
        _ => Err(Malformed::new(StatusCode::BAD_REQUEST, "not a number")),
    }
}

fn precondition(headers: &HeaderMap) -> Result<Precondition, Malformed> {
    let absent = headers.get(header::IF_NONE_MATCH);
    match (headers.get(header::IF_MATCH), absent) {
        (None, Some(any)) if any == "*" => Ok(Precondition::Absent),
        (Some(etag), None) => parse_etag(etag)
            .map(Precondition::Version)
            .ok_or_else(|| Malformed::new(StatusCode::BAD_REQUEST, "malformed If-Match")),
        (None, None) => Err(Malformed::new(
            StatusCode::PRECONDITION_REQUIRED,
            "a write needs If-Match or If-None-Match: *",
        )),
        _ => Err(Malformed::new(
            StatusCode::BAD_REQUEST,
            "malformed preconditions",
        )),
    }
}

fn parse_etag(etag: &HeaderValue) -> Option<u64> {
    let etag = etag.to_str().ok()?;
    let version = etag.strip_prefix('"')?.strip_suffix('"')?;
    version.parse().ok()
}

/// Runs a write between the faults that lose it before or after it takes effect.
fn write(state: &State, write: impl FnOnce() -> Response<Body>) -> Answer {
    if state.faults.take_lost_request() {
        return Err(Closed);
    }
    if state.faults.writes_fail() {
        return Ok(empty(StatusCode::INTERNAL_SERVER_ERROR));
    }
    let resp = write();
    if resp.status().is_success() && state.faults.take_lost_answer() {
        return Err(Closed);
    }
    Ok(resp)
}

fn put(state: &State, key: Key, pre: Precondition, value: Bytes) -> Response<Body> {
    if value.len() > MAX_OBJECT_BYTES {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    }
    if !is_json(&value) {
        return refusal(StatusCode::BAD_REQUEST, "not JSON");
    }
    match state.store.put(key, pre, value) {
        Ok(version) => with_etag(empty(StatusCode::OK), version),
        Err(conflict) => precondition_failed(conflict),
    }
}

fn delete(state: &State, key: &Key, pre: Precondition) -> Response<Body> {
    match state.store.delete(key, pre) {
        Ok(()) => empty(StatusCode::NO_CONTENT),
        Err(conflict) => precondition_failed(conflict),
    }
}

fn list(state: &State, kind: &str) -> Response<Body> {
    let items = state.store.list(kind);
    let items: Vec<Value> = items
        .iter()
        .map(|(name, object)| {
            let value: Value = serde_json::from_slice(&object.value).unwrap_or_default();
            serde_json::json!({ "name": name, "version": object.version, "value": value })
        })
        .collect();
    json(&serde_json::json!({ "items": items }))
}

async fn watch(state: &State, key: &Key, after: u64, wait: Duration) -> Response<Body> {
    let watched = timeout(wait, state.store.watch(key, after));
    tokio::select! {
        biased;
        watched = watched => match watched {
            Ok(object) => found(object),
            Err(_) => empty(StatusCode::NOT_MODIFIED),
        },
        () = state.faults.went_down() => down(),
    }
}

fn found(object: Option<Versioned>) -> Response<Body> {
    match object {
        Some(object) => with_etag(json_bytes(object.value), object.version),
        None => empty(StatusCode::NOT_FOUND),
    }
}

fn precondition_failed(conflict: Conflict) -> Response<Body> {
    let resp = empty(StatusCode::PRECONDITION_FAILED);
    match conflict.current {
        Some(version) => with_etag(resp, version),
        None => resp,
    }
}

fn with_etag(mut resp: Response<Body>, version: u64) -> Response<Body> {
    if let Ok(etag) = HeaderValue::try_from(format!("\"{version}\"")) {
        resp.headers_mut().insert(header::ETAG, etag);
    }
    resp
}

fn down() -> Response<Body> {
    empty(StatusCode::SERVICE_UNAVAILABLE)
}

fn too_many(wait: Duration) -> Response<Body> {
    let mut resp = empty(StatusCode::TOO_MANY_REQUESTS);
    let seconds = wait.as_secs_f64().ceil() as u64;
    resp.headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    resp
}
