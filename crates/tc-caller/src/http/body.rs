//! Reads request bodies with limits on size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tc_protocol::ProblemKind;

use crate::{
    http::Failure,
    limits::{DRAIN_TIMEOUT, MAX_DRAIN_BYTES},
};

/// Reads a complete body of up to `max` bytes within `timeout`.
///
/// Without the timeout, a caller that sends one byte per minute would hold memory and a request slot for hours, and its
/// requests would remain in flight.
pub(crate) async fn read_body<B>(body: B, max: usize, timeout: Duration) -> Result<Bytes, Failure>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > max as u64 {
        return Err(too_large(max));
    }
    match tokio::time::timeout(timeout, Limited::new(body, max).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large(max)),
        Ok(Err(e)) => Err(Failure::bad_request(format!(
            "the body did not arrive whole: {e}"
        ))),
        Err(_) => Err(Failure::bad_request("the body did not arrive in time")),
    }
}

/// Reads and discards the rest of an unused request body, up to [`MAX_DRAIN_BYTES`] within [`DRAIN_TIMEOUT`].
///
/// An HTTP/1.1 connection whose request was not read completely is closed after the response. If it is closed while
/// bytes still arrive, the response may be lost, and so may the next request that the caller has already sent on it.
/// Callers would then get connection errors instead of refusals.
pub(crate) async fn drain(mut body: Incoming) {
    let all = async {
        let mut left = MAX_DRAIN_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(bytes) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    };
    // After a timeout the connection is closed, as it is when the body is too large.
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, all).await;
}

fn too_large(max: usize) -> Failure {
    Failure::not_run(
        ProblemKind::TooLarge,
        format!("the body is larger than {max} bytes"),
    )
}
