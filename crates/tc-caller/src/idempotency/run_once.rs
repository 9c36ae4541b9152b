//! Runs the request of an idempotency key at most once and to completion, and gives its response to every delivery.

use std::sync::{Arc, PoisonError};

use futures::future::BoxFuture;
use tc_protocol::{ClaimKey, ClaimVerdict, Decision, MonoTime, ProblemKind, RequestId, RunState};
use tokio::sync::watch;
use tracing::Instrument;

use crate::{
    http::{Failure, problem_response},
    idempotency::{FinalResponse, KeyVerdict},
    limits::{RECORD_TIMEOUT, RETRY_AFTER},
    run::RequestContext,
    shared::Shared,
};

/// One delivery of a non-idempotent request.
pub(crate) struct KeyedRequest {
    pub(crate) key: ClaimKey,
    pub(crate) body_hash: u64,
    /// Whether the key is bound to this instance. Otherwise it must be claimed in the platform's store.
    pub(crate) bound: bool,
}

/// Where the response to a delivery comes from.
pub(crate) enum ResponseSource {
    /// The run that this delivery started.
    Started(watch::Receiver<Option<Arc<FinalResponse>>>),
    /// A run that another delivery started.
    Joined(watch::Receiver<Option<Arc<FinalResponse>>>),
    /// A run that has already completed.
    Completed(Arc<FinalResponse>),
}

/// Runs the request of a key unless another delivery has already started it.
///
/// The run completes even if its caller disconnects. If it were cancelled, its outcome would stay unknown.
pub(crate) fn run_once<R>(
    cx: &Arc<RequestContext>,
    request: KeyedRequest,
    run: R,
) -> Result<ResponseSource, Failure>
where
    R: FnOnce() -> BoxFuture<'static, FinalResponse> + Send + 'static,
{
    let verdict = lock(&cx.shared).begin(MonoTime::now(), &request.key, request.body_hash);
    let source = match verdict {
        KeyVerdict::New(response) => {
            spawn(cx.clone(), request, run);
            return Ok(ResponseSource::Started(response));
        }
        KeyVerdict::Running(response) => {
            Ok((ResponseSource::Joined(response), "joined a run of this key"))
        }
        KeyVerdict::Completed(response) => Ok((
            ResponseSource::Completed(response),
            "found the outcome of this key",
        )),
        KeyVerdict::BodyMismatch => Err(key_reused()),
        KeyVerdict::TableFull => Err(Failure::not_run(
            ProblemKind::Overloaded,
            "this instance holds as many idempotency keys as it may; this delivery was not run",
        )
        .with_retry_after(RETRY_AFTER)),
    };
    source.map(|(source, how)| {
        cx.record(Decision::Claimed { how: how.into() });
        source
    })
}

/// Waits for the response of a run.
pub(crate) async fn wait_for_response(
    cx: &RequestContext,
    mut response: watch::Receiver<Option<Arc<FinalResponse>>>,
) -> Result<Arc<FinalResponse>, Failure> {
    let arrived = response.wait_for(Option::is_some);
    match tokio::time::timeout(cx.remaining() + RETRY_AFTER, arrived).await {
        Ok(Ok(response)) => response.clone().ok_or_else(outcome_unknown),
        _ => Err(outcome_unknown()),
    }
}

fn spawn<R>(cx: Arc<RequestContext>, request: KeyedRequest, run: R)
where
    R: FnOnce() -> BoxFuture<'static, FinalResponse> + Send + 'static,
{
    let shared = cx.shared.clone();
    let in_flight = shared.track_request();
    let run_to_completion = async move {
        let _in_flight = in_flight;
        let guard = RunGuard::new(&cx, &request.key);
        if request.bound {
            guard.finish(run().await);
            return;
        }
        let claim_id = match claim(&cx, &request).await {
            ClaimResult::Acquired(claim_id) => claim_id,
            ClaimResult::Recorded(response) => return guard.finish(response),
            ClaimResult::Refused(failure) => return guard.abandon(&failure),
        };
        let response = run().await;
        let recorded = response.to_recorded();
        guard.finish(response);
        record_outcome(&cx, &request.key, claim_id, recorded).await;
    };
    shared.tasks.spawn(run_to_completion.in_current_span());
}

/// Result of claiming a key in the platform's store.
enum ClaimResult {
    /// The claim was acquired: run the request.
    Acquired(String),
    /// An earlier run has completed with this response.
    Recorded(FinalResponse),
    /// The request must not run.
    Refused(Failure),
}

async fn claim(cx: &RequestContext, request: &KeyedRequest) -> ClaimResult {
    let verdict = claim_or_join(cx, request).await;
    cx.record(Decision::Claimed {
        how: description(&verdict).into(),
    });
    metrics::counter!("tc_claims_total", "verdict" => metric_label(&verdict)).increment(1);
    let failure = match verdict {
        ClaimVerdict::Acquired { claim_id } => return ClaimResult::Acquired(claim_id),
        ClaimVerdict::Recorded(recorded) => {
            cx.finish(None);
            return ClaimResult::Recorded(FinalResponse::from_recorded(&recorded));
        }
        ClaimVerdict::Held => outcome_unknown(),
        ClaimVerdict::BodyMismatch => key_reused(),
        ClaimVerdict::Unavailable => store_unavailable(),
    };
    cx.finish(Some(&failure));
    ClaimResult::Refused(failure)
}

