//! Metrics of the box, served at `/metrics`.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Outcome of an attempt at a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AttemptLabel {
    /// The sample was kept for the trainer.
    Made,
    /// The target did not run the work.
    NotRun,
    /// The response was interrupted or invalid.
    Unusable,
    /// The sample became older than the staleness bound allows.
    TooOld,
    /// The slot was filled by, or assigned to, another attempt.
    Superseded,
}

/// Labels of the attempt counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabels {
    /// Outcome of the attempt.
    pub end: AttemptLabel,
}

/// Outcome of a plain request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum CallLabel {
    /// Complete response.
    Answered,
    /// Definitely not run.
    NotRun,
    /// May have run.
    Unknown,
    /// Refused as invalid.
    BadRequest,
}

/// Labels of the plain request counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Outcome of the request.
    pub end: CallLabel,
}

/// The box's metrics.
#[derive(Debug)]
pub struct BoxMetrics {
    registry: Registry,
    /// Attempts at samples by outcome.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Plain requests by outcome.
    pub calls: Family<CallLabels, Counter>,
    /// Retries of plain requests.
    pub retries: Counter,
    /// Samples returned to trainers.
    pub handed_out: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Generation of the current configuration.
    pub generation: Gauge,
    /// Boxes considered live.
    pub live_boxes: Gauge,
    /// Bytes of heartbeats sent.
    pub heartbeat_bytes: Counter,
    /// Number of times a keeper lease was acquired or lost.
    pub lease_changes: Counter,
    /// Duration of a plain request from arrival to the complete response, in seconds.
    pub call_seconds: Histogram,
    /// Time that a pull waited for its first sample, in seconds.
    pub pull_wait_seconds: Histogram,
    /// Tokens of completed samples.
    pub tokens: Counter<u64, AtomicU64>,
}

/// Creates a histogram with exponential buckets from 1 ms to 16 s.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

impl Default for BoxMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("gannetway"),
            attempts: Family::default(),
            calls: Family::default(),
            retries: Counter::default(),
            handed_out: Counter::default(),
            in_flight: Gauge::default(),
            generation: Gauge::default(),
            live_boxes: Gauge::default(),
            heartbeat_bytes: Counter::default(),
            lease_changes: Counter::default(),
            call_seconds: duration_histogram(),
            pull_wait_seconds: duration_histogram(),
            tokens: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl BoxMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("sample_attempts", "Attempts at samples", self.attempts.clone());
        registry.register("plain_requests", "Plain requests", self.calls.clone());
        registry.register("retries", "Retries at other targets", self.retries.clone());
        registry.register("samples_handed_out", "Samples handed out", self.handed_out.clone());
        registry.register("requests_in_flight", "Requests in flight", self.in_flight.clone());
        registry.register("config_generation", "Generation in force", self.generation.clone());
        registry.register("live_boxes", "Boxes taken to be live", self.live_boxes.clone());
        let bytes = self.heartbeat_bytes.clone();
        registry.register_with_unit("heartbeat_sent", "Heartbeats sent", Unit::Bytes, bytes);
        registry.register("lease_changes", "Leases taken or lost", self.lease_changes.clone());
        let call = self.call_seconds.clone();
        registry.register_with_unit("plain_request_duration", "Plain request", Unit::Seconds, call);
        let wait = self.pull_wait_seconds.clone();
        registry.register_with_unit("pull_wait", "Wait for a first sample", Unit::Seconds, wait);
        registry.register("sample_tokens", "Tokens of samples kept", self.tokens.clone());
    }

    /// Encodes the metrics in the exposition format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        let _infallible = encode(&mut text, &self.registry);
        text
    }
}
