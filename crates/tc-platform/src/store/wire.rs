//! One HTTP call to the platform and what its ending means.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::StoreError;

/// Does not limit the idle connections of the pool.
pub(crate) const MAX_IDLE_CONNECTIONS: usize = usize::MAX;
/// Longest time a connection is kept without use; the platform may close it earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer that is read: a list of objects may be many times larger than one object.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Idle time before the kernel probes a silent connection, and the pause between probes.
///
/// A watch waits for many seconds with nothing on the connection. If the connection goes silent for good, only a
/// probe shows it; without one, changes would go unseen until the watch's own timeout.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Whether a call changes anything when it reaches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    Read,
    Write,
}

/// An answer whose status says that the call was carried out.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) version: Option<u64>,
    pub(crate) body: Bytes,
}

/// Which connection a call uses.
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

/// Sends one request and tells how it ended.
pub(crate) async fn exchange(
    client: &HttpClient,
    req: Request<Full<Bytes>>,
    effect: Effect,
    timeout: Duration,
) -> Result<Response, StoreError> {
    tokio::time::timeout(timeout, send(client, req, effect))
        .await
        .unwrap_or_else(|_| Err(no_response_error(effect)))
}

async fn send(
    client: &HttpClient,
    req: Request<Full<Bytes>>,
    effect: Effect,
) -> Result<Response, StoreError> {
    let response = client.request(req).await.map_err(|e| {
        if e.is_connect() {
            StoreError::Unreachable
        } else {
            no_response_error(effect)
        }
    })?;
    let status = response.status();
    let version = version_of(response.headers());
    check_status(status, version, effect)?;
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = match (body, effect) {
        (Ok(body), _) => body.to_bytes(),
        // The headers of a write's answer say all; its body is only read so that the connection can be kept.
        (Err(_), Effect::Write) => Bytes::new(),
        (Err(_), Effect::Read) => return Err(StoreError::Unreachable),
    };
    Ok(Response {
        status,
        version,
        body,
    })
}

/// What a request that was sent and not answered means.
///
/// A write whose connection broke may already have taken effect, or may still do so. Treating it as failed would
/// let a claim be made twice; one would notice two runs of one idempotency key.
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
        // A server that fails half way, or a proxy before it, cannot vouch that a write had no effect.
        s if s.is_server_error() && effect == Effect::Write => Err(StoreError::MaybeApplied),
        s => Err(StoreError::Refused(s.as_u16())),
    }
}

fn version_of(headers: &HeaderMap) -> Option<u64> {
    let tag = headers.get(header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}
