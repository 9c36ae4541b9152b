//! Server-sent events as bytes.

use bytes::Bytes;
use serde::Serialize;
use tc_protocol::Problem;

use crate::run::PipelineResponse;

#[derive(Serialize)]
struct TextData<'a> {
    text: &'a str,
}

/// An answer's last event; its output was sent before.
#[derive(Serialize)]
struct DoneData<'a> {
    request_id: &'a tc_protocol::RequestId,
    stages: &'a [crate::run::StageSummary],
    cost: tc_protocol::Cost,
}

/// One piece of text. JSON has no raw line breaks, so that the data is one line.
pub(crate) fn text_event(id: u64, text: &str) -> Bytes {
    let data = json(&TextData { text });
    format!("id: {id}\ndata: {data}\n\n").into()
}

/// The end of a whole answer.
pub(crate) fn done_event(answer: &PipelineResponse) -> Bytes {
    let data = json(&DoneData {
        request_id: &answer.request_id,
        stages: &answer.stages,
        cost: answer.cost,
    });
    format!("event: done\ndata: {data}\n\n").into()
}

/// The end of an answer that failed after its stream began.
pub(crate) fn problem_event(problem: &Problem) -> Bytes {
    format!("event: problem\ndata: {}\n\n", json(problem)).into()
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
