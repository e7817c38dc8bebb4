//! Orders the engines of a service to load named versions, under a lease.
//!
//! Engines obey whoever speaks to them, so only one box may speak to those of a service. The box
//! that serves the shard of the service's name claims the lease. It acts only while it holds it,
//! and after a change of holder waits until no order of the earlier one can be near.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coord::lease::{
    LeaseAction, LeaseClaim, LeaseRecord, LeaseSighting, ReadOutcome, WriteOutcome,
};
use ids::{FencingToken, Incarnation, InstanceId, ModelName, Moment, ObjectVersion, ServiceName};
use joblog::shard_of;
use platform::orders::SwapMode;
use platform::{Kind, StoreError};
use routing::{RouteKind, TargetRecord};
use tokio::time;
use wire::peer::HeldLease;

use crate::context::ShardContext;
use crate::keeper::ShardKeeper;
use crate::order::{OrderEnd, OrderSpec, order_engine};

/// Term of the lease. A holder that is gone delays orders by this and by the gap between
/// holders; each renewal is a priced call.
const TERM: Duration = Duration::from_millis(1_500);
/// Beyond the gap that the platform asks for between two holders: the way of an order.
const GAP_SLACK: Duration = Duration::from_millis(300);
/// How often engines are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Pause before an engine that was busy or in doubt is ordered again.
const AGAIN_PAUSE: Duration = Duration::from_millis(250);

/// The claim on one service's engines.
#[derive(Debug)]
struct ServiceClaim {
    service: ServiceName,
    claim: Mutex<LeaseClaim>,
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
        Self { service, claim: Mutex::new(claim), ordered: Mutex::default() }
    }

    /// The token under which an order may be sent now.
    fn token(&self, now: Moment) -> Option<FencingToken> {
        let claim = lock(&self.claim);
        claim.held(now).filter(|_| now >= claim.quiet_until())
    }
}

/// Conducts the engines of all services whose name's shard is served here.
pub async fn conduct(ctx: Arc<ShardContext>, keepers: Arc<Vec<Arc<ShardKeeper>>>) {
    let mut claims: Vec<Arc<ServiceClaim>> = Vec::new();
    loop {
        for (service, _) in ctx.view.engine_services() {
            let shard = shard_of(service.as_str(), ctx.settings.node.shards);
            let index = usize::try_from(shard.get()).unwrap_or(usize::MAX);
            let serves = keepers.get(index).is_some_and(|keeper| keeper.is_candidate());
            let at = claims.iter().position(|claim| claim.service == service);
            match (serves, at) {
                (true, None) => {
                    let claim = Arc::new(ServiceClaim::new(&ctx, service));
                    tokio::spawn(hold_lease(Arc::clone(&ctx), Arc::downgrade(&claim)));
                    claims.push(claim);
                }
                (false, Some(at)) => {
                    let claim = claims.swap_remove(at);
                    tokio::spawn(release(Arc::clone(&ctx), claim));
                }
                _ => {}
            }
        }
        for claim in &claims {
            order_due(&ctx, claim);
        }
        time::sleep(LOOK_EVERY).await;
    }
}

fn lease_object(service: &ServiceName) -> String {
    format!("engines-{service}")
}

/// Polls the claim until it is dropped.
async fn hold_lease(ctx: Arc<ShardContext>, claim: std::sync::Weak<ServiceClaim>) {
    loop {
        let Some(held) = claim.upgrade() else { return };
        let now = ctx.view.now();
        let note = ctx.peers.lease_note(&lease_object(&held.service));
        let action = {
            let mut claim = lock(&held.claim);
            if let Some(note) = note.filter(|note| note.holder != ctx.me.box_id) {
                claim.note(note);
            }
            claim.poll(now)
        };
        match action {
            Some(action) => carry_out(&ctx, &held, action).await,
            None => {
                drop(held);
                time::sleep(LOOK_EVERY).await;
            }
        }
    }
}

async fn carry_out(ctx: &ShardContext, held: &ServiceClaim, action: LeaseAction) {
    let name = lease_object(&held.service);
    ctx.view.metrics.store_call();
    match action {
        LeaseAction::Read => {
            let outcome = match ctx.view.store.get(Kind::Leases, &name).await {
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
            lock(&held.claim).read_done(ctx.view.now(), outcome);
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
            if !was_held && !record.released {
                note_hold(ctx, held, before.as_ref());
            }
        }
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
        wait_ms = u64::try_from(from.since(now).as_millis()).unwrap_or(u64::MAX);
        "lease held"
    );
}

async fn release(ctx: Arc<ShardContext>, held: Arc<ServiceClaim>) {
    let action = lock(&held.claim).release(ctx.view.now());
    ctx.note_lease(&lease_object(&held.service), None);
    if let Some(action) = action {
        log::info!(target: "conductor", service:% = held.service; "lease released");
        carry_out(&ctx, &held, action).await;
    }
}

/// Sends the orders that are due: the most outdated engines first, few at a time.
fn order_due(ctx: &Arc<ShardContext>, held: &Arc<ServiceClaim>) {
    let now = ctx.view.now();
    if held.token(now).is_none() {
        return;
    }
    let engines: Vec<TargetRecord> = ctx
        .view
        .board()
        .of_service(&held.service)
        .filter(|record| !record.leaving)
        .cloned()
        .collect();
    let most = (engines.len() / ctx.settings.load_parts).max(1);
    let mut due = due_engines(ctx, held, &engines);
    due.sort_by_key(|(gap, load, ..)| (std::cmp::Reverse(*gap), *load));
    for (_, _, target, model, version) in due {
        if lock(&held.ordered).len() >= most {
            return;
        }
        lock(&held.ordered).insert(target.instance.clone());
        let spec = OrderSpec { target, model, version, mode: swap_mode(ctx, &held.service) };
        let (ctx, held) = (Arc::clone(ctx), Arc::clone(held));
        tokio::spawn(async move {
            let end = order_engine(&ctx, &spec, || held.token(ctx.view.now())).await;
            if matches!(end, OrderEnd::Busy | OrderEnd::InDoubt) {
                time::sleep(AGAIN_PAUSE).await;
            }
            lock(&held.ordered).remove(&spec.target.instance);
        });
    }
}

type DueEngine = (u64, u32, TargetRecord, ModelName, ids::ModelVersion);

/// Engines that hold an older version than the named one: by how much, and their load.
fn due_engines(
    ctx: &ShardContext,
    held: &ServiceClaim,
    engines: &[TargetRecord],
) -> Vec<DueEngine> {
    let ordered = lock(&held.ordered).clone();
    let mut due = Vec::new();
    for engine in engines {
        if ordered.contains(&engine.instance) {
            continue;
        }
        let load = ctx.view.board().mine(&engine.instance);
        for model in &engine.models {
            let Some(named) = ctx.view.named_version(&model.model) else { continue };
            let gap = named.get().saturating_sub(model.version.get());
            if gap > 0 {
                due.push((gap, load, engine.clone(), model.model.clone(), named));
            }
        }
    }
    due
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
