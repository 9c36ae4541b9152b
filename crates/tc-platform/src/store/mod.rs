//! Client for the platform's object API and instance list.

mod call_stats;
mod coalesce;
mod progress;
mod rate_limiter;
mod verified_write;
mod wire;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use tc_protocol::{
    StoreHealth,
    wire::{InstanceList, MAX_OBJECT_BYTES, ObjectItem, ObjectList},
};

use tracing::Instrument;

use crate::StoreError;
use call_stats::CallStats;
use coalesce::Coalescer;
use rate_limiter::RateLimiter;
use wire::HttpClient;
pub(crate) use wire::{Connection, Effect, Response};

pub use call_stats::Purpose;
pub use progress::CallProgress;
pub use verified_write::{Precondition, WriteResult};

/// Settings of the store client.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Maximum average rate of calls per second. One second's worth may be sent in a burst.
    pub calls_per_s: f64,
    /// Maximum duration of a call, and maximum time it may wait for the rate limiter.
    pub timeout: Duration,
}

/// A value with the version of its object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Versioned<T> {
    /// Version of the object.
    pub version: u64,
    /// Value of the object.
    pub value: T,
}

/// Client for the store. Clones share connections, rate limit and counters.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
    /// Whether the calls made through this clone were already admitted by the rate limiter.
    is_reserved: bool,
    /// Progress of the calls made through this clone.
    progress: CallProgress,
}

struct Inner {
    settings: StoreSettings,
    client: HttpClient,
    /// Client that opens a new connection for each call.
    unpooled_client: HttpClient,
    rate_limiter: RateLimiter,
    call_stats: CallStats,
    reads: Coalescer,
}

