//! Requests whose answer is read completely before it is forwarded.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, header, response::Parts};
use http_body_util::BodyExt;
use tc_upstream::{CallError, RawBody};

use super::{
    AnswerBody, Refusal, RoutedRequest, RunContext,
    attempt::{AnswerFault, Answered, Attempts, SendFailure, SendOptions},
    crashes::AnswerProgress,
    stages::{self, StageResults},
};
use crate::{
    held_bytes::{HeldBody, HeldGuard},
    upstream_stats::CallOutcome,
};

/// Fraction of the remaining time that the first attempt may take when a second one is allowed: after an upstream
/// that hangs, enough time is left for another.
const FIRST_SEND_FRACTION: f64 = 0.45;

/// Runs a request and returns its complete answer.
pub(super) async fn run(
    cx: &RunContext,
    req: &RoutedRequest,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut attempts = Attempts::default();
    let mut results = make_stages(cx, req).await?;
    let mut last_failure = None;
    loop {
        let options = SendOptions {
            results: stage_results(req, &results),
            resume_after: None,
            version: None,
            timeout: first_send_timeout(req, &attempts),
        };
        let failure = match attempts.send(cx, req, options).await {
            Ok(answered) => match read(cx, req, &mut attempts, answered).await {
                Ok(answer) if is_retryable(answer.status()) => {
                    attempts.exclude_current();
                    last_failure = Some(answer);
                    SendFailure::MayHaveRun
                }
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if !attempts.may_send_again(cx, req, failure) {
            // An upstream's own error response is preferred to a refusal by the gateway.
            return last_failure.ok_or_else(|| attempts.refusal(req, failure));
        }
        if failure == SendFailure::InputGone {
            results = make_stages_again(cx, req, &attempts).await?;
        }
    }
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

fn first_send_timeout(req: &RoutedRequest, attempts: &Attempts) -> Option<Duration> {
    let may_retry = req.route.kind.allows_retry() && attempts.sent + 1 < req.route.max_attempts;
    may_retry.then(|| {
        let part = req.time_left().mul_f64(FIRST_SEND_FRACTION);
        part.max(req.route.latency_target)
    })
}

/// Reads the body of an answer to its end; only complete answers are forwarded.
pub(super) async fn read(
    cx: &RunContext,
    req: &RoutedRequest,
    attempts: &mut Attempts,
    answered: Answered,
) -> Result<Response<AnswerBody>, SendFailure> {
    let Answered {
        mut reply,
        upstream,
        sent_at,
        in_flight,
        ..
    } = answered;
    let first_byte = sent_at.elapsed();
    let mut held = cx.held_bytes.guard();
    let body = collect_answer(&mut reply.body, &mut held).await;
    drop(in_flight);
    match body {
        Ok(body) => {
            cx.upstream_stats
                .record(&upstream.id, CallOutcome::Answered(first_byte));
            req.record_answer(&upstream, reply.head.status, attempts.sent);
            if proves_survival(&reply.head) {
                req.report_completed(cx, true);
            }
            Ok(answer(cx, &reply.head, HeldBody::new(body, held)))
        }
        Err(AnswerError::Failed(error)) => {
            log::info!(request = &*req.head.request, upstream = upstream.id.as_str(), error = error.to_string().as_str(); "answer ended before it was complete");
            let fault = AnswerFault::from(&error);
            Err(attempts.record_faulty_answer(cx, req, &upstream, fault, AnswerProgress::NotBegun))
        }
        Err(AnswerError::NoRoom) => {
            log::warn!(request = &*req.head.request, upstream = upstream.id.as_str(); "answer dropped: this instance holds too many bytes");
            Err(attempts.record_dropped_answer(&upstream.id))
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

async fn collect_answer(body: &mut RawBody, held: &mut HeldGuard) -> Result<Bytes, AnswerError> {
    let mut collected = BytesMut::new();
    while let Some(chunk) = body.chunk().await {
        let chunk = chunk.map_err(AnswerError::Failed)?;
        if !held.try_add(chunk.len()) {
            return Err(AnswerError::NoRoom);
        }
        collected.extend_from_slice(&chunk);
    }
    Ok(collected.freeze())
}

fn answer(cx: &RunContext, head: &Parts, body: HeldBody) -> Response<AnswerBody> {
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = (cx.codec.caller_headers)(&head.headers);
    answer
}
