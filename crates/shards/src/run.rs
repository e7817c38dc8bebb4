//! One run of an item at an engine.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use ids::{CustomerName, ModelName, ModelVersion, WorkDigest, whole_millis};
use jobs::{LengthForecast, RunEvent, RunResult, RunSpec};
use node::{SlotGuard, record_disconnect};
use platform::events::{EventError, EventReader};
use platform::headers;
use routing::{
    ChosenTarget, MoveEstimate, PredictedWork, RegionScope, RunProgress, TargetRequirements,
    WorkUnits,
};
use tokio::time::{self, Instant};
use upstream::{ByteCount, MemoryUse, Reservation, SendError, TargetResponse};

use crate::context::ShardContext;
use crate::dispatch::item_scope;
use crate::keeper::ShardKeeper;
use crate::run_reason::RunReason;

/// Timeout for the response head and for each chunk of the body, in the first runs of an item.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of silent runs after which the timeout doubles with each: targets that take longer would
/// never complete the item. Two targets in a row may be silent for another reason.
const SHORT_SILENT_RUNS: u32 = 1;
/// Timeout for each event. An engine may send other bytes meanwhile.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a text, in bytes. A caller reads it in a page of one megabyte.
const MAX_TEXT_BYTES: usize = 1 << 20;
/// Number of bytes of a text that are not reserved in the memory budget; most texts are shorter.
const UNRESERVED_TEXT_BYTES: usize = 64 << 10;
/// Number of events per progress record in the log. Most texts are shorter and are logged once,
/// when their result is listed.
const PROGRESS_EVENTS: usize = 16;
/// Number of events over which a run's time per event is measured.
const RATE_EVENTS: u32 = 6;
/// If the engines report no slowdown, a run moves if another engine is faster by this factor. A
/// smaller difference may come from the batch size, and a move repeats the prompt's prefill.
const MOVE_FACTOR: f64 = 1.8;
/// The factor for long texts. They have a long expected remainder and determine when a step
/// completes.
const LONG_MOVE_FACTOR: f64 = 1.25;
/// Number of events from which a text counts as long.
const LONG_EVENTS: u32 = 32;

/// Returns the timeout for the response head and for each chunk of the body.
fn silence_timeout(silent_runs: u32) -> Duration {
    let doublings = silent_runs.saturating_sub(SHORT_SILENT_RUNS).min(u32::BITS - 1);
    SILENCE_TIMEOUT.saturating_mul(1 << doublings).min(EVENT_TIMEOUT)
}

struct RunState<'a> {
    ctx: &'a ShardContext,
    keeper: &'a ShardKeeper,
    spec: &'a RunSpec,
    slot: &'a ChosenTarget,
    work: WorkDigest,
    model: Option<ModelName>,
    version: Option<u64>,
    events: Vec<RunEvent>,
    text: RunText,
    /// Number of events sent to the log.
    logged: usize,
    /// Time and event count of the last rate measurement.
    rate_measured_at: Option<(Instant, usize)>,
    started: Instant,
    /// Time until the first events: the engine has read the prompt.
    prefill: Duration,
    /// The estimates for which the run moves, if its engine reports its slowdown.
    moved: Option<MoveEstimate>,
}

/// Size of the text of an item during a run, with that of earlier runs.
struct RunText {
    bytes: usize,
    /// The bytes beyond [`UNRESERVED_TEXT_BYTES`].
    held: Reservation,
}

impl RunText {
    fn new(ctx: &ShardContext, spec: &RunSpec) -> Self {
        Self { bytes: spec.text_bytes, held: ctx.view.memory.reserve_nothing() }
    }

    /// Adds the bytes of an event. Returns `false` if the text is too long, or does not fit into
    /// the memory budget.
    fn try_add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let unreserved = self.bytes.saturating_sub(UNRESERVED_TEXT_BYTES + self.held.bytes().get());
        let reserved = self.held.try_grow(MemoryUse::Response, ByteCount::new(unreserved));
        self.bytes <= MAX_TEXT_BYTES && reserved.is_ok()
    }
}

/// Returns the predicted work of a text with `events` events.
pub fn predicted_work(forecast: &LengthForecast, events: u32) -> PredictedWork {
    PredictedWork {
        units: WorkUnits::new(forecast.left(events)),
        reference: WorkUnits::new(forecast.reference),
    }
}

/// Runs an item from its last complete event on. The result contains all complete events received.
pub async fn run_item(
    ctx: &ShardContext,
    keeper: &ShardKeeper,
    spec: &RunSpec,
    slot: &SlotGuard,
) -> RunResult {
    let mut state = RunState {
        ctx,
        keeper,
        spec,
        slot: slot.target(),
        work: slot.work(),
        model: spec.job.model.parse().ok(),
        version: None,
        events: Vec::new(),
        text: RunText::new(ctx, spec),
        logged: 0,
        rate_measured_at: None,
        started: Instant::now(),
        prefill: Duration::ZERO,
        moved: None,
    };
    let reason = state.run().await;
    state.record_end(reason);
    RunResult { outcome: reason.outcome(), events: state.events, logged: state.logged }
}

