//! Coordinates rollouts of weight versions in this box's failure domain, under a lease.
//!
//! One lease covers all pools of the domain, since a lease per pool would multiply the renewal
//! writes to the platform.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use api::RolloutStatus;
use coord::lease::{LeaseAction, LeaseClaim};
use ids::{FencingToken, Incarnation, ModelVersion, Moment, PoolName, TargetId};
use kameo::prelude::*;
use links::CallError;
use objects::{ObjectKey, ObjectKind};
use pools::PoolSpec;
use swaps::{RolloutAction, RolloutCoordinator, SwapOrder};
use tokio::time;
use wire::peer::{self, OrderOutcome, ReadReplica, request, response_item};

use crate::context::{BoxContext, new_request, wire_millis};
use crate::lease::{LeaseResponse, run_lease_action};
use crate::route::call_home;

/// Interval at which due actions are checked.
const TICK: Duration = Duration::from_millis(100);
/// Slack added to an order's lifetime before the call to the home times out.
const ORDER_TIMEOUT_SLACK: Duration = Duration::from_secs(1);
/// Timeout for reading a replica's state.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Status of the rollouts coordinated by this box, for operators.
#[derive(Debug, Clone, Default)]
pub struct RolloutTable {
    rollouts: Arc<Mutex<Vec<RolloutStatus>>>,
}

impl RolloutTable {
    /// Returns the last published status of all rollouts.
    pub fn all(&self) -> Vec<RolloutStatus> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RolloutStatus>> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Coordinates the rollouts in this box's failure domain while it holds the lease.
#[derive(Debug, Actor)]
pub struct CoordinatorActor {
    ctx: BoxContext,
    /// Claim on the domain's lease; present while this box is its owner or still holds it.
    claim: Option<LeaseClaim>,
    coordinators: HashMap<PoolName, RolloutCoordinator>,
}

#[derive(Debug)]
struct CoordinatorTick;

#[derive(Debug)]
struct CoordinatorLeaseActionDone(LeaseResponse);

#[derive(Debug)]
struct OrderDone {
    pool: PoolName,
    target: TargetId,
    outcome: Option<bool>,
}

#[derive(Debug)]
struct ReplicaRead {
    pool: PoolName,
    target: TargetId,
    requested_at: Moment,
    reading: Option<(Incarnation, Option<ModelVersion>)>,
}

/// Releases the lease on a planned stop.
#[derive(Debug)]
pub struct ReleaseRollouts;

impl CoordinatorActor {
    /// Spawns the actor on the control thread.
    pub fn start(ctx: &BoxContext) -> ActorRef<Self> {
        let _on_control = ctx.control.enter();
        let actor =
            Self::spawn(Self { ctx: Arc::clone(ctx), claim: None, coordinators: HashMap::new() });
        let (stop, ticker) = (ctx.stop.clone(), actor.clone());
        tokio::spawn(async move {
            let mut interval = time::interval(TICK);
            while stop.run_until_cancelled(interval.tick()).await.is_some() {
                if ticker.tell(CoordinatorTick).await.is_err() {
                    return;
                }
            }
        });
        actor
    }

    fn drive(&mut self, me: &ActorRef<Self>) {
        let now = self.ctx.clock.now();
        self.drive_lease(now, me);
        // Swap orders are not idempotent, so none is sent without the lease.
        match self.claim.as_ref().and_then(|claim| claim.held(now)) {
            Some(token) => self.drive_pools(now, token, me),
            None => self.coordinators.clear(),
        }
        self.publish_status();
    }

    /// Claims the domain's lease while this box is its owner; otherwise lets it expire.
    fn drive_lease(&mut self, now: Moment, me: &ActorRef<Self>) {
        if self.ctx.is_leaving() || !self.is_owner(now) {
            let held = self.claim.as_ref().is_some_and(|claim| claim.held(now).is_some());
            if !held {
                self.claim = None;
            }
            return;
        }
        let ctx = &self.ctx;
        let action = self.claim.get_or_insert_with(|| new_claim(ctx)).poll(now);
        if let Some(action) = action {
            self.spawn_lease_action(action, me);
        }
    }

