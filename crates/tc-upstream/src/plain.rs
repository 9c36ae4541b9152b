//! Calls to plain services.

use std::{
    collections::VecDeque,
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{Method, Request};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use tc_protocol::{Outcome, RunState};
use tokio::time::Sleep;

use crate::{
    call::{PlainCall, PlainResponse},
    call_context::CallContext,
    check::outcome_of,
    client::Shared,
    connection::{Failure, ResponseBody, Traffic},
    error::{CallError, CallErrorKind},
    exchange::{ReceivedResponse, Reuse, build_request, exchange},
    headers::{CallHeaders, strip_request, strip_response},
    identity::{Echo, Identity},
    meter::CallMeter,
};

/// Responses of known length up to this size are read completely before they are forwarded.
const MAX_READ_AHEAD_BYTES: u64 = 64 << 10;

/// Makes a call and waits for the response header, or for the complete response if it is short.
pub(crate) async fn forward(
    shared: &Shared,
    call: PlainCall,
    mut meter: CallMeter,
) -> Result<PlainResponse, CallError> {
    let context = CallContext::new(call.upstream.clone(), call.address, call.remaining);
    let result = exchange_plain(shared, &context, call).await;
    let received = result.inspect_err(|e| meter.end(e.outcome))?;
    let ReceivedResponse { mut head, body, .. } = received;
    strip_response(&mut head.headers);
    let outcome = outcome_of(head.status);
    let mut response = PlainResponse {
        status: head.status,
        headers: head.headers,
        outcome,
        first_byte: context.started.elapsed(),
        body: PlainBody {
            deadline_timer: Box::pin(tokio::time::sleep_until(context.deadline)),
            body,
            context,
            meter,
            outcome,
            read_ahead_chunks: VecDeque::new(),
            ended: false,
        },
    };
    response.body.read_ahead().await?;
    Ok(response)
}

async fn exchange_plain(
    shared: &Shared,
    context: &CallContext,
    call: PlainCall,
) -> Result<ReceivedResponse, CallError> {
    let identity = Identity::new(&call.request, &call.stage, call.attempt)
        .ok_or_else(|| context.unsendable("request or stage name cannot be put in a header"))?;
    let request = plain_request(context, &identity, call)?;
    let mut received = exchange(shared, context, Reuse::Idle(Traffic::Calls), request).await?;
    let echo = identity.compare(&received.head.headers);
    // Plain services are not required to echo the identity. Without an echo, a response that is sent twice on a reused
    // connection would be taken for the response to the next call, and one workspace would receive the response of
    // another. So a connection is kept only after a response with an echo, and on a reused connection the echo is
    // required.
    // A service may set request identifiers of its own. Only a response with all three identity headers is treated as
    // the response to another call.
    let wrong_identity = echo == Echo::Other && Identity::is_complete(&received.head.headers);
    if wrong_identity || (echo != Echo::Match && received.reused) {
        return Err(context.error(
            CallErrorKind::WrongIdentity,
            RunState::Unknown,
            Outcome::Failed,
            format!("the answer's identity is {echo:?}"),
        ));
    }
    if echo == Echo::Match {
        let idle = Arc::clone(&shared.idle);
        received
            .body
            .reuse_in(idle, context.address, Traffic::Calls);
    }
    Ok(received)
}

fn plain_request(
    context: &CallContext,
    identity: &Identity,
    call: PlainCall,
) -> Result<Request<Full<Bytes>>, CallError> {
    if call.method == Method::CONNECT {
        return Err(context.unsendable("CONNECT cannot be passed on"));
    }
    let mut headers = call.headers;
    strip_request(&mut headers);
    CallHeaders {
        identity,
        priority: call.priority,
        idempotency_key: call.idempotency_key.as_deref(),
        traceparent: call.traceparent.as_deref(),
    }
    .add_to(&mut headers, context)?;
    build_request(context, call.method, call.path, headers, call.body)
}

/// Body of a plain service's response. Dropping it before its end closes the connection, which cancels the call.
#[derive(Debug)]
pub struct PlainBody {
    body: ResponseBody,
    context: CallContext,
    meter: CallMeter,
    outcome: Outcome,
    deadline_timer: Pin<Box<Sleep>>,
    /// Chunks that were read ahead and not yet returned.
    read_ahead_chunks: VecDeque<Bytes>,
    ended: bool,
}

impl PlainBody {
    /// Reads a short response to its end.
    ///
    /// Once the header is forwarded, a truncated response can only be signalled by closing the caller's connection, and
    /// the caller gets neither a response nor an error. Before that, the call can be retried on another upstream or
    /// fail with an error response.
    async fn read_ahead(&mut self) -> Result<(), CallError> {
        let length = self.body.size_hint().exact();
        if length.is_none_or(|bytes| bytes > MAX_READ_AHEAD_BYTES) {
            return Ok(());
        }
        let mut read_ahead_chunks = VecDeque::new();
        while let Some(frame) = self.frame().await {
            if let Ok(chunk) = frame?.into_data() {
                read_ahead_chunks.push_back(chunk);
            }
        }
        self.read_ahead_chunks = read_ahead_chunks;
        Ok(())
    }

    fn fail(&mut self, failure: &Failure) -> CallError {
        self.ended = true;
        let error = self.context.failed(failure, RunState::Ran);
        self.meter.end(error.outcome);
        error
    }

    fn end(&mut self) {
        self.ended = true;
        self.meter.end(self.outcome);
    }
}

impl Body for PlainBody {
    type Data = Bytes;
    type Error = CallError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CallError>>> {
        if let Some(chunk) = self.read_ahead_chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        if let Poll::Ready(next) = self.body.poll_chunk(cx) {
            return Poll::Ready(match next {
                Some(Ok(chunk)) => Some(Ok(Frame::data(chunk))),
                Some(Err(failure)) => Some(Err(self.fail(&failure))),
                None => {
                    self.end();
                    None
                }
            });
        }
        ready!(self.deadline_timer.as_mut().poll(cx));
        Poll::Ready(Some(Err(self.fail(&Failure::TimedOut))))
    }

    fn is_end_stream(&self) -> bool {
        self.read_ahead_chunks.is_empty() && (self.ended || self.body.is_at_end())
    }

    fn size_hint(&self) -> SizeHint {
        if self.read_ahead_chunks.is_empty() {
            return self.body.size_hint();
        }
        SizeHint::with_exact(
            self.read_ahead_chunks
                .iter()
                .map(|chunk| chunk.len() as u64)
                .sum(),
        )
    }
}