impl RunState<'_> {
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let item = self.spec.request()?;
        let mut header_map = HeaderMap::new();
        for header in &item.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            header_map.insert(name, HeaderValue::from_str(&header.value).ok()?);
        }
        header_map.insert(http::header::HOST, HeaderValue::from_str(&self.spec.job.host).ok()?);
        header_map.insert(headers::REQUEST_ID, HeaderValue::from_str(&item.id).ok()?);
        self.set_customer_header(&mut header_map);
        headers::set_instance(&mut header_map, &self.slot.instance);
        if let Some(urgency) = self.spec.urgency {
            headers::set_priority(&mut header_map, urgency.engine_priority().get());
        }
        if self.spec.events > 0 {
            headers::set_last_event(&mut header_map, self.spec.events);
        }
        let mut request = Request::new(Full::new(Bytes::from(item.body.clone())));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = item.path.parse().ok()?;
        *request.headers_mut() = header_map;
        Some(request)
    }

    /// Sets the customer header to the job's customer, overriding the item's own headers.
    fn set_customer_header(&self, header_map: &mut HeaderMap) {
        let customer: Option<CustomerName> = self.spec.job.customer.parse().ok();
        if customer.is_some() || self.ctx.view.table().customers().is_some() {
            headers::set_customer(header_map, customer.as_ref());
        }
    }

    async fn run(&mut self) -> RunReason {
        let Some(request) = self.request() else {
            return RunReason::InvalidRequest;
        };
        let send = self.ctx.view.pool.send(self.slot.address, request);
        let response = match time::timeout(silence_timeout(self.spec.silent_runs), send).await {
            Err(_elapsed) => {
                self.ctx.view.pool.close_idle();
                return RunReason::TimeoutBeforeHead;
            }
            Ok(Err(SendError::NotSent(_))) => return RunReason::NotSent,
            Ok(Err(SendError::LimitReached)) => return RunReason::ConnectionLimit,
            Ok(Err(SendError::TooLong(_))) => return RunReason::TooLong,
            Ok(Err(SendError::Broken(_))) => return RunReason::BrokenBeforeHead,
            Ok(Ok(response)) => response,
        };
        self.read(response).await
    }

    async fn read(&mut self, response: TargetResponse) -> RunReason {
        let view = &self.ctx.view;
        let info = headers::response_info(response.headers());
        let item = self.spec.request().map_or("", |item| item.id.as_str());
        if !info.responds_to(item) {
            return RunReason::WrongRequestId;
        }
        if let Some(load) = info.load {
            view.target_table().record_load(view.now(), &self.slot.instance, load);
        }
        match response.status() {
            StatusCode::MISDIRECTED_REQUEST => return RunReason::OtherTarget,
            _ if info.not_run => return RunReason::FullOrLoading,
            StatusCode::UNPROCESSABLE_ENTITY => return RunReason::Impossible,
            status if status.is_server_error() => {
                return RunReason::TargetError;
            }
            status if !status.is_success() => return RunReason::UnexpectedStatus,
            _ => {}
        }
        if info.signature.is_none() {
            return RunReason::Unsigned;
        }
        self.version = info.version;
        self.record_version();
        if info.version.is_some_and(|version| version < self.spec.job.min_version) {
            return RunReason::WeightsTooOld;
        }
        self.read_events(response).await
    }

    fn record_version(&self) {
        let (Some(model), Some(version)) = (&self.model, self.version) else { return };
        let version = ModelVersion::new(version);
        self.ctx.view.target_table().record_version(&self.slot.instance, model, version);
    }

    async fn read_events(&mut self, mut response: TargetResponse) -> RunReason {
        let mut reader = EventReader::default();
        let silence_timeout = silence_timeout(self.spec.silent_runs);
        let mut event_due = Instant::now() + EVENT_TIMEOUT;
        loop {
            let next_due = event_due.min(Instant::now() + silence_timeout);
            let bytes = match time::timeout_at(next_due, response.next()).await {
                Err(_elapsed) => return RunReason::BodyTimeout,
                Ok(Err(SendError::TooLong(_))) => return RunReason::TooLong,
                Ok(Err(_broken)) => return RunReason::Broken,
                Ok(Ok(None)) => break,
                Ok(Ok(Some(bytes))) => bytes,
            };
            let events = match reader.push(&bytes) {
                Err(EventError::Malformed) => return RunReason::InvalidEvents,
                Err(EventError::TooLong) => return RunReason::TooLong,
                Ok(events) => events,
            };
            if !events.is_empty() {
                event_due = Instant::now() + EVENT_TIMEOUT;
            }
            for event in events {
                let expected = self.spec.events + u32::try_from(self.events.len()).unwrap_or(0) + 1;
                if event.id != Some(expected) {
                    return RunReason::EventMissing;
                }
                if event.version.is_some() {
                    self.version = event.version;
                    self.record_version();
                }
                let Some(version) = self.version else {
                    return RunReason::NoVersion;
                };
                if !self.text.try_add(event.data.len()) {
                    return RunReason::TooLong;
                }
                self.events.push(RunEvent { data: event.data, version });
            }
            self.log_progress();
            if self.should_move() {
                return RunReason::SlowEngine;
            }
        }
        if reader.has_partial_event() {
            return RunReason::TruncatedEvent;
        }
        response.reuse();
        RunReason::Complete
    }

    /// Logs new events in batches, so that another box can continue a long text.
    fn log_progress(&mut self) {
        if self.events.len() - self.logged < PROGRESS_EVENTS || self.spec.job.single_version {
            return;
        }
        self.keeper.append(vec![self.spec.progress(&self.events, self.logged)]);
        self.logged = self.events.len();
    }

    /// Measures the time per event. Returns whether the run should move to another engine.
    fn should_move(&mut self) -> bool {
        let now = Instant::now();
        let Some((since, at)) = self.rate_measured_at else {
            self.rate_measured_at = Some((now, self.events.len()));
            self.prefill = now.duration_since(self.started);
            return false;
        };
        let events = u32::try_from(self.events.len() - at).unwrap_or(u32::MAX);
        if events < RATE_EVENTS {
            return false;
        }
        self.rate_measured_at = Some((now, self.events.len()));
        let unit_time = now.duration_since(since) / events;
        let view = &self.ctx.view;
        let regions = item_scope(self.ctx, self.spec);
        let mut targets = view.target_table();
        targets.record_unit_time(view.now(), &self.slot.instance, unit_time);
        let events = self.spec.events + u32::try_from(self.events.len()).unwrap_or(u32::MAX);
        let factor = if events >= LONG_EVENTS { LONG_MOVE_FACTOR } else { MOVE_FACTOR };
        let requirements = self.requirements(&regions);
        if targets.expects_times(&self.slot.service) {
            let left = predicted_work(&self.spec.forecast, events);
            let run = RunProgress { unit_time, prefill: self.prefill, left };
            let (instance, rng) = (&self.slot.instance, &mut rand::rng());
            let moved = targets.better_target(view.now(), instance, &run, &requirements, rng);
            self.moved = moved;
            return moved.is_some();
        }
        let faster = unit_time.div_f64(factor);
        targets.has_faster(view.now(), &self.slot.instance, faster, &requirements, &mut rand::rng())
    }

    fn requirements<'a>(&'a self, regions: &'a RegionScope) -> TargetRequirements<'a> {
        let floor = ModelVersion::new(self.spec.job.min_version);
        TargetRequirements {
            model: self.model.as_ref().map(|model| (model, floor)),
            free_slot: true,
            skip_backed_off: false,
            fast: false,
            work: None,
            // Runs don't move to cold engines.
            sender: None,
            avoid: &[],
            regions: Some(regions),
        }
    }

    fn record_end(&self, reason: RunReason) {
        let view = &self.ctx.view;
        match reason {
            RunReason::Broken | RunReason::BrokenBeforeHead => {
                record_disconnect(view, self.slot, self.work);
            }
            RunReason::OtherTarget => {
                view.suspects().instance_gone(view.now(), &self.slot.instance);
            }
            // The engine survived the work.
            RunReason::Complete | RunReason::Impossible | RunReason::TargetError => {
                view.suspects().succeeded(self.work);
            }
            _ => {}
        }
        // Wake the task that publishes suspect changes. A change that it misses is published after
        // the next run.
        view.suspects_changed();
        view.metrics.count_outcome("run", reason.as_str());
        if reason == RunReason::SlowEngine {
            let why = if self.moved.is_some() { "earlier elsewhere" } else { "faster engine" };
            view.metrics.count_outcome("run_moved", why);
        }
        let instance = &self.slot.instance;
        if reason == RunReason::Complete {
            view.target_table().succeeded(view.now(), instance);
        }
        if let Some(failure) = reason.failure() {
            view.target_table().failed(view.now(), instance, failure);
        }
        let level =
            if reason == RunReason::Complete { log::Level::Debug } else { log::Level::Info };
        let item = self.spec.request().map_or("", |item| item.id.as_str());
        let speed = view.target_table().speed(view.now(), instance);
        let millis = |time: fn(&MoveEstimate) -> Duration| {
            self.moved.as_ref().map_or(0, |estimate| whole_millis(time(estimate)))
        };
        log::log!(
            target: "jobs", level, job:% = self.spec.item.job, item = item, work:% = self.work,
            target:% = instance, from_event = self.spec.events, events = self.events.len(),
            weight_version = self.version.unwrap_or(0), min_version = self.spec.job.min_version,
            took_ms = whole_millis(self.started.elapsed()),
            predicted_events = self.spec.forecast.total.round(),
            usual_unit_us = speed.map_or(0, |speed| speed.usual_unit_us()),
            slowdown_percent = speed.map_or(0, |speed| speed.slowdown_percent()),
            left_here_ms = millis(|estimate| estimate.here),
            left_elsewhere_ms = millis(|estimate| estimate.elsewhere),
            outcome:% = reason;
            "run ended"
        );
    }
}
