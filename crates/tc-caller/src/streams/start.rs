//! Runs a pipeline and streams its response.

use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{
    HeaderValue, Response,
    header::{CACHE_CONTROL, CONTENT_TYPE},
};
use tc_protocol::{RequestId, wire};
use tracing::Instrument;

use crate::{
    http::{CallerBody, CallerResponse, Failure},
    limits::RESUME_WINDOW,
    run::{PipelineCall, PipelineResponse, RequestContext, run_pipeline},
    streams::{
        StreamEnd, StreamLog, StreamStart,
        event::{done_event, problem_event},
    },
};

/// Reader of a stream. When it is dropped, it detaches, and the stream can be resumed or becomes abandoned.
struct Reader {
    log: Arc<StreamLog>,
    reader_id: u64,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.log.detach(self.reader_id);
    }
}

/// Runs a pipeline and streams its last stage. The run is cancelled if its stream is abandoned, so the pipeline must be
/// idempotent.
pub(crate) async fn start_stream(
    cx: Arc<RequestContext>,
    call: PipelineCall,
) -> Result<CallerResponse, Failure> {
    let log = Arc::new(StreamLog::new());
    let id = cx.id.clone();
    let response = stream_response(&log, 0, &id);
    let shared = cx.shared.clone();
    let in_flight = shared.track_request();
    let run = {
        let log = log.clone();
        async move {
            let _in_flight = in_flight;
            tokio::select! {
                _ = run_into_stream(&cx, &call, &log) => {}
                // This drops the run, which cancels its call at the upstream.
                () = log.wait_until_abandoned() => log.end(StreamEnd::Event(Bytes::new())),
            }
        }
    };
    shared.tasks.spawn(run.in_current_span());
    match log.wait_for_start().await {
        StreamStart::Failure(failure) => Err(failure),
        StreamStart::Streaming => response,
    }
}

/// Runs a pipeline and appends its output to `log`. The stream can be resumed while the pipeline runs, and for
/// [`RESUME_WINDOW`] after that.
pub(crate) async fn run_into_stream(
    cx: &Arc<RequestContext>,
    call: &PipelineCall,
    log: &Arc<StreamLog>,
) -> Result<PipelineResponse, Failure> {
    let registry = &cx.shared.streams;
    let registration = registry.register(cx.workspace.clone(), cx.id.clone(), log.clone());
    let result = run_pipeline(cx, call, Some(log)).await;
    cx.finish(result.as_ref().err());
    log.end(match &result {
        Ok(answer) => StreamEnd::Event(done_event(answer)),
        Err(failure) if log.has_events() => {
            StreamEnd::Event(problem_event(&failure.problem(&cx.id)))
        }
        Err(failure) => StreamEnd::Failure(failure.clone()),
    });
    tokio::spawn(async move {
        tokio::time::sleep(RESUME_WINDOW).await;
        drop(registration);
    });
    result
}

/// Returns a response that streams the events after `last`, or a failure if they are no longer retained.
pub(crate) fn stream_response(
    log: &Arc<StreamLog>,
    last: u64,
    id: &RequestId,
) -> Result<CallerResponse, Failure> {
    let reader_id = log.attach(last).ok_or_else(super::resume::not_resumable)?;
    let reader = Reader {
        log: log.clone(),
        reader_id,
    };
    let events = stream::unfold(reader, |reader| async move {
        let frame = reader.log.next_frame(reader.reader_id).await?;
        Some((Ok(frame), reader))
    });
    let mut response = Response::new(CallerBody::stream(events.boxed()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(wire::REQUEST_ID, value);
    }
    Ok(response)
}
