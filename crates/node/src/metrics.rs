//! Metrics of a box, and the server that exports them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use ids::Generation;
use platform::Kind;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use tokio::net::TcpListener;
use tokio::time;
use upstream::ByteCount;

/// Labels of an outcome counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct OutcomeLabels {
    what: &'static str,
    outcome: &'static str,
}

impl EncodeLabelSet for OutcomeLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        use prometheus_client::encoding::EncodeLabel;
        ("what", self.what).encode(encoder.encode_label())?;
        ("outcome", self.outcome).encode(encoder.encode_label())
    }
}

/// Kind of store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreCall {
    /// Lists all objects of a kind.
    List,
    /// Lists all objects of a kind, possibly from a stale copy.
    ListOld,
    /// Waits for changes of a kind.
    Watch,
    /// Reads one object.
    Read,
    /// Writes one object.
    Write,
}

impl StoreCall {
    /// Label for metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::ListOld => "list-old",
            Self::Watch => "watch",
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// Labels of a store call counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct CallLabels {
    kind: Kind,
    call: StoreCall,
}

impl EncodeLabelSet for CallLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        use prometheus_client::encoding::EncodeLabel;
        ("kind", self.kind.to_string()).encode(encoder.encode_label())?;
        ("call", self.call.as_str()).encode(encoder.encode_label())
    }
}

/// Metrics of a box. Label values are static, so their number is bounded.
pub struct NodeMetrics {
    registry: Registry,
    outcomes: Family<OutcomeLabels, Counter>,
    latency: Histogram,
    admission_wait: Histogram,
    admission_waiting: Gauge,
    admission_permits: Gauge,
    store_calls: Family<CallLabels, Counter>,
    /// Store calls since the last log line, by kind of object and kind of call.
    unlogged_calls: Mutex<BTreeMap<(&'static str, &'static str), u64>>,
    jobs_held: Gauge,
    items_waiting: Gauge,
    job_bytes: Gauge,
    config_version: Gauge,
    target_connections: Gauge,
    buffered_bytes: Gauge,
    entries_refused: Gauge,
    window_reported: Gauge,
    incomplete_segments: Gauge,
}

impl fmt::Debug for NodeMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NodeMetrics")
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("gannetway");
        let outcomes = Family::default();
        // From 1 ms, doubling up to 16 s.
        let latency = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let admission_wait = Histogram::new(exponential_buckets(0.001, 2.0, 12));
        let (admission_waiting, admission_permits) = (Gauge::default(), Gauge::default());
        let store_calls = Family::default();
        let (jobs_held, items_waiting, job_bytes) =
            (Gauge::default(), Gauge::default(), Gauge::default());
        let config_version = Gauge::default();
        let target_connections = Gauge::default();
        let buffered_bytes = Gauge::default();
        let entries_refused = Gauge::default();
        let window_reported = Gauge::default();
        let incomplete_segments = Gauge::default();
        registry.register(
            "incomplete_segments",
            "Sealed segments of shards served here that not every box of the plan holds",
            incomplete_segments.clone(),
        );
        registry.register(
            "usage_window_reported",
            "Number of the last window of use whose report this box sent and was taken",
            window_reported.clone(),
        );
        registry.register(
            "entries_refused",
            "Entries in the list of targets that name none to use",
            entries_refused.clone(),
        );
        registry.register(
            "target_connections",
            "Open connections to targets, resting ones included",
            target_connections.clone(),
        );
        registry.register_with_unit(
            "buffered",
            "Bytes of requests and responses reserved in the memory budget",
            Unit::Bytes,
            buffered_bytes.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            config_version.clone(),
        );
        registry.register("ended", "What ended, and how", outcomes.clone());
        registry.register_with_unit(
            "request_latency",
            "Time from a request's head to its answer",
            Unit::Seconds,
            latency.clone(),
        );
        registry.register_with_unit(
            "admission_wait",
            "Time that requests of this box waited for a permit",
            Unit::Seconds,
            admission_wait.clone(),
        );
        registry.register(
            "admission_waiting",
            "Requests of all boxes that wait here for a permit",
            admission_waiting.clone(),
        );
        registry.register(
            "admission_permits",
            "Permits in use that this box has granted",
            admission_permits.clone(),
        );
        registry.register("store_calls", "Calls to the platform's store", store_calls.clone());
        registry.register("jobs_held", "Jobs held by shards served here", jobs_held.clone());
        registry.register("items_waiting", "Items to be started", items_waiting.clone());
        registry.register_with_unit(
            "job_memory",
            "Jobs and results held",
            Unit::Bytes,
            job_bytes.clone(),
        );
        Self {
            registry,
            outcomes,
            latency,
            admission_wait,
            admission_waiting,
            admission_permits,
            store_calls,
            unlogged_calls: Mutex::default(),
            jobs_held,
            items_waiting,
            job_bytes,
            config_version,
            target_connections,
            buffered_bytes,
            entries_refused,
            window_reported,
            incomplete_segments,
        }
    }
}

