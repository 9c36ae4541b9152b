//! One HTTP call to the platform, and the mapping of its result to [`StoreError`].

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use super::progress::CallProgress;
use crate::StoreError;

/// Does not limit the number of idle connections in the pool.
pub(crate) const MAX_IDLE_CONNECTIONS: usize = usize::MAX;
/// Maximum idle time of a pooled connection. The platform may close it earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a response. A list of objects may be many times larger than one object.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Idle time before the kernel probes a silent connection, and interval between probes.
///
/// A watch may wait for many seconds without traffic. If the connection is lost silently, only a
/// probe detects it. Without probes, changes would go unnoticed until the watch times out.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Whether a call can change the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    Read,
    Write,
}

/// A response whose status means that the call was executed.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) version: Option<u64>,
    pub(crate) body: Bytes,
}

/// Connection to use for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connection {
    /// An idle connection from the pool, or a new one if there is none.
    Pooled,
    /// Always a new connection, because all pooled ones may have stopped responding at once.
    New,
}

/// Creates a client that pools up to `max_idle` idle connections; 0 disables the pool.
pub(crate) fn http_client(connect_timeout: Duration, max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// Sends a request and waits up to `timeout` for the response, recording each part of it that arrives.
pub(crate) async fn exchange(
    client: &HttpClient,
    req: Request<Full<Bytes>>,
    effect: Effect,
    timeout: Duration,
    progress: &CallProgress,
) -> Result<Response, StoreError> {
    tokio::time::timeout(timeout, send(client, req, effect, progress))
        .await
        .unwrap_or_else(|_| Err(no_response_error(effect)))
}

async fn send(
    client: &HttpClient,
    req: Request<Full<Bytes>>,
    effect: Effect,
    progress: &CallProgress,
) -> Result<Response, StoreError> {
    let response = client.request(req).await.map_err(|e| {
        if e.is_connect() {
            StoreError::Unreachable
        } else {
            no_response_error(effect)
        }
    })?;
    progress.record();
    let status = response.status();
    let version = version_of(response.headers());
    check_status(status, version, effect)?;
    let (head, body) = response.into_parts();
    let body = body.map_frame(|frame| {
        progress.record();
        frame
    });
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = match (body, effect) {
        (Ok(body), _) => body.to_bytes(),
        // The headers of a write's response are sufficient. Its body is read only to keep the
        // connection reusable.
        (Err(_), Effect::Write) => Bytes::new(),
        (Err(_), Effect::Read) => return Err(StoreError::Unreachable),
    };
    Ok(Response {
        status,
        headers: head.headers,
        version,
        body,
    })
}

/// Returns the error for a request that was sent without a response.
///
/// A write whose connection broke may have taken effect or may still do so. Treating it as failed
/// could let a key be claimed twice, so that it runs twice.
const fn no_response_error(effect: Effect) -> StoreError {
    match effect {
        Effect::Read => StoreError::Unreachable,
        Effect::Write => StoreError::MaybeApplied,
    }
}

fn check_status(
    status: StatusCode,
    version: Option<u64>,
    effect: Effect,
) -> Result<(), StoreError> {
    match status {
        s if s.is_success() => Ok(()),
        StatusCode::NOT_MODIFIED => Ok(()),
        StatusCode::NOT_FOUND if effect == Effect::Read => Ok(()),
        StatusCode::NOT_FOUND => Err(StoreError::Conflict { current: None }),
        StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict { current: version }),
        StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge),
        // A server that fails halfway, or a proxy in front of it, cannot guarantee that a write had
        // no effect.
        s if s.is_server_error() && effect == Effect::Write => Err(StoreError::MaybeApplied),
        s => Err(StoreError::Refused(s.as_u16())),
    }
}

fn version_of(headers: &HeaderMap) -> Option<u64> {
    let tag = headers.get(header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}
