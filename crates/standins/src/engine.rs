//! An engine over HTTP: runs the model of [`crate::engine_model`] on the clock of the runtime.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::process;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use futures::stream;
use ids::{
    ContentDigest, DigestWriter, Incarnation, ModelVersion, Moment, TokenCount, whole_millis,
};
use serde::{Deserialize, Serialize};
use targets::{
    EngineLine, EngineState, GenerateRequest, LoadReport, NOT_RUN_HEADER, OrderRequest,
    OrderResponse, TOKEN_CHARS,
};
use tokio::sync::{Notify, mpsc};
use tokio::time::{self, Instant};

use crate::engine_model::{EngineModel, EngineSettings, OrderStart, StreamId, StreamStep};

/// Exit code of a requested crash.
const CRASH_CODE: i32 = 70;
/// Minimum time between two updates of the load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Fault switches; all off by default.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Exits the process at once.
    pub crash: bool,
    /// Reports that the engine is leaving, and refuses new work.
    pub leaving: bool,
    /// Number of orders to apply without sending the response.
    pub lose_order_answers: u32,
    /// Number of orders to refuse.
    pub refuse_orders: u32,
    /// Number of chunks to send without a version stamp.
    pub drop_stamps: u32,
    /// Number of streams to cut after at least two chunks, without an end line.
    pub cut_streams: u32,
}

#[derive(Debug)]
struct Inner {
    model: EngineModel,
    faults: EngineFaults,
    streams: BTreeMap<StreamId, StreamOutput>,
    by_request: BTreeMap<String, StreamId>,
    report: (Moment, LoadReport),
}

#[derive(Debug)]
struct StreamOutput {
    lines: mpsc::UnboundedSender<EngineLine>,
    seed: u64,
    digest: DigestWriter,
    tokens: u32,
}

/// Handle to a simulated engine; clones share its state.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    inner: Arc<Mutex<Inner>>,
    work_added: Arc<Notify>,
    started: Instant,
}

