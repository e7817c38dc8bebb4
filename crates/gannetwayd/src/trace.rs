//! A span for each hop, with its context carried from process to process (W3C traceparent).

use std::collections::HashMap;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanKind, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{ExporterBuildError, Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use targets::TRACEPARENT_HEADER;

/// Makes spans; exports them when a collector was named.
#[derive(Debug, Clone)]
pub struct HopTracer {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

/// One hop's span; it ends when dropped.
#[derive(Debug)]
pub struct HopSpan {
    context: Context,
    traceparent: String,
}

impl HopTracer {
    /// A tracer for `box_id`, exporting to `otlp` if given. Call it outside a runtime: the
    /// exporter brings a thread of its own.
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

    /// Begins the span of a hop; `parent` is the traceparent that came in, or empty.
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

    /// Sends what is left to the collector.
    pub fn finish(&self) {
        // At the end of the process nothing can be done about a collector that is away.
        let _unsent = self.provider.shutdown();
    }
}

impl HopSpan {
    /// The context to carry to the next hop.
    pub fn traceparent(&self) -> &str {
        &self.traceparent
    }

    /// Notes a fact about the hop.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
