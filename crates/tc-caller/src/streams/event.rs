//! Encoding of server-sent events.

use bytes::Bytes;
use serde::Serialize;
use tc_protocol::Problem;

use crate::run::PipelineResponse;

#[derive(Serialize)]
struct TextData<'a> {
    text: &'a str,
}

/// Data of the `done` event. The output was sent in earlier events.
#[derive(Serialize)]
struct DoneData<'a> {
    request_id: &'a tc_protocol::RequestId,
    stages: &'a [crate::run::StageSummary],
    cost: tc_protocol::Cost,
}

/// Returns the event for a part of the text. JSON contains no raw line breaks, so the data fits on one line.
pub(crate) fn text_event(id: u64, text: &str) -> Bytes {
    let data = json(&TextData { text });
    format!("id: {id}\ndata: {data}\n\n").into()
}

/// Returns the last event of a complete response.
pub(crate) fn done_event(answer: &PipelineResponse) -> Bytes {
    let data = json(&DoneData {
        request_id: &answer.request_id,
        stages: &answer.stages,
        cost: answer.cost,
    });
    format!("event: done\ndata: {data}\n\n").into()
}

/// Returns the last event of a request that failed after its stream had started.
pub(crate) fn problem_event(problem: &Problem) -> Bytes {
    format!("event: problem\ndata: {}\n\n", json(problem)).into()
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
