//! Admission by the outcomes of a workspace's earlier requests of the same pipeline.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tc_policy::Throttle;
use tc_protocol::{MonoTime, PipelineName, ProblemKind, WorkspaceName};

use crate::{
    http::Failure,
    run::{context::RequestContext, pipeline::PipelineResponse},
};

/// When room may have been found: the time over which outcomes count.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Kinds kept; there are as many as workspaces use pipelines, so only a change of configuration leaves old ones.
const MAX_THROTTLES: usize = 10_000;

type ThrottleKey = (WorkspaceName, PipelineName);

/// Throttles of all kinds of requests of this instance.
#[derive(Default)]
pub(crate) struct Throttles {
    by_key: Mutex<HashMap<ThrottleKey, Throttle>>,
}

impl Throttles {
    /// Lets the request in, or refuses it before anything of it has run.
    pub(crate) fn admit(&self, cx: &RequestContext) -> Result<(), Failure> {
        let now = MonoTime::now();
        if self.with_throttle(cx, |throttle| throttle.admit(now, rand::random())) {
            return Ok(());
        }
        metrics::counter!("tc_throttled_total").increment(1);
        let detail = "too few of the workspace's requests of this pipeline find room in time now";
        Err(cx
            .failure(ProblemKind::CannotFinish, detail)
            .with_retry_after(RETRY_AFTER))
    }

    /// Notes whether a request that was let in found room.
    pub(crate) fn record(&self, cx: &RequestContext, result: &Result<PipelineResponse, Failure>) {
        let now = MonoTime::now();
        let missed = result.as_ref().is_err_and(|failure| is_miss(failure.kind));
        self.with_throttle(cx, |throttle| {
            if missed {
                throttle.record_missed(now);
            } else {
                throttle.record_accepted(now);
            }
        });
    }

    fn with_throttle<T>(&self, cx: &RequestContext, f: impl FnOnce(&mut Throttle) -> T) -> T {
        let Some(pipeline) = cx.pipeline.clone() else {
            return f(&mut Throttle::default());
        };
        let mut by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        if by_key.len() >= MAX_THROTTLES {
            by_key.clear();
        }
        f(by_key.entry((cx.workspace.clone(), pipeline)).or_default())
    }
}

/// Whether a request failed for want of room. An upstream's own failure is none: refusing others would not help.
const fn is_miss(kind: ProblemKind) -> bool {
    matches!(
        kind,
        ProblemKind::CannotFinish | ProblemKind::Overloaded | ProblemKind::DeadlineExceeded
    )
}
