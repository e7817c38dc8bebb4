//! Handlers of read-only requests.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use api::{BoxStatus, ErrorBody, ErrorKind, KeeperStatus, PeerStatus, PoolsBody};
use axum::Json;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use coord::members::Liveness;
use ids::{DomainId, PoolName};

use crate::context::BoxContext;
use crate::home::QueryHome;
use crate::http::HttpState;
use crate::http::commands::{StepPath, step_status};
use crate::http::response::{ApiError, json_with_digest, read_value, require_key};
use crate::keeper::QueryKeeper;

/// Liveness probe; succeeds while the process is running.
pub async fn health() -> &'static str {
    "ok"
}

/// Readiness probe for the load balancer; lists what the box still waits for.
pub async fn ready(State(state): State<HttpState>) -> Response {
    let waits_for = waits_for(&state.ctx);
    let status =
        if waits_for.is_empty() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let body = serde_json::json!({
        "ready": waits_for.is_empty(),
        "waits_for": waits_for,
        "cannot": cannot(&state.ctx),
    });
    (status, Json(body)).into_response()
}

/// Returns the metrics in the exposition format.
pub async fn metrics(State(state): State<HttpState>) -> Response {
    let media = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    ([("content-type", media)], state.ctx.metrics.encode()).into_response()
}

/// Returns the state of a step.
pub async fn step(
    State(state): State<HttpState>,
    Path(path): Path<StepPath>,
    headers: HeaderMap,
) -> Result<Response, ApiError> {
    step_status(&state, &path, &headers).await
}

/// Returns all pools of this box's current configuration.
pub async fn pools(
    State(state): State<HttpState>,
    headers: HeaderMap,
) -> Result<Response, ApiError> {
    require_key(&state.ctx, &headers)?;
    let config = Arc::clone(&state.ctx.documents.borrow().config);
    let pools = config.pools.values().cloned().collect();
    json_with_digest(&PoolsBody { generation: config.generation, pools })
}

/// Returns one pool of this box's current configuration.
pub async fn pool(
    State(state): State<HttpState>,
    Path(pool): Path<String>,
    headers: HeaderMap,
) -> Result<Response, ApiError> {
    require_key(&state.ctx, &headers)?;
    let name: PoolName = read_value(&pool)?;
    let config = Arc::clone(&state.ctx.documents.borrow().config);
    let Some(entry) = config.pools.get(&name) else {
        let message = format!("no pool {name} in generation {}: apply it first", config.generation);
        return Err(ErrorBody::new(ErrorKind::NotFound, message).into());
    };
    json_with_digest(&PoolsBody { generation: config.generation, pools: vec![entry.clone()] })
}

/// Returns this box's status for operators.
pub async fn status(
    State(state): State<HttpState>,
    headers: HeaderMap,
) -> Result<Response, ApiError> {
    require_key(&state.ctx, &headers)?;
    let ctx = &state.ctx;
    let generation = ctx.documents.borrow().config.generation;
    json_with_digest(&BoxStatus {
        id: ctx.me.id.clone(),
        domain: ctx.me.domain.clone(),
        incarnation: ctx.me.incarnation,
        generation,
        waits_for: waits_for(ctx),
        cannot: cannot(ctx),
        peers: peers(ctx),
        kept: kept(ctx).await,
        homes: homes(ctx).await,
        rollouts: ctx.rollouts.all(),
    })
}

fn waits_for(ctx: &BoxContext) -> Vec<String> {
    let mut waits = Vec::new();
    if !ctx.documents.borrow().ready {
        waits.push("configuration and target list, from the platform or a peer".to_owned());
    }
    if ctx.is_leaving() {
        waits.push("nothing: the box is stopping".to_owned());
    }
    waits
}

/// Lists what the box currently cannot do. It stays ready, since everything else works.
fn cannot(ctx: &BoxContext) -> Vec<String> {
    let mut cannot = Vec::new();
    if !ctx.platform_available.load(Ordering::Relaxed) {
        let text = "platform does not answer: no change of configuration is accepted, no swap is \
                    ordered once leases run out; steps are kept and requests served";
        cannot.push(text.to_owned());
    }
    let now = ctx.clock.now();
    let members = ctx.members.borrow();
    let targets = Arc::clone(&ctx.documents.borrow().targets);
    let domains: BTreeSet<&DomainId> =
        targets.list().targets.iter().map(|record| &record.domain).collect();
    for domain in domains.into_iter().filter(|domain| **domain != ctx.me.domain) {
        if members.live_in(now, domain).is_empty() {
            cannot.push(format!("no box of {domain} is heard: its targets cannot be reached"));
        }
    }
    cannot
}

fn peers(ctx: &BoxContext) -> Vec<PeerStatus> {
    let now = ctx.clock.now();
    let members = ctx.members.borrow();
    let all = members.all(now).into_iter().map(|(record, liveness)| PeerStatus {
        id: record.id.clone(),
        domain: record.domain.clone(),
        liveness: liveness_name(liveness).to_owned(),
    });
    all.collect()
}

const fn liveness_name(liveness: Liveness) -> &'static str {
    match liveness {
        Liveness::Live => "live",
        Liveness::Suspect => "suspect",
        Liveness::Leaving => "leaving",
        Liveness::Dead => "dead",
    }
}

async fn kept(ctx: &BoxContext) -> Vec<KeeperStatus> {
    let mut kept = Vec::new();
    for (key, handle) in ctx.keepers.all() {
        let Ok(view) = handle.actor.ask(QueryKeeper).await else { continue };
        kept.push(KeeperStatus {
            pool: key.pool,
            trainer: key.trainer.to_string(),
            token: view.acting.unwrap_or_default(),
            steps: view.steps.iter().map(|step| step.get()).collect(),
        });
    }
    kept
}

async fn homes(ctx: &BoxContext) -> Vec<api::HomeStatus> {
    let mut homes = Vec::new();
    for handle in ctx.homes.all() {
        if let Ok(view) = handle.actor.ask(QueryHome).await {
            homes.push(view.status);
        }
    }
    homes
}
