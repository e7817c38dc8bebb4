//! Conducts roll-outs of versions in this box's failure domain, under one lease.
//!
//! One lease covers all pools of the domain: a lease for each would cost the platform a write
//! a second for every pool and domain, 300 of them at the two-year size.

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
use crate::lease::{LeaseAnswer, call_store};
use crate::route::call_home;

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Slack beyond an order's life before the home counts as silent.
const ORDER_SLACK: Duration = Duration::from_secs(1);
/// Longest wait for a reading.
const READ_SILENCE: Duration = Duration::from_secs(2);

/// Roll-outs conducted on this box, for operators.
#[derive(Debug, Clone, Default)]
pub struct RolloutBoard {
    rollouts: Arc<Mutex<Vec<RolloutStatus>>>,
}

impl RolloutBoard {
    /// The roll-outs as last seen.
    pub fn all(&self) -> Vec<RolloutStatus> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RolloutStatus>> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Owns the roll-outs of this box.
#[derive(Debug, Actor)]
pub struct ConductorActor {
    ctx: BoxContext,
    /// The claim on the domain's lease, while this box is the one that should hold it.
    claim: Option<LeaseClaim>,
    conductors: HashMap<PoolName, RolloutCoordinator>,
}

#[derive(Debug)]
struct ConductorTick;

#[derive(Debug)]
struct ConductorLeaseAnswered(LeaseAnswer);

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
    asked_at: Moment,
    reading: Option<(Incarnation, Option<ModelVersion>)>,
}

/// Frees the lease, for a planned stop.
#[derive(Debug)]
pub struct ReleaseRollouts;

impl ConductorActor {
    /// Starts the actor on the control thread.
    pub fn start(ctx: &BoxContext) -> ActorRef<Self> {
        let _on_control = ctx.control.enter();
        let actor =
            Self::spawn(Self { ctx: Arc::clone(ctx), claim: None, conductors: HashMap::new() });
        let (stop, ticker) = (ctx.stop.clone(), actor.clone());
        tokio::spawn(async move {
            let mut interval = time::interval(TICK);
            while stop.run_until_cancelled(interval.tick()).await.is_some() {
                if ticker.tell(ConductorTick).await.is_err() {
                    return;
                }
            }
        });
        actor
    }

    fn drive(&mut self, me: &ActorRef<Self>) {
        let now = self.ctx.clock.now();
        self.drive_lease(now, me);
        // Without the lease nothing is ordered: a swap ordered twice is not harmless.
        match self.claim.as_ref().and_then(|claim| claim.held(now)) {
            Some(token) => self.drive_pools(now, token, me),
            None => self.conductors.clear(),
        }
        self.show();
    }

