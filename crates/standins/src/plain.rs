//! A plain service that counts how often each request runs, and a scorer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use ids::ContentDigest;
use serde::{Deserialize, Serialize};
use targets::{DIGEST_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, ScoreRequest, ScoreResponse};
use tokio::time;

/// Fault switches of echoed calls; all off by default. Scoring has no faults.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Delay added to every call that runs, in milliseconds.
    pub slow_ms: u64,
    /// Number of calls to refuse before they run.
    pub refuse: u32,
    /// Number of calls to run and respond to with a wrong digest.
    pub corrupt: u32,
    /// Number of calls to run without sending the response.
    pub lose_answers: u32,
}

/// Execution counts of a plain service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RunCounts {
    /// Number of runs by request id.
    pub runs: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct Inner {
    counts: RunCounts,
    faults: PlainFaults,
}

/// State of a plain service; clones share it.
#[derive(Debug, Clone, Default)]
pub struct PlainState(Arc<Mutex<Inner>>);

impl PlainState {
    /// Sets the fault switches.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.lock().faults = faults;
    }

    /// Returns the execution counts.
    pub fn counts(&self) -> RunCounts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Uses up one count of a fault switch; returns whether any was left.
fn consume_fault(count: &mut u32) -> bool {
    let on = *count > 0;
    *count = count.saturating_sub(1);
    on
}

/// Returns the HTTP routes of a service that scores texts and echoes the URI and body of requests to
/// any other path.
pub fn router(state: PlainState) -> Router {
    Router::new()
        .route("/v1/score", post(score))
        .route("/faults", post(set_faults))
        .route("/counts", get(read_counts))
        .fallback(echo)
        .with_state(state)
}

async fn echo(
    State(state): State<PlainState>,
    headers: HeaderMap,
    uri: Uri,
    body: Bytes,
) -> Response {
    if consume_fault(&mut state.lock().faults.refuse) {
        let refused = (StatusCode::SERVICE_UNAVAILABLE, [(NOT_RUN_HEADER, "busy")], "busy");
        return refused.into_response();
    }
    let id = headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok()).unwrap_or("none");
    // Counts the run at its start, so that a caller that disconnects does not change the count.
    *state.lock().counts.runs.entry(id.to_owned()).or_default() += 1;
    let slow_ms = state.lock().faults.slow_ms;
    if slow_ms > 0 {
        time::sleep(Duration::from_millis(slow_ms)).await;
    }
    if consume_fault(&mut state.lock().faults.lose_answers) {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    let response = format!("{uri} {}", String::from_utf8_lossy(&body));
    let corrupt = consume_fault(&mut state.lock().faults.corrupt);
    let digest = ContentDigest::of(if corrupt { b"other" } else { response.as_bytes() });
    ([(DIGEST_HEADER, digest.to_string())], response).into_response()
}

/// Derives a score from the digest of the text: arbitrary but deterministic.
async fn score(Json(request): Json<ScoreRequest>) -> Json<ScoreResponse> {
    /// Number of different scores: hundredths from 0 to 1.
    const STEPS: u32 = 101;
    let digest = ContentDigest::of(request.text.as_bytes()).get();
    let hundredths = u32::try_from(digest % u64::from(STEPS)).unwrap_or_default();
    Json(ScoreResponse { score: f64::from(hundredths) / 100.0 })
}

async fn set_faults(
    State(state): State<PlainState>,
    Json(faults): Json<PlainFaults>,
) -> StatusCode {
    state.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn read_counts(State(state): State<PlainState>) -> Json<RunCounts> {
    Json(state.counts())
}
