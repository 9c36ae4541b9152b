//! Adaptive throttling, based on the outcomes of a workspace's recent requests to the same pipeline.

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

/// Suggested delay before a retry: the time window over which outcomes count.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of throttles. There is one for each combination of workspace and pipeline in use, so only
/// configuration changes leave unused ones behind.
const MAX_THROTTLES: usize = 10_000;

type ThrottleKey = (WorkspaceName, PipelineName);

/// This instance's throttles by workspace and pipeline.
#[derive(Default)]
pub(crate) struct Throttles {
    by_key: Mutex<HashMap<ThrottleKey, Throttle>>,
}

impl Throttles {
    /// Admits the request, or refuses it before any of its stages has run.
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

    /// Records whether an admitted request failed for lack of capacity.
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

/// Returns true if a request failed for lack of capacity. A failure of the upstream itself does not count, since
/// refusing other requests would not help.
const fn is_miss(kind: ProblemKind) -> bool {
    matches!(
        kind,
        ProblemKind::CannotFinish | ProblemKind::Overloaded | ProblemKind::DeadlineExceeded
    )
}
