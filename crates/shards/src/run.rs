//! One run of an item at an engine.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use ids::{CustomerName, ModelName, ModelVersion, WorkDigest, whole_millis};
use jobs::{RunEvent, RunResult, RunSpec};
use node::{SlotGuard, record_disconnect};
use platform::events::EventReader;
use platform::headers;
use routing::{ChosenTarget, TargetRequirements};
use tokio::time::{self, Instant};
use upstream::{SendError, TargetResponse};

use crate::context::ShardContext;
use crate::keeper::ShardKeeper;
use crate::run_reason::RunReason;

/// Longest silence of a run; a target that is dark is left after this.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Events that gather before they are given to the log. Most texts are
/// shorter, and are logged once, when they are listed.
const PROGRESS_EVENTS: usize = 16;
/// Events over which a run's pace is taken.
const PACE_EVENTS: u32 = 6;
/// A run moves when another engine is faster by this factor: less is within what the batch's
/// size does to the pace, and a move costs a prompt read again.
const MOVE_FACTOR: f64 = 1.8;
/// The factor for a text that is long already, and so will go on for long in the mean: the long
/// ones decide when a step is whole.
const LONG_MOVE_FACTOR: f64 = 1.25;
/// Events from which on a text is long.
const LONG_EVENTS: u32 = 32;

struct RunState<'a> {
    ctx: &'a ShardContext,
    keeper: &'a ShardKeeper,
    spec: &'a RunSpec,
    slot: &'a ChosenTarget,
    work: WorkDigest,
    model: Option<ModelName>,
    version: Option<u64>,
    events: Vec<RunEvent>,
    /// Events that were given to the log.
    logged: usize,
    /// When the pace was last taken, and at how many events.
    paced_at: Option<(Instant, usize)>,
}

/// Runs an item from its last whole event on; whatever came whole is in the answer.
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
        slot: slot.slot(),
        work: slot.work(),
        model: spec.job.model.parse().ok(),
        version: None,
        events: Vec::new(),
        logged: 0,
        paced_at: None,
    };
    let started = Instant::now();
    let reason = state.run().await;
    state.note(reason, started);
    RunResult { outcome: reason.outcome(), events: state.events, logged: state.logged }
}

