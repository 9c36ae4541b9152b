//! Requests whose answer is read completely before it is forwarded.

use futures::FutureExt;
use http::{Response, StatusCode, header, response::Parts};
use http_body_util::BodyExt;
use tc_upstream::{CallError, RawBody};

use super::{
    AnswerBody, Refusal, RoutedRequest, RunContext,
    attempt::{Answered, AttemptFailure, FailedAttempt},
    attempts::Attempts,
    crashes::AnswerProgress,
    hedge::{Unanswered, first_answer},
    room::PlainArrival,
    send_failure::{AnswerFault, SendFailure},
    stages::{self, StageResults},
};
use crate::{
    held_bytes::{HeldBody, HeldBuffer},
    upstream_stats::CallOutcome,
};

/// Runs a request and returns its complete answer.
pub(super) async fn run(
    cx: &RunContext,
    req: &RoutedRequest,
) -> Result<Response<AnswerBody>, Refusal> {
    let arrival = PlainArrival::record(cx, req)?;
    let mut attempts = Attempts::default();
    let results = make_stages(cx, req).await?;
    let finish = |answered| read(cx, req, answered).boxed();
    let answered = first_answer(cx, req, &mut attempts, results, None, finish).await;
    let answered = answered.or_else(Unanswered::into_answer);
    answered.map_err(|refusal| match arrival {
        Some(arrival) => arrival.with_return_time(cx, req, refusal),
        None => refusal,
    })
}

/// Makes the stages of the request, if its route has any.
pub(super) async fn make_stages(
    cx: &RunContext,
    req: &RoutedRequest,
) -> Result<StageResults, Refusal> {
    stages::make_all(cx, req).await.map_err(Refusal::from)
}

/// Makes the stages again after their results were lost.
///
/// An earlier attempt may have run the request, so a stage that fails now must not be reported as "not run".
pub(super) async fn make_stages_again(
    cx: &RunContext,
    req: &RoutedRequest,
    attempts: &Attempts,
) -> Result<StageResults, Refusal> {
    let results = make_stages(cx, req).await;
    results.map_err(|refusal| {
        if attempts.may_have_run {
            attempts.refusal(req, SendFailure::InputGone)
        } else {
            refusal
        }
    })
}

/// Returns the stage results to send with a request; `None` for routes without stages.
pub(super) fn stage_results<'a>(
    req: &RoutedRequest,
    results: &'a StageResults,
) -> Option<&'a StageResults> {
    (!req.route.stages.is_empty()).then_some(results)
}

/// Returns whether another upstream may succeed after this status.
fn is_retryable(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Reads the body of an answer to its end; only complete answers are forwarded. An error of the upstream is a failed
/// attempt, as another upstream may succeed.
pub(super) async fn read(
    cx: &RunContext,
    req: &RoutedRequest,
    mut answered: Answered,
) -> Result<Response<AnswerBody>, FailedAttempt> {
    let first_byte = answered.sent_at.elapsed();
    let buf = HeldBuffer::new(cx.held_bytes.guard());
    let body = collect_answer(&mut answered.reply.body, buf).await;
    let upstream = &answered.upstream;
    match body {
        Ok(body) => {
            let parts = &answered.reply.head;
            cx.upstream_stats
                .record(&upstream.id, CallOutcome::Answered(first_byte));
            req.record_answer(upstream, parts.status, answered.number);
            if proves_survival(parts) {
                req.report_completed(cx, true);
            }
            let answer = answer(cx, parts, body);
            if is_retryable(answer.status()) {
                return Err(answered.into_error_answer(answer));
            }
            Ok(answer)
        }
        Err(AnswerError::Failed(error)) => {
            log::info!(request = &*req.head.request, upstream = upstream.id.as_str(), error = error.to_string().as_str(); "answer ended before it was complete");
            let fault = AnswerFault::from(&error);
            Err(answered.into_faulty(cx, req, fault, AnswerProgress::NotBegun))
        }
        Err(AnswerError::NoRoom) => {
            log::warn!(request = &*req.head.request, upstream = upstream.id.as_str(); "answer dropped: this instance holds too many bytes");
            // The upstream is not at fault.
            Err(answered.into_failed(AttemptFailure::MayHaveRun))
        }
    }
}

/// Returns true if a complete answer with this head shows that its upstream survived the request.
///
/// An upstream's own error may precede the run, and an answer that ends with its connection looks complete when the
/// upstream crashes.
pub(super) fn proves_survival(head: &Parts) -> bool {
    let has_end = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    head.status.is_success() && has_end
}

/// Reason why an answer was not read to its end.
enum AnswerError {
    Failed(CallError),
    /// This process holds too many bytes already.
    NoRoom,
}

async fn collect_answer(body: &mut RawBody, mut buf: HeldBuffer) -> Result<HeldBody, AnswerError> {
    while let Some(chunk) = body.chunk().await {
        let chunk = chunk.map_err(AnswerError::Failed)?;
        if !buf.push(&chunk) {
            return Err(AnswerError::NoRoom);
        }
    }
    Ok(buf.into_body())
}

fn answer(cx: &RunContext, head: &Parts, body: HeldBody) -> Response<AnswerBody> {
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = (cx.codec.caller_headers)(&head.headers);
    answer
}
