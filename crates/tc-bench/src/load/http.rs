//! HTTP for callers and for reading metrics: hyper with keep-alive.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// A client that keeps connections alive.
pub(crate) type Http = Client<HttpConnector, Full<Bytes>>;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Makes a client.
pub(crate) fn http_client() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

/// Gets a text with a bearer token; `None` on any failure.
pub(crate) async fn get_text(
    http: &Http,
    url: &str,
    token: &str,
    wait: Duration,
) -> Option<String> {
    let req = http::Request::get(url)
        .header(http::header::AUTHORIZATION, format!("Bearer {token}"))
        .body(Full::default())
        .ok()?;
    let fetch = async {
        let resp = http.request(req).await.ok()?;
        if !resp.status().is_success() {
            return None;
        }
        let body = resp.into_body().collect().await.ok()?.to_bytes();
        String::from_utf8(body.into()).ok()
    };
    tokio::time::timeout(wait, fetch).await.ok()?
}
