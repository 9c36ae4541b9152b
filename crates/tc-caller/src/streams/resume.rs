//! A caller that comes back for the rest of its stream.

use std::sync::Arc;

use tc_protocol::{ProblemKind, RunState, WorkspaceName};

use crate::{
    http::{CallerResponse, Failure, ResumeFrom},
    shared::Shared,
    streams::stream_response,
};

/// Sends the rest of a stream that this instance keeps.
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

/// What a caller is told whose stream cannot be resumed: how it ended can't be known any more.
pub(crate) fn not_resumable() -> Failure {
    Failure::new(
        ProblemKind::OutcomeUnknown,
        RunState::Unknown,
        "this part of the stream is no longer kept; send the request again without Last-Event-ID",
    )
}