/// Claims the key. If another run holds the claim, waits for its outcome.
async fn claim_or_join(cx: &RequestContext, request: &KeyedRequest) -> ClaimVerdict {
    let ports = &cx.shared.ports;
    let claimed = (ports.claim)(request.key.clone(), request.body_hash, cx.remaining());
    // A claim acquired after the deadline is not used, so nothing runs under it.
    let verdict = tokio::time::timeout(cx.remaining(), claimed).await;
    match verdict.unwrap_or(ClaimVerdict::Unavailable) {
        ClaimVerdict::Held => {
            let joined = (ports.wait_for_outcome)(request.key.clone(), cx.remaining());
            match tokio::time::timeout(cx.remaining(), joined).await {
                // The store became unreachable while another run holds the claim. With the run state `not_run`, the
                // caller could resend the request under another key, and it would run a second time.
                Ok(ClaimVerdict::Unavailable) | Err(_) => ClaimVerdict::Held,
                Ok(verdict) => verdict,
            }
        }
        verdict => verdict,
    }
}

async fn record_outcome(
    cx: &RequestContext,
    key: &ClaimKey,
    claim_id: String,
    outcome: tc_protocol::RecordedOutcome,
) {
    let recording = (cx.shared.ports.record_outcome)(key.clone(), claim_id, outcome);
    let recorded = tokio::time::timeout(RECORD_TIMEOUT, recording).await;
    if !recorded.unwrap_or(false) {
        metrics::counter!("tc_outcomes_not_recorded_total").increment(1);
        log::warn!(request = cx.id.as_str(); "outcome of claim not recorded");
    }
}

/// Guard of a running key. If it is dropped before the run has produced a response, it completes the key with an
/// unknown outcome.
///
/// Otherwise every later delivery of the key would wait for a response that never arrives.
struct RunGuard {
    shared: Arc<Shared>,
    key: ClaimKey,
    id: RequestId,
    retention: std::time::Duration,
    completed: bool,
}

impl RunGuard {
    fn new(cx: &RequestContext, key: &ClaimKey) -> Self {
        let retention = cx.view.config.policy.claim_retention_s;
        Self {
            shared: cx.shared.clone(),
            key: key.clone(),
            id: cx.id.clone(),
            retention: std::time::Duration::from_secs(retention),
            completed: false,
        }
    }

    fn finish(mut self, response: FinalResponse) {
        self.complete(response);
    }

    /// Ends a delivery that was refused without a run on this instance. The key is removed so that the next delivery
    /// tries to claim it again: the run that holds the claim may have completed by then.
    fn abandon(mut self, failure: &Failure) {
        self.completed = true;
        let response = Arc::new(problem_response(failure, &self.id));
        lock(&self.shared).abandon(&self.key, &response);
    }

    fn complete(&mut self, response: FinalResponse) {
        self.completed = true;
        let response = Arc::new(response);
        lock(&self.shared).finish(MonoTime::now(), &self.key, &response, self.retention);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.completed {
            self.complete(problem_response(&outcome_unknown(), &self.id));
        }
    }
}

const fn description(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Acquired { .. } => "claimed in the platform's store",
        ClaimVerdict::Held => "another run holds the claim and has no outcome yet",
        ClaimVerdict::Recorded(_) => "found the recorded outcome",
        ClaimVerdict::BodyMismatch => "the key was claimed with another body",
        ClaimVerdict::Unavailable => "the platform's store cannot be reached",
    }
}

const fn metric_label(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Acquired { .. } => "ours",
        ClaimVerdict::Held => "held",
        ClaimVerdict::Recorded(_) => "recorded",
        ClaimVerdict::BodyMismatch => "other-body",
        ClaimVerdict::Unavailable => "unavailable",
    }
}

fn key_reused() -> Failure {
    Failure::not_run(
        ProblemKind::KeyReused,
        "this idempotency key was used with another body; this delivery was not run",
    )
}

fn store_unavailable() -> Failure {
    Failure::not_run(
        ProblemKind::StoreUnavailable,
        "the key could not be claimed, so this delivery was not run; a key with a binding needs no claim",
    )
    .with_retry_after(RETRY_AFTER)
}

fn outcome_unknown() -> Failure {
    Failure::new(
        ProblemKind::OutcomeUnknown,
        RunState::Unknown,
        "an earlier delivery of this key was started and its outcome is not known",
    )
}

fn lock(shared: &Shared) -> std::sync::MutexGuard<'_, crate::idempotency::KeyTable> {
    shared.keys.lock().unwrap_or_else(PoisonError::into_inner)
}
