//! A scripted TCP server for byte-level faults, and calls to it.
#![allow(
    dead_code,
    reason = "each test file uses a part of the helpers, and the others count as unused there"
)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderMap, Method};
use socket2::SockRef;
use tc_protocol::{Attempt, Outcome, RunState, ServiceKind};
use tc_upstream::{CallError, CallErrorKind, ClientSettings, PlainCall, StageCall, StageResponse};
use tc_upstream::{EngineStream, UpstreamClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time given to calls that must be answered.
pub(crate) const AMPLE: Duration = Duration::from_secs(20);
/// Time given to calls that must time out.
pub(crate) const SHORT: Duration = Duration::from_millis(60);
/// Largest body the test client takes.
pub(crate) const LARGEST_BODY: usize = 64 << 10;
/// What the fakes' callers send as input.
pub(crate) const INPUT: &str = "probe log";

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
        let pairs = self.head.lines().filter_map(|line| line.split_once(": "));
        pairs
            .into_iter()
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    /// The identity headers as an upstream echoes them.
    pub(crate) fn echo(&self) -> String {
        ["x-request-id", "x-stage", "x-attempt"]
            .map(|name| format!("{name}: {}\r\n", self.header(name).unwrap_or_default()))
            .concat()
    }

    /// A whole answer with the echo.
    pub(crate) fn answer(&self, status: &str, body: &str) -> String {
        answer(status, &self.echo(), body)
    }

    pub(crate) fn pool_answer(&self, output: &str) -> String {
        self.answer("200 OK", &self.pool_body(output))
    }

    pub(crate) fn pool_body(&self, output: &str) -> String {
        let [id, stage, attempt] =
            ["x-request-id", "x-stage", "x-attempt"].map(|name| self.header(name).unwrap());
        format!(
            r#"{{"request_id":"{id}","stage":"{stage}","attempt":{attempt},"output":"{output}","busy_ms":1.5}}"#
        )
    }
}

pub(crate) fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// The scripted server; the n-th request (from 0, over all connections) is given to the script with its number.
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    pub(crate) seen: Arc<Mutex<Vec<Seen>>>,
    accepted: watch::Receiver<usize>,
    closed: watch::Receiver<usize>,
}

impl Fake {
    pub(crate) async fn start(
        script: impl Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, script) = (Arc::<Mutex<Vec<Seen>>>::default(), Arc::new(script));
        let (accepted_tx, accepted) = watch::channel(0);
        let (closed_tx, closed) = watch::channel(0);
        let log = Arc::clone(&seen);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted_tx.send_modify(|n| *n += 1);
                let (script, log, closed_tx) = (script.clone(), log.clone(), closed_tx.clone());
                tokio::spawn(async move {
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
        }
    }

    /// How many connections were made and requests read.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (*self.accepted.borrow(), self.seen.lock().unwrap().len())
    }

    pub(crate) fn first_seen(&self) -> Seen {
        self.seen.lock().unwrap()[0].clone()
    }

    /// Waits until the fake has seen `count` connections end.
    pub(crate) async fn wait_closed(&mut self, count: usize) {
        let closed = self.closed.wait_for(|n| *n >= count);
        tokio::time::timeout(AMPLE, closed)
            .await
            .expect("the connection was not closed")
            .unwrap();
    }
}

async fn serve<F>(mut stream: TcpStream, script: &F, log: &Mutex<Vec<Seen>>)
where
    F: Fn(usize, &Seen) -> Vec<Step>,
{
    stream.set_nodelay(true).unwrap();
    while let Some(seen) = read_request(&mut stream).await {
        let number = log.lock().unwrap().len();
        log.lock().unwrap().push(seen.clone());
        for step in script(number, &seen) {
            let ended = match step {
                Step::Send(bytes) => stream.write_all(&bytes).await.is_err(),
                Step::Pause(time) => {
                    tokio::time::sleep(time).await;
                    false
                }
                Step::Hang => {
                    while matches!(stream.read(&mut [0; 64]).await, Ok(n) if n > 0) {}
                    true
                }
                Step::Close => true,
                Step::Reset => SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .is_ok(),
            };
            if ended {
                return;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let seen = Seen {
                head: format!("{head}\r\n"),
                body: body.to_owned(),
            };
            let length = seen
                .header("content-length")
                .map_or(0, |v| v.parse().unwrap());
            if body.len() >= length {
                return Some(seen);
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// An address where nothing listens.
pub(crate) fn nobody() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
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
        input: INPUT.into(),
        max_tokens: 8,
        priority: 1,
        remaining: AMPLE,
        idempotency_key: Some("k-1".into()),
        traceparent: Some("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01".into()),
    }
}

/// Makes an ordinary call to a pool.
pub(crate) async fn run_pool(
    client: &UpstreamClient,
    fake: &Fake,
    request: &str,
) -> Result<StageResponse, CallError> {
    client
        .run_stage(call(ServiceKind::Pool, fake.address, request))
        .await
}

/// Opens a stream of request `r-1`.
pub(crate) async fn open(
    client: &UpstreamClient,
    address: SocketAddr,
    resume_after: u64,
) -> Result<EngineStream, CallError> {
    client
        .open_stream(call(ServiceKind::Engine, address, "r-1"), resume_after)
        .await
}

const CALLER_HEADERS: &str = "authorization: Bearer secret|host: caller.example|connection: x-private, close|\
    x-private: 1|te: trailers|expect: 100-continue|tanagercroft-binding: kl-a-1@7|x-request-id: forged|\
    idempotency-key: forged|accept-language: ms|content-type: text/plain";

/// A call with headers of all sorts.
pub(crate) fn plain(address: SocketAddr, request: &str) -> PlainCall {
    let headers = CALLER_HEADERS
        .split('|')
        .map(|line| line.split_once(": ").unwrap());
    let headers = headers.map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap()));
    PlainCall {
        upstream: "plain-1".into(),
        address,
        request: request.into(),
        stage: "auction-hall".into(),
        attempt: Attempt(0),
        method: Method::PUT,
        path: "/lots/7?bid=1".parse().unwrap(),
        headers: headers.collect::<HeaderMap>(),
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
