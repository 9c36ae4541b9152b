//! Requests whose answer is a stream, forwarded event by event.

use std::sync::Arc;

use futures::{FutureExt, stream};
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tc_protocol::UpstreamVersion;

use super::{
    AnswerBody, Refusal, RoutedRequest, RunContext,
    attempt::{Answered, AttemptFailure, FailedAttempt},
    attempts::Attempts,
    buffered::{make_stages, proves_survival, read},
    hedge::{ResumePoint, Unanswered, first_answer},
    open_stream::OpenStream,
    relay::Relay,
    resumption::record_origin,
    send_failure::SendFailure,
};

/// Runs a request until its first event; the remaining events follow in the answer's body.
pub(super) async fn run(
    cx: Arc<RunContext>,
    req: Arc<RoutedRequest>,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut attempts = Attempts::default();
    let resume = req.origin.as_ref().map(|origin| ResumePoint {
        after: req.head.resume_after,
        version: &origin.version,
    });
    let version = resume.map(|point| point.version);
    if resume.is_some() && !attempts.has_candidates(1, &cx, &req, version, None) {
        return Err(Refusal::not_run_transient(
            "no upstream has the version that began the stream",
        ));
    }
    let results = make_stages(&cx, &req).await?;
    let opened = {
        let finish = |answered| open(&cx, &req, answered).boxed();
        first_answer(&cx, &req, &mut attempts, results, resume, finish).await
    };
    match opened {
        Ok(Opened::Buffered(answer)) => Ok(answer),
        Ok(Opened::Stream(open)) => {
            if open.first.is_some() {
                record_origin(&cx, &req, open.answered.upstream.version.as_ref());
            }
            Ok(stream_answer(
                Arc::clone(&cx),
                Arc::clone(&req),
                attempts,
                open,
            ))
        }
        Err(unanswered) => unanswered.into_answer(),
    }
}

/// An answer that has started.
enum Opened {
    /// Not a stream, read completely.
    Buffered(Response<AnswerBody>),
    Stream(Box<OpenStream>),
}

/// Reads an answer to its first event, or to its end if it is not a stream.
async fn open(
    cx: &RunContext,
    req: &RoutedRequest,
    answered: Answered,
) -> Result<Opened, FailedAttempt> {
    if !answered.is_stream() {
        return read(cx, req, answered).await.map(Opened::Buffered);
    }
    let open = OpenStream::open(cx, req, answered).await?;
    Ok(Opened::Stream(open))
}

fn stream_answer(
    cx: Arc<RunContext>,
    req: Arc<RoutedRequest>,
    attempts: Attempts,
    open: Box<OpenStream>,
) -> Response<AnswerBody> {
    let head = &open.answered.reply.head;
    let (status, headers) = (head.status, (cx.codec.caller_headers)(&head.headers));
    let relay = Relay::new(cx, req, attempts, open);
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        if next.is_err() {
            // The HTTP library drops what it has not written when a body fails; it writes while a body is pending.
            tokio::task::yield_now().await;
        }
        Some((next.map(Frame::data), relay))
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Opens a stream on another engine of the version that began it, after a failure of the attempt before.
pub(super) async fn resume(
    cx: &RunContext,
    req: &RoutedRequest,
    attempts: &mut Attempts,
    failure: SendFailure,
    after: Option<u64>,
    version: &UpstreamVersion,
) -> Result<Box<OpenStream>, Unanswered> {
    let results = make_stages(cx, req).await.map_err(Unanswered::Refused)?;
    // Not spent on a stream whose stages are refused.
    let may_send = attempts.check_send_again(cx, req, failure);
    may_send.map_err(|reason| Unanswered::Refused(Refusal::outcome_unknown(reason)))?;
    let point = ResumePoint { after, version };
    let finish = |answered| open_stream(cx, req, answered).boxed();
    first_answer(cx, req, attempts, results, Some(point), finish).await
}

async fn open_stream(
    cx: &RunContext,
    req: &RoutedRequest,
    answered: Answered,
) -> Result<Box<OpenStream>, FailedAttempt> {
    if !answered.is_stream() {
        return Err(answered.into_failed(AttemptFailure::MayHaveRun));
    }
    let open = OpenStream::open(cx, req, answered).await?;
    if open.first.is_none() && !proves_survival(&open.answered.reply.head) {
        // The connection may have ended before the first event.
        return Err(open.answered.into_failed(AttemptFailure::MayHaveRun));
    }
    Ok(open)
}
