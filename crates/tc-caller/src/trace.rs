//! Trace context: taken from the caller, passed on to every call.

use tc_telemetry::{TraceContext, traceparent_of_current_span};

/// The caller's trace context, or the start of a trace of our own when it sent none that is valid.
pub(crate) fn from_caller(header: Option<&str>) -> TraceContext {
    header
        .and_then(TraceContext::parse)
        .unwrap_or_else(|| TraceContext::root(rand::random(), rand::random(), false))
}

/// The header that makes a call a child of the current span, or of the caller's when spans are not exported.
pub(crate) fn outgoing(caller_trace: &TraceContext) -> String {
    traceparent_of_current_span().unwrap_or_else(|| caller_trace.child(rand::random()).to_header())
}
