//! Conducts roll-outs of versions in this box's failure domain, under a lease for each pool.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use api::RolloutStatus;
use coord::lease::{LeaseAction, LeaseClaim, ReadOutcome, WriteOutcome};
use ids::{Incarnation, ModelVersion, Moment, PoolName, TargetId};
use kameo::prelude::*;
use links::CallError;
use objects::{ObjectKey, ObjectKind, ObjectStore};
use pools::PoolSpec;
use swaps::{SwapAction, SwapConductor, SwapOrder};
use tokio::time;
use wire::peer::{self, OrderOutcome, ReadReplica, item, request};

use crate::context::{BoxContext, new_request, wire_millis};
use crate::keeper::{read_outcome, write_outcome};
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

#[derive(Debug)]
struct Rollout {
    claim: LeaseClaim,
    conductor: Option<SwapConductor>,
}

/// Owns the roll-outs of this box.
#[derive(Debug, Actor)]
pub struct ConductorActor {
    ctx: BoxContext,
    rollouts: HashMap<PoolName, Rollout>,
}

#[derive(Debug)]
struct ConductorTick;

#[derive(Debug)]
struct RolloutLeaseRead(PoolName, ReadOutcome);

#[derive(Debug)]
struct RolloutLeaseWritten(PoolName, WriteOutcome);

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

/// Frees the leases, for a planned stop.
#[derive(Debug)]
pub struct ReleaseRollouts;

impl ConductorActor {
    /// Starts the actor on the control thread.
    pub fn start(ctx: &BoxContext) -> ActorRef<Self> {
        let _on_control = ctx.control.enter();
        let actor = Self::spawn(Self { ctx: Arc::clone(ctx), rollouts: HashMap::new() });
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
        let config = Arc::clone(&self.ctx.documents.borrow().config);
        let mine: BTreeMap<&PoolName, &PoolSpec> = config
            .pools
            .iter()
            .map(|(name, entry)| (name, &entry.spec))
            .filter(|(name, _)| !self.ctx.is_leaving() && self.is_owner(now, name))
            .collect();
        self.rollouts
            .retain(|name, rollout| mine.contains_key(name) || rollout.claim.held(now).is_some());
        for (name, spec) in mine {
            let replicas = self.replicas_here(spec);
            if replicas.is_empty() {
                continue;
            }
            let mut rollout = self.rollouts.remove(name).unwrap_or_else(|| new_rollout(&self.ctx));
            self.drive_one(now, spec, replicas, &mut rollout, me);
            self.rollouts.insert(name.clone(), rollout);
        }
        self.show();
    }

    fn drive_one(
        &self,
        now: Moment,
        spec: &PoolSpec,
        replicas: Vec<(TargetId, bool)>,
        rollout: &mut Rollout,
        me: &ActorRef<Self>,
    ) {
        if let Some(action) = rollout.claim.poll(now) {
            self.do_lease(&spec.name, action, me);
        }
        // Without the lease nothing is ordered: a swap ordered twice is not harmless.
        let Some(token) = rollout.claim.held(now) else {
            rollout.conductor = None;
            return;
        };
        let stale = rollout.conductor.as_ref().is_some_and(|known| known.token() != token);
        if stale {
            rollout.conductor = None;
        }
        let conductor = rollout.conductor.get_or_insert_with(|| {
            log::info!(target: "conductor", pool:% = spec.name, token:% = token; "conducting");
            SwapConductor::new(now, token)
        });
        conductor.want(spec.version, spec.swap, replicas);
        for action in conductor.poll(now) {
            match action {
                SwapAction::Order(order) => self.send_order(&spec.name, order, me),
                SwapAction::Read(target) => self.send_read(&spec.name, target, me),
            }
        }
    }

    fn is_owner(&self, now: Moment, pool: &PoolName) -> bool {
        let members = self.ctx.members.borrow();
        let key = lease_key(&self.ctx, pool).to_string();
        members
            .owner_in(now, &self.ctx.me.domain, &key)
            .is_some_and(|owner| owner.id == self.ctx.me.id)
    }

    fn replicas_here(&self, spec: &PoolSpec) -> Vec<(TargetId, bool)> {
        let documents = self.ctx.documents.borrow();
        let records = spec.engines.iter().filter_map(|id| documents.target(id));
        records
            .filter(|record| record.domain == self.ctx.me.domain && !record.leaving)
            .map(|record| (record.id.clone(), record.checks_fencing))
            .collect()
    }

    fn do_lease(&self, pool: &PoolName, action: LeaseAction, me: &ActorRef<Self>) {
        let key = lease_key(&self.ctx, pool);
        let (ctx, pool, me) = (Arc::clone(&self.ctx), pool.clone(), me.clone());
        self.ctx.control.spawn(async move {
            // The actor is gone only when the box stops.
            let _stopped = match action {
                LeaseAction::Read => {
                    let read = ctx.store.read(&key).await;
                    me.tell(RolloutLeaseRead(pool, read_outcome(read))).await.ok()
                }
                LeaseAction::Write { expect, record } => {
                    let value = serde_json::to_value(record).unwrap_or_default();
                    let written = ctx.store.write(&key, expect, value).await;
                    me.tell(RolloutLeaseWritten(pool, write_outcome(&written))).await.ok()
                }
            };
        });
    }

