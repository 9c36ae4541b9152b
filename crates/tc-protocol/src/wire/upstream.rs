//! APIs of engines, pools and plain services.
//!
//! - Engines: `POST /v1/completions` (JSON, or server-sent events if `stream` is set), `GET /load`, `POST /orders`.
//! - Pools: `POST /run`.
//! - Plain services: any method and path.
//!
//! Every call carries `x-request-id`, `x-stage`, `x-attempt`, `request-timeout-ms`, `priority` and `traceparent`;
//! engines and pools echo the first three as headers.
//!
//! The events of a stream have ids starting at 1; the data of the last one is [`STREAM_DONE`]. A call with the same
//! `x-request-id`, `x-stage`, `x-attempt` and `last-event-id: N` resumes after event N, on the same engine. Closing
//! the connection cancels the call; a streaming call only after the engine's resume window.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Incarnation, RequestId, ServiceName, StageName};

/// Data of the last event of a stream.
pub const STREAM_DONE: &str = "[DONE]";

/// A completion request to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Text to complete.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream the completion as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Priority: 0 (most urgent) to 7.
    #[serde(default)]
    pub priority: u8,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Number of prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// A completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Generated text.
    pub text: String,
    /// Reason for the end of generation: `length` or `stop`.
    pub finish_reason: String,
}

/// Response to a completion request without streaming.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// Identifier of the request.
    pub id: RequestId,
    /// Completions; always exactly one.
    pub choices: Vec<CompletionChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// Data of one server-sent event of a streamed completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// Identifier of the request.
    pub id: RequestId,
    /// Text generated since the previous event.
    pub text: String,
    /// Token counts; only in the last event before [`STREAM_DONE`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A call to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRequest {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Stage to run.
    pub stage: StageName,
    /// Attempt of the stage.
    pub attempt: Attempt,
    /// Output of the previous stage, or the caller's input.
    pub input: String,
}

/// Response of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolResponse {
    /// Echo of the request's identifier.
    pub request_id: RequestId,
    /// Echo of the stage.
    pub stage: StageName,
    /// Echo of the attempt.
    pub attempt: Attempt,
    /// Result, which is the input of the next stage.
    pub output: String,
    /// Time the pool was busy with the call, in milliseconds.
    pub busy_ms: f64,
}

/// Response to `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the upstream's process.
    pub incarnation: Incarnation,
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Age of these numbers, in milliseconds.
    pub age_ms: u64,
    /// Whether the upstream is about to stop and must get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Loaded models, as `name@version`.
    #[serde(default)]
    pub models: Vec<String>,
}

/// An order to an upstream. It describes a desired state and is therefore idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Service that the lease covers.
    pub service: ServiceName,
    /// Fencing token: version of the lease object under which the order was planned.
    pub fence: u64,
    /// Models the upstream should have loaded, as `name@version`.
    pub models: Vec<String>,
    /// Role the upstream should have, such as `prefill` or `decode`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// Body of a 409 response to an order with a stale fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRefused {
    /// Highest fencing token the upstream has seen.
    pub highest_fence: u64,
}