impl Store {
    /// Creates a client that connects on first use. Calls require a tokio runtime.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_platform::{Store, StoreSettings};
    /// let store = Store::new(StoreSettings {
    ///     address: ([127, 0, 0, 1], 1).into(),
    ///     calls_per_s: 50.0,
    ///     timeout: Duration::from_secs(1),
    /// });
    /// assert!(!store.health().reachable);
    /// assert_eq!(store.calls()["claims"], 0);
    /// ```
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        Self {
            inner: Arc::new(Inner {
                client: wire::http_client(settings.timeout, wire::MAX_IDLE_CONNECTIONS),
                unpooled_client: wire::http_client(settings.timeout, 0),
                rate_limiter: RateLimiter::new(settings.calls_per_s),
                call_stats: CallStats::new(),
                reads: Coalescer::default(),
                settings,
            }),
            is_reserved: false,
            progress: CallProgress::default(),
        }
    }

    /// Returns a clone whose calls are recorded in `progress`.
    #[must_use]
    pub fn with_progress(&self, progress: CallProgress) -> Self {
        Self {
            progress,
            ..self.clone()
        }
    }

    /// Waits until the rate limiter admits this many calls together, which are then made through
    /// [`Store::with_reserved_calls`].
    ///
    /// A read and the write based on it are reserved together. If the write had to wait after the
    /// read, other writers would usually change the object in between, and the write would fail
    /// repeatedly.
    pub(crate) async fn reserve_calls(&self, calls: u32) -> Result<(), StoreError> {
        let inner = &self.inner;
        inner
            .rate_limiter
            .acquire(calls, inner.settings.timeout)
            .await
    }

    /// Returns a clone for calls that were reserved before.
    pub(crate) fn with_reserved_calls(&self) -> Self {
        Self {
            is_reserved: true,
            ..self.clone()
        }
    }

    /// Reads an object, or returns `None` if it does not exist. Concurrent reads of the same object
    /// share calls.
    pub async fn get(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
    ) -> Result<Option<Versioned<Value>>, StoreError> {
        let path = object_path(kind, name)?;
        let store = self.clone();
        let target = path.clone();
        let read = async move {
            let timeout = store.inner.settings.timeout;
            let response = store.read(purpose, &target, timeout).await?;
            decode_object(&response)
        };
        self.inner.reads.read(&path, read).await
    }

    /// Lists all objects of a kind, ordered by name.
    pub async fn list(&self, purpose: Purpose, kind: &str) -> Result<Vec<ObjectItem>, StoreError> {
        let path = format!("/objects/{}", check_segment(kind)?);
        let response = self
            .read(purpose, &path, self.inner.settings.timeout)
            .await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(Vec::new());
        }
        Ok(decode::<ObjectList>(&response.body)?.items)
    }

    /// Creates an object and returns its version.
    ///
    /// Fails with [`StoreError::Conflict`] if it exists, and with [`StoreError::MaybeApplied`] if
    /// the response was lost; see [`Store::write_verified`].
    pub async fn create(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        value: &Value,
    ) -> Result<u64, StoreError> {
        self.put(purpose, kind, name, Precondition::Absent, value)
            .await
    }

    /// Replaces an object that still has version `version`, and returns the new version.
    ///
    /// Fails like [`Store::create`].
    pub async fn update(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> Result<u64, StoreError> {
        self.put(purpose, kind, name, Precondition::Version(version), value)
            .await
    }

    /// Deletes an object that still has version `version`.
    pub async fn delete(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        version: u64,
    ) -> Result<(), StoreError> {
        let req = Request::builder()
            .method(Method::DELETE)
            .header(header::IF_MATCH, format!("\"{version}\""));
        let path = object_path(kind, name)?;
        self.call(
            purpose,
            req,
            &path,
            Bytes::new(),
            Effect::Write,
            self.inner.settings.timeout,
        )
        .await
        .map(|_| ())
    }

    /// Waits up to `wait` until the object's version is above `after`. Returns `None` if it did not
    /// change.
    pub async fn watch(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned<Value>>, StoreError> {
        let path = object_path(kind, name)?;
        let path = format!("{path}?watch={after}&timeout_ms={}", wait.as_millis());
        let timeout = wait + self.inner.settings.timeout;
        let response = self.read(purpose, &path, timeout).await?;
        decode_object(&response)
    }

    /// Reads the instance list.
    pub async fn instances(&self, purpose: Purpose) -> Result<InstanceList, StoreError> {
        let response = self
            .read(purpose, "/instances", self.inner.settings.timeout)
            .await?;
        decode(&response.body)
    }

    /// Returns whether the last call was answered, and the time since a call was last answered.
    #[must_use]
    pub fn health(&self) -> StoreHealth {
        self.inner.call_stats.health()
    }

    /// Returns for how long all calls have failed; zero if the last one succeeded or none was made.
    pub(crate) fn failing_for(&self) -> Duration {
        self.inner.call_stats.failing_for()
    }

    /// Returns the number of calls sent, by purpose.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.inner.call_stats.calls()
    }

    async fn read(
        &self,
        purpose: Purpose,
        path: &str,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let req = Request::builder().method(Method::GET);
        self.call(purpose, req, path, Bytes::new(), Effect::Read, timeout)
            .await
    }

    async fn put(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        precondition: Precondition,
        value: &Value,
    ) -> Result<u64, StoreError> {
        let path = object_path(kind, name)?;
        let body = serde_json::to_vec(value).map_err(|_| StoreError::Malformed)?;
        if body.len() > MAX_OBJECT_BYTES {
            return Err(StoreError::TooLarge);
        }
        let req = Request::builder()
            .method(Method::PUT)
            .header(header::CONTENT_TYPE, "application/json");
        let req = match precondition {
            Precondition::Absent => req.header(header::IF_NONE_MATCH, "*"),
            Precondition::Version(v) => req.header(header::IF_MATCH, format!("\"{v}\"")),
        };
        let timeout = self.inner.settings.timeout;
        self.call(purpose, req, &path, body.into(), Effect::Write, timeout)
            .await?
            .version
            // The write took effect, but without the version no further write can be based on it.
            .ok_or(StoreError::MaybeApplied)
    }

    /// Returns the maximum duration of a call.
    pub(crate) fn timeout(&self) -> Duration {
        self.inner.settings.timeout
    }

    pub(crate) async fn call(
        &self,
        purpose: Purpose,
        req: http::request::Builder,
        path: &str,
        body: Bytes,
        effect: Effect,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let req = req.body(Full::new(body));
        let req = req.map_err(|_| StoreError::Malformed)?;
        self.call_over(Connection::Pooled, purpose, req, path, effect, timeout)
            .await
    }

    /// Like [`Store::call`], over a pooled or a new connection.
    pub(crate) async fn call_over(
        &self,
        connection: Connection,
        purpose: Purpose,
        mut req: Request<Full<Bytes>>,
        path: &str,
        effect: Effect,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let inner = &self.inner;
        let uri = format!("http://{}{path}", inner.settings.address);
        *req.uri_mut() = uri.parse().map_err(|_| StoreError::Malformed)?;
        if !self.is_reserved {
            self.reserve_calls(1).await?;
        }
        let client = match connection {
            Connection::Pooled => &inner.client,
            Connection::New => &inner.unpooled_client,
        };
        let span = tracing::info_span!("platform_call", purpose = purpose.as_str(), path);
        let result = wire::exchange(client, req, effect, timeout, &self.progress)
            .instrument(span)
            .await;
        inner
            .call_stats
            .record(purpose, result.as_ref().map(|_| ()));
        result
    }
}

fn object_path(kind: &str, name: &str) -> Result<String, StoreError> {
    Ok(format!(
        "/objects/{}/{}",
        check_segment(kind)?,
        check_segment(name)?
    ))
}

/// Checks that a path segment needs no escaping. A name with a slash would address another object.
fn check_segment(part: &str) -> Result<&str, StoreError> {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~@".contains(&b);
    let is_valid =
        !part.is_empty() && part.bytes().all(is_unreserved) && part != "." && part != "..";
    is_valid.then_some(part).ok_or(StoreError::Malformed)
}

fn decode_object(response: &Response) -> Result<Option<Versioned<Value>>, StoreError> {
    if response.status != StatusCode::OK {
        return Ok(None);
    }
    let version = response.version.ok_or(StoreError::Malformed)?;
    let value = decode(&response.body)?;
    Ok(Some(Versioned { version, value }))
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|_| StoreError::Malformed)
}
