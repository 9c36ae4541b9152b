//! Requests as a scripted server receives them.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde_json::Value;
use tokio::{
    io::{AsyncRead, AsyncReadExt},
    time::Instant,
};

/// Most headers of a request.
const MOST_HEADERS: usize = 64;
/// Bytes read at a time.
const READ_BYTES: usize = 16_384;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Received {
    /// Its method.
    pub method: Method,
    /// Its target: path and query.
    pub target: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it had been read whole.
    pub at: Instant,
    /// Address that it came from.
    pub peer: SocketAddr,
}

impl Received {
    /// A header's text, empty when it is missing.
    ///
    /// # Panics
    /// Never: text that is not ASCII counts as missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The body as JSON.
    ///
    /// # Panics
    /// When it is not JSON: the sender is under test.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body of a request is JSON")
    }
}

#[derive(Debug, thiserror::Error)]
enum Malformed {
    #[error(transparent)]
    Syntax(#[from] httparse::Error),
    #[error(transparent)]
    Name(#[from] http::header::InvalidHeaderName),
    #[error(transparent)]
    Value(#[from] http::header::InvalidHeaderValue),
    #[error(transparent)]
    Method(#[from] http::method::InvalidMethod),
}

struct Head {
    length: usize,
    method: Method,
    target: String,
    headers: HeaderMap,
}

/// Reads the next request; `None` when the connection ends or what comes is no request with a known length.
pub(super) async fn read_request(
    stream: &mut (impl AsyncRead + Unpin),
    peer: SocketAddr,
) -> Option<Received> {
    let mut bytes = Vec::new();
    let head = loop {
        match parse_head(&bytes).ok()? {
            Some(head) => break head,
            None => read_more(stream, &mut bytes).await?,
        }
    };
    let body_length: usize = match head.headers.get(http::header::CONTENT_LENGTH) {
        Some(value) => value.to_str().ok()?.parse().ok()?,
        None => 0,
    };
    while bytes.len() < head.length + body_length {
        read_more(stream, &mut bytes).await?;
    }
    Some(Received {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: Bytes::copy_from_slice(&bytes[head.length..]),
        at: Instant::now(),
        peer,
    })
}

async fn read_more(stream: &mut (impl AsyncRead + Unpin), bytes: &mut Vec<u8>) -> Option<()> {
    bytes.reserve(READ_BYTES);
    let read = stream.read_buf(bytes).await.ok()?;
    (read > 0).then_some(())
}

/// `None` while the header is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = req.parse(bytes)? else {
        return Ok(None);
    };
    let mut map = HeaderMap::new();
    for header in req.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes())?;
        map.append(name, HeaderValue::from_bytes(header.value)?);
    }
    Ok(Some(Head {
        length,
        method: req.method.unwrap_or_default().parse()?,
        target: req.path.unwrap_or_default().to_owned(),
        headers: map,
    }))
}
