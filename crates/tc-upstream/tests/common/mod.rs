//! A scripted TCP server for byte-level faults, and calls to it.
#![allow(
    dead_code,
    reason = "each test file uses a part of the helpers, and the others count as unused there"
)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::{HeaderMap, Method};
use socket2::SockRef;
use tc_protocol::{Attempt, Outcome, RunState, ServiceKind};
use tc_upstream::{CallError, CallErrorKind, ClientSettings, PlainCall, StageCall, UpstreamClient};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

/// Time given to calls that must be answered.
pub(crate) const AMPLE: Duration = Duration::from_secs(20);
/// Time given to calls that must time out.
pub(crate) const SHORT: Duration = Duration::from_millis(60);
/// Largest body the test client takes.
pub(crate) const LARGEST_BODY: usize = 64 << 10;

/// What the fake does after a request was read.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Send(Vec<u8>),
    Pause(Duration),
    /// Waits until the client closes.
    Hang,
    Close,
    Reset,
}

pub(crate) fn send(text: impl Into<String>) -> Step {
    Step::Send(text.into().into_bytes())
}

/// One request as the fake read it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Seen {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    /// The identity headers as an upstream echoes them.
    pub(crate) fn echo(&self) -> String {
        ["x-request-id", "x-stage", "x-attempt"]
            .iter()
            .filter_map(|name| Some(format!("{name}: {}\r\n", self.header(name)?)))
            .collect()
    }

    /// A whole answer with the echo.
    pub(crate) fn answer(&self, status: &str, body: &str) -> String {
        answer(status, &self.echo(), body)
    }

    pub(crate) fn pool_answer(&self, output: &str) -> String {
        self.answer("200 OK", &pool_body(self, output))
    }
}

pub(crate) fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

pub(crate) fn pool_body(seen: &Seen, output: &str) -> String {
    let id = seen.header("x-request-id").unwrap_or_default();
    let stage = seen.header("x-stage").unwrap_or_default();
    let attempt = seen.header("x-attempt").unwrap_or("0");
    format!(
        r#"{{"request_id":"{id}","stage":"{stage}","attempt":{attempt},"output":"{output}","busy_ms":1.5}}"#
    )
}

/// The scripted server; the n-th request (from 0, over all connections) is given to the script with its number.
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    pub(crate) seen: Arc<Mutex<Vec<Seen>>>,
    accepted: watch::Receiver<usize>,
    closed: watch::Receiver<usize>,
    _server: JoinSet<()>,
}

impl Fake {
    pub(crate) async fn start(
        script: impl Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (accepted_tx, accepted) = watch::channel(0);
        let (closed_tx, closed) = watch::channel(0);
        let (script, log) = (Arc::new(script), Arc::clone(&seen));
        let mut server = JoinSet::new();
        server.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                accepted_tx.send_modify(|n| *n += 1);
                let _ = stream.set_nodelay(true);
                let (script, log, closed_tx) = (script.clone(), log.clone(), closed_tx.clone());
                connections.spawn(async move {
                    serve(stream, &*script, &log).await;
                    closed_tx.send_modify(|n| *n += 1);
                });
            }
        });
        Self {
            address,
            seen,
            accepted,
            closed,
            _server: server,
        }
    }

    pub(crate) fn connections(&self) -> usize {
        *self.accepted.borrow()
    }

    pub(crate) fn requests(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// Waits until the fake has seen `count` connections end.
    pub(crate) async fn wait_closed(&mut self, count: usize) {
        tokio::time::timeout(AMPLE, self.closed.wait_for(|n| *n >= count))
            .await
            .expect("the connection was not closed")
            .unwrap();
    }
}

async fn serve<F>(mut stream: TcpStream, script: &F, log: &Mutex<Vec<Seen>>)
where
    F: Fn(usize, &Seen) -> Vec<Step>,
{
    while let Some(seen) = read_request(&mut stream).await {
        let number = {
            let mut log = log.lock().unwrap();
            log.push(seen.clone());
            log.len() - 1
        };
        for step in script(number, &seen) {
            match step {
                Step::Send(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Step::Pause(time) => tokio::time::sleep(time).await,
                Step::Hang => {
                    while matches!(stream.read(&mut [0; 1024]).await, Ok(n) if n > 0) {}
                    return;
                }
                Step::Close => return,
                Step::Reset => {
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        let n = stream.read_buf(&mut bytes).await.ok()?;
        if n == 0 {
            return None;
        }
    };
    let head = String::from_utf8(bytes[..head_end].to_vec()).unwrap();
    let mut seen = Seen {
        head,
        body: String::new(),
    };
    let length: usize = seen
        .header("content-length")
        .map_or(0, |v| v.parse().unwrap());
    while bytes.len() < head_end + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    seen.body = String::from_utf8(bytes[head_end..].to_vec()).unwrap();
    Some(seen)
}

pub(crate) fn client() -> UpstreamClient {
    UpstreamClient::new(ClientSettings {
        max_response_bytes: LARGEST_BODY,
        max_header_bytes: 8 << 10,
        ..ClientSettings::default()
    })
}

pub(crate) fn call(kind: ServiceKind, address: SocketAddr, request: &str) -> StageCall {
    StageCall {
        upstream: "up-1".into(),
        address,
        kind,
        request: request.into(),
        stage: "rerank".into(),
        attempt: Attempt(2),
        model: Some("drafter".into()),
        input: "probe log".into(),
        max_tokens: 8,
        priority: 1,
        remaining: AMPLE,
        idempotency_key: None,
        traceparent: None,
    }
}

/// A call with headers of all sorts.
pub(crate) fn plain(address: SocketAddr, request: &str) -> PlainCall {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("authorization", "Bearer secret"),
        ("host", "caller.example"),
        ("connection", "x-private, close"),
        ("x-private", "1"),
        ("te", "trailers"),
        ("expect", "100-continue"),
        ("tanagercroft-binding", "kl-a-1@7"),
        ("x-request-id", "forged"),
        ("idempotency-key", "forged"),
        ("accept-language", "ms"),
        ("content-type", "text/plain"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    PlainCall {
        upstream: "plain-1".into(),
        address,
        request: request.into(),
        stage: "auction-hall".into(),
        attempt: Attempt(0),
        method: Method::PUT,
        path: "/lots/7?bid=1".parse().unwrap(),
        headers,
        body: "bid".into(),
        priority: 3,
        remaining: AMPLE,
        idempotency_key: Some("k-1".into()),
        traceparent: None,
    }
}

/// What a fault must be reported as.
pub(crate) type Expected = (CallErrorKind, RunState, Outcome);

/// Compares an error with its table row; the message names the row.
pub(crate) fn check(fault: &str, error: &CallError, expected: Expected) {
    let got = (error.kind, error.run_state, error.outcome);
    assert_eq!(got, expected, "{fault}: {error}");
}
