//! A small client for the tests of all stand-ins.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part of this module"
)]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tc_protocol::{
    Attempt, Incarnation,
    wire::{CompletionRequest, LoadReport, PoolRequest},
};
use tokio::{net::TcpStream, task::AbortHandle};

/// Longest any call of a test may take.
pub const LIMIT: Duration = Duration::from_secs(10);

/// The address on which a stand-in takes any free port.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An answer read to its end.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub fn version(&self) -> Option<u64> {
        self.header("etag")?.trim_matches('"').parse().ok()
    }
}

/// One connection; dropping it closes it.
pub struct Connection {
    tx: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Any failure of a call.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

impl Connection {
    pub async fn open(address: SocketAddr) -> Result<Self, Failure> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (tx, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(conn).abort_handle();
        Ok(Self { tx, task })
    }

    /// Sends a call and returns its answer's head.
    pub async fn begin(&mut self, call: &Call) -> Result<http::Response<Incoming>, Failure> {
        let sent = self.tx.send_request(call.request());
        Ok(tokio::time::timeout(LIMIT, sent).await??)
    }

    /// Sends a call and reads its answer to the end.
    pub async fn call(&mut self, call: &Call) -> Result<Reply, Failure> {
        let (parts, body) = self.begin(call).await?.into_parts();
        let body = tokio::time::timeout(LIMIT, body.collect()).await??;
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

/// A call to be sent, as often as wanted.
#[derive(Clone)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Call {
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// A call to a pool.
    pub fn pool(request: &str, stage: &str, input: &str) -> Self {
        let body = serde_json::to_vec(&PoolRequest {
            request_id: request.into(),
            stage: stage.into(),
            attempt: Attempt(0),
            input: input.to_owned(),
        });
        Self::new(Method::POST, "/run")
            .identity(request, stage)
            .body(body.expect("a request encodes"))
    }

    /// A completion call to an engine.
    pub fn completion(request: &str, prompt: &str, max_tokens: u32, stream: bool) -> Self {
        Self::urgent_completion(request, prompt, max_tokens, stream, 3)
    }

    pub fn urgent_completion(
        request: &str,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
        priority: u8,
    ) -> Self {
        let body = serde_json::to_vec(&CompletionRequest {
            model: "drafter".to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            stream,
            priority,
        });
        Self::new(Method::POST, "/v1/completions")
            .identity(request, "generate")
            .body(body.expect("a request encodes"))
    }

    /// A write of an object with a precondition header.
    pub fn put(path: &str, pre: (&'static str, &str), value: &Value) -> Self {
        Self::new(Method::PUT, path)
            .header(pre.0, pre.1)
            .body(value.to_string())
    }

    pub fn identity(self, request: &str, stage: &str) -> Self {
        self.header("x-request-id", request)
            .header("x-stage", stage)
            .header("x-attempt", "0")
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", "stand-in");
        for (name, value) in &self.headers {
            req = req.header(*name, value);
        }
        req.body(Full::new(self.body.clone()))
            .expect("a well-formed request")
    }
}

/// Sends one call on a connection of its own.
pub async fn send(address: SocketAddr, call: &Call) -> Result<Reply, Failure> {
    Connection::open(address).await?.call(call).await
}

/// Sends one call that must be answered.
pub async fn answer(address: SocketAddr, call: &Call) -> Reply {
    send(address, call).await.expect("an answer")
}

pub async fn load(address: SocketAddr) -> LoadReport {
    let reply = answer(address, &Call::get("/load")).await;
    serde_json::from_slice(&reply.body).expect("a load report")
}

pub async fn incarnation(address: SocketAddr) -> Incarnation {
    load(address).await.incarnation
}

/// Writes an object that must not exist yet and returns its version.
pub async fn create(address: SocketAddr, path: &str, value: &Value) -> u64 {
    let reply = answer(address, &Call::put(path, ("if-none-match", "*"), value)).await;
    assert_eq!(reply.status, StatusCode::OK);
    reply.version().expect("a version")
}

/// Waits until `done` holds.
pub async fn until(what: &str, mut done: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(LIMIT, async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    assert!(waited.await.is_ok(), "waited in vain until {what}");
}

/// An event of a stream: its id and its data.
pub type Event = (u64, String);

/// Splits the text of a stream into its whole events.
pub fn events(text: &str) -> Vec<Event> {
    text.split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"))
        .map(|event| {
            let field = |name: &str| {
                let mut lines = event.lines();
                lines
                    .find_map(|line| line.strip_prefix(name))
                    .unwrap_or_default()
                    .to_owned()
            };
            let id = field("id: ").parse().expect("an event id");
            (id, field("data: "))
        })
        .collect()
}

/// Reads a stream until it ends or breaks; says which.
pub async fn read_stream(body: &mut Incoming) -> (Vec<Event>, bool) {
    let mut text = String::new();
    let whole = loop {
        let frame = tokio::time::timeout(LIMIT, body.frame());
        match frame.await.expect("a frame in time") {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    text.push_str(std::str::from_utf8(&data).expect("text"));
                }
            }
        }
    };
    (events(&text), whole)
}

/// The text that the events of a completion carry.
pub fn text_of(events: &[Event]) -> String {
    events
        .iter()
        .filter(|(_, data)| data != "[DONE]")
        .map(|(_, data)| {
            let event: Value = serde_json::from_str(data).expect("an event");
            event["text"].as_str().unwrap_or_default().to_owned()
        })
        .collect()
}

/// A JSON value that differs by `n`.
pub fn value(n: u64) -> Value {
    json!({ "n": n })
}
