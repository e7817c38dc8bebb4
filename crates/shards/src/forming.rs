//! Takes a shard over: closes a copy, gives its records to new copies, writes the plan.

use std::sync::Arc;
use std::time::Duration;

use ids::ShardIndex;
use joblog::{
    EpochId, EpochTakeover, PlanWriteOutcome, ShardPlan, StorageBox, TakeoverDecision,
    TakeoverError, TakeoverPreference, TakeoverStep, TakeoverView, VersionedPlan, decide_takeover,
    rank_initial_servers,
};
use node::StoreCall;
use node::assignments::{AssignmentTable, ObservedPlan, shard_object};
use platform::{Kind, StoreError};
use rand::Rng;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::context::ShardContext;
use crate::copies::on_disk;
use crate::copying::{ResultPlaces, copy_book};
use crate::keeper::{ServedEpoch, ShardKeeper};
use crate::log_writer::{EpochLog, QUEUE, write_log};

/// How often a box looks whether it should take a shard.
const LOOK_EVERY: Duration = Duration::from_millis(150);
/// Pause after a try that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a shard is not served any more when another box serves it.
const SUPERSEDED: &str = "another plan is in force";

/// Serves a shard whenever it is this box's duty.
pub async fn keep_shard(ctx: Arc<ShardContext>, keeper: Arc<ShardKeeper>) {
    let shard = keeper.shard();
    let mut no_plan_since = None;
    let mut changes = keeper.changes();
    loop {
        drop_superseded(&ctx, &keeper);
        if ctx.view.assignments().is_read() && wants_shard(&ctx, &keeper, &mut no_plan_since) {
            match form_epoch(&ctx, &keeper).await {
                Ok((log, places)) => {
                    serve_epoch(&ctx, &keeper, log, &places).await;
                    continue;
                }
                Err(fault) => {
                    if fault == TakeoverError::Superseded {
                        keeper.reset();
                    }
                    log::info!(target: "shard", shard = shard.get(), why:% = fault; "not taken");
                    time::sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        // Either way it is looked at again soon.
        let _elapsed = time::timeout(LOOK_EVERY, changes.changed()).await;
    }
}

/// Forgets the jobs of a shard that another box serves under a later plan.
fn drop_superseded(ctx: &ShardContext, keeper: &ShardKeeper) {
    let Some(held) = keeper.book_epoch() else { return };
    let superseded = ctx.view.assignments().plan(keeper.shard()).is_some_and(|sighting| {
        let plan = &sighting.plan;
        plan.epoch != held
            && plan.epoch.token > held.token
            && plan.server().is_none_or(|server| server.box_id != ctx.me.box_id)
    });
    if superseded {
        keeper.reset();
    }
}

/// Whether this box should take the shard now.
fn wants_shard(
    ctx: &ShardContext,
    keeper: &ShardKeeper,
    no_plan_since: &mut Option<ids::Moment>,
) -> bool {
    let shard = keeper.shard();
    let now = ctx.view.now();
    let duties = ctx.view.assignments();
    let sighting = duties.plan(shard);
    // Two boxes that make copies at once only slow each other.
    if sighting.is_some_and(|sighting| box_before_forms(ctx, shard, &sighting.plan))
        && !keeper.is_asked()
    {
        return false;
    }
    let no_plan_for = if sighting.is_some() {
        *no_plan_since = None;
        Duration::ZERO
    } else {
        now.since(*no_plan_since.get_or_insert(now))
    };
    let plan = sighting.map(|sighting| &sighting.plan);
    let server = plan.and_then(ShardPlan::server);
    let view = TakeoverView {
        me: &ctx.me.box_id,
        plan,
        has_copy: plan.is_some_and(|plan| ctx.copies.folder().has(shard, &plan.epoch)),
        lost_before: plan.map_or(0, |plan| lost_before(ctx, shard, plan)),
        server_unresponsive_for: sighting
            .map(|told| server_silence(ctx, shard, told))
            .unwrap_or_default(),
        server_restarts: server.is_some_and(|server| ctx.peers.restarts(&server.box_id)),
        first_rank: if plan.is_none() { first_rank(ctx, shard, &duties) } else { 0 },
        no_plan_for,
        preference: if keeper.take_asked() {
            TakeoverPreference::Requested
        } else if ctx.is_leaving() {
            TakeoverPreference::Avoid
        } else {
            TakeoverPreference::Neutral
        },
    };
    decide_takeover(&view) == TakeoverDecision::TakeOver
}

/// Place of this box among those that could begin the shard.
fn first_rank(ctx: &ShardContext, shard: ShardIndex, duties: &AssignmentTable) -> usize {
    let boxes: Vec<StorageBox> = duties.active_boxes().into_iter().cloned().collect();
    let ranked = rank_initial_servers(shard, &boxes);
    ranked.iter().position(|copy| copy.box_id == ctx.me.box_id).unwrap_or(boxes.len())
}

/// Whether a box that goes before this one in the plan makes new copies, to serve the shard.
fn box_before_forms(ctx: &ShardContext, shard: ShardIndex, plan: &ShardPlan) -> bool {
    let rank = plan.rank(&ctx.me.box_id).unwrap_or_default();
    let now = ctx.view.now();
    plan.copies.iter().take(rank).any(|copy| ctx.peers.forms(now, shard, &copy.box_id))
}

/// Copies that go before this box's in the plan and that their boxes say they have lost.
fn lost_before(ctx: &ShardContext, shard: ShardIndex, plan: &ShardPlan) -> usize {
    let rank = plan.rank(&ctx.me.box_id).unwrap_or_default();
    let now = ctx.view.now();
    let before = plan.copies.iter().take(rank);
    before.filter(|copy| ctx.peers.lacks(now, shard, &copy.box_id, plan.epoch.token)).count()
}

/// How long the plan's server has not said that it serves the shard. A plan that was just learnt: its
/// server has had no time to tell.
fn server_silence(ctx: &ShardContext, shard: ShardIndex, sighting: &ObservedPlan) -> Duration {
    let now = ctx.view.now();
    let plan = &sighting.plan;
    let Some(server) = plan.server() else { return Duration::ZERO };
    let silent = ctx.peers.silent(now, shard, &server.box_id, plan.epoch.token);
    silent.min(now.since(sighting.seen_at))
}

/// Writes the log until it ends, for whatever reason.
async fn serve_epoch(
    ctx: &Arc<ShardContext>,
    keeper: &Arc<ShardKeeper>,
    log: EpochLog,
    places: &ResultPlaces,
) {
    let (sender, work) = mpsc::channel(QUEUE);
    let ended = CancellationToken::new();
    let epoch = log.epoch.clone();
    let partners: Vec<StorageBox> = log.partners.clone();
    let counts = keeper.book().counts();
    log::info!(
        target: "shard", shard = keeper.shard().get(), epoch:% = epoch, jobs = counts.jobs,
        bytes = counts.bytes;
        "serving"
    );
    let served = ServedEpoch { epoch: epoch.clone(), log: sender, ended: ended.clone() };
    keeper.begin(served, places);
    let why = tokio::select! {
        () = write_log(Arc::clone(ctx), Arc::clone(keeper), log, work) => "copy lost",
        () = ended.cancelled() => "asked",
        () = superseded(ctx, keeper.shard(), &epoch) => SUPERSEDED,
        () = partner_leaves(ctx, &partners) => "partner leaves",
    };
    keeper.end();
    if why == SUPERSEDED {
        keeper.reset();
    }
    log::info!(
        target: "shard", shard = keeper.shard().get(), epoch:% = epoch, why = why;
        "not serving"
    );
}

/// Returns once the store names a later plan.
async fn superseded(ctx: &ShardContext, shard: ShardIndex, epoch: &EpochId) {
    let mut changes = ctx.view.changes();
    loop {
        let later = ctx.view.assignments().plan(shard).is_some_and(|sighting| {
            sighting.plan.epoch != *epoch && sighting.plan.epoch.token >= epoch.token
        });
        if later || changes.changed().await.is_err() {
            return;
        }
    }
}

/// Returns once a box with a copy is to be emptied.
async fn partner_leaves(ctx: &ShardContext, partners: &[StorageBox]) {
    loop {
        time::sleep(LOOK_EVERY).await;
        let retiring = ctx.retiring().clone();
        if partners.iter().any(|copy| retiring.contains(&copy.box_id)) {
            return;
        }
    }
}

/// Forms a new epoch that this box serves, by the steps of [`EpochTakeover`].
async fn form_epoch(
    ctx: &Arc<ShardContext>,
    keeper: &Arc<ShardKeeper>,
) -> Result<(EpochLog, ResultPlaces), TakeoverError> {
    let shard = keeper.shard();
    let number = u64::from(rand::rng().random::<u32>());
    let mut former = EpochTakeover::new(ctx.me.clone(), number, keeper.book_epoch());
    let mut copy = None;
    loop {
        if former.needs_partners() {
            former.set_partners(ctx.choose_copies(shard));
        }
        match former.step() {
            TakeoverStep::ReadPlan => former.plan_read(read_plan(ctx, shard).await),
            TakeoverStep::BeginEmpty => {
                keeper.reset();
                former.base_loaded(true);
            }
            TakeoverStep::CloseAndRead(epoch) => {
                former.base_loaded(close_and_read(ctx, keeper, epoch).await);
            }
            TakeoverStep::Copy { epoch, partners } => {
                keeper.book().suspend_appends();
                keeper.set_forming(true);
                copy = copy_book(ctx, keeper, &epoch, &partners).await;
                keeper.set_forming(false);
                former.copies_written(copy.is_some());
            }
            TakeoverStep::WritePlan { base, plan } => {
                let end = write_plan(ctx, shard, base, &plan).await;
                if end == PlanWriteOutcome::NoAnswer {
                    time::sleep(RETRY_PAUSE).await;
                }
                former.plan_written(end);
            }
            TakeoverStep::CheckPlan => {
                let read = read_plan(ctx, shard).await;
                if read.is_err() {
                    time::sleep(RETRY_PAUSE).await;
                }
                former.plan_read(read);
            }
            TakeoverStep::Serve { revision, plan } => {
                let (epoch, partners) = (plan.epoch.clone(), plan.copies[1..].to_vec());
                note_plan(ctx, shard, VersionedPlan { revision, plan });
                ctx.copies.clean(shard, epoch.clone()).await;
                let places = copy.as_ref().map(|copy| copy.places.clone()).unwrap_or_default();
                let log = EpochLog { epoch, file: copy.map(|copy| copy.file), partners };
                return Ok((log, places));
            }
            TakeoverStep::Fail(fault) => return Err(fault),
        }
    }
}

fn note_plan(ctx: &ShardContext, shard: ShardIndex, read: VersionedPlan) {
    let seen_at = ctx.view.now();
    let sighting = ObservedPlan { revision: read.revision, plan: read.plan, seen_at };
    ctx.view.assignments().put_plan(shard, sighting);
}

async fn read_plan(ctx: &ShardContext, shard: ShardIndex) -> Result<Option<VersionedPlan>, ()> {
    ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Read);
    let stored = ctx.view.store.get(Kind::ClusterState, &shard_object(shard)).await;
    let stored = stored.map_err(|error| {
        log::debug!(target: "shard", shard = shard.get(), error:% = error; "plan not read");
    })?;
    let Some(stored) = stored else { return Ok(None) };
    let plan = stored.parse().map_err(|error| {
        log::warn!(target: "shard", shard = shard.get(), error:% = error; "plan refused");
    })?;
    let read = VersionedPlan { revision: stored.revision, plan };
    note_plan(ctx, shard, read.clone());
    Ok(Some(read))
}

/// Closes this box's copy of an epoch and makes the book hold what it holds.
async fn close_and_read(ctx: &ShardContext, keeper: &Arc<ShardKeeper>, epoch: EpochId) -> bool {
    let shard = keeper.shard();
    ctx.copies.close(shard, &epoch).await;
    let (folder, read_epoch) = (ctx.copies.folder().clone(), epoch.clone());
    keeper.reset();
    let (now, loaded) = (ctx.view.now(), Arc::clone(keeper));
    let read = on_disk(shard, "read own copy", move || {
        folder.read(shard, &read_epoch, |record, place| {
            loaded.book().apply_at(now, record, Some(place));
        })
    });
    let Some(records) = read.await else { return false };
    log::info!(
        target: "shard", shard = shard.get(), epoch:% = epoch, records = records;
        "copy closed and read"
    );
    keeper.set_book_epoch(Some(epoch));
    true
}

/// Writes the plan if the one that was read is still in force.
async fn write_plan(
    ctx: &ShardContext,
    shard: ShardIndex,
    base: Option<u64>,
    plan: &ShardPlan,
) -> PlanWriteOutcome {
    let name = shard_object(shard);
    ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Write);
    let written = match base {
        Some(base) => ctx.view.store.replace(Kind::ClusterState, &name, base, plan).await,
        None => ctx.view.store.create(Kind::ClusterState, &name, plan).await,
    };
    match written {
        Ok(revision) => PlanWriteOutcome::Done(revision),
        Err(StoreError::Conflict(_)) => PlanWriteOutcome::Conflict,
        Err(error) => {
            log::warn!(target: "shard", shard = shard.get(), error:% = error; "plan not written");
            PlanWriteOutcome::NoAnswer
        }
    }
}
