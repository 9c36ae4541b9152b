//! Header names. All lower case, as HTTP/2 wants them.

/// Longest time the caller waits, in milliseconds. On the way to an upstream: what is left.
pub const TIMEOUT_MS: &str = "request-timeout-ms";
/// Priority as in RFC 9218: `u=0` (most urgent) to `u=7`.
pub const PRIORITY: &str = "priority";
/// The caller's key for a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The `binding` text from the address answer, echoed by the caller beside its idempotency key.
pub const INSTANCE_BINDING: &str = "tanagercroft-binding";
/// The instance that answered, on every answer.
pub const INSTANCE: &str = "tanagercroft-instance";
/// The request's identifier, on every answer and every call to an upstream.
pub const REQUEST_ID: &str = "x-request-id";
/// The stage a call to an upstream is for; upstreams echo it.
pub const STAGE: &str = "x-stage";
/// The attempt a call to an upstream is; upstreams echo it.
pub const ATTEMPT: &str = "x-attempt";
/// Whether a failed request may have run; on every failure.
pub const RUN_STATE: &str = "tanagercroft-run-state";
/// Last server-sent event received, when a stream is resumed.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Set on a request forwarded between instances to the one its key is bound to, so that it is forwarded only once.
pub const FORWARDED: &str = "tanagercroft-forwarded";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
