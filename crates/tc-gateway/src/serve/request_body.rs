//! Reads the bodies of callers' requests.

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{held_bytes::HeldGuard, run::Refusal};

/// Reason why the body of a request cannot be used.
enum BodyError {
    TooLarge,
    /// This process holds too many bytes already.
    NoRoom,
    /// The body broke off or is malformed.
    Broken,
}

impl From<BodyError> for Refusal {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::without_retry(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is larger than the configuration allows",
            ),
            BodyError::NoRoom => {
                Self::not_run_transient("this instance holds too many bytes of other requests")
            }
            BodyError::Broken => Self::without_retry(
                StatusCode::BAD_REQUEST,
                "the body broke off or is malformed",
            ),
        }
    }
}

/// Reads the body of a request until `deadline`, and counts it as held.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
    held: &mut HeldGuard,
) -> Result<Bytes, Refusal> {
    let collected = timeout_at(deadline, collect_body(body, max_bytes, held)).await;
    let late = |_| {
        let reason = "the body did not come in time";
        Refusal::without_retry(StatusCode::REQUEST_TIMEOUT, reason)
    };
    collected.map_err(late)?.map_err(Refusal::from)
}

async fn collect_body(
    body: Incoming,
    max_bytes: usize,
    held: &mut HeldGuard,
) -> Result<Bytes, BodyError> {
    let mut body = Limited::new(body, max_bytes);
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                BodyError::TooLarge
            } else {
                BodyError::Broken
            }
        })?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if !held.try_add(chunk.len()) {
            return Err(BodyError::NoRoom);
        }
        collected.extend_from_slice(&chunk);
    }
    Ok(collected.freeze())
}
