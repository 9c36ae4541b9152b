//! Made-up records.

use tc_bench::{CallRecord, Ended, SeenCall, Told};

/// A request of `workspace` due at `due_ms` with a deadline of 100 ms.
pub(crate) fn record(workspace: &str, due_ms: f64, took_ms: f64, told: Told) -> CallRecord {
    CallRecord {
        workspace: workspace.into(),
        target: "pipeline/answer".to_owned(),
        key: None,
        request_id: None,
        bound: false,
        first_instance: None,
        instance: Some("kl-1-i1".into()),
        due_ms,
        took_ms,
        deadline_ms: 100.0,
        told,
        event_ids: Vec::new(),
        first_token_ms: None,
        between_tokens_ms: Vec::new(),
    }
}

/// A right answer after `took_ms`.
#[allow(
    dead_code,
    reason = "each test file is a crate of its own and uses its part"
)]
pub(crate) fn right(workspace: &str, due_ms: f64, took_ms: f64) -> CallRecord {
    record(workspace, due_ms, took_ms, Told::Answered { right: true })
}

/// An answered call of a stage that took `busy_ms`.
pub(crate) fn call(request: &str, stage: &str, busy_ms: f64) -> SeenCall {
    SeenCall {
        upstream: "pool-1".to_owned(),
        service: "pool".to_owned(),
        request_id: request.to_owned(),
        stage: stage.to_owned(),
        key: None,
        ran: true,
        arrived_ms: 0.0,
        ended_ms: busy_ms,
        ended: Ended::Answered,
        busy_ms,
        tokens: 0,
    }
}
