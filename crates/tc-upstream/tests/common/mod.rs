//! A scripted TCP server for byte-level faults, and helpers to call it.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

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

/// Timeout of calls that are expected to complete.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of calls that are expected to time out.
pub(crate) const SHORT_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum response body size of the test client.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 10;
/// Input of the test calls.
pub(crate) const INPUT: &str = "probe log";

/// An action of the scripted server after it has read a request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Send(Vec<u8>),
    Pause(Duration),
    /// Waits until the client closes the connection.
    Hang,
    Close,
    Reset,
}

pub(crate) fn send(text: impl Into<String>) -> Step {
    Step::Send(text.into().into_bytes())
}

/// A request as read by the scripted server.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: String,
    pub(crate) body: String,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let pairs = self.head.lines().filter_map(|line| line.split_once(": "));
        pairs
            .into_iter()
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    /// Returns the identity headers, as an upstream echoes them.
    pub(crate) fn echo(&self) -> String {
        ["x-request-id", "x-stage", "x-attempt"]
            .map(|name| format!("{name}: {}\r\n", self.header(name).unwrap_or_default()))
            .concat()
    }

    /// Returns a complete response that echoes the identity.
    pub(crate) fn response(&self, status: &str, body: &str) -> String {
        http_response(status, &self.echo(), body)
    }

    pub(crate) fn pool_response(&self, output: &str) -> String {
        self.response("200 OK", &self.pool_body(output))
    }

    pub(crate) fn pool_body(&self, output: &str) -> String {
        let [id, stage, attempt] =
            ["x-request-id", "x-stage", "x-attempt"].map(|name| self.header(name).unwrap());
        format!(
            r#"{{"request_id":"{id}","stage":"{stage}","attempt":{attempt},"output":"{output}","busy_ms":1.5}}"#
        )
    }
}

pub(crate) fn http_response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// A server that runs a script for each request. The script gets the request and its number, counted from 0 over all
/// connections.
pub(crate) struct ScriptedServer {
    pub(crate) address: SocketAddr,
    pub(crate) requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    accepted: watch::Receiver<usize>,
    closed: watch::Receiver<usize>,
}

impl ScriptedServer {
    pub(crate) async fn start(
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, script) = (
            Arc::<Mutex<Vec<ReceivedRequest>>>::default(),
            Arc::new(script),
        );
        let (accepted_tx, accepted) = watch::channel(0);
        let (closed_tx, closed) = watch::channel(0);
        let log = Arc::clone(&requests);
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
            requests,
            accepted,
            closed,
        }
    }

    /// Returns the number of accepted connections and of requests read.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (*self.accepted.borrow(), self.requests.lock().unwrap().len())
    }

    pub(crate) fn first_request(&self) -> ReceivedRequest {
        self.requests.lock().unwrap()[0].clone()
    }

    /// Waits until `count` connections have ended.
    pub(crate) async fn wait_closed(&mut self, count: usize) {
        let closed = self.closed.wait_for(|n| *n >= count);
        tokio::time::timeout(LONG_TIMEOUT, closed)
            .await
            .expect("the connection was not closed")
            .unwrap();
    }
}

async fn serve<F>(mut stream: TcpStream, script: &F, log: &Mutex<Vec<ReceivedRequest>>)
where
    F: Fn(usize, &ReceivedRequest) -> Vec<Step>,
{
    stream.set_nodelay(true).unwrap();
    while let Some(received) = read_request(&mut stream).await {
        let number = log.lock().unwrap().len();
        log.lock().unwrap().push(received.clone());
        for step in script(number, &received) {
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

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let received = ReceivedRequest {
                head: format!("{head}\r\n"),
                body: body.to_owned(),
            };
            let length = received
                .header("content-length")
                .map_or(0, |v| v.parse().unwrap());
            if body.len() >= length {
                return Some(received);
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Returns an address on which nothing listens.
pub(crate) fn unused_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

pub(crate) fn client() -> UpstreamClient {
    UpstreamClient::new(ClientSettings {
        max_response_bytes: MAX_BODY_BYTES,
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
        remaining: LONG_TIMEOUT,
        idempotency_key: Some("k-1".into()),
        traceparent: Some("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01".into()),
    }
}

/// Calls a pool.
pub(crate) async fn run_pool(
    client: &UpstreamClient,
    server: &ScriptedServer,
    request: &str,
) -> Result<StageResponse, CallError> {
    client
        .run_stage(call(ServiceKind::Pool, server.address, request))
        .await
}

/// Opens a stream for request `r-1`.
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

/// Returns a call with headers that must be forwarded, replaced or removed.
pub(crate) fn plain_call(address: SocketAddr, request: &str) -> PlainCall {
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
        remaining: LONG_TIMEOUT,
        idempotency_key: Some("k-1".into()),
        traceparent: None,
    }
}

/// Expected kind, run state and outcome of an error.
pub(crate) type Expected = (CallErrorKind, RunState, Outcome);

/// Asserts that an error has the expected kind, run state and outcome. `fault` names the case in the message.
pub(crate) fn assert_error(fault: &str, error: &CallError, expected: Expected) {
    let got = (error.kind, error.run_state, error.outcome);
    assert_eq!(got, expected, "{fault}: {error}");
}
