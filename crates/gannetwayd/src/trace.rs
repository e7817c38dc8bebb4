//! Trace spans, one per hop, with context propagation between processes (W3C traceparent).

use std::collections::HashMap;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanKind, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{ExporterBuildError, Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use targets::TRACEPARENT_HEADER;

/// Creates spans and exports them if a collector is configured.
#[derive(Debug, Clone)]
pub struct HopTracer {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

/// The span of a hop; ends when dropped.
#[derive(Debug)]
pub struct HopSpan {
    context: Context,
    traceparent: String,
}

impl HopTracer {
    /// Creates a tracer for `box_id` that exports to `otlp`, if given. Must be called outside of a
    /// runtime, since the exporter uses a blocking HTTP client.
    pub fn new(box_id: &str, otlp: Option<&str>) -> Result<Self, ExporterBuildError> {
        let resource = Resource::builder()
            .with_service_name("gannetwayd")
            .with_attribute(KeyValue::new("service.instance.id", box_id.to_owned()))
            .build();
        let mut builder = SdkTracerProvider::builder().with_resource(resource);
        if let Some(endpoint) = otlp {
            let exporter = SpanExporter::builder()
                .with_http()
                .with_protocol(Protocol::HttpBinary)
                .with_endpoint(endpoint)
                .build()?;
            builder = builder.with_batch_exporter(exporter);
        }
        let provider = builder.build();
        let tracer = provider.tracer("gannetwayd");
        Ok(Self { provider, tracer, propagator: TraceContextPropagator::new() })
    }

    /// Starts the span of a hop; `parent` is the incoming traceparent, or empty.
    pub fn hop(&self, name: &'static str, kind: SpanKind, parent: &str) -> HopSpan {
        let carrier = HashMap::from([(TRACEPARENT_HEADER.to_owned(), parent.to_owned())]);
        let parent = self.propagator.extract_with_context(&Context::new(), &carrier);
        let span = self
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&self.tracer, &parent);
        let context = Context::new().with_span(span);
        let mut carrier = HashMap::new();
        self.propagator.inject_context(&context, &mut carrier);
        let traceparent = carrier.remove(TRACEPARENT_HEADER).unwrap_or_default();
        HopSpan { context, traceparent }
    }

    /// Flushes the remaining spans to the collector and shuts the exporter down.
    pub fn finish(&self) {
        // The process is about to exit, so a failed export is ignored.
        let _unsent = self.provider.shutdown();
    }
}

impl HopSpan {
    /// Returns the traceparent for the next hop.
    pub fn traceparent(&self) -> &str {
        &self.traceparent
    }

    /// Sets a span attribute.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
