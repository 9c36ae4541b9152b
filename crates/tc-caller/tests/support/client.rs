//! HTTP client of the tests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Pooled, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

use super::fleet::LINTAS;

/// HTTP/2 flow-control window of a stream. Small, so that the server is blocked soon after a caller stops reading.
const HTTP2_WINDOW: u32 = 64 * 1_024;

/// A complete response.
#[derive(Debug)]
pub(crate) struct TestResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl TestResponse {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|e| panic!("{e}: {:?}", self.body))
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |v| v.to_str().unwrap())
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.to_vec()).unwrap()
    }

    pub(crate) fn run_state(&self) -> &str {
        self.header("tanagercroft-run-state")
    }
}

/// HTTP client of one instance. It sends the token of workspace `lintas` unless an `authorization` header is given.
#[derive(Clone)]
pub(crate) struct Client {
    address: SocketAddr,
    pooled: Pooled<HttpConnector, Full<Bytes>>,
}

pub(crate) type Headers<'a> = &'a [(&'a str, &'a str)];

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pooled: Pooled::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub(crate) fn http2(address: SocketAddr) -> Self {
        let mut builder = Pooled::builder(TokioExecutor::new());
        Self {
            address,
            pooled: builder
                .http2_only(true)
                .http2_initial_stream_window_size(HTTP2_WINDOW)
                .build_http(),
        }
    }

    pub(crate) async fn open(
        &self,
        method: Method,
        path: &str,
        headers: Headers<'_>,
        body: impl Into<Bytes>,
    ) -> http::Response<Incoming> {
        let response = self.try_open(method, path, headers, body).await;
        response.expect("request failed")
    }

    pub(crate) async fn try_open(
        &self,
        method: Method,
        path: &str,
        headers: Headers<'_>,
        body: impl Into<Bytes>,
    ) -> Result<http::Response<Incoming>, hyper_util::client::legacy::Error> {
        let uri = format!("http://{}{path}", self.address);
        let mut req = Request::builder().method(method).uri(uri);
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            req = req.header("authorization", format!("Bearer {LINTAS}"));
        }
        for (name, value) in headers.iter().filter(|(_, value)| !value.is_empty()) {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).unwrap();
        let response = tokio::time::timeout(Duration::from_secs(30), self.pooled.request(req));
        response.await.expect("response timed out")
    }

    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        headers: Headers<'_>,
        body: impl Into<Bytes>,
    ) -> TestResponse {
        let (parts, body) = self.open(method, path, headers, body).await.into_parts();
        TestResponse {
            status: parts.status,
            headers: parts.headers,
            body: body.collect().await.expect("incomplete body").to_bytes(),
        }
    }

    pub(crate) async fn pipeline(
        &self,
        name: &str,
        input: &str,
        headers: Headers<'_>,
    ) -> TestResponse {
        let body = serde_json::json!({ "input": input }).to_string();
        self.call(
            Method::POST,
            &format!("/v1/pipelines/{name}"),
            headers,
            body,
        )
        .await
    }
}

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) id: Option<u64>,
    pub(crate) name: Option<String>,
    pub(crate) data: String,
}

/// Parses the events of a complete stream.
pub(crate) fn events(text: &str) -> Vec<Event> {
    let blocks = text.split("\n\n").filter(|block| !block.is_empty());
    blocks
        .map(|block| {
            let field = |name: &str| {
                let line = block.lines().find_map(|l| l.strip_prefix(name));
                line.map(str::to_owned)
            };
            Event {
                id: field("id: ").map(|id| id.parse().unwrap()),
                name: field("event: "),
                data: field("data: ").expect("event without data"),
            }
        })
        .collect()
}

/// Concatenates the text of all events.
pub(crate) fn text_of(events: &[Event]) -> String {
    let texts = events.iter().filter(|e| e.name.is_none());
    texts
        .map(|e| serde_json::from_str::<Value>(&e.data).unwrap())
        .map(|data| data["text"].as_str().unwrap().to_owned())
        .collect()
}

/// Reads frames until they contain at least `count` events.
pub(crate) async fn read_events(body: &mut Incoming, count: usize) -> String {
    let mut text = String::new();
    while events_complete(&text) < count {
        let frame = body
            .frame()
            .await
            .expect("stream ended")
            .expect("stream failed");
        if let Ok(data) = frame.into_data() {
            text.push_str(std::str::from_utf8(&data).unwrap());
        }
    }
    text
}

fn events_complete(text: &str) -> usize {
    text.matches("\n\n").count()
}
