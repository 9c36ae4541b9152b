//! Propagates the trace context from the caller to every call.

use tc_telemetry::{TraceContext, traceparent_of_current_span};

/// Returns the caller's trace context, or a new root context if the caller sent no valid one.
pub(crate) fn from_caller(header: Option<&str>) -> TraceContext {
    header
        .and_then(TraceContext::parse)
        .unwrap_or_else(|| TraceContext::root(rand::random(), rand::random(), false))
}

/// Returns the header that makes a call a child of the current span, or of the caller's span if spans are not exported.
pub(crate) fn outgoing(caller_trace: &TraceContext) -> String {
    traceparent_of_current_span().unwrap_or_else(|| caller_trace.child(rand::random()).to_header())
}
