//! The run of a key: at most once, on to its end, its outcome given to every delivery.

use std::sync::{Arc, PoisonError};

use futures::future::BoxFuture;
use tc_protocol::{ClaimKey, ClaimVerdict, Decision, MonoTime, ProblemKind, RequestId, RunState};
use tokio::sync::watch;
use tracing::Instrument;

use crate::{
    http::{Failure, problem_answer},
    idempotency::{FinalResponse, KeyVerdict},
    limits::{RECORD_TIMEOUT, RETRY_AFTER},
    run::RequestContext,
    shared::Shared,
};

/// One delivery of a non-idempotent request.
pub(crate) struct KeyedRequest {
    pub(crate) key: ClaimKey,
    pub(crate) body_hash: u64,
    /// Whether the key is bound to this instance; otherwise it is claimed in the platform's store.
    pub(crate) bound: bool,
}

/// Where the answer of a delivery comes from.
pub(crate) enum ResponseSource {
    /// From the run that this delivery started.
    Started(watch::Receiver<Option<Arc<FinalResponse>>>),
    /// From a run that another delivery started.
    Joined(watch::Receiver<Option<Arc<FinalResponse>>>),
    /// It is there already.
    Completed(Arc<FinalResponse>),
}

/// Starts the run of a key unless it was started before.
///
/// The run goes on to its end when its caller leaves: given up half way, its outcome would be unknown for ever.
pub(crate) fn run_once<R>(
    cx: &Arc<RequestContext>,
    keyed: KeyedRequest,
    run: R,
) -> Result<ResponseSource, Failure>
where
    R: FnOnce() -> BoxFuture<'static, FinalResponse> + Send + 'static,
{
    let begun = lock(&cx.shared).begin(MonoTime::now(), &keyed.key, keyed.body_hash);
    let how = match begun {
        KeyVerdict::New(answer) => {
            spawn(cx.clone(), keyed, run);
            return Ok(ResponseSource::Started(answer));
        }
        KeyVerdict::Running(answer) => {
            Ok((ResponseSource::Joined(answer), "joined a run of this key"))
        }
        KeyVerdict::Completed(answer) => Ok((
            ResponseSource::Completed(answer),
            "found the outcome of this key",
        )),
        KeyVerdict::BodyMismatch => Err(key_reused()),
        KeyVerdict::TableFull => Err(Failure::not_run(
            ProblemKind::Overloaded,
            "this instance holds as many idempotency keys as it may; this delivery was not run",
        )
        .with_retry_after(RETRY_AFTER)),
    };
    how.map(|(source, how)| {
        cx.note(Decision::Claimed { how: how.into() });
        source
    })
}

/// Waits for the answer of a run.
pub(crate) async fn wait_for_response(
    cx: &RequestContext,
    mut answer: watch::Receiver<Option<Arc<FinalResponse>>>,
) -> Result<Arc<FinalResponse>, Failure> {
    let arrived = answer.wait_for(Option::is_some);
    match tokio::time::timeout(cx.remaining() + RETRY_AFTER, arrived).await {
        Ok(Ok(answer)) => answer.clone().ok_or_else(outcome_unknown),
        _ => Err(outcome_unknown()),
    }
}

fn spawn<R>(cx: Arc<RequestContext>, keyed: KeyedRequest, run: R)
where
    R: FnOnce() -> BoxFuture<'static, FinalResponse> + Send + 'static,
{
    let shared = cx.shared.clone();
    let in_flight = shared.enter();
    let to_its_end = async move {
        let _in_flight = in_flight;
        let running = Running::new(&cx, &keyed.key);
        if keyed.bound {
            running.finish(run().await);
            return;
        }
        let claim_id = match claim(&cx, &keyed).await {
            Claimed::Ours(claim_id) => claim_id,
            Claimed::Recorded(answer) => return running.finish(answer),
            Claimed::Refused(failure) => return running.abandon(&failure),
        };
        let answer = run().await;
        let recorded = answer.to_recorded();
        running.finish(answer);
        record(&cx, &keyed.key, claim_id, recorded).await;
    };
    shared.tasks.spawn(to_its_end.in_current_span());
}

/// What claiming a key in the store came to.
enum Claimed {
    /// This delivery runs.
    Ours(String),
    /// An earlier one ran, with this answer.
    Recorded(FinalResponse),
    /// This one must not run.
    Refused(Failure),
}

