//! Calls whose request and answer pass through unchanged: the caller of this module reads and writes the headers.

use std::{future::poll_fn, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use tc_protocol::{RunState, UpstreamId};
use tokio::time::timeout_at;

use crate::{
    client::{Shared, UpstreamClient},
    connection::{Answer, Failure, Traffic},
    error::CallError,
    exchange::{Exchanged, Reuse, exchange},
    site::CallSite,
};

/// A request that is ready to be sent as it is.
#[derive(Debug)]
pub struct RawCall {
    /// Who is called, for errors.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The request; its target is a path with its query.
    pub request: Request<Full<Bytes>>,
    /// Longest time the call may take.
    pub remaining: Duration,
    /// Whether a connection may be kept and used again.
    ///
    /// A request that must not run twice wants a new connection: on a kept one that the upstream is closing, a broken
    /// send proves nothing, and the request could neither be sent again nor be refused as not run.
    pub reuse: bool,
}

/// An answer's header, with its body still to come.
#[derive(Debug)]
pub struct RawResponse {
    /// Status and headers as sent.
    pub head: response::Parts,
    /// The body.
    pub body: RawBody,
}

/// A body being read; dropping it before its end closes the connection, which cancels the call.
#[derive(Debug)]
pub struct RawBody {
    answer: Answer,
    site: CallSite,
}

impl UpstreamClient {
    /// Makes a call as it is given and returns once the answer's header is there.
    ///
    /// An error's run state is `NotRun` only when no byte of the request has left this process.
    pub async fn exchange_raw(&self, call: RawCall) -> Result<RawResponse, CallError> {
        exchange_raw(&self.shared, call).await
    }
}

async fn exchange_raw(shared: &Shared, call: RawCall) -> Result<RawResponse, CallError> {
    let site = CallSite::new(call.upstream, call.address, call.remaining);
    let reuse = if call.reuse {
        Reuse::Kept(Traffic::Raw)
    } else {
        Reuse::Never
    };
    let Exchanged {
        head, mut answer, ..
    } = exchange(shared, &site, reuse, call.request).await?;
    if call.reuse {
        answer.return_to(shared.idle.clone(), site.address, Traffic::Raw);
    }
    Ok(RawResponse {
        head,
        body: RawBody { answer, site },
    })
}

impl RawBody {
    /// The next bytes; `None` at the body's end. Must not be called again after an error.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, CallError>> {
        let deadline = self.site.deadline;
        let next = poll_fn(|cx| self.answer.poll_chunk(cx));
        match timeout_at(deadline, next).await {
            Ok(Some(Ok(bytes))) => Some(Ok(bytes)),
            Ok(Some(Err(failure))) => Some(Err(self.failed(&failure))),
            Ok(None) => None,
            Err(_) => Some(Err(self.failed(&Failure::TimedOut))),
        }
    }

    /// The whole body.
    pub async fn collect(&mut self) -> Result<Bytes, CallError> {
        let deadline = self.site.deadline;
        self.answer
            .collect(deadline)
            .await
            .map_err(|failure| self.failed(&failure))
    }

    /// Bytes of the body that are known to come, if the answer tells its length.
    #[must_use]
    pub fn exact_length(&self) -> Option<u64> {
        self.answer.size_hint().exact()
    }

    fn failed(&self, failure: &Failure) -> CallError {
        self.site.failed(failure, RunState::Unknown)
    }
}
