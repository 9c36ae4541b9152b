//! Calls to plain services.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame};

use crate::error::CallError;

/// Body of a plain service's answer; dropping it before its end closes the connection, which cancels the call.
#[derive(Debug)]
pub struct PlainBody {
    pending: Option<CallError>,
}

impl Body for PlainBody {
    type Data = Bytes;
    type Error = CallError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallError>>> {
        Poll::Ready(self.pending.take().map(Err))
    }
}