impl RunState<'_> {
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let item = self.spec.request()?;
        let mut sent = HeaderMap::new();
        for header in &item.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            sent.insert(name, HeaderValue::from_str(&header.value).ok()?);
        }
        sent.insert(http::header::HOST, HeaderValue::from_str(&self.spec.job.host).ok()?);
        sent.insert(headers::REQUEST_ID, HeaderValue::from_str(&item.id).ok()?);
        self.name_customer(&mut sent);
        headers::set_instance(&mut sent, &self.slot.instance);
        if self.spec.events > 0 {
            headers::set_last_event(&mut sent, self.spec.events);
        }
        let mut request = Request::new(Full::new(Bytes::from(item.body.clone())));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = item.path.parse().ok()?;
        *request.headers_mut() = sent;
        Some(request)
    }

    /// Names the job's customer to the engine, whatever the item's own headers say.
    fn name_customer(&self, sent: &mut HeaderMap) {
        let customer: Option<CustomerName> = self.spec.job.customer.parse().ok();
        if customer.is_some() || self.ctx.view.table().customers().is_some() {
            headers::set_customer(sent, customer.as_ref());
        }
    }

    async fn run(&mut self) -> RunReason {
        let Some(request) = self.request() else {
            return RunReason::Unwritable;
        };
        let sent = self.ctx.view.pool.send(self.slot.address, request);
        let answer = match time::timeout(SILENCE, sent).await {
            Err(_elapsed) => {
                self.ctx.view.pool.close_idle();
                return RunReason::SilentBeforeHead;
            }
            Ok(Err(SendError::NotSent(_))) => return RunReason::NotSent,
            Ok(Err(SendError::LimitReached)) => return RunReason::NoRoom,
            Ok(Err(SendError::Broken(_))) => return RunReason::BrokenBeforeHead,
            Ok(Ok(answer)) => answer,
        };
        self.read(answer).await
    }

    async fn read(&mut self, answer: TargetResponse) -> RunReason {
        let view = &self.ctx.view;
        let facts = headers::response_info(answer.headers());
        let item = self.spec.request().map_or("", |item| item.id.as_str());
        if facts.request_id.as_deref().is_some_and(|id| id != item) {
            return RunReason::OtherAnswer;
        }
        if let Some(load) = facts.load {
            view.target_table().record_load(view.now(), &self.slot.instance, load);
        }
        match answer.status() {
            StatusCode::MISDIRECTED_REQUEST => return RunReason::OtherTarget,
            _ if facts.not_run => return RunReason::FullOrLoading,
            StatusCode::UNPROCESSABLE_ENTITY => return RunReason::Impossible,
            status if status.is_server_error() => {
                return RunReason::TargetError;
            }
            status if !status.is_success() => return RunReason::OddStatus,
            _ => {}
        }
        if facts.signature.is_none() {
            return RunReason::Unsigned;
        }
        self.version = facts.version;
        self.record_version();
        if facts.version.is_some_and(|version| version < self.spec.job.min_version) {
            return RunReason::WeightsTooOld;
        }
        self.read_events(answer).await
    }

    fn record_version(&self) {
        let (Some(model), Some(version)) = (&self.model, self.version) else { return };
        let version = ModelVersion::new(version);
        self.ctx.view.target_table().record_version(&self.slot.instance, model, version);
    }

    async fn read_events(&mut self, mut answer: TargetResponse) -> RunReason {
        let mut reader = EventReader::default();
        loop {
            let bytes = match time::timeout(SILENCE, answer.next()).await {
                Err(_elapsed) => return RunReason::Silent,
                Ok(Err(_broken)) => return RunReason::Broken,
                Ok(Ok(None)) => break,
                Ok(Ok(Some(bytes))) => bytes,
            };
            let Ok(events) = reader.push(&bytes) else {
                return RunReason::NoEvents;
            };
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
                self.events.push(RunEvent { data: event.data, version });
            }
            self.log_progress();
            if self.take_pace() {
                return RunReason::SlowEngine;
            }
        }
        if reader.has_partial_event() {
            return RunReason::EndedWithinEvent;
        }
        answer.reuse();
        RunReason::Complete
    }

    /// Gives new events to the log now and then, so that a long text survives this box.
    fn log_progress(&mut self) {
        if self.events.len() - self.logged < PROGRESS_EVENTS || self.spec.job.single_version {
            return;
        }
        self.keeper.log(vec![self.spec.progress(&self.events, self.logged)]);
        self.logged = self.events.len();
    }

    /// Takes the pace every few events. `true` when the run had better go on elsewhere.
    fn take_pace(&mut self) -> bool {
        let now = Instant::now();
        let Some((since, at)) = self.paced_at else {
            self.paced_at = Some((now, self.events.len()));
            return false;
        };
        let events = u32::try_from(self.events.len() - at).unwrap_or(u32::MAX);
        if events < PACE_EVENTS {
            return false;
        }
        self.paced_at = Some((now, self.events.len()));
        let pace = now.duration_since(since) / events;
        let view = &self.ctx.view;
        let mut board = view.target_table();
        board.record_unit_time(&self.slot.instance, pace);
        let events = self.spec.events + u32::try_from(self.events.len()).unwrap_or(u32::MAX);
        let factor = if events >= LONG_EVENTS { LONG_MOVE_FACTOR } else { MOVE_FACTOR };
        let need = self.need();
        let faster = pace.div_f64(factor);
        board.has_faster(view.now(), &self.slot.instance, faster, &need, &mut rand::rng())
    }

    fn need(&self) -> TargetRequirements<'_> {
        let floor = ModelVersion::new(self.spec.job.min_version);
        TargetRequirements {
            model: self.model.as_ref().map(|model| (model, floor)),
            free_slot: true,
            fast: false,
            // No run moves to a cold engine.
            sender: None,
            avoid: &[],
        }
    }

    fn note(&self, reason: RunReason, started: Instant) {
        let view = &self.ctx.view;
        match reason {
            RunReason::Broken | RunReason::BrokenBeforeHead => {
                record_disconnect(view, self.slot, self.work);
            }
            RunReason::OtherTarget => {
                view.suspects().instance_gone(view.now(), &self.slot.instance);
            }
            // The engine has lived to say so.
            RunReason::Complete | RunReason::Impossible | RunReason::TargetError => {
                view.suspects().succeeded(self.work);
            }
            _ => {}
        }
        // A second end is told by now, or the run after this one tells of it.
        view.suspects_changed();
        view.metrics.count_outcome("run", reason.as_str());
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
        log::log!(
            target: "jobs", level, job:% = self.spec.item.job, item = item, work:% = self.work,
            target:% = instance, from_event = self.spec.events, events = self.events.len(),
            weight_version = self.version.unwrap_or(0), min_version = self.spec.job.min_version,
            took_ms = whole_millis(started.elapsed()),
            outcome:% = reason;
            "run ended"
        );
    }
}
