//! Makes attempts until one produces an answer. A silent upstream is given up only for the answer of another one.

use std::time::Duration;

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::Response;
use tc_protocol::{UpstreamId, UpstreamVersion};
use tokio::time::sleep;

use super::{
    AnswerBody, Refusal, RoutedRequest, RunContext,
    attempt::{Answered, Attempt, FailedAttempt, SendOptions},
    attempts::{Attempts, MIN_TIME_LEFT},
    buffered::{make_stages_again, stage_results},
    send_failure::SendFailure,
    stages::StageResults,
};

/// Fraction of the remaining time after which another attempt is made beside one without an answer. It leaves the other
/// upstream enough time.
const SILENCE_FRACTION: f64 = 0.45;

/// Where a stream goes on: after the last event that its caller has, at the version that began it.
#[derive(Clone, Copy)]
pub(super) struct ResumePoint<'a> {
    pub(super) after: Option<u64>,
    pub(super) version: &'a UpstreamVersion,
}

/// Outcome of a request that no upstream answered as needed.
pub(super) enum Unanswered {
    /// An upstream's own error response, which is preferred to a refusal by the gateway.
    ErrorAnswer(Box<Response<AnswerBody>>),
    Refused(Refusal),
}

impl Unanswered {
    /// Returns the reason for log lines.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            Self::ErrorAnswer(_) => "an upstream answered with an error",
            Self::Refused(refusal) => refusal.reason,
        }
    }

    pub(super) fn into_answer(self) -> Result<Response<AnswerBody>, Refusal> {
        match self {
            Self::ErrorAnswer(answer) => Ok(*answer),
            Self::Refused(refusal) => Err(refusal),
        }
    }
}

/// Reads as much of an answer as makes it usable.
pub(super) type ReadAnswer<'a, T> = BoxFuture<'a, Result<T, FailedAttempt>>;

/// An attempt in progress, with its upstream.
type Pending<'a, T> = BoxFuture<'a, (UpstreamId, Result<T, FailedAttempt>)>;

/// The next event while attempts are in progress.
enum Step<T> {
    Ended(UpstreamId, Result<T, FailedAttempt>),
    Prepared(Result<Box<Attempt>, Refusal>),
    Silent,
}

/// Returns the first answer that an attempt produces. `finish` reads as much of an answer as makes it usable.
///
/// A further attempt follows a failed one. It is also made beside one without an answer, if the request may run twice
/// and the retry budget allows it; the attempts that lose are cancelled.
pub(super) async fn first_answer<'a, T>(
    cx: &'a RunContext,
    req: &'a RoutedRequest,
    attempts: &mut Attempts,
    results: StageResults,
    resume: Option<ResumePoint<'_>>,
    finish: impl Fn(Answered) -> ReadAnswer<'a, T> + Copy + Send + Sync + 'a,
) -> Result<T, Unanswered> {
    let mut inputs = Inputs {
        results,
        are_lost: false,
    };
    let mut pending: FuturesUnordered<Pending<'_, T>> = FuturesUnordered::new();
    let mut error_answer = None;
    let mut is_due = true;
    loop {
        let step = if is_due {
            tokio::select! {
                biased;
                Some((upstream, result)) = pending.next() => Step::Ended(upstream, result),
                prepared = prepare(cx, req, attempts, &mut inputs, resume) => Step::Prepared(prepared),
            }
        } else {
            tokio::select! {
                biased;
                Some((upstream, result)) = pending.next() => Step::Ended(upstream, result),
                () = sleep(silence_limit(req)), if attempts.may_hedge(req) => Step::Silent,
            }
        };
        is_due = false;
        let refusal = match step {
            Step::Ended(upstream, Ok(answer)) => {
                attempts.record_answer(cx, &upstream);
                return Ok(answer);
            }
            Step::Ended(_, Err(mut failed)) => {
                error_answer = failed.error_answer.take().or(error_answer);
                let failure = attempts.record(failed);
                inputs.are_lost |= failure == SendFailure::InputGone;
                is_due = !attempts.awaits_answer() && attempts.may_send_again(cx, req, failure);
                attempts.refusal(req, failure)
            }
            Step::Prepared(Ok(attempt)) => {
                let upstream = attempt.upstream().clone();
                pending.push(Box::pin(async move {
                    let answered = attempt.send(cx, req).await;
                    let result = match answered {
                        Ok(answered) => finish(answered).await,
                        Err(failed) => Err(failed),
                    };
                    (upstream, result)
                }));
                continue;
            }
            Step::Prepared(Err(refusal)) => refusal,
            Step::Silent => {
                is_due = attempts.hedge(cx, req, resume.map(|point| point.version));
                continue;
            }
        };
        if !is_due && pending.is_empty() {
            return Err(error_answer.map_or(Unanswered::Refused(refusal), Unanswered::ErrorAnswer));
        }
    }
}

/// The results of a request's stages, and whether an upstream found them gone.
struct Inputs {
    results: StageResults,
    are_lost: bool,
}

async fn prepare(
    cx: &RunContext,
    req: &RoutedRequest,
    attempts: &mut Attempts,
    inputs: &mut Inputs,
    resume: Option<ResumePoint<'_>>,
) -> Result<Box<Attempt>, Refusal> {
    if inputs.are_lost {
        inputs.results = make_stages_again(cx, req, attempts).await?;
        inputs.are_lost = false;
    }
    let options = SendOptions {
        results: stage_results(req, &inputs.results),
        resume_after: resume.and_then(|point| point.after),
        version: resume.map(|point| point.version),
    };
    let prepared = attempts.prepare(cx, req, options).await;
    prepared
        .map(Box::new)
        .map_err(|failure| attempts.refusal(req, failure))
}

/// Returns the time without an answer after which another attempt may be made.
fn silence_limit(req: &RoutedRequest) -> Duration {
    let part = req.time_left().mul_f64(SILENCE_FRACTION);
    part.max(req.route.latency_target).max(MIN_TIME_LEFT)
}

impl Attempts {
    /// Returns true if the request may run on another upstream while one that has it is silent.
    pub(super) fn may_hedge(&self, req: &RoutedRequest) -> bool {
        req.route.kind.allows_retry() && self.sent < req.route.max_attempts
    }

    /// Returns whether another attempt is to be made because the latest one has no answer, and spends retry budget.
    fn hedge(
        &mut self,
        cx: &RunContext,
        req: &RoutedRequest,
        version: Option<&UpstreamVersion>,
    ) -> bool {
        let Some(silent) = self.in_progress.last().cloned() else {
            return false;
        };
        if !self.has_candidates(1, cx, req, version, Some(&silent)) {
            return false;
        }
        self.record_silence(&silent);
        let is_allowed = self.may_send_again(cx, req, SendFailure::MayHaveRun);
        log_silence(req, &silent, is_allowed);
        is_allowed
    }
}

fn log_silence(req: &RoutedRequest, silent: &UpstreamId, is_allowed: bool) {
    let result = if is_allowed { "hedged" } else { "waited" };
    metrics::counter!("tc_silent_attempts_total", "result" => result).increment(1);
    log::info!(request = &*req.head.request, upstream = silent.as_str(), result = result, after_ms = req.arrived.elapsed().as_millis() as u64; "no answer yet from upstream");
}
