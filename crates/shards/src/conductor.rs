//! Orders the engines of a service to load named versions, under a lease.
//!
//! Engines obey whoever speaks to them, so only one box may speak to those of a service: the holder of that duty
//! ([`DutyClaim`]).

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ids::{InstanceId, ModelName, ModelVersion, ServiceName};
use platform::orders::SwapMode;
use routing::RouteKind;
use swaps::{FollowedEngine, due_loads};
use tokio::time;

use crate::claim::{DutyClaim, DutySubject, lock, tend_claim};
use crate::context::ShardContext;
use crate::followers::EngineFollowers;
use crate::keepers::KeeperSet;
use crate::order::{OrderEnd, OrderSpec, order_engine};

/// How often engines and leases are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Pause before an engine that was busy or in doubt is ordered again.
const AGAIN_PAUSE: Duration = Duration::from_millis(250);

/// The orders to one service's engines.
#[derive(Debug)]
struct ServiceOrders {
    service: ServiceName,
    claim: Arc<DutyClaim>,
    /// Engines that an order is under way to.
    ordered: Mutex<HashSet<InstanceId>>,
    followers: Mutex<EngineFollowers>,
}

impl ServiceOrders {
    fn new(ctx: &ShardContext, service: ServiceName) -> Self {
        let claim = Arc::new(DutyClaim::new(ctx, DutySubject::Engines(service.clone())));
        Self { service, claim, ordered: Mutex::default(), followers: Mutex::default() }
    }
}

/// Conducts engines, those of each service while its duty is this box's.
pub async fn conduct(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let mut services: Vec<Arc<ServiceOrders>> = Vec::new();
    loop {
        for (service, _) in ctx.view.engine_services() {
            if services.iter().all(|orders| orders.service != service) {
                services.push(Arc::new(ServiceOrders::new(&ctx, service)));
            }
        }
        for orders in &services {
            if tend_claim(&ctx, &keepers, &orders.claim) {
                order_due(&ctx, orders);
            }
        }
        time::sleep(LOOK_EVERY).await;
    }
}

/// Sends the orders that are due, few at a time.
fn order_due(ctx: &Arc<ShardContext>, orders: &Arc<ServiceOrders>) {
    if orders.claim.token(ctx.view.now()).is_none() {
        return;
    }
    let named = named_models(ctx, &orders.service);
    let models: Vec<ModelName> = named.iter().map(|(model, _)| model.clone()).collect();
    let work = ctx.work.of(ctx.view.now(), &models);
    let mut followers = lock(&orders.followers);
    followers.look(&ctx.view.target_table(), &orders.service, &models, &work);
    let most = loads_at_once(followers.engines(), ctx.settings.load_parts);
    let room = most.saturating_sub(lock(&orders.ordered).len());
    if room == 0 {
        return;
    }
    let due = due_orders(ctx, orders, &named, followers.followers(), room);
    drop(followers);
    for spec in due {
        start_order(ctx, orders, spec);
    }
}

fn start_order(ctx: &Arc<ShardContext>, orders: &Arc<ServiceOrders>, spec: OrderSpec) {
    lock(&orders.ordered).insert(spec.target.instance.clone());
    let (ctx, orders) = (Arc::clone(ctx), Arc::clone(orders));
    tokio::spawn(async move {
        let end = order_engine(&ctx, &spec, || orders.claim.token(ctx.view.now())).await;
        if matches!(end, OrderEnd::Busy | OrderEnd::InDoubt) {
            time::sleep(AGAIN_PAUSE).await;
        }
        lock(&orders.ordered).remove(&spec.target.instance);
    });
}

/// One engine in `parts`, rounded, and one at least.
fn loads_at_once(engines: usize, parts: usize) -> usize {
    ((engines + parts / 2) / parts).max(1)
}

/// Orders to engines that hold an older version than the named one of the model that they follow,
/// the `most` best.
fn due_orders(
    ctx: &ShardContext,
    orders: &ServiceOrders,
    named: &[(ModelName, ModelVersion)],
    followers: &[(InstanceId, usize)],
    most: usize,
) -> Vec<OrderSpec> {
    let mode = swap_mode(ctx, &orders.service);
    let board = ctx.view.target_table();
    let ordered = lock(&orders.ordered);
    let mut engines = Vec::with_capacity(followers.len());
    let mut states = Vec::with_capacity(followers.len());
    for (instance, position) in followers {
        let (model, named) = &named[*position];
        let Some(record) = board.record(instance) else { continue };
        let Some(held) = record.models.iter().find(|held| held.model == *model) else { continue };
        states.push(FollowedEngine {
            model: *position,
            behind: named.get().saturating_sub(held.version.get()),
            ordered: ordered.contains(instance),
            running: board.local_in_flight(instance),
        });
        engines.push(record);
    }
    let due = due_loads(&states).into_iter().take(most);
    let order = |at: usize| {
        let (model, version) = &named[states[at].model];
        OrderSpec { target: engines[at].clone(), model: model.clone(), version: *version, mode }
    };
    due.map(order).collect()
}

/// The models of a service for which a version is named, and these versions.
fn named_models(ctx: &ShardContext, service: &ServiceName) -> Vec<(ModelName, ModelVersion)> {
    let of_service = ctx.view.engine_services().into_iter().find(|(name, _)| name == service);
    let mut models = of_service.map(|(_, models)| models).unwrap_or_default();
    models.sort();
    let named = models.into_iter().filter_map(|model| {
        let version = ctx.view.named_version(&model)?;
        Some((model, version))
    });
    named.collect()
}

/// Runs go on under the new version, unless a sample must come from a single one.
fn swap_mode(ctx: &ShardContext, service: &ServiceName) -> SwapMode {
    let table = ctx.view.table();
    let single = table.routes().any(|route| {
        route.kind == RouteKind::Jobs
            && route.single_version
            && route.backends.iter().any(|backend| backend.service == *service)
    });
    if single { SwapMode::Wait } else { SwapMode::Retain }
}
