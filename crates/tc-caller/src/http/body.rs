//! Reading request bodies within bounds.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tc_protocol::ProblemKind;

use crate::http::Failure;

/// Reads a body whole, up to `max` bytes and within `wait`.
///
/// Without the time limit a caller that sends one byte a minute would hold memory and a request slot for hours, seen as
/// requests in flight that never end.
pub(crate) async fn read_body<B>(body: B, max: usize, wait: Duration) -> Result<Bytes, Failure>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > max as u64 {
        return Err(too_large(max));
    }
    match tokio::time::timeout(wait, Limited::new(body, max).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large(max)),
        Ok(Err(e)) => Err(Failure::bad(format!("the body did not arrive whole: {e}"))),
        Err(_) => Err(Failure::bad("the body did not arrive in time")),
    }
}

fn too_large(max: usize) -> Failure {
    Failure::not_run(
        ProblemKind::TooLarge,
        format!("the body is larger than {max} bytes"),
    )
}