impl EngineStandin {
    /// Starts an engine with `version` loaded. Spawns its driver on the current runtime.
    pub fn start(
        settings: EngineSettings,
        incarnation: Incarnation,
        version: ModelVersion,
    ) -> Self {
        let inner = Inner {
            model: EngineModel::new(settings, incarnation, version),
            faults: EngineFaults::default(),
            streams: BTreeMap::new(),
            by_request: BTreeMap::new(),
            report: (Moment::START, LoadReport { running: 0, waiting: 0, age_ms: 0 }),
        };
        let standin = Self {
            inner: Arc::new(Mutex::new(inner)),
            work_added: Arc::default(),
            started: Instant::now(),
        };
        tokio::spawn(standin.clone().run_steps());
        standin
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Moment {
        Moment::after_start(self.started.elapsed())
    }

    async fn run_steps(self) {
        loop {
            let next = self.lock().model.next_at();
            let Some(at) = next else {
                self.work_added.notified().await;
                continue;
            };
            time::sleep_until(self.started + at.since_start()).await;
            let now = self.now();
            let mut inner = self.lock();
            for step in inner.model.step(now) {
                inner.emit(&step);
            }
        }
    }
}

impl Inner {
    fn emit(&mut self, step: &StreamStep) {
        let incarnation = self.model.incarnation();
        let Some(out) = self.streams.get_mut(&step.stream) else {
            return;
        };
        let text = chunk_text(out.seed, step);
        out.digest.update(text.as_bytes());
        out.tokens += step.tokens;
        let drop_stamp = self.faults.drop_stamps > 0;
        self.faults.drop_stamps = self.faults.drop_stamps.saturating_sub(1);
        let chunk = EngineLine::Chunk {
            index: step.index,
            tokens: TokenCount::new(step.tokens),
            version: (!drop_stamp).then_some(step.version),
            incarnation,
            text,
        };
        let is_disconnected = out.lines.send(chunk).is_err();
        if self.faults.cut_streams > 0 && step.index > 0 {
            self.faults.cut_streams -= 1;
            self.streams.remove(&step.stream);
            return;
        }
        if step.last {
            let end = EngineLine::End {
                tokens: TokenCount::new(out.tokens),
                digest: out.digest.digest(),
            };
            // The reader may have disconnected. The stream is removed either way.
            let _disconnected = out.lines.send(end);
        }
        if step.last || is_disconnected {
            self.streams.remove(&step.stream);
        }
    }
}

/// Returns the text of a chunk. The same seed and position give the same text, so that repeated
/// generations can be compared.
fn chunk_text(seed: u64, step: &StreamStep) -> String {
    let mut text = String::with_capacity(step.tokens as usize * TOKEN_CHARS);
    for token in 0..step.tokens {
        let position = [seed, u64::from(step.index), u64::from(token)].map(u64::to_le_bytes);
        let digest = ContentDigest::of(position.as_flattened()).to_string();
        text.push_str(&digest[..TOKEN_CHARS - 1]);
        text.push(' ');
    }
    text
}

/// Returns the HTTP routes of an engine.
pub fn router(standin: EngineStandin) -> Router {
    Router::new()
        .route("/v1/generate", post(generate))
        .route("/v1/cancel/{request_id}", post(cancel))
        .route("/v1/state", get(read_state))
        .route("/v1/orders", post(order))
        .route("/faults", post(set_faults))
        .with_state(standin)
}

async fn generate(
    State(standin): State<EngineStandin>,
    Json(request): Json<GenerateRequest>,
) -> Response {
    let now = standin.now();
    let (lines, receiver) = mpsc::unbounded_channel();
    {
        let mut inner = standin.lock();
        if inner.faults.leaving {
            let refused =
                (StatusCode::SERVICE_UNAVAILABLE, [(NOT_RUN_HEADER, "leaving")], "leaving");
            return refused.into_response();
        }
        let prompt = ContentDigest::of(request.prompt.as_bytes()).get();
        let id = inner.model.start(now, prompt, request.seed, request.max_tokens.get());
        let digest = DigestWriter::default();
        inner.streams.insert(id, StreamOutput { lines, seed: request.seed, digest, tokens: 0 });
        inner.by_request.insert(request.request_id.to_string(), id);
    }
    standin.work_added.notify_one();
    let body = stream::unfold(receiver, |mut receiver| async {
        let line = receiver.recv().await?;
        Some((Ok::<Bytes, Infallible>(encode_line(&line)), receiver))
    });
    Body::from_stream(body).into_response()
}

fn encode_line(line: &EngineLine) -> Bytes {
    let mut bytes = serde_json::to_vec(line).unwrap_or_default();
    bytes.push(b'\n');
    Bytes::from(bytes)
}

async fn cancel(
    State(standin): State<EngineStandin>,
    Path(request_id): Path<String>,
) -> StatusCode {
    let now = standin.now();
    let mut inner = standin.lock();
    if let Some(id) = inner.by_request.remove(&request_id) {
        inner.model.cancel(now, id);
        inner.streams.remove(&id);
    }
    StatusCode::NO_CONTENT
}

async fn read_state(State(standin): State<EngineStandin>) -> Json<EngineState> {
    let now = standin.now();
    let mut inner = standin.lock();
    let load = inner.load_report(now);
    let state = EngineState {
        incarnation: inner.model.incarnation(),
        version: Some(inner.model.version(now)),
        loading: inner.model.is_loading(now),
        token: inner.model.token(),
        leaving: inner.faults.leaving,
        load,
    };
    Json(state)
}

impl Inner {
    /// Returns the stored report. If an update is due, only later calls return it.
    fn load_report(&mut self, now: Moment) -> LoadReport {
        let (taken_at, report) = self.report;
        if now.since(taken_at) >= REPORT_INTERVAL {
            let fresh = LoadReport {
                running: u32::try_from(self.model.running()).unwrap_or(u32::MAX),
                waiting: u32::try_from(self.model.waiting()).unwrap_or(u32::MAX),
                age_ms: 0,
            };
            self.report = (now, fresh);
        }
        let age_ms = whole_millis(now.since(taken_at));
        LoadReport { age_ms, ..report }
    }
}

async fn order(State(standin): State<EngineStandin>, Json(order): Json<OrderRequest>) -> Response {
    let now = standin.now();
    let (started, lost) = {
        let mut inner = standin.lock();
        if inner.faults.refuse_orders > 0 {
            inner.faults.refuse_orders -= 1;
            return Json(OrderResponse::Refused { reason: "no memory".to_owned() }).into_response();
        }
        let lost = inner.faults.lose_order_answers > 0;
        inner.faults.lose_order_answers = inner.faults.lose_order_answers.saturating_sub(1);
        (inner.model.order(now, order.version, order.token), lost)
    };
    if lost {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    match started {
        OrderStart::OldToken(seen) => {
            let reason = format!("token {} is older than {seen}", order.token);
            Json(OrderResponse::Refused { reason }).into_response()
        }
        OrderStart::LoadedAt(at) => {
            time::sleep_until(standin.started + at.since_start()).await;
            Json(OrderResponse::Done).into_response()
        }
    }
}

async fn set_faults(
    State(standin): State<EngineStandin>,
    Json(faults): Json<EngineFaults>,
) -> StatusCode {
    if faults.crash {
        process::exit(CRASH_CODE);
    }
    standin.set_faults(faults);
    StatusCode::NO_CONTENT
}
