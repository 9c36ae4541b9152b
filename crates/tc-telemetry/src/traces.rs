//! Traces: spans exported to a collector when one is set, trace context passed on in any case.

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
const OWN_TARGETS: [&str; 2] = ["tc_", "tanagercroft"];
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time a stopping process waits for its last spans.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps the export of traces running; dropping it sends what is left, for at most two seconds.
#[must_use = "traces end when the guard is dropped"]
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
            log::warn!(problem = e.to_string().as_str(); "the last spans were not sent");
        }
    }
}

/// Exports the spans of this process to an OTLP collector; without an `endpoint` spans cost next to nothing.
///
/// Must be called on a tokio runtime with more than one thread when an endpoint is given: the exporter's connection
/// lives on it, and dropping the guard waits for it.
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
        .with(filter_fn(is_own))
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

/// Whether a span is of our own crates and not for debugging.
///
/// The exporter's own HTTP spans would be exported too, and cause more of them. They are off for the whole process
/// and not only for the exporter: inside a span that is not exported the current trace context cannot be told.
fn is_own(metadata: &Metadata<'_>) -> bool {
    let own = OWN_TARGETS
        .iter()
        .any(|own| metadata.target().starts_with(own));
    own && *metadata.level() <= Level::INFO
}

fn build_provider(
    endpoint: &str,
    instance: &InstanceId,
) -> Result<SdkTracerProvider, TelemetryError> {
    let failed = |problem: String| TelemetryError::Traces {
        endpoint: endpoint.to_owned(),
        problem,
    };
    // Without a runtime the exporter panics at its first span instead of failing here.
    tokio::runtime::Handle::try_current().map_err(|e| failed(e.to_string()))?;
    let exporter = SpanExporter::builder()
        .with_tonic()
        .with_endpoint(endpoint)
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .map_err(|e| failed(e.to_string()))?;
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

/// The `traceparent` that makes what is called next a child of the current span; `None` when traces are not exported.
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

/// Makes `span` a child of the span that a `traceparent` header names; an invalid header leaves it a root.
///
/// Has to come before the span is entered: the library ignores a parent that comes later.
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
    // It fails where traces are not exported, and then there is no parent to set.
    let _ = span.set_parent(Context::new().with_remote_span_context(parent));
}
