//! The box's HTTP side, for callers, trainers and operators. Commands and queries stand apart.

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

/// Largest body, in bytes; a step of 8,192 samples in groups of 8 with 4 KiB prompts fits.
const MAX_BODY: usize = 8 << 20;

/// What the HTTP side needs.
#[derive(Debug, Clone)]
pub struct HttpState {
    /// The box.
    pub ctx: BoxContext,
    /// Who keeps which steps.
    pub directory: KeeperDirectory,
    /// The box's documents, to be told of changes applied here.
    pub documents: ActorRef<DocumentActor>,
    plain: Arc<PlainRouter>,
    in_flight: Arc<AtomicUsize>,
}

impl HttpState {
    /// State without requests in flight.
    pub fn new(ctx: BoxContext, documents: ActorRef<DocumentActor>) -> Self {
        Self {
            ctx,
            directory: KeeperDirectory::default(),
            documents,
            plain: Arc::default(),
            in_flight: Arc::default(),
        }
    }

    /// Requests in flight, but for those about the box's own health.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// The routes.
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

/// One request in flight; also counted when its future is dropped.
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
