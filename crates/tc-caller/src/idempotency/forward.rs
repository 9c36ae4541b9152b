//! A request passed on once to the instance that must handle it.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, Uri, Version,
    header::{CONTENT_LENGTH, HOST},
};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tc_protocol::{InstanceId, wire};
use tc_upstream::remove_hop_by_hop;

use thiserror::Error;

use crate::http::{CallerBody, CallerResponse};

/// Why a request got no answer from the instance it was passed on to. It may have arrived there all the same.
#[derive(Debug, Error)]
pub(crate) enum ForwardError {
    #[error("the request cannot be passed on: {0}")]
    Build(#[from] http::Error),
    #[error("the connection failed: {0}")]
    Connection(#[from] hyper_util::client::legacy::Error),
    #[error("no answer in time")]
    TimedOut,
}

/// Longest time to connect to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A request to pass on.
pub(crate) struct ForwardedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Time left for it.
    pub(crate) remaining: Duration,
}

/// Client towards other instances' caller side.
pub(crate) struct Forwarder {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Forwarder {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            // A request that the other side may have seen is never sent twice.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Passes a request on to the instance at `address` and streams its answer through.
    pub(crate) async fn forward(
        &self,
        me: &InstanceId,
        address: SocketAddr,
        onward: ForwardedRequest,
    ) -> Result<CallerResponse, ForwardError> {
        let remaining = onward.remaining;
        let request = request(me, address, onward)?;
        metrics::counter!("tc_forwarded_total").increment(1);
        let answer = tokio::time::timeout(remaining, self.client.request(request)).await;
        let response = answer.map_err(|_| ForwardError::TimedOut)??;
        Ok(passed_through(response))
    }
}

fn request(
    me: &InstanceId,
    address: SocketAddr,
    onward: ForwardedRequest,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let path = onward.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()?;
    let mut request = Request::builder()
        .method(onward.method)
        .uri(uri)
        .body(Full::new(onward.body))?;
    let headers = request.headers_mut();
    *headers = onward.headers;
    remove_hop_by_hop(headers);
    // The body goes on whole, with its own length, and to another host.
    headers.remove(CONTENT_LENGTH);
    headers.remove(HOST);
    headers.insert(wire::FORWARDED, HeaderValue::from_str(me.as_str())?);
    let millis = onward.remaining.as_millis().max(1) as u64;
    headers.insert(wire::TIMEOUT_MS, HeaderValue::from(millis));
    Ok(request)
}

fn passed_through(response: Response<hyper::body::Incoming>) -> CallerResponse {
    let (mut parts, body) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    parts.version = Version::default();
    parts.extensions.clear();
    let chunks = body
        .into_data_stream()
        .map(|chunk| chunk.map_err(Into::into));
    Response::from_parts(parts, CallerBody::stream(chunks.boxed()))
}