impl NodeMetrics {
    /// Counts an outcome.
    pub fn count_outcome(&self, what: &'static str, outcome: &'static str) {
        self.outcomes.get_or_create(&OutcomeLabels { what, outcome }).inc();
    }

    /// Records the latency of a request.
    pub fn observe_latency(&self, time: Duration) {
        self.latency.observe(time.as_secs_f64());
    }

    /// Records how long a request waited for a permit.
    pub fn observe_admission_wait(&self, time: Duration) {
        self.admission_wait.observe(time.as_secs_f64());
    }

    /// Sets the gauges of the admission queues on this box.
    pub fn admission(&self, waiting: usize, permits: usize) {
        let to_i64 = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.admission_waiting.set(to_i64(waiting));
        self.admission_permits.set(to_i64(permits));
    }

    /// Counts a store call.
    pub fn store_call(&self, kind: Kind, call: StoreCall) {
        self.store_calls.get_or_create(&CallLabels { kind, call }).inc();
        *self.unlogged_calls().entry((kind.as_str(), call.as_str())).or_default() += 1;
    }

    fn unlogged_calls(&self) -> MutexGuard<'_, BTreeMap<(&'static str, &'static str), u64>> {
        self.unlogged_calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of store calls since this was last called, and a summary such as
    /// `watch config 12`; `None` if there were none.
    pub fn take_store_calls(&self) -> Option<(u64, String)> {
        let calls = std::mem::take(&mut *self.unlogged_calls());
        let total = calls.values().sum();
        let entries: Vec<String> =
            calls.iter().map(|((kind, call), count)| format!("{call} {kind} {count}")).collect();
        (total > 0).then(|| (total, entries.join(", ")))
    }

    /// Sets the gauges of the jobs of all shards served here.
    pub fn jobs(&self, held: usize, waiting: usize, bytes: usize) {
        let to_i64 = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.jobs_held.set(to_i64(held));
        self.items_waiting.set(to_i64(waiting));
        self.job_bytes.set(to_i64(bytes));
    }

    /// Sets the version of the configuration in force.
    pub fn config_in_force(&self, version: Generation) {
        self.config_version.set(i64::try_from(version.get()).unwrap_or(i64::MAX));
    }

    /// Sets the last usage window that this box has reported.
    pub fn window_reported(&self, window: u64) {
        self.window_reported.set(i64::try_from(window).unwrap_or(i64::MAX));
    }

    /// Sets the number of sealed segments with missing copies, of all shards served here.
    pub fn incomplete_segments(&self, count: usize) {
        self.incomplete_segments.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of invalid target entries.
    pub fn entries_refused(&self, count: usize) {
        self.entries_refused.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of open connections to targets.
    pub fn connections(&self, open: usize) {
        self.target_connections.set(i64::try_from(open).unwrap_or(i64::MAX));
    }

    /// Sets the number of bytes reserved in the memory budget.
    pub fn buffered(&self, bytes: ByteCount) {
        self.buffered_bytes.set(i64::try_from(bytes.get()).unwrap_or(i64::MAX));
    }

    fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _infallible = encode(&mut text, &self.registry);
        text
    }
}

/// Interval of the log lines about store calls and connections: at most two lines per box, however
/// many calls there are.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Open connections are logged when they reach the limit divided by this.
const CONNECTION_WARNING_DIVISOR: usize = 2;

/// Logs store calls, if there were any, and the number of open connections to targets, if it is
/// high.
pub async fn log_counters(view: Arc<crate::NodeView>) {
    loop {
        time::sleep(LOG_INTERVAL).await;
        let limit = view.pool.limit();
        let (open, max) = (limit.open(), limit.max_open());
        if open >= max / CONNECTION_WARNING_DIVISOR {
            log::warn!(
                target: "targets", open = open, most = max;
                "many open connections to targets"
            );
        }
        if let Some((calls, summary)) = view.metrics.take_store_calls() {
            log::info!(target: "node", dependency = "store", calls = calls, told = summary.as_str(); "store calls");
        }
    }
}

/// Serves the metrics as text under `/metrics`.
pub async fn serve_metrics(view: Arc<crate::NodeView>, address: SocketAddr) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(target: "node", address:% = address, error:% = error; "metrics listener failed");
            return;
        }
    };
    let page = move || {
        let view = Arc::clone(&view);
        async move {
            view.metrics.connections(view.pool.limit().open());
            view.metrics.buffered(view.memory.reserved());
            view.metrics.text()
        }
    };
    let served = axum::serve(listener, Router::new().route("/metrics", get(page))).await;
    if let Err(error) = served {
        log::warn!(target: "node", error:% = error; "metrics server stopped");
    }
}