    fn drive_pools(&mut self, now: Moment, token: FencingToken, me: &ActorRef<Self>) {
        let config = Arc::clone(&self.ctx.documents.borrow().config);
        let pools: Vec<(&PoolSpec, Vec<(TargetId, bool)>)> = config
            .pools
            .values()
            .map(|entry| (&entry.spec, self.replicas_here(&entry.spec)))
            .filter(|(_, replicas)| !replicas.is_empty())
            .collect();
        // Readings made under an earlier token are no longer valid.
        self.coordinators.retain(|name, coordinator| {
            coordinator.token() == token && pools.iter().any(|(spec, _)| spec.name == *name)
        });
        for (spec, replicas) in pools {
            let coordinator = self.coordinators.entry(spec.name.clone()).or_insert_with(|| {
                log::info!(target: "conductor", pool:% = spec.name, token:% = token; "coordinating rollouts");
                RolloutCoordinator::new(now, token)
            });
            coordinator.want(spec.version, spec.swap, replicas);
            for action in coordinator.poll(now) {
                match action {
                    RolloutAction::Order(order) => send_order(&self.ctx, &spec.name, order, me),
                    RolloutAction::Read(target) => send_read(&self.ctx, &spec.name, target, me),
                }
            }
        }
    }

    fn is_owner(&self, now: Moment) -> bool {
        let members = self.ctx.members.borrow();
        let key = lease_key(&self.ctx).to_string();
        let owner = members.owner_in(now, &self.ctx.me.domain, &key);
        owner.is_some_and(|owner| owner.id == self.ctx.me.id)
    }

    /// Returns the pool's engines in this domain that are not leaving, and whether each one checks
    /// fencing tokens.
    fn replicas_here(&self, spec: &PoolSpec) -> Vec<(TargetId, bool)> {
        let documents = self.ctx.documents.borrow();
        let records = spec.engines.iter().filter_map(|id| documents.target(id));
        records
            .filter(|record| record.domain == self.ctx.me.domain && !record.leaving)
            .map(|record| (record.id.clone(), record.checks_fencing))
            .collect()
    }

    fn spawn_lease_action(&self, action: LeaseAction, me: &ActorRef<Self>) {
        let (ctx, key, me) = (Arc::clone(&self.ctx), lease_key(&self.ctx), me.clone());
        self.ctx.control.spawn(async move {
            let response = run_lease_action(&ctx.store, &key, action).await;
            // Sending fails only when the box stops.
            let _stopped = me.tell(CoordinatorLeaseActionDone(response)).await;
        });
    }

