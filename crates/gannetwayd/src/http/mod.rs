//! HTTP API for callers, trainers and operators, split into commands and queries.

mod commands;
mod plain;
mod queries;
mod response;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use axum::Router;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::middleware::{self, Next};
use axum::response::Response;
use axum::routing::{any, get, post, put};
use kameo::actor::ActorRef;

use crate::context::BoxContext;
use crate::documents::DocumentActor;
use crate::http::plain::PlainRouter;
use crate::route::KeeperDirectory;

/// Maximum size of a request body, in bytes. A step of 8,192 samples in groups of 8 with prompts of
/// 4 KiB fits.
const MAX_BODY: usize = 8 << 20;

/// State of the HTTP handlers.
#[derive(Debug, Clone)]
pub struct HttpState {
    /// State shared by all parts of the box.
    pub ctx: BoxContext,
    /// Routes requests about steps to their keepers.
    pub directory: KeeperDirectory,
    /// Receives configuration changes that were applied through this box.
    pub documents: ActorRef<DocumentActor>,
    plain: Arc<PlainRouter>,
    in_flight: Arc<AtomicUsize>,
}

impl HttpState {
    /// Creates the state with no requests in flight.
    pub fn new(ctx: BoxContext, documents: ActorRef<DocumentActor>) -> Self {
        Self {
            ctx,
            directory: KeeperDirectory::default(),
            documents,
            plain: Arc::default(),
            in_flight: Arc::default(),
        }
    }

    /// Returns the number of requests in flight, without health, readiness and metrics requests.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Builds the router with all routes.
pub fn router(state: HttpState) -> Router {
    let steps = "/v1/pools/{pool}/trainers/{trainer}/steps/{step}";
    let counted = Router::new()
        .route(&format!("{steps}/open"), post(commands::open_step))
        .route(&format!("{steps}/pull"), post(commands::pull_step))
        .route(&format!("{steps}/advance"), post(commands::advance_step))
        .route(&format!("{steps}/close"), post(commands::close_step))
        .route(steps, get(queries::step))
        .route("/v1/pools", get(queries::pools))
        .route("/v1/pools/{pool}", put(commands::apply_pool).get(queries::pool))
        .route("/v1/status", get(queries::status))
        .route("/v1/call/{service}/{*path}", any(plain::call_service))
        .layer(DefaultBodyLimit::max(MAX_BODY))
        .layer(middleware::from_fn_with_state(state.clone(), count_in_flight));
    Router::new()
        .route("/healthz", get(queries::health))
        .route("/readyz", get(queries::ready))
        .route("/metrics", get(queries::metrics))
        .merge(counted)
        .with_state(state)
}

/// Counts a request as in flight until dropped.
struct InFlight(HttpState);

impl InFlight {
    fn begin(state: HttpState) -> Self {
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        state.ctx.metrics.in_flight.inc();
        Self(state)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.0.ctx.metrics.in_flight.dec();
    }
}

async fn count_in_flight(State(state): State<HttpState>, request: Request, next: Next) -> Response {
    let _counted = InFlight::begin(state);
    next.run(request).await
}
