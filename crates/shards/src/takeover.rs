//! Takes shards over: decides when, performs the steps of [`EpochTakeover`], and serves the new
//! epoch until it ends.

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
use crate::copying::{ResultLocations, copy_jobs};
use crate::hosts::ShardHosts;
use crate::keeper::{ServedEpoch, ShardKeeper};
use crate::log_writer::{EpochLog, QUEUE_CAPACITY, write_log};

/// Interval at which a box checks whether it should take over a shard.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Delay after a failed takeover attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reason for ending an epoch when another box serves the shard.
const SUPERSEDED: &str = "another plan is in force";

/// Takes a shard over whenever this box should serve it, and serves it until the epoch ends.
pub async fn run_shard(ctx: Arc<ShardContext>, keeper: Arc<ShardKeeper>) {
    let shard = keeper.shard();
    let mut no_plan_since = None;
    let mut changes = keeper.changes();
    loop {
        drop_superseded(&ctx, &keeper);
        if ctx.view.assignments().is_read() && should_take_over(&ctx, &keeper, &mut no_plan_since) {
            match take_over(&ctx, &keeper).await {
                Ok((log, locations)) => {
                    serve_epoch(&ctx, &keeper, log, &locations).await;
                    continue;
                }
                Err(error) => {
                    if error == TakeoverError::Superseded {
                        keeper.reset();
                    }
                    log::info!(target: "shard", shard = shard.get(), why:% = error; "takeover failed");
                    time::sleep(RETRY_DELAY).await;
                    continue;
                }
            }
        }
        // Both outcomes lead to the next check.
        let _elapsed = time::timeout(POLL_INTERVAL, changes.changed()).await;
    }
}

/// Drops the jobs of a shard that another box serves under a later plan.
fn drop_superseded(ctx: &ShardContext, keeper: &ShardKeeper) {
    let Some(held) = keeper.jobs_epoch() else { return };
    let superseded = ctx.view.assignments().plan(keeper.shard()).is_some_and(|observed| {
        let plan = &observed.plan;
        plan.epoch != held
            && plan.epoch.token > held.token
            && plan.server().is_none_or(|server| server.box_id != ctx.me.box_id)
    });
    if superseded {
        keeper.reset();
    }
}

/// Returns whether this box should take over the shard now.
fn should_take_over(
    ctx: &ShardContext,
    keeper: &ShardKeeper,
    no_plan_since: &mut Option<ids::Moment>,
) -> bool {
    let shard = keeper.shard();
    let now = ctx.view.now();
    let hosts = ShardHosts::new(&ctx.view, shard);
    if !hosts.includes(&ctx.me) {
        return false;
    }
    let assignments = ctx.view.assignments();
    let observed = assignments.plan(shard);
    if observed.is_none() && hosts.is_bound() && !bound_shard_due(ctx, &hosts, &assignments) {
        *no_plan_since = None;
        return false;
    }
    // Concurrent takeovers slow each other down.
    if observed.is_some_and(|observed| higher_rank_takes_over(ctx, shard, &observed.plan))
        && !keeper.is_takeover_requested()
    {
        return false;
    }
    let no_plan_for = if observed.is_some() {
        *no_plan_since = None;
        Duration::ZERO
    } else {
        let first_plan_delay =
            if hosts.is_bound() { ctx.view.settings.propagation_bound } else { Duration::ZERO };
        let since = *no_plan_since.get_or_insert(now) + first_plan_delay;
        if now < since {
            return false;
        }
        now.since(since)
    };
    let plan = observed.map(|observed| &observed.plan);
    let server = plan.and_then(ShardPlan::server);
    let view = TakeoverView {
        me: &ctx.me.box_id,
        plan,
        has_copy: plan.is_some_and(|plan| ctx.copies.folder().has(shard, &plan.epoch)),
        lost_before: plan.map_or(0, |plan| lost_before(ctx, shard, plan)),
        server_unresponsive_for: observed
            .map(|observed| server_unresponsive_for(ctx, shard, observed))
            .unwrap_or_default(),
        server_restarts: server.is_some_and(|server| ctx.peers.is_restarting(&server.box_id)),
        first_rank: if plan.is_none() { first_rank(ctx, shard, &hosts, &assignments) } else { 0 },
        no_plan_for,
        preference: if keeper.take_takeover_request() {
            TakeoverPreference::Requested
        } else if ctx.is_leaving() {
            TakeoverPreference::Avoid
        } else {
            TakeoverPreference::Neutral
        },
    };
    decide_takeover(&view) == TakeoverDecision::TakeOver
}

