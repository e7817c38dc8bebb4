//! Handlers of requests that change state.

use std::time::Duration;

use api::{
    AdvanceBody, AppliedBody, CloseBody, ErrorBody, ErrorKind, OpenBody, PullBody, PullResponse,
};
use axum::extract::{Path, Query, State};
use axum::http::HeaderMap;
use axum::response::Response;
use ids::{FencingToken, Generation, ModelVersion, SlotIndex, StepNumber, TokenCount};
use ledger::{PoolRule, Progress, Sample, VersionSpan, WaitCause};
use pools::PoolSpec;
use serde::Deserialize;
use wire::peer::{
    self, AdvanceStep, CloseStep, Group, OpenStep, PullStep, SampleItem, StepRef, request,
};

use crate::apply;
use crate::context::{new_request, new_request_id};
use crate::documents::OfferConfig;
use crate::http::HttpState;
use crate::http::response::{
    ApiError, FullBody, http_span, json_with_digest, read_json, read_value, require_key,
};
use crate::keeper::KeeperKey;
use crate::route::StepResponse;

/// Timeout of a request about a step, in addition to a pull's own wait. Allows for one call and a
/// retry; when no keeper is found, the trainer retries, possibly at another box.
const STEP_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum wait of a pull, in milliseconds.
const MAX_PULL_WAIT_MS: u64 = 30_000;

type HttpResult = Result<Response, ApiError>;

/// Path parameters that identify a step.
#[derive(Debug, Clone, Deserialize)]
pub struct StepPath {
    pool: String,
    trainer: String,
    step: String,
}

impl StepPath {
    fn key(&self) -> Result<KeeperKey, ApiError> {
        Ok(KeeperKey { pool: read_value(&self.pool)?, trainer: read_value(&self.trainer)? })
    }

    fn step(&self) -> Result<StepNumber, ApiError> {
        read_value(&self.step)
    }

    fn step_ref(&self, seen: FencingToken) -> Result<StepRef, ApiError> {
        Ok(StepRef {
            pool: self.pool.clone(),
            trainer: self.trainer.clone(),
            step: self.step()?.get(),
            seen: seen.get(),
            claim: false,
        })
    }
}

/// Opens a step.
pub async fn open_step(
    State(state): State<HttpState>,
    Path(path): Path<StepPath>,
    headers: HeaderMap,
    FullBody(body): FullBody,
) -> HttpResult {
    let open: OpenBody = read_json(&body)?;
    let spec = open.spec(path.step()?);
    spec.check().map_err(|error| ErrorBody::new(ErrorKind::BadRequest, error.to_string()))?;
    let groups = spec.groups.iter().map(|group| Group {
        prompt: group.prompt.to_string(),
        samples: u32::from(group.samples),
        max_tokens: group.max_tokens.get(),
    });
    let body = request::Body::OpenStep(OpenStep {
        step: Some(path.step_ref(open.seen)?),
        version: open.version.get(),
        groups: groups.collect(),
        held: open.held.as_bytes().to_vec(),
    });
    let response = call_keeper(&state, &path, &headers, body, Duration::ZERO).await?;
    json_with_digest(&step_state(response.state)?)
}

/// Pulls finished samples of a step.
pub async fn pull_step(
    State(state): State<HttpState>,
    Path(path): Path<StepPath>,
    headers: HeaderMap,
    FullBody(body): FullBody,
) -> HttpResult {
    let pull: PullBody = read_json(&body)?;
    let wait_ms = pull.wait_ms.min(MAX_PULL_WAIT_MS);
    let body = request::Body::PullStep(PullStep {
        step: Some(path.step_ref(pull.seen)?),
        held: pull.held.as_bytes().to_vec(),
        max_samples: pull.most,
        wait_ms,
    });
    let wait = Duration::from_millis(wait_ms);
    let response = call_keeper(&state, &path, &headers, body, wait).await?;
    let samples: Result<Vec<Sample>, ApiError> = response.samples.into_iter().map(sample).collect();
    json_with_digest(&PullResponse { samples: samples?, state: step_state(response.state)? })
}

/// Sets a newer weight version for a step.
pub async fn advance_step(
    State(state): State<HttpState>,
    Path(path): Path<StepPath>,
    headers: HeaderMap,
    FullBody(body): FullBody,
) -> HttpResult {
    let advance: AdvanceBody = read_json(&body)?;
    let body = request::Body::AdvanceStep(AdvanceStep {
        step: Some(path.step_ref(advance.seen)?),
        version: advance.version.get(),
    });
    let response = call_keeper(&state, &path, &headers, body, Duration::ZERO).await?;
    json_with_digest(&step_state(response.state)?)
}

