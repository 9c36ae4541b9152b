//! Responses as callers read them from their connections.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use tc_platform_adapter::outside::response_origin;
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{Instant, timeout_at},
};

use super::callers::Told;

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;

/// Reads an answer to its end; whether the connection can be used again.
pub(super) async fn read_answer(stream: &mut TcpStream, told: &mut Told, until: Instant) -> bool {
    let mut bytes = Vec::new();
    loop {
        if let Some(keep) = parse(&bytes, told) {
            return keep;
        }
        let read = timeout_at(until, stream.read_buf(&mut bytes)).await;
        if !matches!(read, Ok(Ok(read)) if read > 0) {
            return false;
        }
    }
}

/// Takes up what of an answer is there; tells once it is whole whether its connection may be used again.
fn parse(bytes: &[u8], told: &mut Told) -> Option<bool> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(length)) = head.parse(bytes) else {
        return None;
    };
    told.status = head.code.unwrap_or(0);
    let headers = header_map(head.headers);
    let (names, sealed) = response_origin(&headers);
    told.names = names.map(str::to_owned);
    told.sealed = sealed;
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let rest = &bytes[length..];
    let length = text("content-length").and_then(|length| length.parse::<usize>().ok());
    if let Some(expected) = length {
        told.body = String::from_utf8_lossy(rest).into_owned();
        told.whole = rest.len() == expected;
    } else {
        let (body, whole) = chunks(rest);
        told.body = String::from_utf8_lossy(&body).into_owned();
        told.whole = whole;
    }
    told.whole.then(|| text("connection") != Some("close"))
}

fn header_map(parsed: &[httparse::Header<'_>]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for header in parsed {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(header.name.as_bytes()),
            HeaderValue::from_bytes(header.value),
        ) {
            headers.append(name, value);
        }
    }
    headers
}

/// The body in these chunks as far as they have come, and whether they are all there.
fn chunks(mut rest: &[u8]) -> (Bytes, bool) {
    let mut body = Vec::new();
    while let Ok(httparse::Status::Complete((start, size))) = httparse::parse_chunk_size(rest) {
        let size = size as usize;
        if size == 0 {
            return (body.into(), true);
        }
        let Some(chunk) = rest.get(start..start + size) else {
            break;
        };
        body.extend_from_slice(chunk);
        rest = rest.get(start + size + 2..).unwrap_or_default();
    }
    (body.into(), false)
}