async fn claim(cx: &RequestContext, keyed: &KeyedRequest) -> Claimed {
    let verdict = ask_store(cx, keyed).await;
    cx.note(Decision::Claimed {
        how: words(&verdict).into(),
    });
    metrics::counter!("tc_claims_total", "verdict" => label(&verdict)).increment(1);
    let failure = match verdict {
        ClaimVerdict::Acquired { claim_id } => return Claimed::Ours(claim_id),
        ClaimVerdict::Recorded(recorded) => {
            cx.finish(None);
            return Claimed::Recorded(FinalResponse::from_recorded(&recorded));
        }
        ClaimVerdict::Held => outcome_unknown(),
        ClaimVerdict::BodyMismatch => key_reused(),
        ClaimVerdict::Unavailable => store_unavailable(),
    };
    cx.finish(Some(&failure));
    Claimed::Refused(failure)
}

/// Claims the key, and waits for the outcome of a claim that another run holds.
async fn ask_store(cx: &RequestContext, keyed: &KeyedRequest) -> ClaimVerdict {
    let ports = &cx.shared.ports;
    let asked = (ports.claim)(keyed.key.clone(), keyed.body_hash, cx.remaining());
    // A claim that comes after the deadline is of no use: nothing is run under it.
    let verdict = tokio::time::timeout(cx.remaining(), asked).await;
    match verdict.unwrap_or(ClaimVerdict::Unavailable) {
        ClaimVerdict::Held => {
            let joined = (ports.join_claim)(keyed.key.clone(), cx.remaining());
            match tokio::time::timeout(cx.remaining(), joined).await {
                // The store was lost while another run holds the claim. Told "not run", the caller could send the
                // same thing under another key, and its effect would be doubled.
                Ok(ClaimVerdict::Unavailable) | Err(_) => ClaimVerdict::Held,
                Ok(verdict) => verdict,
            }
        }
        verdict => verdict,
    }
}

async fn record(
    cx: &RequestContext,
    key: &ClaimKey,
    claim_id: String,
    outcome: tc_protocol::RecordedOutcome,
) {
    let recording = (cx.shared.ports.record)(key.clone(), claim_id, outcome);
    let recorded = tokio::time::timeout(RECORD_TIMEOUT, recording).await;
    if !recorded.unwrap_or(false) {
        metrics::counter!("tc_outcomes_not_recorded_total").increment(1);
        log::warn!(request = cx.id.as_str(); "the outcome of a claim could not be recorded");
    }
}

/// A key whose run is under way; ends it as unknown when the run is torn down without an answer.
///
/// Otherwise every later delivery of the key would wait for an answer that never comes.
struct Running {
    shared: Arc<Shared>,
    key: ClaimKey,
    id: RequestId,
    retention: std::time::Duration,
    ended: bool,
}

impl Running {
    fn new(cx: &RequestContext, key: &ClaimKey) -> Self {
        let retention = cx.view.config.policy.claim_retention_s;
        Self {
            shared: cx.shared.clone(),
            key: key.clone(),
            id: cx.id.clone(),
            retention: std::time::Duration::from_secs(retention),
            ended: false,
        }
    }

    fn finish(mut self, answer: FinalResponse) {
        self.end(answer);
    }

    /// Ends a delivery that was refused without a run here. Its key is not kept, so that the next delivery asks the
    /// store again: the run that holds the claim may have ended by then.
    fn abandon(mut self, failure: &Failure) {
        self.ended = true;
        let answer = Arc::new(problem_answer(failure, &self.id));
        lock(&self.shared).abandon(&self.key, &answer);
    }

    fn end(&mut self, answer: FinalResponse) {
        self.ended = true;
        let answer = Arc::new(answer);
        lock(&self.shared).finish(MonoTime::now(), &self.key, &answer, self.retention);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.ended {
            self.end(problem_answer(&outcome_unknown(), &self.id));
        }
    }
}

const fn words(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Acquired { .. } => "claimed in the platform's store",
        ClaimVerdict::Held => "another run holds the claim and has no outcome yet",
        ClaimVerdict::Recorded(_) => "found the recorded outcome",
        ClaimVerdict::BodyMismatch => "the key was claimed with another body",
        ClaimVerdict::Unavailable => "the platform's store cannot be reached",
    }
}

const fn label(verdict: &ClaimVerdict) -> &'static str {
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
