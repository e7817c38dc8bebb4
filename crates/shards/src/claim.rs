//! A duty that one box holds at a time: the claim on its lease, and who should make one.
//!
//! Whoever has the duty speaks to others who check no tokens, so a box acts only while it holds the lease, and after a
//! change of holder waits until no word of the earlier one can be near. The box that serves the shard of the duty's
//! name claims the lease. A holder that is well keeps it when the shard moves, and takes it up again after a restart,
//! since every change of holder costs a pause.

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

/// Term of the lease. A holder that is gone delays its duty by this and by the gap between
/// holders; each renewal is a priced call.
pub(crate) const TERM: Duration = Duration::from_millis(1_500);
/// Beyond the gap that the platform asks for between two holders: the way of a call.
const GAP_SLACK: Duration = Duration::from_millis(300);
/// A holder that cannot do its duty leaves it to others for this long: a few changes of holder.
const UNFIT_TIME: Duration = Duration::from_secs(15);

/// What one box does for all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DutySubject {
    /// Orders the engines of a service.
    Engines(ServiceName),
    /// Speaks to the platform's accounts: reports of use, orders of replicas.
    Accounts,
}

impl DutySubject {
    /// The name by which its shard is found.
    fn shard_name(&self) -> &str {
        match self {
            Self::Engines(service) => service.as_str(),
            Self::Accounts => "accounts",
        }
    }
}

/// The name of its lease.
impl fmt::Display for DutySubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Engines(service) => write!(f, "engines-{service}"),
            Self::Accounts => f.write_str("accounts"),
        }
    }
}

