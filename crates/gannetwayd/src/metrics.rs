//! What the box counts, for `/metrics`.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// How an attempt at a sample ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AttemptLabel {
    /// Kept for the trainer.
    Made,
    /// The target took no work.
    NotRun,
    /// Broken off or not attributable.
    Unusable,
    /// Too old when it ended.
    TooOld,
    /// Its slot was filled otherwise.
    Superseded,
}

/// Labels of the attempt counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabels {
    /// How it ended.
    pub end: AttemptLabel,
}

/// How a plain request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum CallLabel {
    /// Answered in whole.
    Answered,
    /// Surely not run.
    NotRun,
    /// May have run.
    Unknown,
    /// Refused as wrong.
    BadRequest,
}

/// Labels of the plain request counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// How it ended.
    pub end: CallLabel,
}

/// The box's metrics.
#[derive(Debug)]
pub struct BoxMetrics {
    registry: Registry,
    /// Attempts at samples by how they ended.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Plain requests by how they ended.
    pub calls: Family<CallLabels, Counter>,
    /// Retries of plain requests and samples at other targets.
    pub retries: Counter,
    /// Samples handed out to trainers.
    pub handed_out: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Configuration generation in force.
    pub generation: Gauge,
    /// Boxes taken to be live.
    pub live_boxes: Gauge,
    /// Bytes of heartbeats sent.
    pub heartbeat_bytes: Counter,
    /// Leases held or lost.
    pub lease_changes: Counter,
    /// Time from a plain request's arrival to the end of its answer, in seconds.
    pub call_seconds: Histogram,
    /// Time a pull waited for its first sample, in seconds.
    pub pull_wait_seconds: Histogram,
    /// Tokens of samples kept.
    pub tokens: Counter<u64, AtomicU64>,
}

/// Buckets from 1 ms doubling to 16 s.
fn seconds() -> Histogram {
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
            call_seconds: seconds(),
            pull_wait_seconds: seconds(),
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

    /// The metrics in the exposition format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _infallible = encode(&mut text, &self.registry);
        text
    }
}
