//! Forwards a request to the instance that must handle it. A request is forwarded at most once.

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

/// Why a forwarded request got no response. The other instance may still have received it.
#[derive(Debug, Error)]
pub(crate) enum ForwardError {
    #[error("cannot build the forwarded request: {0}")]
    Build(#[from] http::Error),
    #[error("connection to the instance failed: {0}")]
    Connection(#[from] hyper_util::client::legacy::Error),
    #[error("timed out waiting for the response")]
    TimedOut,
}

/// Timeout for connecting to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A request to be forwarded.
pub(crate) struct ForwardedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Time until the deadline of the request.
    pub(crate) remaining: Duration,
}

/// HTTP client for the caller addresses of other instances.
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
            // The client must not resend a request that the other instance may have received.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request to the instance at `address` and returns its response, with the body as a stream.
    pub(crate) async fn forward(
        &self,
        me: &InstanceId,
        address: SocketAddr,
        forwarded: ForwardedRequest,
    ) -> Result<CallerResponse, ForwardError> {
        let remaining = forwarded.remaining;
        let request = build_request(me, address, forwarded)?;
        metrics::counter!("tc_forwarded_total").increment(1);
        let result = tokio::time::timeout(remaining, self.client.request(request)).await;
        let response = result.map_err(|_| ForwardError::TimedOut)??;
        Ok(into_caller_response(response))
    }
}

fn build_request(
    me: &InstanceId,
    address: SocketAddr,
    forwarded: ForwardedRequest,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let path = forwarded.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()?;
    let mut request = Request::builder()
        .method(forwarded.method)
        .uri(uri)
        .body(Full::new(forwarded.body))?;
    let headers = request.headers_mut();
    *headers = forwarded.headers;
    remove_hop_by_hop(headers);
    // The client sets both headers: the body is sent complete, and to another host.
    headers.remove(CONTENT_LENGTH);
    headers.remove(HOST);
    headers.insert(wire::FORWARDED, HeaderValue::from_str(me.as_str())?);
    let millis = forwarded.remaining.as_millis().max(1) as u64;
    headers.insert(wire::TIMEOUT_MS, HeaderValue::from(millis));
    Ok(request)
}

fn into_caller_response(response: Response<hyper::body::Incoming>) -> CallerResponse {
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
