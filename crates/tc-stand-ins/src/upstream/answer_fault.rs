//! Faults of an answer on its way to the caller.

use std::{io, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http::{HeaderValue, Response, header, response::Parts};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tc_protocol::wire::REQUEST_ID;

use crate::answer::{Body, broken, full};

/// Fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The body is not what its content type says.
    Garbage,
    /// `Content-Length` is larger than the body that comes.
    WrongLength,
    /// The connection closes in the middle of the body.
    CloseMidBody,
    /// The body is padded with spaces far beyond what anybody holds back, and the connection closes in its middle.
    CloseMidLongBody,
    /// A header far larger than any client takes.
    HugeHeaders,
    /// The body comes a byte at a time with this pause before each.
    SlowBytes(Duration),
    /// Headers and body name another request.
    WrongIdentity,
    /// The first answer is right; each one after it is a late copy of that first answer.
    DuplicateLate,
    /// The connection closes without an answer, although the call ran.
    Lost,
}

/// The request named in an answer with [`AnswerFault::WrongIdentity`]; as long as most identifiers, but never one.
const WRONG_REQUEST: &str = "another-request";
const GARBAGE: &[u8] = b"\x01\x02 not { what was promised \xff";
const MISSING_BYTES: usize = 64;
/// Bytes of a long body that are sent, half of those promised.
const LONG_BODY_BYTES: usize = 256 << 10;
const HUGE_HEADER_BYTES: usize = 1 << 20;

impl AnswerFault {
    /// Applies the fault to a whole answer.
    pub(super) fn apply(self, parts: Parts, body: Bytes) -> Response<Body> {
        let mut parts = parts;
        let body = match self {
            Self::Garbage => full(GARBAGE),
            Self::WrongLength => {
                let promised = HeaderValue::from(body.len() + MISSING_BYTES);
                parts.headers.insert(header::CONTENT_LENGTH, promised);
                pieces(stream::once(async { Ok(body) }))
            }
            Self::CloseMidBody => {
                let promised = HeaderValue::from(body.len());
                parts.headers.insert(header::CONTENT_LENGTH, promised);
                break_after(body.slice(..body.len() / 2))
            }
            Self::CloseMidLongBody => {
                let mut start = body.to_vec();
                start.resize(LONG_BODY_BYTES, b' ');
                let promised = HeaderValue::from(2 * LONG_BODY_BYTES);
                parts.headers.insert(header::CONTENT_LENGTH, promised);
                break_after(start.into())
            }
            Self::HugeHeaders => {
                let padding = "x".repeat(HUGE_HEADER_BYTES);
                if let Ok(padding) = HeaderValue::try_from(padding) {
                    parts.headers.insert("x-padding", padding);
                }
                full(body)
            }
            Self::SlowBytes(pause) => slow(body, pause),
            Self::WrongIdentity => {
                let body = rename(&mut parts, &body);
                full(body)
            }
            Self::DuplicateLate | Self::Lost => full(body),
        };
        Response::from_parts(parts, body)
    }

    /// Applies the fault to an answer that streams, piece by piece.
    pub(super) fn apply_to_stream(self, resp: Response<Body>) -> Response<Body> {
        let (mut parts, body) = resp.into_parts();
        let body = match self {
            Self::Garbage => full(GARBAGE),
            Self::CloseMidBody | Self::CloseMidLongBody | Self::WrongLength => {
                let first = body.into_data_stream().take(1);
                pieces(first.chain(stream::once(async { Err(broken().await) })))
            }
            Self::WrongIdentity => {
                let from = replace_request(&mut parts);
                body.map_frame(move |frame| frame.map_data(|data| replace(&data, &from)))
                    .boxed_unsync()
            }
            Self::SlowBytes(pause) => {
                pieces(body.into_data_stream().then(move |piece| async move {
                    tokio::time::sleep(pause).await;
                    piece
                }))
            }
            Self::HugeHeaders => return self.apply_headers(parts, body),
            Self::DuplicateLate | Self::Lost => body,
        };
        Response::from_parts(parts, body)
    }

    fn apply_headers(self, parts: Parts, body: Body) -> Response<Body> {
        let (parts, _) = self.apply(parts, Bytes::new()).into_parts();
        Response::from_parts(parts, body)
    }
}

/// A body of unknown length; `hyper` would repair the length of any other.
fn pieces(pieces: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    StreamBody::new(pieces.map(|piece| piece.map(Frame::data))).boxed_unsync()
}

fn break_after(start: Bytes) -> Body {
    pieces(stream::once(async { Ok(start) }).chain(stream::once(async { Err(broken().await) })))
}

fn slow(body: Bytes, pause: Duration) -> Body {
    pieces(stream::iter(0..body.len()).then(move |at| {
        let byte = body.slice(at..=at);
        async move {
            tokio::time::sleep(pause).await;
            Ok(byte)
        }
    }))
}

fn rename(parts: &mut Parts, body: &Bytes) -> Bytes {
    let from = replace_request(parts);
    replace(body, &from)
}

/// Puts the wrong request into the headers and returns the right one.
fn replace_request(parts: &mut Parts) -> String {
    let wrong = HeaderValue::from_static(WRONG_REQUEST);
    let right = parts.headers.insert(REQUEST_ID, wrong);
    right
        .and_then(|right| right.to_str().map(str::to_owned).ok())
        .unwrap_or_default()
}

fn replace(body: &Bytes, right: &str) -> Bytes {
    match std::str::from_utf8(body) {
        Ok(text) if !right.is_empty() => Bytes::from(text.replace(right, WRONG_REQUEST)),
        _ => body.clone(),
    }
}