    fn publish_status(&self) {
        let statuses = self.coordinators.iter().map(|(pool, coordinator)| {
            let progress = coordinator.progress();
            RolloutStatus {
                pool: pool.clone(),
                wanted: progress.wanted,
                replicas: progress.replicas,
                done: progress.done,
                under_way: progress.in_flight,
                in_doubt: progress.in_doubt,
            }
        });
        *self.ctx.rollouts.lock() = statuses.collect();
    }
}

fn new_claim(ctx: &BoxContext) -> LeaseClaim {
    LeaseClaim::new(
        ctx.me.id.clone(),
        ctx.me.incarnation,
        ctx.me.address.clone(),
        ctx.settings.lease_term,
    )
}

fn lease_key(ctx: &BoxContext) -> ObjectKey {
    ObjectKey::new(ObjectKind::Lease, format!("conductor:{}", ctx.me.domain))
}

fn send_order(
    ctx: &BoxContext,
    pool: &PoolName,
    order: SwapOrder,
    me: &ActorRef<CoordinatorActor>,
) {
    log::info!(target: "conductor", pool:% = pool, at:% = order.target, version:% = order.version; "sending swap order");
    let (task_ctx, pool, me) = (Arc::clone(ctx), pool.clone(), me.clone());
    ctx.control.spawn(async move {
        let outcome = order_at_home(&task_ctx, &order).await;
        let done = OrderDone { pool, target: order.target, outcome };
        // Sending fails only when the box stops.
        let _stopped = me.tell(done).await;
    });
}

fn send_read(ctx: &BoxContext, pool: &PoolName, target: TargetId, me: &ActorRef<CoordinatorActor>) {
    let (task_ctx, pool, me) = (Arc::clone(ctx), pool.clone(), me.clone());
    ctx.control.spawn(async move {
        let requested_at = task_ctx.clock.now();
        let reading = read_at_home(&task_ctx, &target).await.ok();
        // Sending fails only when the box stops.
        let _stopped = me.tell(ReplicaRead { pool, target, requested_at, reading }).await;
    });
}

/// Sends an order to the engine's home. Returns `Some(true)` when done, `Some(false)` when refused
/// or definitely not run, and `None` when the outcome is unknown.
async fn order_at_home(ctx: &BoxContext, order: &SwapOrder) -> Option<bool> {
    let body = request::Body::SwapOrder(peer::SwapOrder {
        target: order.target.to_string(),
        version: order.version.get(),
        token: order.token.get(),
        ttl_ms: wire_millis(order.ttl),
    });
    let called = call_home(ctx, &order.target, new_request(body, "", order.ttl)).await;
    let response = match called {
        Ok(stream) => stream.single(order.ttl + ORDER_TIMEOUT_SLACK).await,
        Err(error) => Err(error),
    };
    match response.map(|item| item.body) {
        Ok(Some(response_item::Body::OrderEnded(ended))) => match ended.outcome() {
            OrderOutcome::Done => Some(true),
            OrderOutcome::Refused => Some(false),
            OrderOutcome::Unknown => None,
        },
        Ok(_) => None,
        Err(error) => error.definitely_not_run().then_some(false),
    }
}

async fn read_at_home(
    ctx: &BoxContext,
    target: &TargetId,
) -> Result<(Incarnation, Option<ModelVersion>), CallError> {
    let body = request::Body::ReadReplica(ReadReplica { target: target.to_string() });
    let stream = call_home(ctx, target, new_request(body, "", READ_TIMEOUT)).await?;
    let Some(response_item::Body::Replica(replica)) = stream.single(READ_TIMEOUT).await?.body
    else {
        return Err(CallError::Broken { why: "response is not a replica reading" });
    };
    let version = replica.version.filter(|_| !replica.loading).map(ModelVersion::new);
    Ok((Incarnation::new(replica.incarnation), version))
}

impl Message<CoordinatorTick> for CoordinatorActor {
    type Reply = ();

    async fn handle(&mut self, _: CoordinatorTick, ctx: &mut Context<Self, ()>) {
        self.drive(&ctx.actor_ref());
    }
}

impl Message<CoordinatorLeaseActionDone> for CoordinatorActor {
    type Reply = ();

    async fn handle(&mut self, msg: CoordinatorLeaseActionDone, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        if let Some(claim) = &mut self.claim {
            match msg.0 {
                LeaseResponse::Read(outcome) => claim.read_done(now, outcome),
                LeaseResponse::Written(outcome) => claim.write_done(now, outcome),
            }
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<OrderDone> for CoordinatorActor {
    type Reply = ();

    async fn handle(&mut self, msg: OrderDone, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        log::info!(target: "conductor", pool:% = msg.pool, at:% = msg.target, done:? = msg.outcome; "swap order completed");
        if let Some(coordinator) = self.coordinators.get_mut(&msg.pool) {
            coordinator.order_completed(now, &msg.target, msg.outcome);
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<ReplicaRead> for CoordinatorActor {
    type Reply = ();

    async fn handle(&mut self, msg: ReplicaRead, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        if let Some(coordinator) = self.coordinators.get_mut(&msg.pool) {
            match msg.reading {
                Some((incarnation, version)) => {
                    coordinator.read(msg.requested_at, now, &msg.target, incarnation, version);
                }
                None => coordinator.read_failed(now, &msg.target),
            }
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<ReleaseRollouts> for CoordinatorActor {
    type Reply = ();

    async fn handle(&mut self, _: ReleaseRollouts, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        if let Some(action) = self.claim.as_mut().and_then(|claim| claim.release(now)) {
            self.spawn_lease_action(action, &ctx.actor_ref());
        }
        self.coordinators.clear();
        self.publish_status();
    }
}