/// Closes a step.
pub async fn close_step(
    State(state): State<HttpState>,
    Path(path): Path<StepPath>,
    headers: HeaderMap,
    FullBody(body): FullBody,
) -> HttpResult {
    let close: CloseBody = read_json(&body)?;
    let step = path.step_ref(close.seen)?;
    let body = request::Body::CloseStep(CloseStep { step: Some(step) });
    call_keeper(&state, &path, &headers, body, Duration::ZERO).await?;
    json_with_digest(&serde_json::json!({ "closed": path.step()? }))
}

/// Returns the state of a step. A query, but routed to the keeper like the commands.
pub async fn step_status(state: &HttpState, path: &StepPath, headers: &HeaderMap) -> HttpResult {
    let step = path.step_ref(FencingToken::default())?;
    let body = request::Body::StepStatus(peer::StepStatus { step: Some(step) });
    let response = call_keeper(state, path, headers, body, Duration::ZERO).await?;
    json_with_digest(&step_state(response.state)?)
}

/// Query parameters of a pool change.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct ApplyQuery {
    /// Generation that the change is based on; a later change of the pool is a conflict.
    if_generation: Option<Generation>,
    /// Idempotency key of the change.
    write_id: Option<String>,
}

/// Adds or replaces a pool.
pub async fn apply_pool(
    State(state): State<HttpState>,
    Path(pool): Path<String>,
    Query(query): Query<ApplyQuery>,
    headers: HeaderMap,
    FullBody(body): FullBody,
) -> HttpResult {
    require_key(&state.ctx, &headers)?;
    let spec: PoolSpec = read_json(&body)?;
    spec.check().map_err(|error| ErrorBody::new(ErrorKind::BadRequest, error.to_string()))?;
    if spec.name.as_str() != pool {
        let message =
            format!("the path names pool {pool} and the body {}: use the same name", spec.name);
        return Err(ErrorBody::new(ErrorKind::BadRequest, message).into());
    }
    let write_id = query.write_id.unwrap_or_else(|| new_request_id().to_string());
    let applied = apply::apply_pool(&state.ctx.store, spec, query.if_generation, &write_id).await?;
    let generation = applied.config.generation;
    log::info!(target: "config", pool:% = pool, generation:% = generation, write:% = write_id; "pool change accepted");
    // Sending fails only when the box stops; the change is already stored on the platform.
    let _stopped = state.documents.tell(OfferConfig(applied.config)).await;
    json_with_digest(&AppliedBody { generation })
}

async fn call_keeper(
    state: &HttpState,
    path: &StepPath,
    headers: &HeaderMap,
    body: request::Body,
    wait: Duration,
) -> Result<StepResponse, ApiError> {
    let key = path.key()?;
    let span = http_span(&state.ctx, "http.step", headers);
    // The directory sets the time left of each call.
    let request = new_request(body, span.traceparent(), wait + STEP_TIMEOUT);
    let deadline = state.ctx.clock.now() + wait + STEP_TIMEOUT;
    Ok(state.directory.call(&state.ctx, &key, request, wait, deadline).await?)
}

fn unknown_outcome(message: &str) -> ApiError {
    ApiError(ErrorBody::new(ErrorKind::Unknown, message))
}

fn step_state(state: Option<peer::StepState>) -> Result<api::StepState, ApiError> {
    let state = state
        .ok_or_else(|| unknown_outcome("the keeper returned no state: send the request again"))?;
    let count = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    Ok(api::StepState {
        token: FencingToken::new(state.token),
        named: ModelVersion::new(state.named),
        rule: PoolRule {
            generation: Generation::new(state.generation),
            version: ModelVersion::new(state.pool_version),
            bound: state.bound,
        },
        progress: Progress {
            slots: count(state.slots),
            held: count(state.held),
            ready: count(state.ready),
            running: count(state.running),
            wanted: count(state.wanted),
            discarded: state.discarded,
            cause: WaitCause::from_name(&state.cause),
        },
        keeper: state.keeper,
    })
}

fn sample(item: SampleItem) -> Result<Sample, ApiError> {
    let spans = item.spans.iter().map(|span| VersionSpan {
        version: ModelVersion::new(span.version),
        tokens: TokenCount::new(span.tokens),
    });
    Ok(Sample {
        slot: SlotIndex::new(item.slot),
        spans: spans.collect(),
        text: item.text,
        score: item.score,
        engine: read_value(&item.engine)?,
    })
}
