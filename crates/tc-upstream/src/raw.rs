//! Calls whose request and response are not modified. The caller of this module reads and writes the headers.

use std::{future::poll_fn, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use tc_protocol::{RunState, UpstreamId};
use tokio::time::timeout_at;

use crate::{
    call_context::CallContext,
    client::{Shared, UpstreamClient},
    connection::{Failure, ResponseBody, Traffic},
    error::CallError,
    exchange::{ReceivedResponse, Reuse, exchange_if},
};

/// A request that is sent unchanged.
pub struct RawCall {
    /// Upstream to call, for error messages.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The request, with a path and query as its target.
    pub request: Request<Full<Bytes>>,
    /// Timeout of the whole call, including the response body.
    pub remaining: Duration,
    /// Whether the call may use an idle connection and leave its connection for later calls.
    ///
    /// A request that must not run twice needs a new connection. If the upstream is closing a reused connection, a
    /// failed send proves nothing, so the request could neither be sent again nor be reported as not run.
    pub reuse: bool,
    /// Whether the request is still to be sent. Asked once the connection is open, because opening it may take long.
    pub is_wanted: Box<dyn Fn() -> bool + Send + Sync>,
}

/// A response header, with the body yet to be read.
#[derive(Debug)]
pub struct RawResponse {
    /// Status and headers as received.
    pub head: response::Parts,
    /// Response body.
    pub body: RawBody,
    /// Time from the start of the call until the request could be written.
    pub connected_after: Duration,
}

/// A response body. Dropping it before its end closes the connection, which cancels the call.
#[derive(Debug)]
pub struct RawBody {
    body: ResponseBody,
    context: CallContext,
}

impl UpstreamClient {
    /// Sends a request unchanged and returns once the response header has arrived.
    ///
    /// The run state of an error is `NotRun` only if no byte of the request was written. A call that is no longer wanted
    /// fails with [`CallErrorKind::Withdrawn`](crate::CallErrorKind::Withdrawn).
    pub async fn exchange_raw(&self, call: RawCall) -> Result<RawResponse, CallError> {
        exchange_raw(&self.shared, call).await
    }
}

async fn exchange_raw(shared: &Shared, call: RawCall) -> Result<RawResponse, CallError> {
    let context = CallContext::new(call.upstream, call.address, call.remaining);
    let reuse = if call.reuse {
        Reuse::Idle(Traffic::Raw)
    } else {
        Reuse::Never
    };
    let received = exchange_if(shared, &context, reuse, call.request, call.is_wanted).await?;
    let ReceivedResponse {
        head,
        mut body,
        connected_after,
        ..
    } = received;
    if call.reuse {
        body.reuse_in(shared.idle.clone(), context.address, Traffic::Raw);
    }
    Ok(RawResponse {
        head,
        body: RawBody { body, context },
        connected_after,
    })
}

impl RawBody {
    /// Returns the next bytes, or `None` at the end of the body. Must not be called again after an error.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, CallError>> {
        let deadline = self.context.deadline;
        let next = poll_fn(|cx| self.body.poll_chunk(cx));
        match timeout_at(deadline, next).await {
            Ok(Some(Ok(bytes))) => Some(Ok(bytes)),
            Ok(Some(Err(failure))) => Some(Err(self.failed(&failure))),
            Ok(None) => None,
            Err(_) => Some(Err(self.failed(&Failure::TimedOut))),
        }
    }

    /// Lowers the number of bytes beyond which reading the body fails.
    pub fn limit(&mut self, max_bytes: usize) {
        self.body.limit(max_bytes);
    }

    /// Reads the complete body.
    pub async fn collect(&mut self) -> Result<Bytes, CallError> {
        let deadline = self.context.deadline;
        self.body
            .collect(deadline)
            .await
            .map_err(|failure| self.failed(&failure))
    }

    /// Returns the number of bytes that remain, if the response states its length.
    #[must_use]
    pub fn exact_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    fn failed(&self, failure: &Failure) -> CallError {
        self.context.failed(failure, RunState::Unknown)
    }
}
