//! Header names, in lower case as HTTP/2 requires.

/// Request timeout of the caller, in milliseconds; in calls to an upstream, the time left.
pub const TIMEOUT_MS: &str = "request-timeout-ms";
/// Priority as in RFC 9218: `u=0` (most urgent) to `u=7`.
pub const PRIORITY: &str = "priority";
/// The caller's idempotency key for a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The `binding` from the address response, which the caller echoes along with its idempotency key.
pub const INSTANCE_BINDING: &str = "tanagercroft-binding";
/// The instance that sent the response; set on every response.
pub const INSTANCE: &str = "tanagercroft-instance";
/// Request identifier; set on every response and every call to an upstream.
pub const REQUEST_ID: &str = "x-request-id";
/// Stage of a call to an upstream; upstreams echo it.
pub const STAGE: &str = "x-stage";
/// Attempt number of a call to an upstream; upstreams echo it.
pub const ATTEMPT: &str = "x-attempt";
/// Whether a failed request may have run; set on every error response.
pub const RUN_STATE: &str = "tanagercroft-run-state";
/// Last server-sent event received; set when resuming a stream.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Set on a request forwarded to the instance that its idempotency key is bound to, so that it is forwarded only once.
pub const FORWARDED: &str = "tanagercroft-forwarded";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
