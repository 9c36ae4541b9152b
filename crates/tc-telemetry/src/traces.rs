//! Export of spans to a collector, if one is configured, and propagation of the trace context.

use std::time::Duration;

use opentelemetry::{
    Context, KeyValue,
    trace::{
        SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState, TracerProvider,
    },
};
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::{
    Resource,
    trace::{Sampler, SdkTracerProvider},
};
use tc_protocol::InstanceId;
use tracing::{Level, Metadata, Span};
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::{filter::filter_fn, layer::SubscriberExt};

use crate::{error::TelemetryError, trace_context::TraceContext};

const SERVICE_NAME: &str = "tanagercroft";
const TARGET_PREFIXES: [&str; 2] = ["tc_", "tanagercroft"];
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time a process waits at shutdown to export its remaining spans.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Guard that keeps the trace export running. Dropping it exports the remaining spans within at most two seconds.
#[must_use = "trace export stops when the guard is dropped"]
#[derive(Debug)]
pub struct TraceGuard {
    provider: Option<SdkTracerProvider>,
}

impl Drop for TraceGuard {
    fn drop(&mut self) {
        let Some(provider) = self.provider.take() else {
            return;
        };
        if let Err(e) = provider.shutdown_with_timeout(FLUSH_TIMEOUT) {
            log::warn!(problem = e.to_string().as_str(); "cannot export the remaining spans");
        }
    }
}

/// Starts the export of this process's spans to an OTLP collector. Without an `endpoint`, spans have almost no cost.
///
/// With an endpoint, it must be called on a multi-threaded tokio runtime: the exporter's connection runs on it, and
/// dropping the guard blocks until the export is done.
pub fn init_traces(
    endpoint: Option<&str>,
    instance: &InstanceId,
) -> Result<TraceGuard, TelemetryError> {
    let Some(endpoint) = endpoint else {
        return Ok(TraceGuard { provider: None });
    };
    let provider = build_provider(endpoint, instance)?;
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer(SERVICE_NAME));
    let subscriber = tracing_subscriber::registry()
        .with(filter_fn(is_exported))
        .with(layer);
    tracing::subscriber::set_global_default(subscriber).map_err(|e| {
        TelemetryError::AlreadyInitialized {
            what: "traces",
            problem: e.to_string(),
        }
    })?;
    Ok(TraceGuard {
        provider: Some(provider),
    })
}

/// Returns whether a span belongs to one of our own crates and has at least the level `INFO`.
///
/// Without this filter, the HTTP spans of the exporter itself would be exported and cause further spans. They are
/// disabled for the whole process and not only for the export layer, because the current trace context is unknown
/// inside a span that is not exported.
fn is_exported(metadata: &Metadata<'_>) -> bool {
    let is_own_target = TARGET_PREFIXES
        .iter()
        .any(|prefix| metadata.target().starts_with(prefix));
    is_own_target && *metadata.level() <= Level::INFO
}

fn build_provider(
    endpoint: &str,
    instance: &InstanceId,
) -> Result<SdkTracerProvider, TelemetryError> {
    let export_error = |problem: String| TelemetryError::Traces {
        endpoint: endpoint.to_owned(),
        problem,
    };
    // Without a runtime, the exporter would panic at its first span instead of returning an error here.
    tokio::runtime::Handle::try_current().map_err(|e| export_error(e.to_string()))?;
    let exporter = SpanExporter::builder()
        .with_tonic()
        .with_endpoint(endpoint)
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .map_err(|e| export_error(e.to_string()))?;
    let resource = Resource::builder()
        .with_service_name(SERVICE_NAME)
        .with_attribute(KeyValue::new("service.instance.id", instance.to_string()))
        .build();
    Ok(SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_sampler(Sampler::ParentBased(Box::new(Sampler::AlwaysOn)))
        .with_resource(resource)
        .build())
}

/// Returns the `traceparent` header for calls made within the current span, or `None` if traces are not exported.
#[must_use]
pub fn traceparent_of_current_span() -> Option<String> {
    let cx = Span::current().context();
    let span = cx.span();
    let span_cx = span.span_context();
    span_cx.is_valid().then(|| {
        TraceContext {
            trace_id: u128::from_be_bytes(span_cx.trace_id().to_bytes()),
            span_id: u64::from_be_bytes(span_cx.span_id().to_bytes()),
            sampled: span_cx.is_sampled(),
        }
        .to_header()
    })
}

/// Makes `span` a child of the span in a `traceparent` header. With an invalid header, it stays a root span.
///
/// Must be called before the span is entered: the library ignores a parent that is set later.
pub fn set_parent(span: &Span, traceparent: &str) {
    let Some(parent) = TraceContext::parse(traceparent) else {
        return;
    };
    let flags = if parent.sampled {
        TraceFlags::SAMPLED
    } else {
        TraceFlags::default()
    };
    let parent = SpanContext::new(
        TraceId::from(parent.trace_id),
        SpanId::from(parent.span_id),
        flags,
        true,
        TraceState::default(),
    );
    // This fails only if traces are not exported, and then no parent is needed.
    let _ = span.set_parent(Context::new().with_remote_span_context(parent));
}
