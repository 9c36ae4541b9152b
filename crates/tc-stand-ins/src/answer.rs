//! Building HTTP answers.

use std::{convert::Infallible, io, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use serde::Serialize;

/// Body of every answer. An error in it breaks the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The connection is closed without an answer.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without an answer, on purpose")]
pub(crate) struct Closed;

/// An answer, or a connection closed without one.
pub(crate) type Answer = Result<Response<Body>, Closed>;

/// Time for what was sent before to leave: `hyper` drops bytes it has not flushed when a body fails.
const FLUSH_PAUSE: Duration = Duration::from_millis(1);

/// The error that breaks a connection in the middle of a body, after what was sent before it has left.
pub(crate) async fn broken() -> io::Error {
    tokio::time::sleep(FLUSH_PAUSE).await;
    io::Error::new(io::ErrorKind::ConnectionAborted, "broken on purpose")
}

/// A body that is sent in one piece.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut resp = Response::new(full(Bytes::new()));
    *resp.status_mut() = status;
    resp
}

/// An answer that says in words what is wrong.
pub(crate) fn refusal(status: StatusCode, detail: &str) -> Response<Body> {
    let mut resp = json(&serde_json::json!({ "error": detail }));
    *resp.status_mut() = status;
    resp
}

/// A 200 answer with a JSON body.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => json_bytes(bytes),
        Err(error) => {
            log::error!("stand-in could not encode its answer: {error}");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// A 200 answer with a body that is JSON already.
pub(crate) fn json_bytes(bytes: impl Into<Bytes>) -> Response<Body> {
    let mut resp = Response::new(full(bytes));
    resp.headers_mut().insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    resp
}
