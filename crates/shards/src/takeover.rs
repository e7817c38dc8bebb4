//! Takes shards over: decides when, starts a new epoch, and serves it until it ends.

use std::sync::Arc;
use std::time::Duration;

use ids::ShardIndex;
use joblog::{
    ShardPlan, StorageBox, TakeoverDecision, TakeoverError, TakeoverPreference, TakeoverView,
    decide_takeover, rank_initial_servers,
};
use node::assignments::{AssignmentTable, ObservedPlan};
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::context::ShardContext;
use crate::hosts::ShardHosts;
use crate::keeper::ShardKeeper;
use crate::log::epoch_change::{EpochChange, NewEpoch, change_epoch};
use crate::log::log_writer::{QUEUE_CAPACITY, write_log};
use crate::log::retry_delay::RetryDelay;

/// Interval at which a box checks whether it should take over a shard.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reason for ending an epoch when another box serves the shard.
const SUPERSEDED: &str = "another plan is in force";

/// Takes a shard over whenever this box should serve it, and serves it until the epoch ends.
pub async fn run_shard(ctx: Arc<ShardContext>, keeper: Arc<ShardKeeper>) {
    let shard = keeper.shard();
    let mut no_plan_since = None;
    let mut changes = keeper.changes();
    let mut delay = RetryDelay::new();
    let mut cleaned = None;
    loop {
        drop_superseded(&ctx, &keeper);
        clean_copies(&ctx, shard, &mut cleaned).await;
        if let Some(change) = due_takeover(&ctx, &keeper, &mut no_plan_since) {
            match change_epoch(&ctx, &keeper, change).await {
                Ok(new) => {
                    serve_epoch(&ctx, &keeper, new).await;
                    delay = RetryDelay::new();
                }
                Err(error) => {
                    if error == TakeoverError::Superseded.into() {
                        keeper.reset();
                    }
                    log::info!(target: "shard", shard = shard.get(), why:% = error; "takeover failed");
                    time::sleep(delay.next()).await;
                }
            }
            continue;
        }
        // Both outcomes lead to the next check.
        let _elapsed = time::timeout(POLL_INTERVAL, changes.changed()).await;
    }
}

/// Deletes the copies that a plan made obsolete, once for each plan.
async fn clean_copies(ctx: &ShardContext, shard: ShardIndex, cleaned: &mut Option<u64>) {
    let observed = ctx.view.assignments().plan(shard).cloned();
    let Some(observed) = observed.filter(|observed| Some(observed.revision) != *cleaned) else {
        return;
    };
    *cleaned = Some(observed.revision);
    ctx.copies.clean(shard, observed.plan).await;
}

/// Drops the jobs of a shard that another box serves under a later plan.
fn drop_superseded(ctx: &ShardContext, keeper: &ShardKeeper) {
    let Some(held) = keeper.loaded().map(|log| log.epoch) else { return };
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

/// Returns the takeover that this box should perform now, if any.
fn due_takeover(
    ctx: &ShardContext,
    keeper: &ShardKeeper,
    no_plan_since: &mut Option<ids::Moment>,
) -> Option<EpochChange> {
    let shard = keeper.shard();
    let now = ctx.view.now();
    let hosts = ShardHosts::new(&ctx.view, shard);
    if !hosts.includes(&ctx.me) {
        return None;
    }
    let assignments = ctx.view.assignments();
    if !assignments.is_read() {
        return None;
    }
    let observed = assignments.plan(shard);
    if observed.is_none() && hosts.is_bound() && !bound_shard_due(ctx, &hosts, &assignments) {
        *no_plan_since = None;
        return None;
    }
    if observed.is_some_and(|observed| observed.plan.rank(&ctx.me.box_id).is_none()) {
        // A request of an earlier server must not take effect under a later plan.
        let _outdated = keeper.take_takeover_request();
        return None;
    }
    // Concurrent takeovers slow each other down.
    if observed.is_some_and(|observed| higher_rank_takes_over(ctx, shard, &observed.plan))
        && !keeper.is_takeover_requested()
    {
        return None;
    }
    let no_plan_for = if observed.is_some() {
        *no_plan_since = None;
        Duration::ZERO
    } else {
        // No entry box may report a job of a bound shard as unknown, so all boxes have to use the
        // configuration that restricts regions before the shard gets a plan.
        let first_plan_delay =
            if hosts.is_bound() { ctx.view.settings.propagation_bound } else { Duration::ZERO };
        let since = *no_plan_since.get_or_insert(now) + first_plan_delay;
        if now < since {
            return None;
        }
        now.since(since)
    };
    let plan = observed.map(|observed| &observed.plan);
    let server = plan.and_then(ShardPlan::server);
    let view = TakeoverView {
        me: &ctx.me.box_id,
        plan,
        has_copy: plan.is_some_and(|plan| ctx.copies.folder().has(shard, &plan.epoch)),
        lacks_segments: false,
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
    if decide_takeover(&view) == TakeoverDecision::Wait {
        return None;
    }
    // Checked last, because it looks up a file for each segment.
    let lacks_segments = plan.is_some_and(|plan| lacks_segments(ctx, shard, plan));
    let decision = decide_takeover(&TakeoverView { lacks_segments, ..view });
    let replaced = plan.map(|plan| plan.epoch.clone());
    (decision == TakeoverDecision::TakeOver).then_some(EpochChange::TakeOver { replaced })
}

/// Returns whether a sealed segment of the plan is not on this box's disk.
fn lacks_segments(ctx: &ShardContext, shard: ShardIndex, plan: &ShardPlan) -> bool {
    plan.sealed.iter().any(|segment| !ctx.copies.folder().has_sealed(shard, segment))
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

/// Returns whether a higher-ranked box of the plan reads the log for a new epoch or writes copies.
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
async fn serve_epoch(ctx: &Arc<ShardContext>, keeper: &Arc<ShardKeeper>, new: NewEpoch) {
    let (sender, work) = mpsc::channel(QUEUE_CAPACITY);
    let ended = CancellationToken::new();
    let counts = keeper.jobs().counts();
    log::info!(
        target: "shard", shard = keeper.shard().get(), epoch:% = new.log.epoch, jobs = counts.jobs,
        bytes = counts.bytes, sealed = new.plan.sealed.len();
        "serving"
    );
    let log = keeper.start_serving(new, sender, ended.clone());
    let why = tokio::select! {
        why = write_log(Arc::clone(ctx), Arc::clone(keeper), log, work) => why,
        () = ended.cancelled() => "asked",
        () = superseded(ctx, keeper) => SUPERSEDED,
    };
    let epoch = keeper.loaded().map(|log| log.epoch.to_string()).unwrap_or_default();
    keeper.stop_serving();
    if why == SUPERSEDED {
        keeper.reset();
    }
    log::info!(
        target: "shard", shard = keeper.shard().get(), epoch = epoch.as_str(), why = why;
        "not serving"
    );
}

/// Returns once the assignments contain another box's plan with the same or a higher token.
async fn superseded(ctx: &ShardContext, keeper: &ShardKeeper) {
    let mut changes = ctx.view.changes();
    loop {
        let epoch = keeper.loaded().map(|log| log.epoch);
        let later = ctx.view.assignments().plan(keeper.shard()).is_some_and(|observed| {
            let plan = &observed.plan;
            epoch.as_ref().is_none_or(|epoch| {
                plan.epoch != *epoch
                    && plan.epoch.token >= epoch.token
                    && plan.epoch.by != ctx.me.box_id
            })
        });
        if later || changes.changed().await.is_err() {
            return;
        }
    }
}
