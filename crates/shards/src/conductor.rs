//! Orders the engines of a service to load named versions, under a lease.
//!
//! Engines obey whoever speaks to them, so only one box may speak to those of a service. The box
//! that serves the shard of the service's name claims the lease. It acts only while it holds it,
//! and after a change of holder waits until no order of the earlier one can be near.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coord::lease::{
    LeaseAction, LeaseClaim, LeaseRecord, LeaseSighting, ReadOutcome, WriteOutcome,
};
use ids::{
    FencingToken, Incarnation, InstanceId, ModelName, ModelVersion, Moment, ObjectVersion,
    ServiceName, whole_millis,
};
use joblog::shard_of;
use node::StoreCall;
use platform::orders::SwapMode;
use platform::{Kind, StoreError};
use routing::{RouteKind, TargetRecord};
use swaps::{FollowedEngine, divide_engines, due_loads, followed_model};
use tokio::time;
use wire::peer::HeldLease;

use crate::context::ShardContext;
use crate::keepers::KeeperSet;
use crate::order::{OrderEnd, OrderSpec, order_engine};

/// Term of the lease. A holder that is gone delays orders by this and by the gap between
/// holders; each renewal is a priced call.
const TERM: Duration = Duration::from_millis(1_500);
/// Beyond the gap that the platform asks for between two holders: the way of an order.
const GAP_SLACK: Duration = Duration::from_millis(300);
/// How often engines and leases are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Pause before an engine that was busy or in doubt is ordered again.
const AGAIN_PAUSE: Duration = Duration::from_millis(250);