/// Returns whether a bound shard without a plan should get one: the configuration in force restricts
/// regions, and enough boxes of the region are registered for all copies. Without this check, boxes
/// of a region that is too small would read the plan from the store again and again.
fn bound_shard_due(
    ctx: &ShardContext,
    hosts: &ShardHosts<'_>,
    assignments: &AssignmentTable,
) -> bool {
    let host_count = assignments.boxes().filter(|copy| hosts.includes(copy)).count();
    ctx.view.table().restricts_regions() && host_count >= ctx.settings.copies
}

/// Rank of this box among the candidates for a shard without a plan.
fn first_rank(
    ctx: &ShardContext,
    shard: ShardIndex,
    hosts: &ShardHosts<'_>,
    assignments: &AssignmentTable,
) -> usize {
    let boxes = assignments.active_boxes().into_iter().filter(|copy| hosts.includes(copy));
    let boxes: Vec<StorageBox> = boxes.cloned().collect();
    let ranked = rank_initial_servers(shard, &boxes);
    ranked.iter().position(|copy| copy.box_id == ctx.me.box_id).unwrap_or(boxes.len())
}

/// Returns whether a higher-ranked box of the plan is writing new copies.
fn higher_rank_takes_over(ctx: &ShardContext, shard: ShardIndex, plan: &ShardPlan) -> bool {
    let rank = plan.rank(&ctx.me.box_id).unwrap_or_default();
    let now = ctx.view.now();
    plan.copies.iter().take(rank).any(|copy| ctx.peers.is_taking_over(now, shard, &copy.box_id))
}

/// Counts higher-ranked copies of the plan that their boxes report as missing.
fn lost_before(ctx: &ShardContext, shard: ShardIndex, plan: &ShardPlan) -> usize {
    let rank = plan.rank(&ctx.me.box_id).unwrap_or_default();
    let now = ctx.view.now();
    let before = plan.copies.iter().take(rank);
    before.filter(|copy| ctx.peers.lacks_copy(now, shard, &copy.box_id, plan.epoch.token)).count()
}

/// Returns how long the plan's server has not reported that it serves the shard, counted from when
/// the plan was first seen at the earliest.
fn server_unresponsive_for(
    ctx: &ShardContext,
    shard: ShardIndex,
    observed: &ObservedPlan,
) -> Duration {
    let now = ctx.view.now();
    let plan = &observed.plan;
    let Some(server) = plan.server() else { return Duration::ZERO };
    let unreported_for = ctx.peers.unreported_for(now, shard, &server.box_id, plan.epoch.token);
    unreported_for.min(now.since(observed.seen_at))
}

/// Serves the epoch and writes its log until the epoch ends.
async fn serve_epoch(
    ctx: &Arc<ShardContext>,
    keeper: &Arc<ShardKeeper>,
    log: EpochLog,
    locations: &ResultLocations,
) {
    let (sender, work) = mpsc::channel(QUEUE_CAPACITY);
    let ended = CancellationToken::new();
    let epoch = log.epoch.clone();
    let partners: Vec<StorageBox> = log.partners.clone();
    let counts = keeper.jobs().counts();
    log::info!(
        target: "shard", shard = keeper.shard().get(), epoch:% = epoch, jobs = counts.jobs,
        bytes = counts.bytes;
        "serving"
    );
    let served = ServedEpoch { epoch: epoch.clone(), log: sender, ended: ended.clone() };
    keeper.start_serving(served, locations);
    let why = tokio::select! {
        () = write_log(Arc::clone(ctx), Arc::clone(keeper), log, work) => "copy lost",
        () = ended.cancelled() => "asked",
        () = superseded(ctx, keeper.shard(), &epoch) => SUPERSEDED,
        () = partner_retires(ctx, &partners) => "partner leaves",
    };
    keeper.stop_serving();
    if why == SUPERSEDED {
        keeper.reset();
    }
    log::info!(
        target: "shard", shard = keeper.shard().get(), epoch:% = epoch, why = why;
        "not serving"
    );
}

/// Returns once the assignments contain another plan with the same or a higher token.
async fn superseded(ctx: &ShardContext, shard: ShardIndex, epoch: &EpochId) {
    let mut changes = ctx.view.changes();
    loop {
        let later = ctx.view.assignments().plan(shard).is_some_and(|observed| {
            observed.plan.epoch != *epoch && observed.plan.epoch.token >= epoch.token
        });
        if later || changes.changed().await.is_err() {
            return;
        }
    }
}

/// Returns once a box that holds a copy is being retired.
async fn partner_retires(ctx: &ShardContext, partners: &[StorageBox]) {
    loop {
        time::sleep(POLL_INTERVAL).await;
        let retiring = ctx.retiring().clone();
        if partners.iter().any(|copy| retiring.contains(&copy.box_id)) {
            return;
        }
    }
}

