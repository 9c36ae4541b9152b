//! Resuming a stream after the caller has reconnected.

use std::sync::Arc;

use tc_protocol::{ProblemKind, RunState, WorkspaceName};

use crate::{
    http::{CallerResponse, Failure, ResumeFrom},
    shared::Shared,
    streams::stream_response,
};

/// Returns a response with the rest of a stream that is registered on this instance.
pub(crate) fn resume(
    shared: &Arc<Shared>,
    workspace: &WorkspaceName,
    from: &ResumeFrom,
) -> Result<CallerResponse, Failure> {
    let log = shared
        .streams
        .find(workspace, &from.request)
        .ok_or_else(not_resumable)?;
    metrics::counter!("tc_caller_resumes_total").increment(1);
    stream_response(&log, from.last_event_id, &from.request)
}

/// Returns the failure for a stream that cannot be resumed. Its outcome is unknown, because the stream is no longer
/// registered or the requested events are not retained.
pub(crate) fn not_resumable() -> Failure {
    Failure::new(
        ProblemKind::OutcomeUnknown,
        RunState::Unknown,
        "this part of the stream is no longer kept; send the request again without Last-Event-ID",
    )
}
