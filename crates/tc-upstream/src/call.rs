//! Calls to upstreams and their responses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, uri::PathAndQuery};
use tc_protocol::{Attempt, Cost, Outcome, RequestId, ServiceKind, StageName, UpstreamId};

use crate::plain::PlainBody;

/// A call to an engine or a pool.
#[derive(Clone, Debug)]
pub struct StageCall {
    /// Upstream to call.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Kind of the upstream: engine or pool.
    pub kind: ServiceKind,
    /// Request that this call belongs to.
    pub request: RequestId,
    /// Stage that the call runs.
    pub stage: StageName,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Model to run (engines only).
    pub model: Option<String>,
    /// Output of the previous stage, or the caller's input.
    pub input: Arc<str>,
    /// Maximum number of tokens to generate (engines only).
    pub max_tokens: u32,
    /// Priority, from 0 (most urgent) to 7.
    pub priority: u8,
    /// Timeout of the whole call, including the connect.
    pub remaining: Duration,
    /// The caller's idempotency key of a non-idempotent request, forwarded to the upstream.
    pub idempotency_key: Option<Arc<str>>,
    /// W3C trace context, forwarded to the upstream.
    pub traceparent: Option<String>,
}

/// A complete response of an engine or a pool, which names the call.
#[derive(Clone, Debug, PartialEq)]
pub struct StageResponse {
    /// Output of the stage.
    pub output: String,
    /// Cost of the call.
    pub cost: Cost,
    /// Time from the start of the call to the end of the response.
    pub took: Duration,
    /// Time from the start of the call to the response header.
    pub first_byte: Duration,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Upstream to call.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Request that this call belongs to.
    pub request: RequestId,
    /// Stage name, which for a plain service is the name of the service.
    pub stage: StageName,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query to request from the service.
    pub path: PathAndQuery,
    /// Headers of the caller's request. Hop-by-hop headers and headers of this system are not forwarded.
    pub headers: HeaderMap,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Priority, from 0 (most urgent) to 7.
    pub priority: u8,
    /// Timeout of the whole call, including the response body.
    pub remaining: Duration,
    /// The caller's idempotency key of a non-idempotent request, forwarded to the upstream.
    pub idempotency_key: Option<Arc<str>>,
    /// W3C trace context, forwarded to the upstream.
    pub traceparent: Option<String>,
}

/// A response of a plain service, with the body yet to be read.
#[derive(Debug)]
pub struct PlainResponse {
    /// Status code; error codes are returned here as well.
    pub status: StatusCode,
    /// Headers to forward to the caller.
    pub headers: HeaderMap,
    /// Response body. If it ends with an error, the permit is settled with the outcome of that error.
    pub body: PlainBody,
    /// Outcome to settle the permit with if the body ends without an error.
    pub outcome: Outcome,
    /// Time from the start of the call to the response header.
    pub first_byte: Duration,
}
