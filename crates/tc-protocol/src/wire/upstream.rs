//! Engines, pools and plain services.
//!
//! Engines: `POST /v1/completions` (JSON, or server-sent events when `stream`), `GET /load`, `POST /orders`.
//! Pools: `POST /run`. Plain services: any method and path. Every call carries `x-request-id`, `x-stage`,
//! `x-attempt`, `request-timeout-ms`, `priority` and `traceparent`; engines and pools echo the first three as headers.
//! A stream's events have ids counting from 1; the last data is [`STREAM_DONE`]. Asking again with the same
//! `x-request-id`, `x-stage`, `x-attempt` and `last-event-id: N` resumes after event N, on the same engine. Closing
//! the connection cancels, after the engine's resume window when streaming.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Incarnation, RequestId, ServiceName, StageName};

/// Data of a stream's last event.
pub const STREAM_DONE: &str = "[DONE]";

/// A completion request to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Model to run.
    pub model: String,
    /// Text to complete.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// 0 (most urgent) to 7.
    #[serde(default)]
    pub priority: u8,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// One completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// The generated text.
    pub text: String,
    /// Why it ended: `length` or `stop`.
    pub finish_reason: String,
}

/// Answer to a completion request that does not stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// The request it answers.
    pub id: RequestId,
    /// One choice.
    pub choices: Vec<CompletionChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// Data of one server-sent event of a streamed completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// The request it belongs to.
    pub id: RequestId,
    /// Generated text since the last event.
    pub text: String,
    /// Token counts, in the last event before [`STREAM_DONE`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A call to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRequest {
    /// Whose request it is.
    pub request_id: RequestId,
    /// The stage.
    pub stage: StageName,
    /// Which try.
    pub attempt: Attempt,
    /// Output of the stage before, or the caller's input.
    pub input: String,
}

/// A pool's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolResponse {
    /// Echo of the request's identifier.
    pub request_id: RequestId,
    /// Echo of the stage.
    pub stage: StageName,
    /// Echo of the attempt.
    pub attempt: Attempt,
    /// The result, input of the next stage.
    pub output: String,
    /// Time the pool was busy with it, in milliseconds.
    pub busy_ms: f64,
}

/// Answer to `GET /load`, as old as `age_ms` says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Which life of the upstream's process.
    pub incarnation: Incarnation,
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Calls it runs at once at most.
    pub slots: u32,
    /// Age of these numbers, in milliseconds.
    pub age_ms: u64,
    /// It is about to stop and wants no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Models loaded, as `name@version`.
    #[serde(default)]
    pub models: Vec<String>,
}

/// An order to an upstream: a desired state, so that a repeat is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service the lease is on.
    pub service: ServiceName,
    /// Fencing number: version of the lease object under which the order was planned.
    pub fence: u64,
    /// Models it should have loaded, as `name@version`.
    pub models: Vec<String>,
    /// Role it should have, such as `prefill` or `decode`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// Body of a 409 answer to an order with an old fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRefused {
    /// Highest fencing number the upstream has seen.
    pub highest_fence: u64,
}