/// Creates a new epoch served by this box, following the steps of [`EpochTakeover`].
async fn take_over(
    ctx: &Arc<ShardContext>,
    keeper: &Arc<ShardKeeper>,
) -> Result<(EpochLog, ResultLocations), TakeoverError> {
    let shard = keeper.shard();
    let number = u64::from(rand::rng().random::<u32>());
    let mut takeover = EpochTakeover::new(ctx.me.clone(), number, keeper.jobs_epoch());
    let mut copy = None;
    loop {
        if takeover.needs_partners() {
            takeover.set_partners(ctx.choose_copies(shard));
        }
        match takeover.step() {
            TakeoverStep::ReadPlan => takeover.plan_read(read_plan(ctx, shard).await),
            TakeoverStep::BeginEmpty => {
                keeper.reset();
                takeover.base_loaded(true);
            }
            TakeoverStep::CloseAndRead(epoch) => {
                takeover.base_loaded(close_and_read(ctx, keeper, epoch).await);
            }
            TakeoverStep::Copy { epoch, partners } => {
                keeper.jobs().suspend_appends();
                keeper.set_taking_over(true);
                copy = copy_jobs(ctx, keeper, &epoch, &partners).await;
                keeper.set_taking_over(false);
                takeover.copies_written(copy.is_some());
            }
            TakeoverStep::WritePlan { base, plan } => {
                let outcome = write_plan(ctx, shard, base, &plan).await;
                if outcome == PlanWriteOutcome::NoAnswer {
                    time::sleep(RETRY_DELAY).await;
                }
                takeover.plan_written(outcome);
            }
            TakeoverStep::CheckPlan => {
                let read = read_plan(ctx, shard).await;
                if read.is_err() {
                    time::sleep(RETRY_DELAY).await;
                }
                takeover.plan_read(read);
            }
            TakeoverStep::Serve { revision, plan } => {
                let (epoch, partners) = (plan.epoch.clone(), plan.copies[1..].to_vec());
                record_plan(ctx, shard, VersionedPlan { revision, plan });
                ctx.copies.clean(shard, epoch.clone()).await;
                let locations =
                    copy.as_ref().map(|copy| copy.locations.clone()).unwrap_or_default();
                let log = EpochLog { epoch, file: copy.map(|copy| copy.file), partners };
                return Ok((log, locations));
            }
            TakeoverStep::Fail(error) => return Err(error),
        }
    }
}

fn record_plan(ctx: &ShardContext, shard: ShardIndex, read: VersionedPlan) {
    let seen_at = ctx.view.now();
    let observed = ObservedPlan { revision: read.revision, plan: read.plan, seen_at };
    ctx.view.assignments().put_plan(shard, observed);
}

async fn read_plan(ctx: &ShardContext, shard: ShardIndex) -> Result<Option<VersionedPlan>, ()> {
    ctx.view.metrics.store_call(Kind::ClusterState, StoreCall::Read);
    let stored = ctx.view.store.get(Kind::ClusterState, &shard_object(shard)).await;
    let stored = stored.map_err(|error| {
        log::debug!(target: "shard", shard = shard.get(), error:% = error; "plan not read");
    })?;
    let Some(stored) = stored else { return Ok(None) };
    let plan = stored.parse().map_err(|error| {
        log::warn!(target: "shard", shard = shard.get(), error:% = error; "stored plan is invalid");
    })?;
    let read = VersionedPlan { revision: stored.revision, plan };
    record_plan(ctx, shard, read.clone());
    Ok(Some(read))
}

/// Closes this box's copy of an epoch and loads it into the job table.
async fn close_and_read(ctx: &ShardContext, keeper: &Arc<ShardKeeper>, epoch: EpochId) -> bool {
    let shard = keeper.shard();
    ctx.copies.close(shard, &epoch).await;
    let (folder, read_epoch) = (ctx.copies.folder().clone(), epoch.clone());
    keeper.reset();
    let (now, loaded) = (ctx.view.now(), Arc::clone(keeper));
    let read = on_disk(shard, "read own copy", move || {
        folder.read(shard, &read_epoch, |record, location| {
            loaded.jobs().apply_at(now, record, Some(location));
        })
    });
    let Some(records) = read.await else { return false };
    log::info!(
        target: "shard", shard = shard.get(), epoch:% = epoch, records = records;
        "copy closed and read"
    );
    keeper.set_jobs_epoch(Some(epoch));
    true
}

/// Writes the plan if `base` is still the stored revision.
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