/// The claim on one service's engines.
#[derive(Debug)]
struct ServiceClaim {
    service: ServiceName,
    claim: Mutex<LeaseClaim>,
    /// Whether another box was read to hold it.
    others: Mutex<bool>,
    /// Set while an action on the lease is under way.
    busy: Mutex<bool>,
    /// Engines that an order is under way to.
    ordered: Mutex<HashSet<InstanceId>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServiceClaim {
    fn new(ctx: &ShardContext, service: ServiceName) -> Self {
        // A later life has a larger number; nothing else here reads the time of day.
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let millis = since.map_or(0, |since| since.as_millis());
        let incarnation = Incarnation::new(u64::try_from(millis).unwrap_or(u64::MAX));
        let me = &ctx.me;
        let claim = LeaseClaim::new(me.box_id.clone(), incarnation, me.address.clone(), TERM)
            .with_gap(ctx.settings.order_gap + GAP_SLACK);
        Self {
            service,
            claim: Mutex::new(claim),
            others: Mutex::new(false),
            busy: Mutex::new(false),
            ordered: Mutex::default(),
        }
    }

    /// Whether the lease is held here, or may be for all that has been read of it.
    fn may_be_mine(&self) -> bool {
        !*lock(&self.others)
    }

    /// The token under which an order may be sent now.
    fn token(&self, now: Moment) -> Option<FencingToken> {
        let claim = lock(&self.claim);
        claim.held(now).filter(|_| now >= claim.quiet_until())
    }
}

/// Conducts engines: those of a service whose name's shard is served here, and those that this
/// box holds the lease of already. A holder that is well keeps its lease when the shard moves,
/// and takes it up again after a restart, since every change of holder costs a pause.
pub async fn conduct(ctx: Arc<ShardContext>, keepers: Arc<KeeperSet>) {
    let mut claims: Vec<Arc<ServiceClaim>> = Vec::new();
    loop {
        for (service, _) in ctx.view.engine_services() {
            if claims.iter().all(|claim| claim.service != service) {
                claims.push(Arc::new(ServiceClaim::new(&ctx, service)));
            }
        }
        for claim in &claims {
            let serves = serves_shard(&ctx, &keepers, claim) || stands_in(&ctx, claim);
            if ctx.is_leaving() {
                release(&ctx, claim);
            } else if serves || claim.may_be_mine() {
                poll_claim(&ctx, claim);
                order_due(&ctx, claim);
            }
        }
        time::sleep(LOOK_EVERY).await;
    }
}

fn serves_shard(ctx: &ShardContext, keepers: &KeeperSet, claim: &ServiceClaim) -> bool {
    let shards = ctx.view.shards().unwrap_or(1);
    let shard = shard_of(claim.service.as_str(), shards);
    keepers.get(shard).is_some_and(|keeper| keeper.is_proven())
}

/// Whether this box should hold the lease in place of the shard's server: it has a copy of the
/// shard's log, reaches the store, and no holder has told of a write for long. The server itself may be
/// one that the store turns away.
fn stands_in(ctx: &ShardContext, claim: &ServiceClaim) -> bool {
    let Some(shards) = ctx.view.shards() else { return false };
    let shard = shard_of(claim.service.as_str(), shards);
    let duties = ctx.view.duties();
    let Some(sighting) = duties.plan(shard) else { return false };
    let Some(rank) = sighting.plan.rank(&ctx.me.box_id).filter(|rank| *rank > 0) else {
        return false;
    };
    let note = ctx.peers.lease_note(&lease_object(&claim.service));
    let told_at = note.map_or(sighting.seen_at, |note| note.heard_at.max(sighting.seen_at));
    let silent = ctx.view.now().since(told_at);
    ctx.view.store_state().up && silent >= TERM * u32::try_from(rank).unwrap_or(u32::MAX)
}

fn lease_object(service: &ServiceName) -> String {
    format!("engines-{service}")
}

/// Starts what the claim wants done, one action at a time.
fn poll_claim(ctx: &Arc<ShardContext>, held: &Arc<ServiceClaim>) {
    if *lock(&held.busy) {
        return;
    }
    let now = ctx.view.now();
    let name = lease_object(&held.service);
    let note = ctx.peers.lease_note(&name).filter(|note| note.holder != ctx.me.box_id);
    let action = {
        let mut claim = lock(&held.claim);
        // A holder that is heard needs no look at its lease.
        let heard = note.as_ref().is_some_and(|note| now.since(note.heard_at) < TERM);
        if heard && !claim.is_held() && !held.may_be_mine() {
            return;
        }
        if let Some(note) = note {
            claim.note(note);
        }
        claim.poll(now)
    };
    if let Some(action) = action {
        start_action(ctx, held, action);
    }
}

fn start_action(ctx: &Arc<ShardContext>, held: &Arc<ServiceClaim>, action: LeaseAction) {
    *lock(&held.busy) = true;
    let (ctx, held) = (Arc::clone(ctx), Arc::clone(held));
    tokio::spawn(async move {
        carry_out(&ctx, &held, action).await;
        *lock(&held.busy) = false;
    });
}

async fn carry_out(ctx: &ShardContext, held: &ServiceClaim, action: LeaseAction) {
    let name = lease_object(&held.service);
    let call = match &action {
        LeaseAction::Read => StoreCall::Read,
        LeaseAction::Write { .. } => StoreCall::Write,
    };
    ctx.view.metrics.store_call(Kind::Leases, call);
    match action {
        LeaseAction::Read => {
            let read = ctx.view.store.get(Kind::Leases, &name).await;
            note_answer(ctx, read.is_ok());
            let outcome = match read {
                Ok(Some(stored)) => match stored.parse::<LeaseRecord>() {
                    Ok(record) => ReadOutcome::Found(LeaseSighting {
                        version: ObjectVersion::new(stored.revision),
                        record,
                    }),
                    Err(error) => {
                        log::warn!(target: "conductor", error:% = error; "lease refused");
                        ReadOutcome::NoAnswer
                    }
                },
                Ok(None) => ReadOutcome::Absent,
                Err(_failed) => ReadOutcome::NoAnswer,
            };
            let mut claim = lock(&held.claim);
            claim.read_done(ctx.view.now(), outcome);
            // None to be seen is no claim of this box's either: the one that serves takes it.
            *lock(&held.others) = !claim.is_held() && !claim.takes_own();
        }
        LeaseAction::Write { expect, record } => {
            let before = lock(&held.claim).other_holder().cloned();
            let first = expect == ObjectVersion::default();
            let was_held = lock(&held.claim).held(ctx.view.now()).is_some();
            let written = if first {
                ctx.view.store.create(Kind::Leases, &name, &record).await
            } else {
                ctx.view.store.replace(Kind::Leases, &name, expect.get(), &record).await
            };
            note_answer(ctx, matches!(written, Ok(_) | Err(StoreError::Conflict(_))));
            let outcome = match written {
                Ok(revision) => WriteOutcome::Applied(ObjectVersion::new(revision)),
                Err(StoreError::Conflict(_)) => WriteOutcome::Conflict,
                Err(StoreError::NotDone(_)) => WriteOutcome::NotApplied,
                Err(_) => WriteOutcome::Unknown,
            };
            let now = ctx.view.now();
            let token = {
                let mut claim = lock(&held.claim);
                claim.write_done(now, outcome);
                claim.held(now).zip(claim.held_write())
            };
            let told = token.map(|(token, write)| HeldLease {
                name: name.clone(),
                token: token.get(),
                write,
            });
            ctx.note_lease(&name, told);
            *lock(&held.others) = !lock(&held.claim).is_held();
            if !was_held && !record.released {
                note_hold(ctx, held, before.as_ref());
            }
        }
    }
}

/// An answer about a lease shows that the store is back, often sooner than a watch does.
fn note_answer(ctx: &ShardContext, answered: bool) {
    if answered {
        ctx.view.store_answered(Kind::Leases, true);
    }
}

/// Notes a new hold; after another box, its orders must be long past.
fn note_hold(ctx: &ShardContext, held: &ServiceClaim, before: Option<&LeaseRecord>) {
    let now = ctx.view.now();
    let claim = lock(&held.claim);
    let Some(token) = claim.held(now) else { return };
    let from = claim.quiet_until();
    drop(claim);
    log::info!(
        target: "conductor", service:% = held.service, token = token.get(),
        after:% = before.map_or("none", |record| record.holder.as_str()),
        wait_ms = whole_millis(from.since(now));
        "lease held"
    );
}

/// Gives the lease up, if it is held.
fn release(ctx: &Arc<ShardContext>, held: &Arc<ServiceClaim>) {
    if *lock(&held.busy) {
        return;
    }
    let action = lock(&held.claim).release(ctx.view.now());
    if let Some(action) = action {
        ctx.note_lease(&lease_object(&held.service), None);
        log::info!(target: "conductor", service:% = held.service; "lease released");
        start_action(ctx, held, action);
    }
}

/// Sends the orders that are due, few at a time.
fn order_due(ctx: &Arc<ShardContext>, held: &Arc<ServiceClaim>) {
    if held.token(ctx.view.now()).is_none() {
        return;
    }
    let engines: Vec<TargetRecord> = ctx
        .view
        .board()
        .of_service(&held.service)
        .filter(|record| !record.leaving)
        .cloned()
        .collect();
    let most = loads_at_once(engines.len(), ctx.settings.load_parts);
    let room = most.saturating_sub(lock(&held.ordered).len());
    if room == 0 {
        return;
    }
    for spec in due_orders(ctx, held, &engines).into_iter().take(room) {
        start_order(ctx, held, spec);
    }
}

fn start_order(ctx: &Arc<ShardContext>, held: &Arc<ServiceClaim>, spec: OrderSpec) {
    lock(&held.ordered).insert(spec.target.instance.clone());
    let (ctx, held) = (Arc::clone(ctx), Arc::clone(held));
    tokio::spawn(async move {
        let end = order_engine(&ctx, &spec, || held.token(ctx.view.now())).await;
        if matches!(end, OrderEnd::Busy | OrderEnd::InDoubt) {
            time::sleep(AGAIN_PAUSE).await;
        }
        lock(&held.ordered).remove(&spec.target.instance);
    });
}

/// One engine in `parts`, rounded, and one at least.
fn loads_at_once(engines: usize, parts: usize) -> usize {
    ((engines + parts / 2) / parts).max(1)
}

/// Orders to engines that hold an older version than the named one of the model that they follow,
/// the best first.
fn due_orders(ctx: &ShardContext, held: &ServiceClaim, engines: &[TargetRecord]) -> Vec<OrderSpec> {
    let ordered = lock(&held.ordered).clone();
    let models = named_models(ctx, &held.service);
    let followed = followed_models(ctx, &models, engines);
    let mut specs = Vec::new();
    let mut states = Vec::new();
    for engine in engines {
        let Some(position) = followed.get(&engine.instance).copied() else { continue };
        let (model, named) = &models[position];
        let Some(loaded) = engine.models.iter().find(|loaded| loaded.model == *model) else {
            continue;
        };
        states.push(FollowedEngine {
            model: position,
            behind: named.get().saturating_sub(loaded.version.get()),
            ordered: ordered.contains(&engine.instance),
            running: ctx.view.board().mine(&engine.instance),
        });
        specs.push(OrderSpec {
            target: engine.clone(),
            model: model.clone(),
            version: *named,
            mode: swap_mode(ctx, &held.service),
        });
    }
    due_loads(&states).into_iter().map(|at| specs[at].clone()).collect()
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

/// The position of the model that each engine follows.
fn followed_models(
    ctx: &ShardContext,
    models: &[(ModelName, ModelVersion)],
    engines: &[TargetRecord],
) -> HashMap<InstanceId, usize> {
    let names: Vec<ModelName> = models.iter().map(|(model, _)| model.clone()).collect();
    let work = ctx.work.of(ctx.view.now(), &names);
    let counts = divide_engines(engines.len(), &work);
    let mut instances: Vec<&InstanceId> = engines.iter().map(|engine| &engine.instance).collect();
    instances.sort();
    let followed = instances.into_iter().enumerate();
    followed
        .filter_map(|(at, instance)| Some((instance.clone(), followed_model(&counts, at)?)))
        .collect()
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
