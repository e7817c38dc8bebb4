//! Rolls named weight versions out to the engines of a service, under a lease.
//!
//! Engines accept orders from any box, so only the holder of the service's lease
//! ([`ManagedLease`]) sends them.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ids::{InstanceId, ModelName, ModelVersion, ServiceName};
use jobs::StartOrder;
use platform::orders::SwapMode;
use routing::RouteKind;
use swaps::{FollowedEngine, due_loads};
use tokio::time;

use crate::claim::{LeaseSubject, ManagedLease, lock, maintain_lease};
use crate::context::ShardContext;
use crate::engine_assignments::{EngineAssignments, EngineDemand};
use crate::keepers::KeeperSet;
use crate::order::{OrderResult, OrderSpec, order_engine};

/// Interval at which engines and leases are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before an order to an engine that was busy or whose state is unknown is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Orders to the engines of one service.
#[derive(Debug)]
struct ServiceRollout {
    service: ServiceName,
    lease: Arc<ManagedLease>,
    /// Engines with an order in flight.
    in_flight: Mutex<HashSet<InstanceId>>,
    assignments: Mutex<EngineAssignments>,
}

impl ServiceRollout {
    fn new(ctx: &ShardContext, service: ServiceName) -> Self {
        let lease = Arc::new(ManagedLease::new(ctx, LeaseSubject::Engines(service.clone())));
        Self { service, lease, in_flight: Mutex::default(), assignments: Mutex::default() }
    }
}

/// Sends orders to the engines of each service while this box holds the service's lease.
pub async fn coordinate_rollouts(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let mut services: Vec<Arc<ServiceRollout>> = Vec::new();
    loop {
        for (service, _) in ctx.view.engine_services() {
            if services.iter().all(|rollout| rollout.service != service) {
                services.push(Arc::new(ServiceRollout::new(&ctx, service)));
            }
        }
        for rollout in &services {
            if maintain_lease(&ctx, &keepers, &rollout.lease) {
                send_due_orders(&ctx, rollout);
            }
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends due orders, up to the limit of concurrent loads.
fn send_due_orders(ctx: &Arc<ShardContext>, rollout: &Arc<ServiceRollout>) {
    if rollout.lease.token(ctx.view.now()).is_none() {
        return;
    }
    let named = named_models(ctx, &rollout.service);
    let models: Vec<ModelName> = named.iter().map(|(model, _)| model.clone()).collect();
    let now = ctx.view.now();
    let items = ctx.backlog.for_models(now, &models);
    let work = match ctx.job_order() {
        StartOrder::Accepted => items.clone(),
        StartOrder::Due => ctx.backlog.work_due(now, &models),
    };
    let demand = EngineDemand { work: &work, items: &items };
    let mut assignments = lock(&rollout.assignments);
    assignments.update(&ctx.view.target_table(), &rollout.service, &models, demand);
    let max_loads = max_concurrent_loads(assignments.engines(), ctx.settings.load_parts);
    let capacity = max_loads.saturating_sub(lock(&rollout.in_flight).len());
    if capacity == 0 {
        return;
    }
    let due = due_orders(ctx, rollout, &named, assignments.assigned(), capacity);
    drop(assignments);
    for spec in due {
        start_order(ctx, rollout, spec);
    }
}

fn start_order(ctx: &Arc<ShardContext>, rollout: &Arc<ServiceRollout>, spec: OrderSpec) {
    lock(&rollout.in_flight).insert(spec.target.instance.clone());
    let (ctx, rollout) = (Arc::clone(ctx), Arc::clone(rollout));
    tokio::spawn(async move {
        let result = order_engine(&ctx, &spec, || rollout.lease.token(ctx.view.now())).await;
        if matches!(result, OrderResult::Busy | OrderResult::Unknown) {
            time::sleep(RETRY_DELAY).await;
        }
        lock(&rollout.in_flight).remove(&spec.target.instance);
    });
}

/// Maximum number of concurrent loads: one in `parts` engines, rounded, at least one.
fn max_concurrent_loads(engines: usize, parts: usize) -> usize {
    ((engines + parts / 2) / parts).max(1)
}

/// Returns up to `limit` orders, by priority, to engines whose version of their assigned model is
/// older than the named one.
fn due_orders(
    ctx: &ShardContext,
    rollout: &ServiceRollout,
    named: &[(ModelName, ModelVersion)],
    assigned: &[(InstanceId, usize)],
    limit: usize,
) -> Vec<OrderSpec> {
    let mode = swap_mode(ctx, &rollout.service);
    let targets = ctx.view.target_table();
    let in_flight = lock(&rollout.in_flight);
    let mut engines = Vec::with_capacity(assigned.len());
    let mut states = Vec::with_capacity(assigned.len());
    for (instance, position) in assigned {
        let (model, named) = &named[*position];
        let Some(record) = targets.record(instance) else { continue };
        let Some(held) = record.models.iter().find(|held| held.model == *model) else { continue };
        states.push(FollowedEngine {
            model: *position,
            behind: named.get().saturating_sub(held.version.get()),
            ordered: in_flight.contains(instance),
            running: targets.local_in_flight(instance),
        });
        engines.push(record);
    }
    let due = due_loads(&states).into_iter().take(limit);
    let order = |at: usize| {
        let (model, version) = &named[states[at].model];
        OrderSpec { target: engines[at].clone(), model: model.clone(), version: *version, mode }
    };
    due.map(order).collect()
}

/// Returns the models of a service that have a named version, with that version.
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

/// Returns how engines treat running work when they load: it continues under the new version,
/// unless a sample must come from a single version.
fn swap_mode(ctx: &ShardContext, service: &ServiceName) -> SwapMode {
    let table = ctx.view.table();
    let single = table.routes().any(|route| {
        route.kind == RouteKind::Jobs
            && route.single_version
            && route.backends.iter().any(|backend| backend.service == *service)
    });
    if single { SwapMode::Wait } else { SwapMode::Retain }
}