    /// Claims the domain's lease while it is this box's duty; else lets it run out.
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
            self.do_lease(action, me);
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
        // Another token means another reign: what was read under the one before counts no more.
        self.conductors.retain(|name, conductor| {
            conductor.token() == token && pools.iter().any(|(spec, _)| spec.name == *name)
        });
        for (spec, replicas) in pools {
            let conductor = self.conductors.entry(spec.name.clone()).or_insert_with(|| {
                log::info!(target: "conductor", pool:% = spec.name, token:% = token; "conducting");
                RolloutCoordinator::new(now, token)
            });
            conductor.want(spec.version, spec.swap, replicas);
            for action in conductor.poll(now) {
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

    fn replicas_here(&self, spec: &PoolSpec) -> Vec<(TargetId, bool)> {
        let documents = self.ctx.documents.borrow();
        let records = spec.engines.iter().filter_map(|id| documents.target(id));
        records
            .filter(|record| record.domain == self.ctx.me.domain && !record.leaving)
            .map(|record| (record.id.clone(), record.checks_fencing))
            .collect()
    }

    fn do_lease(&self, action: LeaseAction, me: &ActorRef<Self>) {
        let (ctx, key, me) = (Arc::clone(&self.ctx), lease_key(&self.ctx), me.clone());
        self.ctx.control.spawn(async move {
            let answer = call_store(&ctx.store, &key, action).await;
            // The actor is gone only when the box stops.
            let _stopped = me.tell(ConductorLeaseAnswered(answer)).await;
        });
    }

    fn show(&self) {
        let shown = self.conductors.iter().map(|(pool, conductor)| {
            let progress = conductor.progress();
            RolloutStatus {
                pool: pool.clone(),
                wanted: progress.wanted,
                replicas: progress.replicas,
                done: progress.done,
                under_way: progress.in_flight,
                in_doubt: progress.in_doubt,
            }
        });
        *self.ctx.rollouts.lock() = shown.collect();
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

fn send_order(ctx: &BoxContext, pool: &PoolName, order: SwapOrder, me: &ActorRef<ConductorActor>) {
    log::info!(target: "conductor", pool:% = pool, at:% = order.target, version:% = order.version; "ordering");
    let (task_ctx, pool, me) = (Arc::clone(ctx), pool.clone(), me.clone());
    ctx.control.spawn(async move {
        let outcome = order_at_home(&task_ctx, &order).await;
        let done = OrderDone { pool, target: order.target, outcome };
        // The actor is gone only when the box stops.
        let _stopped = me.tell(done).await;
    });
}

fn send_read(ctx: &BoxContext, pool: &PoolName, target: TargetId, me: &ActorRef<ConductorActor>) {
    let (task_ctx, pool, me) = (Arc::clone(ctx), pool.clone(), me.clone());
    ctx.control.spawn(async move {
        let asked_at = task_ctx.clock.now();
        let reading = read_at_home(&task_ctx, &target).await.ok();
        // The actor is gone only when the box stops.
        let _stopped = me.tell(ReplicaRead { pool, target, asked_at, reading }).await;
    });
}

/// `true` when done, `false` when refused or surely not sent, `None` when nobody can tell.
async fn order_at_home(ctx: &BoxContext, order: &SwapOrder) -> Option<bool> {
    let body = request::Body::SwapOrder(peer::SwapOrder {
        target: order.target.to_string(),
        version: order.version.get(),
        token: order.token.get(),
        life_ms: wire_millis(order.ttl),
    });
    let called = call_home(ctx, &order.target, new_request(body, "", order.ttl)).await;
    let answer = match called {
        Ok(stream) => stream.single(order.ttl + ORDER_SLACK).await,
        Err(error) => Err(error),
    };
    match answer.map(|item| item.body) {
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
    let stream = call_home(ctx, target, new_request(body, "", READ_SILENCE)).await?;
    let Some(response_item::Body::Replica(replica)) = stream.single(READ_SILENCE).await?.body
    else {
        return Err(CallError::Broken { why: "an answer that is no reading" });
    };
    let version = replica.version.filter(|_| !replica.loading).map(ModelVersion::new);
    Ok((Incarnation::new(replica.incarnation), version))
}

impl Message<ConductorTick> for ConductorActor {
    type Reply = ();

    async fn handle(&mut self, _: ConductorTick, ctx: &mut Context<Self, ()>) {
        self.drive(&ctx.actor_ref());
    }
}

impl Message<ConductorLeaseAnswered> for ConductorActor {
    type Reply = ();

    async fn handle(&mut self, msg: ConductorLeaseAnswered, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        if let Some(claim) = &mut self.claim {
            match msg.0 {
                LeaseAnswer::Read(outcome) => claim.read_done(now, outcome),
                LeaseAnswer::Written(outcome) => claim.write_done(now, outcome),
            }
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<OrderDone> for ConductorActor {
    type Reply = ();

    async fn handle(&mut self, msg: OrderDone, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        log::info!(target: "conductor", pool:% = msg.pool, at:% = msg.target, done:? = msg.outcome; "order ended");
        if let Some(conductor) = self.conductors.get_mut(&msg.pool) {
            conductor.order_completed(now, &msg.target, msg.outcome);
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<ReplicaRead> for ConductorActor {
    type Reply = ();

    async fn handle(&mut self, msg: ReplicaRead, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        if let Some(conductor) = self.conductors.get_mut(&msg.pool) {
            match msg.reading {
                Some((life, version)) => {
                    conductor.read(msg.asked_at, now, &msg.target, life, version);
                }
                None => conductor.read_failed(now, &msg.target),
            }
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<ReleaseRollouts> for ConductorActor {
    type Reply = ();

    async fn handle(&mut self, _: ReleaseRollouts, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        if let Some(action) = self.claim.as_mut().and_then(|claim| claim.release(now)) {
            self.do_lease(action, &ctx.actor_ref());
        }
        self.conductors.clear();
        self.show();
    }
}
