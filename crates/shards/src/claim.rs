//! Leases for work that one box does at a time, and the choice of the box that claims them.
//!
//! The receivers of this work don't check tokens. So a box acts only while it holds the lease, and
//! a new holder first waits until calls of the previous one must have ended. The box that serves
//! the shard of the lease's name claims the lease. A healthy holder keeps it when the shard moves,
//! and resumes it after a restart, since each change of holder causes a pause.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coord::lease::{
    LeaseAction, LeaseClaim, LeaseRecord, ReadOutcome, VersionedLease, WriteOutcome,
};
use ids::{FencingToken, Moment, ObjectVersion, ServiceName, whole_millis};
use joblog::shard_of;
use node::StoreCall;
use platform::{Kind, StoreError};
use wire::peer::HeldLease;

use crate::context::ShardContext;
use crate::keepers::KeeperSet;

/// Lease term. After a holder fails, its work is delayed by the term and the gap between holders;
/// each renewal is a billed store call.
pub(crate) const TERM: Duration = Duration::from_millis(1_500);
/// Added to the configured gap between two holders for calls in flight.
const GAP_SLACK: Duration = Duration::from_millis(300);
/// How long a holder that can't do its work leaves the lease to other boxes.
const UNFIT_BACKOFF: Duration = Duration::from_secs(15);

/// The work that a lease covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LeaseSubject {
    /// Orders to the engines of a service.
    Engines(ServiceName),
    /// Calls to the platform's accounting service: usage reports and replica orders.
    Accounts,
}

impl LeaseSubject {
    /// The name that determines the responsible shard.
    fn shard_name(&self) -> &str {
        match self {
            Self::Engines(service) => service.as_str(),
            Self::Accounts => "accounts",
        }
    }
}

/// The lease's object name.
impl fmt::Display for LeaseSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Engines(service) => write!(f, "engines-{service}"),
            Self::Accounts => f.write_str("accounts"),
        }
    }
}

