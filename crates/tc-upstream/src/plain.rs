//! Calls to plain services.

use std::{
    collections::VecDeque,
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use tc_protocol::{Outcome, RunState};
use tokio::time::Sleep;

use crate::{
    call::{PlainCall, PlainResponse},
    check::outcome_of,
    client::Shared,
    connection::{Answer, Failure, Traffic},
    error::{CallError, CallErrorKind},
    exchange::{Exchanged, Reuse, build_request, exchange},
    headers::{CallHeaders, strip_reply, strip_request},
    identity::{Echo, Identity},
    meter::CallMeter,
    site::CallSite,
};

/// Answers of known length up to this are read whole before they are passed on.
const READ_AHEAD_BYTES: u64 = 64 << 10;

/// Makes a call and waits for the answer's header, and for the whole of a short answer.
pub(crate) async fn forward(
    shared: &Shared,
    call: PlainCall,
    mut meter: CallMeter,
) -> Result<PlainResponse, CallError> {
    let site = CallSite::new(call.upstream.clone(), call.address, call.remaining);
    let replied = exchange_plain(shared, &site, call).await;
    let exchanged = replied.inspect_err(|e| meter.end(e.outcome))?;
    let Exchanged {
        mut head, answer, ..
    } = exchanged;
    strip_reply(&mut head.headers);
    let outcome = outcome_of(head.status);
    let mut reply = PlainResponse {
        status: head.status,
        headers: head.headers,
        outcome,
        first_byte: site.started.elapsed(),
        body: PlainBody {
            time_up: Box::pin(tokio::time::sleep_until(site.deadline)),
            answer,
            site,
            meter,
            outcome,
            ahead: VecDeque::new(),
            ended: false,
        },
    };
    reply.body.read_ahead().await?;
    Ok(reply)
}

async fn exchange_plain(
    shared: &Shared,
    site: &CallSite,
    call: PlainCall,
) -> Result<Exchanged, CallError> {
    let identity = Identity::new(&call.request, &call.stage, call.attempt)
        .ok_or_else(|| site.unsendable("request or stage name cannot be put in a header"))?;
    let request = plain_request(site, &identity, call)?;
    let mut exchanged = exchange(shared, site, Reuse::Kept(Traffic::Calls), request).await?;
    let echo = identity.compare(&exchanged.head.headers);
    // Plain services need not echo the identity, and without it an answer delivered twice on a kept connection
    // would be taken for the next call's, noticed as one workspace's answer in another's hands. So a connection is
    // kept only after an answer that echoed, and on a kept connection the echo is required.
    // A service may well put request identifiers of its own into its answers; one that names all of another call is
    // that call's answer.
    let foreign = echo == Echo::Other && Identity::is_whole(&exchanged.head.headers);
    if foreign || (echo != Echo::Ours && exchanged.reused) {
        return Err(site.error(
            CallErrorKind::WrongIdentity,
            RunState::Unknown,
            Outcome::Failed,
            format!("the answer's identity is {echo:?}"),
        ));
    }
    if exchanged.head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(site.malformed(RunState::Unknown, "the upstream switched protocols"));
    }
    if echo == Echo::Ours {
        let idle = Arc::clone(&shared.idle);
        exchanged
            .answer
            .return_to(idle, site.address, Traffic::Calls);
    }
    Ok(exchanged)
}

fn plain_request(
    site: &CallSite,
    identity: &Identity,
    call: PlainCall,
) -> Result<Request<Full<Bytes>>, CallError> {
    if call.method == Method::CONNECT {
        return Err(site.unsendable("CONNECT cannot be passed on"));
    }
    let mut headers = call.headers;
    strip_request(&mut headers);
    CallHeaders {
        identity,
        priority: call.priority,
        idempotency_key: call.idempotency_key.as_deref(),
        traceparent: call.traceparent.as_deref(),
    }
    .add_to(&mut headers, site)?;
    build_request(site, call.method, call.path, headers, call.body)
}

/// Body of a plain service's answer; dropping it before its end closes the connection, which cancels the call.
#[derive(Debug)]
pub struct PlainBody {
    answer: Answer,
    site: CallSite,
    meter: CallMeter,
    outcome: Outcome,
    time_up: Pin<Box<Sleep>>,
    /// Chunks read ahead and not yet taken.
    ahead: VecDeque<Bytes>,
    ended: bool,
}

impl PlainBody {
    /// Reads a short answer to its end.
    ///
    /// Once its header is passed on, an answer that breaks off can only be told by breaking the caller's connection
    /// too, seen as a request with neither answer nor failure. Before that, the call can be tried again elsewhere or
    /// be failed in words.
    async fn read_ahead(&mut self) -> Result<(), CallError> {
        let length = self.answer.size_hint().exact();
        if length.is_none_or(|bytes| bytes > READ_AHEAD_BYTES) {
            return Ok(());
        }
        let mut ahead = VecDeque::new();
        while let Some(frame) = self.frame().await {
            if let Ok(chunk) = frame?.into_data() {
                ahead.push_back(chunk);
            }
        }
        self.ahead = ahead;
        Ok(())
    }

    fn fail(&mut self, failure: &Failure) -> CallError {
        self.ended = true;
        let error = self.site.failed(failure, RunState::Ran);
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
        if let Some(chunk) = self.ahead.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        if let Poll::Ready(next) = self.answer.poll_chunk(cx) {
            return Poll::Ready(match next {
                Some(Ok(chunk)) => Some(Ok(Frame::data(chunk))),
                Some(Err(failure)) => Some(Err(self.fail(&failure))),
                None => {
                    self.end();
                    None
                }
            });
        }
        ready!(self.time_up.as_mut().poll(cx));
        Poll::Ready(Some(Err(self.fail(&Failure::TimedOut))))
    }

    fn is_end_stream(&self) -> bool {
        self.ahead.is_empty() && (self.ended || self.answer.is_at_end())
    }

    fn size_hint(&self) -> SizeHint {
        if self.ahead.is_empty() {
            return self.answer.size_hint();
        }
        SizeHint::with_exact(self.ahead.iter().map(|chunk| chunk.len() as u64).sum())
    }
}
