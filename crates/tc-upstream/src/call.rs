//! What a call consists of and what comes back.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, uri::PathAndQuery};
use tc_protocol::{Attempt, Cost, Outcome, RequestId, ServiceKind, StageName, UpstreamId};

use crate::plain::PlainBody;

/// One call to an engine or a pool.
#[derive(Clone, Debug)]
pub struct StageCall {
    /// The upstream to call.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Engine or pool.
    pub kind: ServiceKind,
    /// Whose request it is.
    pub request: RequestId,
    /// The stage.
    pub stage: StageName,
    /// Which try.
    pub attempt: Attempt,
    /// Model to run; engines only.
    pub model: Option<String>,
    /// Output of the stage before, or the caller's input.
    pub input: Arc<str>,
    /// Most tokens to generate; engines only.
    pub max_tokens: u32,
    /// 0 (most urgent) to 7.
    pub priority: u8,
    /// Time the call may take in all, connecting included.
    pub remaining: Duration,
    /// The caller's key for a non-idempotent request, passed on.
    pub idempotency_key: Option<Arc<str>>,
    /// W3C trace context, passed on.
    pub traceparent: Option<String>,
}

/// A whole, checked answer of an engine or a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct StageResponse {
    /// The result.
    pub output: String,
    /// What it cost.
    pub cost: Cost,
    /// Time from sending to the whole result.
    pub took: Duration,
    /// Time from sending to the first byte of the answer.
    pub first_byte: Duration,
}

/// One call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The upstream to call.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whose request it is.
    pub request: RequestId,
    /// Name of the step; for a plain service its service's name.
    pub stage: StageName,
    /// Which try.
    pub attempt: Attempt,
    /// The caller's method.
    pub method: Method,
    /// Path and query at the service.
    pub path: PathAndQuery,
    /// The caller's headers; those that concern only the caller's connection or this system are not passed on.
    pub headers: HeaderMap,
    /// The caller's body.
    pub body: Bytes,
    /// 0 (most urgent) to 7.
    pub priority: u8,
    /// Time the call may take in all, the answer's body included.
    pub remaining: Duration,
    /// The caller's key for a non-idempotent request, passed on.
    pub idempotency_key: Option<Arc<str>>,
    /// W3C trace context, passed on.
    pub traceparent: Option<String>,
}

/// A plain service's answer, with its body still to come.
#[derive(Debug)]
pub struct PlainResponse {
    /// Status code, whatever it is.
    pub status: StatusCode,
    /// Headers meant for the caller.
    pub headers: HeaderMap,
    /// The body; an error of it says what to settle the permit with.
    pub body: PlainBody,
    /// What to settle the permit with once the body has ended without an error.
    pub outcome: Outcome,
    /// Time from sending to the first byte of the answer.
    pub first_byte: Duration,
}