/// This box's claim on one lease.
#[derive(Debug)]
pub(crate) struct ManagedLease {
    subject: LeaseSubject,
    claim: Mutex<LeaseClaim>,
    /// Whether the last read or write showed that this box does not hold the lease.
    held_elsewhere: Mutex<bool>,
    /// Set while an action on the lease is in flight.
    busy: Mutex<bool>,
    /// Until then this box leaves the lease to other boxes.
    unfit_until: Mutex<Moment>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ManagedLease {
    /// Creates a claim that has not been read yet.
    pub fn new(ctx: &ShardContext, subject: LeaseSubject) -> Self {
        let me = &ctx.me;
        let incarnation = ctx.view.usage.incarnation();
        let claim = LeaseClaim::new(me.box_id.clone(), incarnation, me.address.clone(), TERM)
            .with_gap(ctx.settings.order_gap + GAP_SLACK);
        Self {
            subject,
            claim: Mutex::new(claim),
            held_elsewhere: Mutex::new(false),
            busy: Mutex::new(false),
            unfit_until: Mutex::new(Moment::START),
        }
    }

    /// Returns `false` if the last read or write showed that this box does not hold the lease.
    fn may_hold(&self) -> bool {
        !*lock(&self.held_elsewhere)
    }

    /// Returns the token under which this box may act now.
    pub fn token(&self, now: Moment) -> Option<FencingToken> {
        let claim = lock(&self.claim);
        claim.held(now).filter(|_| now >= claim.quiet_until())
    }

    /// Leaves the lease to other boxes for a while, because this box can't reach the receivers.
    pub fn back_off(&self, now: Moment) {
        *lock(&self.unfit_until) = now + UNFIT_BACKOFF;
    }
}

/// Runs the claim's next action; releases the lease where this box should not hold it. Returns
/// whether this box may hold the lease.
pub(crate) fn maintain_lease(
    ctx: &Arc<ShardContext>,
    keepers: &KeeperSet,
    lease: &Arc<ManagedLease>,
) -> bool {
    let unfit = ctx.view.now() < *lock(&lease.unfit_until);
    if ctx.is_leaving() || unfit {
        release(ctx, lease);
        return false;
    }
    let serves = serves_shard(ctx, keepers, lease) || is_fallback_holder(ctx, lease);
    // A standby box holds no lease. There may be hundreds of them, which must not all poll the
    // store.
    let should_poll = serves || (lease.may_hold() && ctx.is_active());
    if should_poll {
        poll_claim(ctx, lease);
    }
    should_poll
}

fn serves_shard(ctx: &ShardContext, keepers: &KeeperSet, lease: &ManagedLease) -> bool {
    let shards = ctx.view.shards().unwrap_or(1);
    let shard = shard_of(lease.subject.shard_name(), shards);
    keepers.get(shard).is_some_and(|keeper| keeper.is_confirmed())
}

/// Returns whether this box should claim the lease in place of the shard's server: it has a copy
/// of the shard's log, reaches the store, and no holder has reported a write for long. The store
/// may be refusing the server itself.
fn is_fallback_holder(ctx: &ShardContext, lease: &ManagedLease) -> bool {
    let Some(shards) = ctx.view.shards() else { return false };
    let shard = shard_of(lease.subject.shard_name(), shards);
    let assignments = ctx.view.assignments();
    let Some(observed) = assignments.plan(shard) else { return false };
    let Some(rank) = observed.plan.rank(&ctx.me.box_id).filter(|rank| *rank > 0) else {
        return false;
    };
    let report = ctx.peers.lease_report(&lease.subject.to_string());
    let reported_at =
        report.map_or(observed.seen_at, |report| report.received_at.max(observed.seen_at));
    let unreported_for = ctx.view.now().since(reported_at);
    ctx.view.store_state().up && unreported_for >= TERM * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Starts the claim's next action unless one is in flight.
fn poll_claim(ctx: &Arc<ShardContext>, lease: &Arc<ManagedLease>) {
    if *lock(&lease.busy) {
        return;
    }
    let now = ctx.view.now();
    let name = lease.subject.to_string();
    let report = ctx.peers.lease_report(&name).filter(|report| report.holder != ctx.me.box_id);
    let action = {
        let mut claim = lock(&lease.claim);
        // A lease with a live holder needs no read.
        let is_live = report.as_ref().is_some_and(|report| now.since(report.received_at) < TERM);
        if is_live && !claim.is_held() && !lease.may_hold() {
            return;
        }
        if let Some(report) = report {
            claim.record_report(report);
        }
        claim.poll(now)
    };
    if let Some(action) = action {
        start_action(ctx, lease, action);
    }
}

fn start_action(ctx: &Arc<ShardContext>, lease: &Arc<ManagedLease>, action: LeaseAction) {
    *lock(&lease.busy) = true;
    let (ctx, lease) = (Arc::clone(ctx), Arc::clone(lease));
    tokio::spawn(async move {
        execute_action(&ctx, &lease, action).await;
        *lock(&lease.busy) = false;
    });
}

async fn execute_action(ctx: &ShardContext, lease: &ManagedLease, action: LeaseAction) {
    let name = lease.subject.to_string();
    let call = match &action {
        LeaseAction::Read => StoreCall::Read,
        LeaseAction::Write { .. } => StoreCall::Write,
    };
    ctx.view.metrics.store_call(Kind::Leases, call);
    match action {
        LeaseAction::Read => {
            let read = ctx.view.store.get(Kind::Leases, &name).await;
            record_store_response(ctx, read.is_ok());
            let outcome = match read {
                Ok(Some(stored)) => match stored.parse::<LeaseRecord>() {
                    Ok(record) => ReadOutcome::Found(VersionedLease {
                        version: ObjectVersion::new(stored.revision),
                        record,
                    }),
                    Err(error) => {
                        log::warn!(target: "conductor", error:% = error; "stored lease is invalid");
                        ReadOutcome::Unreadable
                    }
                },
                Ok(None) => ReadOutcome::Absent,
                Err(_failed) => ReadOutcome::NoAnswer,
            };
            let mut claim = lock(&lease.claim);
            claim.read_done(ctx.view.now(), outcome);
            // If no lease exists, this box doesn't hold it either: the shard's server claims it.
            *lock(&lease.held_elsewhere) = !claim.is_held() && !claim.held_by_earlier_incarnation();
        }
        LeaseAction::Write { expect, record } => {
            let before = lock(&lease.claim).other_holder().cloned();
            let first = expect == ObjectVersion::default();
            let was_held = lock(&lease.claim).held(ctx.view.now()).is_some();
            let written = if first {
                ctx.view.store.create(Kind::Leases, &name, &record).await
            } else {
                ctx.view.store.replace(Kind::Leases, &name, expect.get(), &record).await
            };
            record_store_response(ctx, matches!(written, Ok(_) | Err(StoreError::Conflict(_))));
            let outcome = match written {
                Ok(revision) => WriteOutcome::Applied(ObjectVersion::new(revision)),
                Err(StoreError::Conflict(_)) => WriteOutcome::Conflict,
                Err(StoreError::NotApplied(_)) => WriteOutcome::NotApplied,
                Err(_) => WriteOutcome::Unknown,
            };
            let now = ctx.view.now();
            let token = {
                let mut claim = lock(&lease.claim);
                claim.write_done(now, outcome);
                claim.held(now).zip(claim.held_write())
            };
            let reported = token.map(|(token, write)| HeldLease {
                name: name.clone(),
                token: token.get(),
                write,
            });
            ctx.record_lease(&name, reported);
            *lock(&lease.held_elsewhere) = !lock(&lease.claim).is_held();
            if !was_held && !record.released {
                log_acquisition(ctx, lease, before.as_ref());
            }
        }
    }
}

/// Marks the store as reachable if it responded about a lease, often earlier than a watch does.
fn record_store_response(ctx: &ShardContext, answered: bool) {
    if answered {
        ctx.view.store_answered(Kind::Leases, true);
    }
}

/// Logs an acquired lease and the wait until orders of the previous holder must have ended.
fn log_acquisition(ctx: &ShardContext, lease: &ManagedLease, before: Option<&LeaseRecord>) {
    let now = ctx.view.now();
    let claim = lock(&lease.claim);
    let Some(token) = claim.held(now) else { return };
    let from = claim.quiet_until();
    drop(claim);
    log::info!(
        target: "conductor", lease:% = lease.subject, token = token.get(),
        after:% = before.map_or("none", |record| record.holder.as_str()),
        wait_ms = whole_millis(from.since(now));
        "lease acquired"
    );
}

/// Releases the lease if it is held.
fn release(ctx: &Arc<ShardContext>, lease: &Arc<ManagedLease>) {
    if *lock(&lease.busy) {
        return;
    }
    let action = lock(&lease.claim).release(ctx.view.now());
    if let Some(action) = action {
        ctx.record_lease(&lease.subject.to_string(), None);
        log::info!(target: "conductor", lease:% = lease.subject; "lease released");
        start_action(ctx, lease, action);
    }
}