    fn send_order(&self, pool: &PoolName, order: SwapOrder, me: &ActorRef<Self>) {
        log::info!(target: "conductor", pool:% = pool, at:% = order.target, version:% = order.version; "ordering");
        let (ctx, pool, me) = (Arc::clone(&self.ctx), pool.clone(), me.clone());
        self.ctx.control.spawn(async move {
            let outcome = order_at_home(&ctx, &order).await;
            let done = OrderDone { pool, target: order.target, outcome };
            // The actor is gone only when the box stops.
            let _stopped = me.tell(done).await;
        });
    }

    fn send_read(&self, pool: &PoolName, target: TargetId, me: &ActorRef<Self>) {
        let (ctx, pool, me) = (Arc::clone(&self.ctx), pool.clone(), me.clone());
        self.ctx.control.spawn(async move {
            let asked_at = ctx.clock.now();
            let reading = read_at_home(&ctx, &target).await.ok();
            // The actor is gone only when the box stops.
            let _stopped = me.tell(ReplicaRead { pool, target, asked_at, reading }).await;
        });
    }

    fn show(&self) {
        let shown = self.rollouts.iter().filter_map(|(pool, rollout)| {
            let progress = rollout.conductor.as_ref()?.progress();
            Some(RolloutStatus {
                pool: pool.clone(),
                wanted: progress.wanted,
                replicas: progress.replicas,
                done: progress.done,
                under_way: progress.under_way,
                in_doubt: progress.in_doubt,
            })
        });
        *self.ctx.rollouts.lock() = shown.collect();
    }

    fn conductor(&mut self, pool: &PoolName) -> Option<&mut SwapConductor> {
        self.rollouts.get_mut(pool)?.conductor.as_mut()
    }
}

fn new_rollout(ctx: &BoxContext) -> Rollout {
    let claim = LeaseClaim::new(
        ctx.me.id.clone(),
        ctx.me.incarnation,
        ctx.me.address.clone(),
        ctx.settings.lease_term,
    );
    Rollout { claim, conductor: None }
}

fn lease_key(ctx: &BoxContext, pool: &PoolName) -> ObjectKey {
    ObjectKey::new(ObjectKind::Lease, format!("conductor:{pool}:{}", ctx.me.domain))
}

/// `true` when done, `false` when refused or surely not sent, `None` when nobody can tell.
async fn order_at_home(ctx: &BoxContext, order: &SwapOrder) -> Option<bool> {
    let body = request::Body::SwapOrder(peer::SwapOrder {
        target: order.target.to_string(),
        version: order.version.get(),
        token: order.token.get(),
        life_ms: wire_millis(order.life),
    });
    let called = call_home(ctx, &order.target, new_request(body, "", order.life)).await;
    let answer = match called {
        Ok(stream) => stream.single(order.life + ORDER_SLACK).await,
        Err(error) => Err(error),
    };
    match answer.map(|item| item.body) {
        Ok(Some(item::Body::OrderEnded(ended))) => match ended.outcome() {
            OrderOutcome::Done => Some(true),
            OrderOutcome::Refused => Some(false),
            OrderOutcome::Unknown => None,
        },
        Ok(_) => None,
        Err(error) => error.surely_not_run().then_some(false),
    }
}

async fn read_at_home(
    ctx: &BoxContext,
    target: &TargetId,
) -> Result<(Incarnation, Option<ModelVersion>), CallError> {
    let body = request::Body::ReadReplica(ReadReplica { target: target.to_string() });
    let stream = call_home(ctx, target, new_request(body, "", READ_SILENCE)).await?;
    let Some(item::Body::Replica(replica)) = stream.single(READ_SILENCE).await?.body else {
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

impl Message<RolloutLeaseRead> for ConductorActor {
    type Reply = ();

    async fn handle(&mut self, msg: RolloutLeaseRead, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        if let Some(rollout) = self.rollouts.get_mut(&msg.0) {
            rollout.claim.read_done(now, msg.1);
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<RolloutLeaseWritten> for ConductorActor {
    type Reply = ();

    async fn handle(&mut self, msg: RolloutLeaseWritten, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        if let Some(rollout) = self.rollouts.get_mut(&msg.0) {
            rollout.claim.write_done(now, msg.1);
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<OrderDone> for ConductorActor {
    type Reply = ();

    async fn handle(&mut self, msg: OrderDone, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        log::info!(target: "conductor", pool:% = msg.pool, at:% = msg.target, done:? = msg.outcome; "order ended");
        if let Some(conductor) = self.conductor(&msg.pool) {
            conductor.ordered(now, &msg.target, msg.outcome);
        }
        self.drive(&ctx.actor_ref());
    }
}

impl Message<ReplicaRead> for ConductorActor {
    type Reply = ();

    async fn handle(&mut self, msg: ReplicaRead, ctx: &mut Context<Self, ()>) {
        let now = self.ctx.clock.now();
        if let Some(conductor) = self.conductor(&msg.pool) {
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
        let actions: Vec<(PoolName, LeaseAction)> = self
            .rollouts
            .iter_mut()
            .filter_map(|(pool, rollout)| Some((pool.clone(), rollout.claim.release(now)?)))
            .collect();
        for (pool, action) in actions {
            self.do_lease(&pool, action, &ctx.actor_ref());
        }
        self.rollouts.clear();
        self.show();
    }
}
