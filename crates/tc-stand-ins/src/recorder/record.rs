//! Records of calls and orders.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tc_protocol::{
    Attempt, RequestId, ServiceName, StageName, UpstreamId,
    wire::{Order, Usage},
};

/// Outcome of a call at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// A whole answer was handed over for sending.
    Answered,
    /// The connection closed before that.
    Cancelled,
    /// The upstream crashed.
    Crashed,
    /// Refused without being started.
    Refused,
}

/// One call as an upstream saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// The request, if the call named one.
    pub request: Option<RequestId>,
    /// The stage, if the call named one.
    pub stage: Option<StageName>,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// The caller's idempotency key, if the call carried one.
    pub idempotency_key: Option<Arc<str>>,
    /// `xxh3` hash of the input: the prompt, the pool's input or the plain call's body.
    pub input_hash: u64,
    /// When it arrived.
    pub received_at: Instant,
    /// When it began to run; `None` while waiting, or when it never ran.
    pub started_at: Option<Instant>,
    /// When it ended; `None` while it runs.
    pub ended_at: Option<Instant>,
    /// Its outcome; `None` while it runs.
    pub ending: Option<Ending>,
    /// Time it held a slot; zero while it runs.
    pub busy: Duration,
    /// Tokens, for engines; zero while it runs.
    pub usage: Usage,
    /// Number of times its stream was resumed.
    pub resumes: u32,
}

/// One order as an engine saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// The engine.
    pub upstream: UpstreamId,
    /// The order.
    pub order: Order,
    /// Whether the engine took it.
    pub accepted: bool,
    /// When it arrived.
    pub at: Instant,
}

/// Totals of a stage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageTotals {
    /// Calls started.
    pub calls: u64,
    /// Tokens read.
    pub tokens_in: u64,
    /// Tokens generated.
    pub tokens_out: u64,
    /// Time slots were held, in milliseconds.
    pub busy_ms: f64,
    /// Part of it spent on calls that were not answered, in milliseconds.
    pub wasted_ms: f64,
}

impl StageTotals {
    pub(crate) fn add(&mut self, call: &CallRecord) {
        if call.started_at.is_none() {
            return;
        }
        let busy_ms = call.busy.as_secs_f64() * 1_000.0;
        self.calls += 1;
        self.tokens_in += u64::from(call.usage.prompt_tokens);
        self.tokens_out += u64::from(call.usage.completion_tokens);
        self.busy_ms += busy_ms;
        if !matches!(call.ending, None | Some(Ending::Answered)) {
            self.wasted_ms += busy_ms;
        }
    }
}
