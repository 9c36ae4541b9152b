//! History of one request, read from log lines.

use std::collections::BTreeMap;

use jiff::Timestamp;
use serde::Deserialize;
use serde_json::Value;
use tc_protocol::{Decision, Explanation, Step};

/// A log line about a request; lines about none have no `request` and are left aside.
#[derive(Deserialize)]
struct Line {
    ts: Timestamp,
    message: String,
    request: String,
    #[serde(flatten)]
    rest: BTreeMap<String, Value>,
}

/// Fields that tell where a line comes from, not what was decided.
const ORIGIN: [&str; 2] = ["level", "target"];

/// The decisions on a request among the lines of any number of instances, oldest first; `None` when there are none.
///
/// Lines that are no JSON are left aside: whatever collects logs may put its own between them.
pub(crate) fn explanation(text: &str, request: &str) -> Option<Explanation> {
    let mut lines: Vec<Line> = text
        .lines()
        .filter(|line| line.contains(request))
        .filter_map(|line| serde_json::from_str(line).ok())
        .filter(|line: &Line| line.request == request)
        .collect();
    lines.sort_by_key(|line| line.ts);
    let first = lines.first()?.ts;
    Some(Explanation {
        request: request.into(),
        workspace: "-".into(),
        pipeline: None,
        steps: lines.into_iter().map(|line| step(first, line)).collect(),
    })
}

fn step(first: Timestamp, mut line: Line) -> Step {
    for field in ORIGIN {
        line.rest.remove(field);
    }
    Step {
        at_ms: line.ts.duration_since(first).as_secs_f64() * 1_000.0,
        decision: Decision::Logged {
            message: line.message,
            details: line.rest,
        },
    }
}