/// This box's claim on one duty.
#[derive(Debug)]
pub(crate) struct DutyClaim {
    subject: DutySubject,
    claim: Mutex<LeaseClaim>,
    /// Whether another box was read to hold it.
    others: Mutex<bool>,
    /// Set while an action on the lease is under way.
    busy: Mutex<bool>,
    /// Until when this box leaves the duty to others.
    unfit_until: Mutex<Moment>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DutyClaim {
    /// A claim that has read nothing yet.
    pub fn new(ctx: &ShardContext, subject: DutySubject) -> Self {
        let me = &ctx.me;
        let life = ctx.view.usage.incarnation();
        let claim = LeaseClaim::new(me.box_id.clone(), life, me.address.clone(), TERM)
            .with_gap(ctx.settings.order_gap + GAP_SLACK);
        Self {
            subject,
            claim: Mutex::new(claim),
            others: Mutex::new(false),
            busy: Mutex::new(false),
            unfit_until: Mutex::new(Moment::START),
        }
    }

    /// Whether the lease is held here, or may be for all that has been read of it.
    fn may_be_mine(&self) -> bool {
        !*lock(&self.others)
    }

    /// The token under which this box may act now.
    pub fn token(&self, now: Moment) -> Option<FencingToken> {
        let claim = lock(&self.claim);
        claim.held(now).filter(|_| now >= claim.quiet_until())
    }

    /// Leaves the duty to others for a while: this box cannot reach those whom it concerns.
    pub fn leave(&self, now: Moment) {
        *lock(&self.unfit_until) = now + UNFIT_TIME;
    }
}

/// Does what the claim wants done now, and lets it go where this box leaves the duty. `true` while the duty may be
/// this box's.
pub(crate) fn tend_claim(
    ctx: &Arc<ShardContext>,
    keepers: &KeeperSet,
    held: &Arc<DutyClaim>,
) -> bool {
    let unfit = ctx.view.now() < *lock(&held.unfit_until);
    if ctx.is_leaving() || unfit {
        release(ctx, held);
        return false;
    }
    let serves = serves_shard(ctx, keepers, held) || stands_in(ctx, held);
    // A box that stands by holds none, and there may be hundreds that would all look.
    let concerned = serves || (held.may_be_mine() && ctx.is_at_work());
    if concerned {
        poll_claim(ctx, held);
    }
    concerned
}

fn serves_shard(ctx: &ShardContext, keepers: &KeeperSet, claim: &DutyClaim) -> bool {
    let shards = ctx.view.shards().unwrap_or(1);
    let shard = shard_of(claim.subject.shard_name(), shards);
    keepers.get(shard).is_some_and(|keeper| keeper.is_proven())
}

/// Whether this box should hold the lease in place of the shard's server: it has a copy of the
/// shard's log, reaches the store, and no holder has told of a write for long. The server itself may be
/// one that the store turns away.
fn stands_in(ctx: &ShardContext, claim: &DutyClaim) -> bool {
    let Some(shards) = ctx.view.shards() else { return false };
    let shard = shard_of(claim.subject.shard_name(), shards);
    let duties = ctx.view.assignments();
    let Some(sighting) = duties.plan(shard) else { return false };
    let Some(rank) = sighting.plan.rank(&ctx.me.box_id).filter(|rank| *rank > 0) else {
        return false;
    };
    let note = ctx.peers.lease_note(&claim.subject.to_string());
    let told_at = note.map_or(sighting.seen_at, |note| note.heard_at.max(sighting.seen_at));
    let silent = ctx.view.now().since(told_at);
    ctx.view.store_state().up && silent >= TERM * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Starts what the claim wants done, one action at a time.
fn poll_claim(ctx: &Arc<ShardContext>, held: &Arc<DutyClaim>) {
    if *lock(&held.busy) {
        return;
    }
    let now = ctx.view.now();
    let name = held.subject.to_string();
    let note = ctx.peers.lease_note(&name).filter(|note| note.holder != ctx.me.box_id);
    let action = {
        let mut claim = lock(&held.claim);
        // A holder that is heard needs no look at its lease.
        let heard = note.as_ref().is_some_and(|note| now.since(note.heard_at) < TERM);
        if heard && !claim.is_held() && !held.may_be_mine() {
            return;
        }
        if let Some(note) = note {
            claim.record_report(note);
        }
        claim.poll(now)
    };
    if let Some(action) = action {
        start_action(ctx, held, action);
    }
}

fn start_action(ctx: &Arc<ShardContext>, held: &Arc<DutyClaim>, action: LeaseAction) {
    *lock(&held.busy) = true;
    let (ctx, held) = (Arc::clone(ctx), Arc::clone(held));
    tokio::spawn(async move {
        carry_out(&ctx, &held, action).await;
        *lock(&held.busy) = false;
    });
}

async fn carry_out(ctx: &ShardContext, held: &DutyClaim, action: LeaseAction) {
    let name = held.subject.to_string();
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
                    Ok(record) => ReadOutcome::Found(VersionedLease {
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
            *lock(&held.others) = !claim.is_held() && !claim.held_by_earlier_incarnation();
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
                Err(StoreError::NotApplied(_)) => WriteOutcome::NotApplied,
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
fn note_hold(ctx: &ShardContext, held: &DutyClaim, before: Option<&LeaseRecord>) {
    let now = ctx.view.now();
    let claim = lock(&held.claim);
    let Some(token) = claim.held(now) else { return };
    let from = claim.quiet_until();
    drop(claim);
    log::info!(
        target: "conductor", lease:% = held.subject, token = token.get(),
        after:% = before.map_or("none", |record| record.holder.as_str()),
        wait_ms = whole_millis(from.since(now));
        "lease held"
    );
}

/// Gives the lease up, if it is held.
fn release(ctx: &Arc<ShardContext>, held: &Arc<DutyClaim>) {
    if *lock(&held.busy) {
        return;
    }
    let action = lock(&held.claim).release(ctx.view.now());
    if let Some(action) = action {
        ctx.note_lease(&held.subject.to_string(), None);
        log::info!(target: "conductor", lease:% = held.subject; "lease released");
        start_action(ctx, held, action);
    }
}
